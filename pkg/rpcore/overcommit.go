package rpcore

import (
	"slices"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

const (
	// overcommitFactor times the engine's concurrency is the number of requests
	// at an engine from which no more are sent to it. Requests in an engine's
	// queue keep it busy while reports lag, but can't move to another engine.
	// With 3 or more, so many requests of other ranks queued behind urgent
	// ones at the engines that rank background fell below its floor.
	overcommitFactor = 2
	// overcommitFactorFewUrgent replaces overcommitFactor while at most
	// fewUrgentLimit urgent requests wait at the instance. Urgent requests are
	// then below the capacity, and the engine's queue holds requests of other
	// ranks, which don't delay them. Below 3, urgent requests missed their
	// target.
	overcommitFactorFewUrgent = 4
	// fewUrgentLimit is the number of waiting urgent requests above which
	// urgent requests may exceed the capacity.
	fewUrgentLimit = 4
)

// overcommitUrgent sends requests to engines that are already at their
// concurrency, while urgent requests of the lane wait. An engine starts the
// urgent requests in its own queue before all others. Without overcommitment,
// an urgent request would have to wait until one of the few requests of this
// instance at the engine ends, although requests of other instances end
// earlier. Ranks take turns as in any dispatch: a rank whose floor is due is
// overcommitted too, since urgent requests beyond the capacity would otherwise
// starve it.
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

// routeOvercommitted chooses the endpoint for an overcommitted request, or
// returns nil. At an engine, an urgent request is delayed only by other urgent
// requests. Reports don't say how many of these wait, so the endpoint with the
// fewest urgent attempts of this instance without a first token is chosen.
func (s *State) routeOvercommitted(r *request) *endpoint {
	s.routeCandidates(r)
	limit := s.overcommitLimit(r.lane.service)
	buffer := &s.requests.routeBuffer
	buffer.free = buffer.free[:0]
	for _, e := range buffer.sameDomain {
		s.addOvercommitCandidate(e, limit)
	}
	for _, e := range buffer.otherDomain {
		s.addOvercommitCandidate(e, limit)
	}
	return s.fewestUnanswered(buffer.free)
}

// fewestUnanswered returns the endpoint with the fewest urgent attempts without
// a first token, or nil. It breaks ties at random, so that several instances
// don't all choose the same engine.
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

// overcommitLimit returns the number of requests at an engine from which a
// service sends no more to it.
func (s *State) overcommitLimit(service *serviceState) int {
	if service.waiting[rpdocument.RankUrgent.Index()] <= fewUrgentLimit {
		return overcommitFactorFewUrgent * s.limits.EngineConcurrency
	}
	return overcommitFactor * s.limits.EngineConcurrency
}

func (s *State) addOvercommitCandidate(e *endpoint, limit int) {
	s.refreshLoad(e)
	load := &e.health.load
	// If only this instance uses an engine, it sees at once when capacity
	// becomes free and has no need to overcommit. Without a recent report, the
	// load of other instances is unknown.
	if e.leaving || load.busyUntil.After(s.now) || load.othersInFlight == 0 || e.reportExpired(s.now) {
		return
	}
	if s.knownLoad(e) < limit {
		s.requests.routeBuffer.free = append(s.requests.routeBuffer.free, e)
	}
}
