package rpqueue

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

const (
	// minServedShare is the share of its requests that a kind or an account gets
	// started, as a part of the overall share. The rule is a quarter; the rest
	// covers requests that are started and fail.
	minServedShare = 0.35
	// shareWindow is the time constant of the counts. An instance gets about one
	// request of a rare kind in three seconds, so a shorter window would hold
	// too few of them.
	shareWindow = 30 * time.Second
	// minOwedStarts is the number of starts that a kind must lack before its
	// requests go first. Half a start lets the second request of a rare kind
	// through.
	minOwedStarts = 0.5
	// maxIdleGroups is the number of groups from which those without recent
	// requests are removed, whose counts are below negligibleCount. Names of
	// routes and accounts change with the configuration.
	maxIdleGroups   = 64
	negligibleCount = 0.01
)

// shares counts the arrivals and starts of groups of requests. The zero value is
// ready for use.
type shares struct {
	groups map[string]*share
	total  share
}

type share struct{ arrivals, starts rpreducer.DecayingSum }

func (s *shares) group(now time.Time, name string) *share {
	if s.groups == nil {
		s.groups = map[string]*share{}
	}
	g := s.groups[name]
	if g == nil {
		g = &share{}
		s.prune(now)
		s.groups[name] = g
	}
	return g
}

// prune removes the groups without recent requests once there are many.
func (s *shares) prune(now time.Time) {
	if len(s.groups) < maxIdleGroups {
		return
	}
	for name, g := range s.groups {
		if g.arrivals.Get(now, shareWindow) < negligibleCount {
			delete(s.groups, name)
		}
	}
}

func (s *shares) recordArrival(now time.Time, name string) {
	s.total.arrivals.Add(now, shareWindow, 1)
	s.group(now, name).arrivals.Add(now, shareWindow, 1)
}

func (s *shares) recordStart(now time.Time, name string) {
	s.total.starts.Add(now, shareWindow, 1)
	s.group(now, name).starts.Add(now, shareWindow, 1)
}

// starved reports whether a group lacks starts compared with all groups.
func (s *shares) starved(now time.Time, name string) bool {
	g := s.groups[name]
	if g == nil || len(s.groups) < 2 {
		return false
	}
	arrivals := s.total.arrivals.Get(now, shareWindow)
	if arrivals <= 0 {
		return false
	}
	overall := s.total.starts.Get(now, shareWindow) / arrivals
	owed := minServedShare * overall * g.arrivals.Get(now, shareWindow)
	return owed-g.starts.Get(now, shareWindow) >= minOwedStarts
}

// RecordArrival records that a request arrived. Call it once for each request.
func (o *Order) RecordArrival(now time.Time, r *Request) {
	o.kinds.recordArrival(now, r.Kind)
	if r.Account != "" {
		o.accounts.recordArrival(now, r.Account)
	}
}

// RecordStart records that a request was sent to an endpoint. Call it once for
// each request, at its first attempt.
func (o *Order) RecordStart(now time.Time, r *Request) {
	o.kinds.recordStart(now, r.Kind)
	if r.Account != "" {
		o.accounts.recordStart(now, r.Account)
	}
}

func (o *Order) starved(now time.Time, r *Request) bool {
	return o.kinds.starved(now, r.Kind) || r.Account != "" && o.accounts.starved(now, r.Account)
}
