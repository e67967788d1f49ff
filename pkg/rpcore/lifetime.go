package rpcore

import (
	"cmp"
	"slices"
	"time"
)

// lifetime names one incarnation of a member.
type lifetime struct {
	id          string
	incarnation Incarnation
}

// lifetimeTracker records what the readings of the instance list prove about
// lifetimes.
type lifetimeTracker struct {
	// firstListedAt holds when a lifetime that the list shows was first shown, for
	// those that were first shown within Limits.ListLag.
	firstListedAt map[lifetime]time.Time
	// recentlyListed orders the entries of shown by time.
	recentlyListed []lifetime
	// absent holds the lifetimes that the list does not show.
	absent map[lifetime]*absence
	// countedAt is the time of the last reading that was counted.
	countedAt time.Time
}

// absence records what is known of a lifetime that the list does not show.
type absence struct {
	// isInstance says that the lifetime was one of an instance.
	isInstance bool
	// listedAt is a time by which the list is known to have shown the lifetime:
	// that of the first reading that did, or of the first question about it.
	listedAt time.Time
	// missedSnapshots counts the readings in a row that lacked it and that can't be
	// older than since.
	missedSnapshots int
}

const (
	// absentSnapshots is the number of readings in a row that must lack a
	// lifetime. The reading that was on its way while this instance was paused
	// is older than it looks, so one is not enough.
	absentSnapshots = 3
	// absentSnapshotSpacing is the least time between two readings that are counted.
	// Readings that arrive together after a pause were made before it.
	absentSnapshotSpacing = 250 * time.Millisecond
	// listLagBound is the lag that the repetition of notices allows for. The
	// lag differs between the servers of the platform.
	listLagBound = DefaultListLag
	// absenceLimit bounds the lifetimes that are remembered. A day at the
	// design size has 1,275 failures and restarts.
	absenceLimit = 4096
)

// incarnationGone reports whether the instance list has proved that a
// lifetime of a member is over. A lifetime is in the list without a break from
// its first entry to its end. Hence it is over when a reading lacks it that was
// made Limits.ListLag after another one showed it: the later reading then shows
// a later list. The first question about a lifetime counts as such a reading,
// since only lifetimes that saw themselves in the list make entries that
// others ask about. A member that is merely silent is not gone.
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

// updateLifetimes takes in a reading before the view of the list changes.
func (s *State) updateLifetimes(changed, removed []Member) {
	p := &s.members.lifetimes
	p.expireListed(s.now, s.limits.ListLag)
	for _, member := range removed {
		p.recordAbsent(member)
	}
	for _, member := range changed {
		last, ok := s.members.listed[member.ID]
		if ok && last.Incarnation == member.Incarnation {
			continue
		}
		if ok {
			p.recordAbsent(last)
		}
		p.recordListed(lifetime{member.ID, member.Incarnation}, s.now)
	}
	for _, key := range p.countAbsences(s.now, s.limits.ListLag) {
		s.recordGoneInstance(key)
	}
	p.evictOldest()
}

// mature drops the times that no longer matter.
func (p *lifetimeTracker) expireListed(now time.Time, lag time.Duration) {
	for len(p.recentlyListed) > 0 {
		at, ok := p.firstListedAt[p.recentlyListed[0]]
		if ok && now.Sub(at) < lag {
			return
		}
		delete(p.firstListedAt, p.recentlyListed[0])
		p.recentlyListed = p.recentlyListed[1:]
	}
	if cap(p.recentlyListed) > 0 {
		// The first reading fills both; a map does not shrink by itself.
		p.recentlyListed = nil
		p.firstListedAt = make(map[lifetime]time.Time)
	}
}

// show takes in that the list shows a lifetime. Where it showed it before, or
// was asked about it, that time counts.
func (p *lifetimeTracker) recordListed(key lifetime, now time.Time) {
	first := now
	if record := p.absent[key]; record != nil {
		first = record.listedAt
		delete(p.absent, key)
	}
	p.firstListedAt[key] = first
	p.recentlyListed = append(p.recentlyListed, key)
}

// hide takes in that the list no longer shows a lifetime. The zero time stands
// for one that was first shown longer ago than Limits.ListLag.
func (p *lifetimeTracker) recordAbsent(member Member) {
	key := lifetime{member.ID, member.Incarnation}
	p.absent[key] = &absence{listedAt: p.firstListedAt[key], isInstance: member.Kind == MemberInstance}
	delete(p.firstListedAt, key)
}

// count takes in a reading and returns the instances that it proves gone, in
// order.
func (p *lifetimeTracker) countAbsences(now time.Time, lag time.Duration) []lifetime {
	if now.Sub(p.countedAt) < absentSnapshotSpacing {
		return nil
	}
	p.countedAt = now
	var gone []lifetime
	for key, record := range p.absent {
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

// forget drops the oldest records; a lifetime that is asked about again starts
// anew, which only delays the proof.
func (p *lifetimeTracker) evictOldest() {
	if len(p.absent) <= absenceLimit {
		return
	}
	keys := make([]lifetime, 0, len(p.absent))
	for key := range p.absent {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b lifetime) int {
		return cmp.Or(p.absent[a].listedAt.Compare(p.absent[b].listedAt), compareLifetimes(a, b))
	})
	for _, key := range keys[:len(keys)-absenceLimit/2] {
		delete(p.absent, key)
	}
}
