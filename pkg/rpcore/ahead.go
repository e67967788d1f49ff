package rpcore

import "github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"

const (
	// aheadQueue is the number of urgent requests that may wait at an instance
	// for dispatch ahead of capacity. With more, urgent work itself exceeds the
	// capacity; ahead of capacity it would then keep the other ranks from their
	// floors, since engines run it first.
	aheadQueue = 4
	// aheadFactor bounds the requests at an engine, in its concurrency, up to
	// which urgent ones are sent ahead.
	aheadFactor = 2
)

// dispatchAhead sends urgent requests to engines that run as many requests as
// they can. The engine starts them before all others that wait there. Without
// it, an urgent request waits for the end of one of the few requests that this
// instance has at the engine, while those of other instances end first.
func (s *State) dispatchAhead(l *lane) {
	queue := rpdocument.RankUrgent.Index()
	if l.plain() || s.policy.FirstInFirstOut {
		return
	}
	for len(l.queues[queue]) > 0 && l.service.waiting[queue] <= aheadQueue {
		r := l.queues[queue].first(s.now, s.runTime(l), nil)
		if r == nil {
			return
		}
		e := s.aheadEndpoint(r)
		if e == nil {
			return
		}
		heads := s.headsOf(l.service, s.lanesAt(e), nil)
		l.service.charge(&heads, queue)
		s.takeFromQueue(r)
		s.startAttempt(r, e)
	}
}

// aheadEndpoint returns the least loaded endpoint that a request may be sent
// ahead to, or nil.
func (s *State) aheadEndpoint(r *request) *endpoint {
	candidates, _ := s.routeCandidates(r)
	if len(candidates) == 0 {
		candidates = s.requests.routeBuffer.near
	}
	var best *endpoint
	for _, e := range candidates {
		s.refresh(e)
		// Where only this instance uses an engine, each place that becomes free
		// is seen at once.
		open := !e.leaving && !e.health.load.busyUntil.After(s.now) && e.health.load.others > 0
		if open && s.loadOf(e) < aheadFactor*s.limits.EngineConcurrency && (best == nil || s.loadOf(e) < s.loadOf(best)) {
			best = e
		}
	}
	return best
}
