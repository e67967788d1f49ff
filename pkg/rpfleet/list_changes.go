package rpfleet

import (
	"slices"
	"time"
)

const (
	// listChangeTTL is how long changes of the list are passed on. An instance
	// without news from the planner reads the list itself long before that.
	listChangeTTL = 20 * time.Second
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
	// followedSince is when the planner's answers began to follow each other without
	// a gap. ownReadBeganAt is when the last read by this instance began.
	followedSince  time.Time
	ownReadBeganAt time.Time
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

// isOfEra reports whether a revision is of the present era of the store, or not known.
func (s *State) isOfEra(revision Revision) bool {
	return revision == 0 || revision.Era() == s.era.number
}

// listChangesSince returns the changes after the one with number seen; 0 means
// all. Its revisions are numbers, as earlier versions of the program expect them. What
// was read in an earlier era is left out: its numbers can't be compared.
func (s *State) listChangesSince(seen uint64) ListChanges {
	changes := ListChanges{Change: s.listChanges.lastChange, Age: s.now.Sub(s.listReadAt)}
	for _, e := range s.sortedEndpoints() {
		if e.listChange > seen && s.now.Sub(e.listChangedAt) <= listChangeTTL && s.isOfEra(e.Revision) {
			entry := e.Endpoint
			entry.Cached, entry.Revision = nil, Revision(entry.Revision.Number())
			changes.Entries = append(changes.Entries, entry)
		}
	}
	for _, removal := range s.listChanges.removals {
		if removal.change > seen && s.now.Sub(removal.at) <= listChangeTTL && s.endpoints[removal.ID] == nil && s.isOfEra(removal.Revision) {
			changes.Removed = append(changes.Removed, RemovedEntry{ID: removal.ID, Revision: Revision(removal.Revision.Number())})
		}
	}
	return changes
}

// applyListChanges applies the changes that the planner read in an era. newPlanner says
// that the answer before came from another planner, or from an earlier process of this
// one.
func (s *State) applyListChanges(changes *ListChanges, era uint64, askedAt time.Time, newPlanner bool) {
	if newPlanner || !s.plannerListRecent() {
		s.listChanges.followedSince = s.now
	}
	for i := range changes.Entries {
		entry := changes.Entries[i]
		entry.Revision = inEra(era, entry.Revision)
		if known := s.endpoints[entry.ID]; known != nil {
			entry.Cached = known.Cached
		}
		s.updateEndpoint(entry)
	}
	for _, removed := range changes.Removed {
		removed.Revision = inEra(era, removed.Revision)
		e := s.endpoints[removed.ID]
		if e != nil && (removed.Revision == 0 || e.Revision <= removed.Revision) {
			e.Revision = max(e.Revision, removed.Revision)
			s.removeEndpoint(e, "the planner reported that its entry was removed")
		}
	}
	s.listChanges.plannerListAsOf = askedAt.Add(-changes.Age)
	s.recordListOfEra(era)
}
