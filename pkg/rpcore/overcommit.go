package rpcore

import (
	"slices"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

const (
	// overcommitFactor bounds the requests at an engine, in its concurrency, up to
	// which they are sent ahead of capacity. What waits at an engine keeps it
	// busy while reports lag, but can't move to another one.
	overcommitFactor = 2
	// overcommitFactorFewUrgent is the bound while at most aheadFew urgent requests wait
	// at the instance. Urgent work is then below the capacity, and what waits at
	// an engine is work of other ranks that does not delay it. Below a factor of
	// 3, urgent requests missed their target in trials. Beyond aheadFew, urgent
	// work may exceed the capacity. With a factor of 3 or more, so much work of
	// other ranks then waited behind it at the engines that rank background fell
	// below its floor.
	overcommitFactorFewUrgent = 4
	fewUrgentLimit            = 4
)

// overcommitUrgent sends requests to engines that run as many requests as they
// can, while urgent ones wait. The engine starts the urgent ones before all
// others that wait there. Without it, an urgent request waits for the end of
// one of the few requests that this instance has at the engine, while those of
// other instances end first. Ranks take turns as in any dispatch: a rank whose
// floor is due is sent ahead too, or urgent work beyond the capacity would
// keep it out.
func (s *State) overcommitUrgent(l *lane) {
	queue := rpdocument.RankUrgent.Index()
	if l.isPlainService() || s.policy.FirstInFirstOut {
		return
	}
	for len(l.queues[queue]) > 0 {
		r := l.queues[queue].firstRunnable(s.now, s.expectedRunTime(l), nil)
		if r == nil {
			return
		}
		e := s.routeOvercommitted(r)
		if e == nil {
			return
		}
		lanes := slices.DeleteFunc(s.waitingLanesIncluding(e, l), func(other *lane) bool { return other.service != l.service })
		if !s.dispatchNext(lanes, (*State).routeOvercommitted) {
			return
		}
	}
}

// routeOvercommitted chooses the endpoint that a request is sent ahead to, or returns
// nil. Only urgent work delays urgent work at an engine, and no report tells
// how much of it waits there, so the endpoint with the fewest own urgent
// attempts without a first token is chosen.
func (s *State) routeOvercommitted(r *request) *endpoint {
	s.routeCandidates(r)
	bound := s.overcommitLimit(r.lane.service)
	buffer := &s.requests.routeBuffer
	buffer.free = buffer.free[:0]
	for _, e := range buffer.sameDomain {
		s.addOvercommitCandidate(e, bound)
	}
	for _, e := range buffer.otherDomain {
		s.addOvercommitCandidate(e, bound)
	}
	return s.fewestUnanswered(buffer.free)
}

// fewestUnanswered chooses at random between equal endpoints, since instances
// that all took the first would send their work to one engine.
func (s *State) fewestUnanswered(free []*endpoint) *endpoint {
	var best *endpoint
	ties := 0
	for _, e := range free {
		switch {
		case best == nil || e.health.load.urgentUnanswered < best.health.load.urgentUnanswered:
			best = e
			ties = 1
		case e.health.load.urgentUnanswered == best.health.load.urgentUnanswered:
			ties++
			if s.rng.IntN(ties) == 0 {
				best = e
			}
		default:
		}
	}
	return best
}

// overcommitLimit returns the number of requests at an engine from which none of a
// service is sent ahead.
func (s *State) overcommitLimit(service *serviceState) int {
	if service.waiting[rpdocument.RankUrgent.Index()] <= fewUrgentLimit {
		return overcommitFactorFewUrgent * s.limits.EngineConcurrency
	}
	return overcommitFactor * s.limits.EngineConcurrency
}

func (s *State) addOvercommitCandidate(e *endpoint, bound int) {
	s.refreshLoad(e)
	load := &e.health.load
	// Where only this instance uses an engine, each place that becomes free
	// is seen at once. Without reports nothing bounds what others send.
	if e.leaving || load.busyUntil.After(s.now) || load.othersInFlight == 0 || e.reportExpired(s.now) {
		return
	}
	if s.knownLoad(e) < bound {
		s.requests.routeBuffer.free = append(s.requests.routeBuffer.free, e)
	}
}
