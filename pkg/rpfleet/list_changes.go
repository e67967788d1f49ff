package rpfleet

import (
	"slices"
	"time"
)

const (
	// listChangeTTL is how long changes of the list are passed on. Instances
	// that rely on the planner read the list themselves more often than that.
	listChangeTTL = 20 * time.Second
	// followerListInterval is the time between two reads of the list by an
	// instance that gets the changes from the planner, as a check that none was
	// lost. plannerListInterval is the interval of the planner, which learns from
	// the list that loads have ended.
	followerListInterval = 15 * time.Second
	plannerListInterval  = 300 * time.Millisecond
	// configWait is how long a call waits for a change of the configuration. An
	// instance that learns of new versions from the planner waits longer. The
	// planner waits less: a connection that went silent must not keep a new
	// version from all instances.
	configWait         = 8 * time.Second
	followerConfigWait = 25 * time.Second
	plannerConfigWait  = 2 * time.Second
	// configGrace is how long an instance that learns of a newer configuration
	// waits for its own call to return it. The calls of all instances return
	// within milliseconds of each other.
	configGrace = 300 * time.Millisecond
	// minStoreRetryDelay is the minimum of StoreRetry. maxOutageCallsPerSecond
	// bounds the calls of all instances together while the store fails.
	minStoreRetryDelay      = 500 * time.Millisecond
	maxOutageCallsPerSecond = 60.0
	// Shares of Policy.LeavingBound: the maximum age of the planner's list
	// changes at which an instance needs no reads of its own, and the interval
	// of its reads without a planner.
	plannerListAgeShare = 0.5
	listIntervalShare   = 0.3
)

// listChanges numbers the changes of the list of endpoints. The planner passes
// them on to the other instances, which thus need not ask the store all the
// time.
type listChanges struct {
	lastChange uint64
	removals   []listRemoval
	// plannerListAsOf is the time up to which the planner has reported all
	// changes.
	plannerListAsOf time.Time
	// plannerConfigVersion is the newest version of the configuration that the
	// planner named while it was not in force here.
	plannerConfigVersion uint64
}

// listRemoval is a removed entry with the number and time of the change.
type listRemoval struct {
	RemovedEntry
	change uint64
	at     time.Time
}

// ListChanges are the changes of the list after the last change that the
// receiving instance has seen.
type ListChanges struct {
	_ struct{} `cbor:",toarray"`

	Change uint64
	// Age is the time since the planner read the list.
	Age     time.Duration
	Entries []Endpoint
	Removed []RemovedEntry
}

func (s *State) nextListChange() uint64 {
	s.listChanges.lastChange++
	return s.listChanges.lastChange
}

func (s *State) recordListRemoval(e *endpoint) {
	s.listChanges.removals = slices.DeleteFunc(s.listChanges.removals, func(g listRemoval) bool { return s.now.Sub(g.at) > listChangeTTL })
	s.listChanges.removals = append(s.listChanges.removals, listRemoval{
		RemovedEntry: RemovedEntry{ID: e.ID, Revision: e.Revision}, change: s.nextListChange(), at: s.now,
	})
}

// isOutdatedEntry reports whether an entry is older than what is known of its
// endpoint. Entries come from the list and from the planner, so they may arrive
// out of order.
func (s *State) isOutdatedEntry(entry *Endpoint) bool {
	if entry.Revision == 0 {
		return false
	}
	if e := s.endpoints[entry.ID]; e != nil {
		return entry.Revision < e.Revision
	}
	return slices.ContainsFunc(s.listChanges.removals, func(g listRemoval) bool { return g.ID == entry.ID && entry.Revision <= g.Revision })
}

// sameRoutingEntry reports whether two entries are equal for routing. Cached
// checkpoints matter only to the planner, which reads the list itself.
func sameRoutingEntry(a, b *Endpoint) bool {
	sameModel := func(x, y HeldModel) bool {
		return x.Name == y.Name && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	}
	return a.Service == b.Service && a.Address == b.Address && a.Leaving == b.Leaving && a.Slots == b.Slots &&
		slices.EqualFunc(a.Models, b.Models, sameModel)
}

// listChangesSince returns the changes after the one with number seen; 0 means
// all.
func (s *State) listChangesSince(seen uint64) ListChanges {
	changes := ListChanges{Change: s.listChanges.lastChange, Age: s.now.Sub(s.listReadAt)}
	for _, e := range s.sortedEndpoints() {
		if e.listChange > seen && s.now.Sub(e.listChangedAt) <= listChangeTTL {
			entry := e.Endpoint
			entry.Cached = nil
			changes.Entries = append(changes.Entries, entry)
		}
	}
	for _, removal := range s.listChanges.removals {
		if removal.change > seen && s.now.Sub(removal.at) <= listChangeTTL && s.endpoints[removal.ID] == nil {
			changes.Removed = append(changes.Removed, removal.RemovedEntry)
		}
	}
	return changes
}

// applyListChanges applies the changes that the planner read.
func (s *State) applyListChanges(changes *ListChanges, askedAt time.Time) {
	for i := range changes.Entries {
		entry := changes.Entries[i]
		if known := s.endpoints[entry.ID]; known != nil {
			entry.Cached = known.Cached
		}
		s.updateEndpoint(entry)
	}
	for _, removed := range changes.Removed {
		e := s.endpoints[removed.ID]
		if e != nil && (removed.Revision == 0 || e.Revision <= removed.Revision) {
			e.Revision = max(e.Revision, removed.Revision)
			s.removeEndpoint(e, "the planner reported that its entry was removed")
		}
	}
	s.listChanges.plannerListAsOf = askedAt.Add(-changes.Age)
}

// plannerListFresh reports whether the planner's list changes are recent enough
// to replace reads by this instance.
func (s *State) plannerListFresh() bool {
	return s.now.Sub(s.listChanges.plannerListAsOf) < time.Duration(plannerListAgeShare*float64(s.policy.LeavingBound))
}

// ListInterval returns the time between two reads of the list. It is long for
// an instance that gets the changes from the planner.
func (s *State) ListInterval() time.Duration {
	switch {
	case s.isPlanner():
		return plannerListInterval
	case s.plannerListFresh():
		return followerListInterval
	}
	return time.Duration(listIntervalShare * float64(s.policy.LeavingBound))
}

// ConfigWait returns how long a call may wait for a change of the
// configuration.
func (s *State) ConfigWait() time.Duration {
	switch {
	case s.isPlanner():
		return plannerConfigWait
	case s.plannerListFresh():
		return followerConfigWait
	}
	return configWait
}

// StoreRetry returns the maximum delay between two reads of one table while the
// store fails. It grows with the number of instances.
func (s *State) StoreRetry() time.Duration {
	return s.scaleInterval(minStoreRetryDelay, maxOutageCallsPerSecond)
}

// checkConfigVersion reads the configuration if the planner has a newer one and
// this instance's own call does not return it within configGrace.
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
