package rpcore

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	// sweepInterval is the time between two dispatch attempts for the waiting
	// requests. The sweep finds capacity that becomes free without an event at
	// this instance, for example when a request of another instance ends or an
	// ejection expires.
	sweepInterval = 100 * time.Millisecond
	// unservedGrace is the time for which requests wait for a plain service
	// without endpoints, so that they survive a restart of all its endpoints.
	unservedGrace = 2 * time.Second
	// maxSkipped bounds the requests that one dispatch skips because they may
	// not go to any endpoint with capacity.
	maxSkipped = 8
	// creditTolerance absorbs rounding errors in sums of floors.
	creditTolerance = 1e-9
)

// rankHeads holds the request that each rank would dispatch next. An entry is
// nil if the rank has none.
type rankHeads [rpdocument.RankCount]*request

// dispatchLane starts requests while an endpoint of the lane has capacity.
// Requests of other lanes that the same endpoint serves compete for that
// capacity.
func (s *State) dispatchLane(l *lane) {
	for l.waiting > 0 {
		e := s.freeEndpoint(l)
		if e == nil {
			return
		}
		if !s.dispatchNext(s.waitingLanesIncluding(e, l), (*State).routeRequest) {
			return
		}
	}
}

// dispatchToEndpoint starts requests while the endpoint has capacity.
func (s *State) dispatchToEndpoint(e *endpoint) {
	for s.hasCapacity(e) && s.dispatchNext(s.waitingLanesAt(e), (*State).routeRequest) {
		continue
	}
}

// waitingLanesAt returns the lanes with waiting requests that an endpoint
// serves. The order of the lanes is random, but the choice between them does
// not depend on it.
func (s *State) waitingLanesAt(e *endpoint) []*lane {
	lanes := s.requests.laneBuffer[:0]
	if e.Kind == MemberService {
		if l := s.requests.lanes[ModelKey{Service: e.Service}]; l != nil && l.waiting > 0 {
			lanes = append(lanes, l)
		}
	}
	for key := range e.loaded {
		if l := s.requests.lanes[key]; l != nil && l.waiting > 0 && e.serves(key) {
			lanes = append(lanes, l)
		}
	}
	s.requests.laneBuffer = lanes
	return lanes
}

// waitingLanesIncluding returns the waiting lanes at an endpoint and always
// includes lane l.
func (s *State) waitingLanesIncluding(e *endpoint, l *lane) []*lane {
	lanes := s.waitingLanesAt(e)
	if !slices.Contains(lanes, l) {
		lanes = append(lanes, l)
	}
	return lanes
}

// dispatchNext starts the next request of the given lanes at the endpoint that
// the route function chooses. It reports whether a request was started.
func (s *State) dispatchNext(lanes []*lane, route func(*State, *request) *endpoint) bool {
	var buffer [maxSkipped]*request
	skipped := buffer[:0]
	for range maxSkipped {
		service := s.nextService(lanes, skipped)
		if service == nil {
			return false
		}
		heads := s.rankHeadsOf(service, lanes, skipped)
		r := heads[service.nextQueueIndex(&heads)]
		e := route(s, r)
		if e == nil {
			skipped = append(skipped, r)
			continue
		}
		service.recordDispatch(&heads, r.queueIndex)
		s.requests.dispatchCount++
		service.lastServed = s.requests.dispatchCount
		s.dequeueForDispatch(r)
		s.startAttempt(r, e)
		return true
	}
	return false
}

// nextService returns the least recently served of the services with requests
// to dispatch, or nil. Services that share an endpoint thus take turns.
func (s *State) nextService(lanes []*lane, skipped []*request) *serviceState {
	var best *serviceState
	for _, l := range lanes {
		service := l.service
		if best != nil && (service.lastServed > best.lastServed || (service.lastServed == best.lastServed && service.name >= best.name)) {
			continue
		}
		if l.hasDispatchable(s.now, skipped) {
			best = service
		}
	}
	return best
}

func (l *lane) hasDispatchable(now time.Time, skipped []*request) bool {
	for i := range l.queues {
		if l.queues[i].firstRunnable(now, 0, skipped) != nil {
			return true
		}
	}
	return false
}

// rankHeadsOf returns the next request of each rank. It prefers requests that
// are likely to meet their deadline. Requests that are likely to miss it are
// returned only if no rank has any other: a canceled request wastes capacity
// and uses up the floor of its rank.
func (s *State) rankHeadsOf(service *serviceState, lanes []*lane, skipped []*request) rankHeads {
	heads := s.rankHeadsWithTimeLeft(service, lanes, skipped, s.expectedRunTime)
	if heads != (rankHeads{}) {
		return heads
	}
	return s.rankHeadsWithTimeLeft(service, lanes, skipped, func(*lane) time.Duration { return 0 })
}

func (s *State) rankHeadsWithTimeLeft(service *serviceState, lanes []*lane, skipped []*request, minTimeLeft func(*lane) time.Duration) rankHeads {
	var heads rankHeads
	for _, l := range lanes {
		if l.service != service {
			continue
		}
		for i := range l.queues {
			head := l.queues[i].firstRunnable(s.now, minTimeLeft(l), skipped)
			if head != nil && (heads[i] == nil || compareRequests(head, heads[i]) < 0) {
				heads[i] = head
			}
		}
	}
	return heads
}

// nextQueueIndex returns the index of the rank to dispatch next. Each dispatch
// credits every rank that has waiting requests with its floor. A rank whose
// credit reaches one whole dispatch goes first; otherwise the most urgent rank
// goes. Whichever rank exceeds the capacity, a rank with waiting requests thus
// gets at least its floor as a share of the dispatches, and no capacity is kept
// idle for it.
func (service *serviceState) nextQueueIndex(heads *rankHeads) int {
	best := -1
	for i, head := range heads {
		if head == nil {
			continue
		}
		credit := service.credit[i] + service.floor(i)
		if credit >= 1-creditTolerance && (best < 0 || credit > service.credit[best]+service.floor(best)) {
			best = i
		}
	}
	if best >= 0 {
		return best
	}
	return slices.IndexFunc(heads[:], func(r *request) bool { return r != nil })
}

// recordDispatch updates the credits of the ranks for one dispatch from a
// queue.
func (service *serviceState) recordDispatch(heads *rankHeads, queue int) {
	for i, head := range heads {
		if head != nil {
			service.credit[i] += service.floor(i)
		}
	}
	service.credit[queue] = max(0, service.credit[queue]-1)
}

func (service *serviceState) floor(queue int) float64 {
	return service.document.Rank(rpdocument.Ranks[queue]).Floor
}

// dequeueForDispatch removes a request that starts now from its queue and
// updates the dispatch rate of its rank.
func (s *State) dequeueForDispatch(r *request) {
	l := r.lane
	if l.stalled {
		l.stalled = false
		for i := range l.rates {
			l.rates[i].intervalStart = s.now
		}
	}
	if r.queuedAt.Before(s.now) {
		l.rates[r.queueIndex].recordDispatch(s.now)
	}
	s.dequeue(r)
}

func (s *State) scheduleSweep() {
	if s.requests.sweepScheduled {
		return
	}
	s.requests.sweepScheduled = true
	s.runAfter(sweepInterval, (*State).sweepLanes)
}

// sweepLanes dispatches from all lanes with waiting requests and schedules the
// next sweep while any request waits.
func (s *State) sweepLanes() {
	s.requests.sweepScheduled = false
	s.dispatchActiveLanes()
	if len(s.requests.activeLanes) > 0 {
		s.scheduleSweep()
	}
}

// dispatchActiveLanes starts the waiting requests that can start. It renews the
// demand for replicas of the lanes that still have waiting requests.
func (s *State) dispatchActiveLanes() {
	for _, l := range slices.Clone(s.requests.activeLanes) {
		s.dispatchLane(l)
		s.overcommitUrgent(l)
		if l.waiting == 0 {
			continue
		}
		s.demandReplicaFor(l)
		s.refuseUnserved(l)
	}
}

// refuseUnserved refuses the waiting requests of a plain service that has had
// no endpoint for unservedGrace.
func (s *State) refuseUnserved(l *lane) {
	if len(s.laneEndpoints(l)) > 0 {
		l.unservedSince = time.Time{}
		return
	}
	l.stalled = true
	if !l.isPlainService() {
		return
	}
	if l.unservedSince.IsZero() {
		l.unservedSince = s.now
	}
	if s.now.Sub(l.unservedSince) >= unservedGrace {
		refusal := rpverdict.Refuse(rpverdict.CodeNoEndpoint, "The service has no endpoint.")
		refusal.RetryAfter = retryAfterDefault
		s.refuseAllWaiting(l, refusal)
	}
}

// refuseAllWaiting refuses all queued requests of a lane.
func (s *State) refuseAllWaiting(l *lane, refusal rpverdict.Refusal) {
	for i := range l.queues {
		for _, r := range slices.Clone(l.queues[i]) {
			s.refuseRequestWith(r, refusal)
		}
	}
}
