package rpfleet

import (
	"slices"
	"time"
)

const (
	// listMemory is how long changes of the list are passed on. An instance
	// that relies on the planner reads the list itself more often than that.
	listMemory = 20 * time.Second
	// toldInterval is the time between two readings of the list by an instance
	// which the planner tells the changes: a check that nothing was lost on the
	// way. plannerInterval is that of the planner, which sees by it that loads
	// have ended.
	toldInterval    = 15 * time.Second
	plannerInterval = 300 * time.Millisecond
	// configWait is how long a call waits for a change of the configuration. An
	// instance which the planner tells of new versions waits longer, and the
	// planner less: a connection that went silent must not keep a version from
	// all of them.
	configWait        = 8 * time.Second
	toldConfigWait    = 25 * time.Second
	plannerConfigWait = 2 * time.Second
	// configGrace is how long an instance that hears of a newer configuration
	// waits for its own call to bring it. Calls bring it within milliseconds of
	// each other.
	configGrace = 300 * time.Millisecond
	// storeRetry is the longest pause between two calls of a follower while the
	// store fails, and outageCalls bounds these calls a second of all instances.
	storeRetry  = 500 * time.Millisecond
	outageCalls = 60.0
	// Parts of Policy.LeavingBound: the age up to which the planner's news stand
	// in for a reading of one's own, and the interval of these readings without
	// a planner.
	toldShare = 0.5
	readShare = 0.3
)

// listing passes the changes of the list of endpoints on from the planner, so
// that not every instance has to ask the store for them all the time.
type listing struct {
	change uint64
	gone   []goneEntry
	// toldAt is the time as of which the planner has told the changes.
	toldAt time.Time
	// toldConfig is the newest version of the configuration that the planner
	// told of while it was not in force here.
	toldConfig uint64
}

type goneEntry struct {
	RemovedEntry
	change uint64
	at     time.Time
}

// ListNews are the changes of the list since a change that the asking instance
// has seen.
type ListNews struct {
	_ struct{} `cbor:",toarray"`

	Change uint64
	// Age is the time since the planner has read the list.
	Age     time.Duration
	Entries []Endpoint
	Gone    []RemovedEntry
}

func (s *State) nextListChange() uint64 {
	s.listing.change++
	return s.listing.change
}

func (s *State) listGone(e *endpoint) {
	s.listing.gone = slices.DeleteFunc(s.listing.gone, func(g goneEntry) bool { return s.now.Sub(g.at) > listMemory })
	s.listing.gone = append(s.listing.gone, goneEntry{
		RemovedEntry: RemovedEntry{ID: e.ID, Revision: e.Revision}, change: s.nextListChange(), at: s.now,
	})
}

// outdated reports whether an entry is older than what is known of its endpoint.
// Instances read the list and hear of it from the planner, so news may overtake
// each other.
func (s *State) outdated(entry *Endpoint) bool {
	if entry.Revision == 0 {
		return false
	}
	if e := s.endpoints[entry.ID]; e != nil {
		return entry.Revision < e.Revision
	}
	return slices.ContainsFunc(s.listing.gone, func(g goneEntry) bool { return g.ID == entry.ID && entry.Revision <= g.Revision })
}

// sameEntry reports whether an entry says the same to instances that route.
// Checkpoints at hand matter to the planner only, which reads the list itself.
func sameEntry(a, b *Endpoint) bool {
	sameModel := func(x, y HeldModel) bool {
		return x.Name == y.Name && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	}
	return a.Service == b.Service && a.Address == b.Address && a.Leaving == b.Leaving && a.Slots == b.Slots &&
		slices.EqualFunc(a.Models, b.Models, sameModel)
}

// listNews returns the changes since one that the asking instance has seen, 0
// for none.
func (s *State) listNews(seen uint64) ListNews {
	news := ListNews{Change: s.listing.change, Age: s.now.Sub(s.listReadAt)}
	for _, e := range s.sortedEndpoints() {
		if e.listChange > seen && s.now.Sub(e.listChangedAt) <= listMemory {
			entry := e.Endpoint
			entry.Cached = nil
			news.Entries = append(news.Entries, entry)
		}
	}
	for _, gone := range s.listing.gone {
		if gone.change > seen && s.now.Sub(gone.at) <= listMemory && s.endpoints[gone.ID] == nil {
			news.Gone = append(news.Gone, gone.RemovedEntry)
		}
	}
	return news
}

// adoptList takes in what the planner read.
func (s *State) adoptList(news *ListNews, askedAt time.Time) {
	for i := range news.Entries {
		entry := news.Entries[i]
		if known := s.endpoints[entry.ID]; known != nil {
			entry.Cached = known.Cached
		}
		s.endpointSeen(entry)
	}
	for _, gone := range news.Gone {
		e := s.endpoints[gone.ID]
		if e != nil && (gone.Revision == 0 || e.Revision <= gone.Revision) {
			e.Revision = max(e.Revision, gone.Revision)
			s.endpointGone(e, "the planner told that its entry is gone")
		}
	}
	s.listing.toldAt = askedAt.Add(-news.Age)
}

// told reports whether the planner's news are fresh enough to stand in for
// readings of one's own.
func (s *State) told() bool {
	return s.now.Sub(s.listing.toldAt) < time.Duration(toldShare*float64(s.policy.LeavingBound))
}

// ListInterval returns the time between two readings of the list. An instance
// which the planner tells the changes need not read it often itself.
func (s *State) ListInterval() time.Duration {
	switch {
	case s.leading():
		return plannerInterval
	case s.told():
		return toldInterval
	}
	return time.Duration(readShare * float64(s.policy.LeavingBound))
}

// ConfigWait returns how long a call may wait for a change of the configuration.
func (s *State) ConfigWait() time.Duration {
	switch {
	case s.leading():
		return plannerConfigWait
	case s.told():
		return toldConfigWait
	}
	return configWait
}

// StoreRetry returns the longest pause between two calls of one follower while
// the store fails. It grows with the number of instances.
func (s *State) StoreRetry() time.Duration { return s.scaled(storeRetry, outageCalls) }

// adoptConfigVersion reads the configuration where the planner has a newer one
// and this instance's own call does not bring it soon.
func (s *State) adoptConfigVersion(version uint64) {
	if version <= s.configVersion() || version <= s.listing.toldConfig {
		return
	}
	s.listing.toldConfig = version
	s.after(configGrace, func(s *State) { s.readNewerConfig(version) })
}

func (s *State) readNewerConfig(version uint64) {
	if version <= s.configVersion() {
		return
	}
	s.listing.toldConfig = 0
	s.note("documents", "the planner has a newer configuration", Field{"config_version", s.configVersion()},
		Field{"planner_version", version}, Field{"config_age", s.now.Sub(s.configAt)})
	s.emit(ReadConfig{})
}
