package rpfleet

import (
	"slices"
	"time"
)

const (
	// listChangeTTL is how long changes of the list are passed on. An instance
	// that relies on the planner reads the list itself more often than that.
	listChangeTTL = 20 * time.Second
	// followerListInterval is the time between two readings of the list by an instance
	// which the planner tells the changes: a check that nothing was lost on the
	// way. plannerInterval is that of the planner, which sees by it that loads
	// have ended.
	followerListInterval = 15 * time.Second
	plannerListInterval  = 300 * time.Millisecond
	// configWait is how long a call waits for a change of the configuration. An
	// instance which the planner tells of new versions waits longer, and the
	// planner less: a connection that went silent must not keep a version from
	// all of them.
	configWait         = 8 * time.Second
	followerConfigWait = 25 * time.Second
	plannerConfigWait  = 2 * time.Second
	// configGrace is how long an instance that hears of a newer configuration
	// waits for its own call to bring it. Calls bring it within milliseconds of
	// each other.
	configGrace = 300 * time.Millisecond
	// minStoreRetryDelay is the longest pause between two calls of a follower while the
	// store fails, and outageCalls bounds these calls a second of all instances.
	minStoreRetryDelay      = 500 * time.Millisecond
	maxOutageCallsPerSecond = 60.0
	// Parts of Policy.LeavingBound: the age up to which the planner's news stand
	// in for a reading of one's own, and the interval of these readings without
	// a planner.
	plannerListAgeShare = 0.5
	listIntervalShare   = 0.3
)

// listChanges passes the changes of the list of endpoints on from the planner, so
// that not every instance has to ask the store for them all the time.
type listChanges struct {
	lastChange uint64
	removals   []listRemoval
	// plannerListAsOf is the time as of which the planner has told the changes.
	plannerListAsOf time.Time
	// plannerConfigVersion is the newest version of the configuration that the planner
	// told of while it was not in force here.
	plannerConfigVersion uint64
}

type listRemoval struct {
	RemovedEntry
	change uint64
	at     time.Time
}

// ListChanges are the changes of the list since a change that the asking instance
// has seen.
type ListChanges struct {
	_ struct{} `cbor:",toarray"`

	Change uint64
	// Age is the time since the planner has read the list.
	Age     time.Duration
	Entries []Endpoint
	Removed []RemovedEntry
}

func (s *State) nextListChange() uint64 {
	s.listChanges.lastChange++
	return s.listChanges.lastChange
}

func (s *State) recordRemoval(e *endpoint) {
	s.listChanges.removals = slices.DeleteFunc(s.listChanges.removals, func(g listRemoval) bool { return s.now.Sub(g.at) > listChangeTTL })
	s.listChanges.removals = append(s.listChanges.removals, listRemoval{
		RemovedEntry: RemovedEntry{ID: e.ID, Revision: e.Revision}, change: s.nextListChange(), at: s.now,
	})
}

// isOutdated reports whether an entry is older than what is known of its endpoint.
// Instances read the list and hear of it from the planner, so news may overtake
// each other.
func (s *State) isOutdated(entry *Endpoint) bool {
	if entry.Revision == 0 {
		return false
	}
	if e := s.endpoints[entry.ID]; e != nil {
		return entry.Revision < e.Revision
	}
	return slices.ContainsFunc(s.listChanges.removals, func(g listRemoval) bool { return g.ID == entry.ID && entry.Revision <= g.Revision })
}

// sameRoutingEntry reports whether an entry says the same to instances that route.
// Checkpoints at hand matter to the planner only, which reads the list itself.
func sameRoutingEntry(a, b *Endpoint) bool {
	sameModel := func(x, y HeldModel) bool {
		return x.Name == y.Name && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	}
	return a.Service == b.Service && a.Address == b.Address && a.Leaving == b.Leaving && a.Slots == b.Slots &&
		slices.EqualFunc(a.Models, b.Models, sameModel)
}

// listChangesSince returns the changes since one that the asking instance has seen, 0
// for none.
func (s *State) listChangesSince(seen uint64) ListChanges {
	news := ListChanges{Change: s.listChanges.lastChange, Age: s.now.Sub(s.listReadAt)}
	for _, e := range s.sortedEndpoints() {
		if e.listChange > seen && s.now.Sub(e.listChangedAt) <= listChangeTTL {
			entry := e.Endpoint
			entry.Cached = nil
			news.Entries = append(news.Entries, entry)
		}
	}
	for _, gone := range s.listChanges.removals {
		if gone.change > seen && s.now.Sub(gone.at) <= listChangeTTL && s.endpoints[gone.ID] == nil {
			news.Removed = append(news.Removed, gone.RemovedEntry)
		}
	}
	return news
}

// applyListChanges takes in what the planner read.
func (s *State) applyListChanges(news *ListChanges, askedAt time.Time) {
	for i := range news.Entries {
		entry := news.Entries[i]
		if known := s.endpoints[entry.ID]; known != nil {
			entry.Cached = known.Cached
		}
		s.updateEndpoint(entry)
	}
	for _, gone := range news.Removed {
		e := s.endpoints[gone.ID]
		if e != nil && (gone.Revision == 0 || e.Revision <= gone.Revision) {
			e.Revision = max(e.Revision, gone.Revision)
			s.removeEndpoint(e, "the planner told that its entry is gone")
		}
	}
	s.listChanges.plannerListAsOf = askedAt.Add(-news.Age)
}

// plannerListFresh reports whether the planner's news are fresh enough to stand in for
// readings of one's own.
func (s *State) plannerListFresh() bool {
	return s.now.Sub(s.listChanges.plannerListAsOf) < time.Duration(plannerListAgeShare*float64(s.policy.LeavingBound))
}

// ListInterval returns the time between two readings of the list. An instance
// which the planner tells the changes need not read it often itself.
func (s *State) ListInterval() time.Duration {
	switch {
	case s.isPlanner():
		return plannerListInterval
	case s.plannerListFresh():
		return followerListInterval
	}
	return time.Duration(listIntervalShare * float64(s.policy.LeavingBound))
}

// ConfigWait returns how long a call may wait for a change of the configuration.
func (s *State) ConfigWait() time.Duration {
	switch {
	case s.isPlanner():
		return plannerConfigWait
	case s.plannerListFresh():
		return followerConfigWait
	}
	return configWait
}

// StoreRetry returns the longest pause between two calls of one follower while
// the store fails. It grows with the number of instances.
func (s *State) StoreRetry() time.Duration {
	return s.scaleInterval(minStoreRetryDelay, maxOutageCallsPerSecond)
}

// checkConfigVersion reads the configuration where the planner has a newer one
// and this instance's own call does not bring it soon.
func (s *State) checkConfigVersion(version uint64) {
	if version <= s.configVersion() || version <= s.listChanges.plannerConfigVersion {
		return
	}
	s.listChanges.plannerConfigVersion = version
	s.runAfter(configGrace, func(s *State) { s.readNewerConfig(version) })
}

func (s *State) readNewerConfig(version uint64) {
	if version <= s.configVersion() {
		return
	}
	s.listChanges.plannerConfigVersion = 0
	s.note("documents", "the planner has a newer configuration", Field{"config_version", s.configVersion()},
		Field{"planner_version", version}, Field{"config_age", s.now.Sub(s.configAt)})
	s.emit(ReadConfig{})
}
