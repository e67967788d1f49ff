package rpqueue

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

const (
	// minServedShare is the share of its requests that a kind or an account gets
	// served, as a part of the overall share. The rule is a quarter; the rest
	// covers what is lost after the first event.
	minServedShare = 0.45
	// maxShareLead is how much more of its requests a kind may get served than a
	// kind of a more urgent rank.
	maxShareLead = 0.05
	// shareWindow is the time constant of the counts. An instance gets about one
	// request of a rare kind in three seconds, so a shorter window would hold
	// too few of them.
	shareWindow = 30 * time.Second
	// minOwedRequests is the number of requests that a kind must lack before its
	// requests go first. Half a request lets the second one of a rare kind through.
	minOwedRequests = 0.5
	// maxIdleGroups is the number of groups from which those without recent
	// requests are removed, whose counts are below negligibleCount. Names of
	// routes and accounts change with the configuration.
	maxIdleGroups   = 64
	negligibleCount = 0.01
)

// shares counts the requests of kinds or accounts that arrived and those that were
// served. The zero value is ready for use.
type shares struct {
	groups map[string]*share
	total  share
	// judgedAt is the time of the last judge, or zero if the counts changed since.
	judgedAt time.Time
}

type share struct {
	arrived, served rpreducer.DecayingSum
	rank            int
	// starved says that the group lacks requests compared with all groups, and
	// favored that it has more than one of a more urgent rank may have.
	starved, favored bool
}

// of returns the served share at the time now. A group without requests has 1.
func (v *share) of(now time.Time) float64 {
	arrived := v.arrived.Get(now, shareWindow)
	if arrived < negligibleCount {
		return 1
	}
	return v.served.Get(now, shareWindow) / arrived
}

func (s *shares) recordArrival(now time.Time, name string, rank int) {
	s.total.arrived.Add(now, shareWindow, 1)
	g := s.groups[name]
	if g == nil {
		s.prune(now)
		g = &share{}
		if s.groups == nil {
			s.groups = map[string]*share{}
		}
		s.groups[name] = g
	}
	g.rank = rank
	g.arrived.Add(now, shareWindow, 1)
	s.judgedAt = time.Time{}
}

// recordServed ignores groups that were removed since the arrival.
func (s *shares) recordServed(now time.Time, name string) {
	s.total.served.Add(now, shareWindow, 1)
	if g := s.groups[name]; g != nil {
		g.served.Add(now, shareWindow, 1)
	}
	s.judgedAt = time.Time{}
}

// prune removes the groups without recent requests once there are many.
func (s *shares) prune(now time.Time) {
	if len(s.groups) < maxIdleGroups {
		return
	}
	for name, g := range s.groups {
		if g.arrived.Get(now, shareWindow) < negligibleCount {
			delete(s.groups, name)
		}
	}
}

// judge sets which groups are starved and favored.
func (s *shares) judge(now time.Time) {
	if s.judgedAt.Equal(now) {
		return
	}
	s.judgedAt = now
	overall := s.total.of(now)
	worst := map[int]float64{}
	for _, g := range s.groups {
		served := g.of(now)
		if v, ok := worst[g.rank]; !ok || served < v {
			worst[g.rank] = served
		}
		owed := minServedShare*overall*g.arrived.Get(now, shareWindow) - g.served.Get(now, shareWindow)
		g.starved = len(s.groups) > 1 && owed >= minOwedRequests
	}
	for _, g := range s.groups {
		g.favored = false
		served := g.of(now)
		for rank, v := range worst {
			g.favored = g.favored || rank < g.rank && served-v > maxShareLead
		}
	}
}

func (s *shares) starved(now time.Time, name string) bool {
	s.judge(now)
	g := s.groups[name]
	return g != nil && g.starved
}

func (s *shares) favored(now time.Time, name string) bool {
	s.judge(now)
	g := s.groups[name]
	return g != nil && g.favored
}

// RecordArrival records that a request arrived. Call it once for each request.
func (o *Order) RecordArrival(now time.Time, r *Request) {
	o.kinds.recordArrival(now, r.Kind, r.Rank)
	if r.Account != "" {
		o.accounts.recordArrival(now, r.Account, 0)
	}
}

// RecordServed records the first event of a request, or its response if it has no
// events. Call it once for each request.
func (o *Order) RecordServed(now time.Time, r *Request) {
	o.kinds.recordServed(now, r.Kind)
	if r.Account != "" {
		o.accounts.recordServed(now, r.Account)
	}
}

// Starved reports whether the kind or the account of a request got so little that
// its requests go first. Relaxed requests don't need to.
func (o *Order) Starved(now time.Time, r *Request) bool {
	return o.Urgency(now, r) != Relaxed &&
		(o.kinds.starved(now, r.Kind) || r.Account != "" && o.accounts.starved(now, r.Account))
}

// favored reports whether the kind of a request gets so much more than a more
// urgent rank that its requests yield to late ones of that rank.
func (o *Order) favored(now time.Time, r *Request) bool { return o.kinds.favored(now, r.Kind) }
