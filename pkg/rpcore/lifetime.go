package rpcore

import (
	"cmp"
	"slices"
	"time"
)

// lifetime identifies one incarnation of a member.
type lifetime struct {
	id          string
	incarnation Incarnation
}

// lifetimeTracker derives from the snapshots of the instance list which
// lifetimes are over.
type lifetimeTracker struct {
	// firstListedAt holds the time of the first snapshot that showed a
	// lifetime. It covers listed lifetimes that first appeared within the last
	// Limits.ListLag.
	firstListedAt map[lifetime]time.Time
	// recentlyListed holds the keys of firstListedAt, ordered by time.
	recentlyListed []lifetime
	// absent holds the lifetimes that the list does not show.
	absent map[lifetime]*absence
	// countedAt is the time of the last snapshot that countAbsences counted.
	countedAt time.Time
}

// absence is the state of a lifetime that the list does not show.
type absence struct {
	// isInstance is set if the lifetime belonged to an instance.
	isInstance bool
	// listedAt is a time at which the list is known to have shown the lifetime.
	// It is the time of the first snapshot that showed it, or of the first
	// query about it. Zero means longer ago than Limits.ListLag.
	listedAt time.Time
	// missedSnapshots counts the consecutive snapshots without the lifetime
	// that must be newer than listedAt.
	missedSnapshots int
}

const (
	// absentSnapshots is the number of consecutive snapshots that must lack a
	// lifetime. One snapshot is not enough: if it arrives after a pause of this
	// instance, it is older than it seems.
	absentSnapshots = 3
	// absentSnapshotSpacing is the minimum time between two counted snapshots.
	// Snapshots that arrive together after a pause were taken before it.
	absentSnapshotSpacing = 250 * time.Millisecond
	// listLagBound is the list lag that the repetition of notices allows for.
	// The lag differs between the servers of the platform.
	listLagBound = DefaultListLag
	// absenceLimit is the maximum number of absent lifetimes that are kept. At
	// the design size there are 1,275 failures and restarts a day.
	absenceLimit = 4096
)

// incarnationGone reports whether the instance list proves that a lifetime of a
// member is over. The list shows a lifetime without interruption from its first
// entry to its end. Therefore the lifetime is over if a snapshot shows it and
// another one, taken Limits.ListLag later, lacks it: the later snapshot then
// reflects a later state of the list.
//
// The first query about a lifetime counts as a snapshot that shows it, since
// only instances that saw themselves in the list write the entries that others
// ask about. Missing heartbeats alone never make a member gone.
func (s *State) incarnationGone(id string, incarnation Incarnation) bool {
	if member, ok := s.members.listed[id]; ok && member.Incarnation == incarnation {
		return false
	}
	if s.isSelf(id, incarnation) {
		return false
	}
	key := lifetime{id, incarnation}
	record := s.members.lifetimes.absent[key]
	if record == nil {
		s.members.lifetimes.absent[key] = &absence{listedAt: s.now}
		return false
	}
	return record.missedSnapshots >= absentSnapshots
}

// updateLifetimes applies a snapshot to the lifetimes. It must be called before
// members.listed is updated.
func (s *State) updateLifetimes(changed, removed []Member) {
	t := &s.members.lifetimes
	t.expireListed(s.now, s.limits.ListLag)
	for _, member := range removed {
		t.recordAbsent(member)
	}
	for _, member := range changed {
		last, ok := s.members.listed[member.ID]
		if ok && last.Incarnation == member.Incarnation {
			continue
		}
		if ok {
			t.recordAbsent(last)
		}
		t.recordListed(lifetime{member.ID, member.Incarnation}, s.now)
	}
	for _, key := range t.countAbsences(s.now, s.limits.ListLag) {
		s.recordGoneInstance(key)
	}
	t.evictOldest()
}

// expireListed drops the times in firstListedAt that are older than lag.
func (t *lifetimeTracker) expireListed(now time.Time, lag time.Duration) {
	for len(t.recentlyListed) > 0 {
		at, ok := t.firstListedAt[t.recentlyListed[0]]
		if ok && now.Sub(at) < lag {
			return
		}
		delete(t.firstListedAt, t.recentlyListed[0])
		t.recentlyListed = t.recentlyListed[1:]
	}
	if cap(t.recentlyListed) > 0 {
		// Release the memory that the first snapshot used. A map does not
		// shrink by itself.
		t.recentlyListed = nil
		t.firstListedAt = make(map[lifetime]time.Time)
	}
}

// recordListed records that the list shows a lifetime. If an earlier snapshot
// showed it, or there was a query about it, the earlier time is kept.
func (t *lifetimeTracker) recordListed(key lifetime, now time.Time) {
	first := now
	if record := t.absent[key]; record != nil {
		first = record.listedAt
		delete(t.absent, key)
	}
	t.firstListedAt[key] = first
	t.recentlyListed = append(t.recentlyListed, key)
}

// recordAbsent records that the list no longer shows a lifetime.
func (t *lifetimeTracker) recordAbsent(member Member) {
	key := lifetime{member.ID, member.Incarnation}
	t.absent[key] = &absence{listedAt: t.firstListedAt[key], isInstance: member.Kind == MemberInstance}
	delete(t.firstListedAt, key)
}

// countAbsences counts a snapshot for all absent lifetimes. It returns the
// instances whose lifetimes it proves to be over, in order.
func (t *lifetimeTracker) countAbsences(now time.Time, lag time.Duration) []lifetime {
	if now.Sub(t.countedAt) < absentSnapshotSpacing {
		return nil
	}
	t.countedAt = now
	var gone []lifetime
	for key, record := range t.absent {
		if now.Sub(record.listedAt) < lag {
			continue
		}
		record.missedSnapshots++
		if record.isInstance && record.missedSnapshots == absentSnapshots {
			gone = append(gone, key)
		}
	}
	slices.SortFunc(gone, compareLifetimes)
	return gone
}

func compareLifetimes(a, b lifetime) int {
	return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.incarnation, b.incarnation))
}

// evictOldest drops the oldest records if there are too many. A later query
// about a dropped lifetime starts from the beginning, which only delays the
// proof.
func (t *lifetimeTracker) evictOldest() {
	if len(t.absent) <= absenceLimit {
		return
	}
	keys := make([]lifetime, 0, len(t.absent))
	for key := range t.absent {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b lifetime) int {
		return cmp.Or(t.absent[a].listedAt.Compare(t.absent[b].listedAt), compareLifetimes(a, b))
	})
	for _, key := range keys[:len(keys)-absenceLimit/2] {
		delete(t.absent, key)
	}
}
