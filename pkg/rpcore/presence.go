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

// presences records what the readings of the instance list prove about
// lifetimes.
type presences struct {
	// shown holds when a lifetime that the list shows was first shown, for
	// those that were first shown within Limits.ListLag.
	shown map[lifetime]time.Time
	// recent orders the entries of shown by time.
	recent []lifetime
	// absent holds the lifetimes that the list does not show.
	absent map[lifetime]*absence
	// countedAt is the time of the last reading that was counted.
	countedAt time.Time
}

// absence records what is known of a lifetime that the list does not show.
type absence struct {
	// instance says that the lifetime was one of an instance.
	instance bool
	// since is a time by which the list is known to have shown the lifetime:
	// that of the first reading that did, or of the first question about it.
	since time.Time
	// missing counts the readings in a row that lacked it and that can't be
	// older than since.
	missing int
}

const (
	// absentReadings is the number of readings in a row that must lack a
	// lifetime. The reading that was on its way while this instance was paused
	// is older than it looks, so one is not enough.
	absentReadings = 3
	// absentSpacing is the least time between two readings that are counted.
	// Readings that arrive together after a pause were made before it.
	absentSpacing = 250 * time.Millisecond
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
	record := s.members.presences.absent[key]
	if record == nil {
		s.members.presences.absent[key] = &absence{since: s.now}
		return false
	}
	return record.missing >= absentReadings
}

// updatePresences takes in a reading before the view of the list changes.
func (s *State) updatePresences(changed, removed []Member) {
	p := &s.members.presences
	p.mature(s.now, s.limits.ListLag)
	for _, member := range removed {
		p.hide(member)
	}
	for _, member := range changed {
		last, ok := s.members.listed[member.ID]
		if ok && last.Incarnation == member.Incarnation {
			continue
		}
		if ok {
			p.hide(last)
		}
		p.show(lifetime{member.ID, member.Incarnation}, s.now)
	}
	for _, key := range p.count(s.now, s.limits.ListLag) {
		s.recordGone(key)
	}
	p.forget()
}

// mature drops the times that no longer matter.
func (p *presences) mature(now time.Time, lag time.Duration) {
	for len(p.recent) > 0 {
		at, ok := p.shown[p.recent[0]]
		if ok && now.Sub(at) < lag {
			return
		}
		delete(p.shown, p.recent[0])
		p.recent = p.recent[1:]
	}
	if cap(p.recent) > 0 {
		// The first reading fills both; a map does not shrink by itself.
		p.recent = nil
		p.shown = make(map[lifetime]time.Time)
	}
}

// show takes in that the list shows a lifetime. Where it showed it before, or
// was asked about it, that time counts.
func (p *presences) show(key lifetime, now time.Time) {
	first := now
	if record := p.absent[key]; record != nil {
		first = record.since
		delete(p.absent, key)
	}
	p.shown[key] = first
	p.recent = append(p.recent, key)
}

// hide takes in that the list no longer shows a lifetime. The zero time stands
// for one that was first shown longer ago than Limits.ListLag.
func (p *presences) hide(member Member) {
	key := lifetime{member.ID, member.Incarnation}
	p.absent[key] = &absence{since: p.shown[key], instance: member.Kind == MemberInstance}
	delete(p.shown, key)
}

// count takes in a reading and returns the instances that it proves gone, in
// order.
func (p *presences) count(now time.Time, lag time.Duration) []lifetime {
	if now.Sub(p.countedAt) < absentSpacing {
		return nil
	}
	p.countedAt = now
	var gone []lifetime
	for key, record := range p.absent {
		if now.Sub(record.since) < lag {
			continue
		}
		record.missing++
		if record.instance && record.missing == absentReadings {
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
func (p *presences) forget() {
	if len(p.absent) <= absenceLimit {
		return
	}
	keys := make([]lifetime, 0, len(p.absent))
	for key := range p.absent {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b lifetime) int {
		return cmp.Or(p.absent[a].since.Compare(p.absent[b].since), compareLifetimes(a, b))
	})
	for _, key := range keys[:len(keys)-absenceLimit/2] {
		delete(p.absent, key)
	}
}
