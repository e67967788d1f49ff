package rpcore

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// rankQueue holds waiting requests, the earliest deadline first.
type rankQueue []*request

func compareRequests(a, b *request) int {
	if c := a.dueAt.Compare(b.dueAt); c != 0 {
		return c
	}
	if a.sequence < b.sequence {
		return -1
	}
	if a.sequence > b.sequence {
		return 1
	}
	return 0
}

// position returns the number of requests ahead of a request.
func (q rankQueue) position(r *request) int {
	i, _ := slices.BinarySearchFunc(q, r, compareRequests)
	return i
}

func (q *rankQueue) insert(r *request) {
	*q = slices.Insert(*q, q.position(r), r)
}

func (q *rankQueue) remove(r *request) {
	i := q.position(r)
	*q = slices.Delete(*q, i, i+1)
}

// first returns the first request with more than need left, apart from those
// to skip, or nil. A need of 0 finds every request that may still start.
func (q rankQueue) first(now time.Time, need time.Duration, skip []*request) *request {
	if need > 0 {
		q = q[q.late(now, need):]
	}
	return q.firstOpen(now, skip)
}

// late returns the number of requests that are likely to end after their
// deadline, since requests take need.
func (q rankQueue) late(now time.Time, need time.Duration) int {
	if need == 0 {
		return 0
	}
	i, _ := slices.BinarySearchFunc(q, now.Add(need), func(r *request, at time.Time) int { return r.cutoff.Compare(at) })
	return i
}

func (q rankQueue) firstOpen(now time.Time, skip []*request) *request {
	for _, r := range q {
		if r.cutoff.After(now) && !slices.Contains(skip, r) {
			return r
		}
	}
	return nil
}

// lane holds the requests for one model, adapter or plain service. Each has
// its own queues, so that requests whose model is being loaded don't stand in
// the way of others.
type lane struct {
	key     ModelKey
	service *serviceState
	queues  [rpdocument.RankCount]rankQueue
	paces   [rpdocument.RankCount]pace
	waiting int
	// activeIndex is the position in requestView.active plus 1.
	activeIndex int
	inFlight    int
	// stalled says that nothing served the lane, so the time since the last
	// dispatch says nothing about the capacity.
	stalled bool
	// unserved is the time since which a plain service has no endpoint.
	unserved    time.Time
	ages        []ageEntry
	arrivals    rpreducer.DecayingSum
	lastArrival time.Time
	lastRank    rpdocument.Rank
}

// ageEntry is an entry of a list of requests in the order of queueing. It is
// stale once the request has left the queue.
type ageEntry struct {
	request  *request
	queuedAt time.Time
}

func (e ageEntry) stale() bool {
	return e.request.phase != phaseQueued || !e.request.queuedAt.Equal(e.queuedAt)
}

// laneOf returns the lane of a key and makes it where there is none.
func (s *State) laneOf(service *serviceState, key ModelKey) *lane {
	if l, ok := s.requests.lanes[key]; ok {
		return l
	}
	l := &lane{key: key, service: service}
	s.requests.lanes[key] = l
	service.lanes = append(service.lanes, l)
	return l
}

// plain reports whether the lane is that of a plain service.
func (l *lane) plain() bool { return l.key.Name == "" }

// arrivalWindow is the time constant of the arrival rate.
const arrivalWindow = time.Hour

func (l *lane) arrived(now time.Time, rank rpdocument.Rank) {
	l.arrivals.Add(now, arrivalWindow, 1)
	l.lastArrival = now
	l.lastRank = rank
}

// oldest returns the longest time that a request has waited.
func (l *lane) oldest(now time.Time) time.Duration {
	for len(l.ages) > 0 && l.ages[0].stale() {
		l.ages = l.ages[1:]
	}
	if len(l.ages) == 0 {
		return 0
	}
	return now.Sub(l.ages[0].queuedAt)
}

// compactAges drops stale entries before they outnumber the waiting requests.
func (l *lane) compactAges() {
	const slack = 16
	if len(l.ages) > 2*l.waiting+slack {
		l.ages = slices.DeleteFunc(l.ages, ageEntry.stale)
	}
}

// enqueue makes a request wait and dispatches what can start. It asks for a
// replica when the request has to wait.
func (s *State) enqueue(r *request) {
	r.phase = phaseQueued
	r.queuedAt = s.now
	l := r.lane
	if len(l.queues[r.queue]) == 0 {
		l.paces[r.queue].begin(s.now)
	}
	l.queues[r.queue].insert(r)
	l.waiting++
	l.service.waiting[r.queue]++
	s.requests.waiting[r.rank.Index()]++
	l.ages = append(l.ages, ageEntry{request: r, queuedAt: s.now})
	l.compactAges()
	s.activate(l)
	s.dispatchLane(l)
	s.dispatchAhead(l)
	if r.phase == phaseQueued {
		s.demand(l)
	}
}

func (s *State) dequeue(r *request) {
	l := r.lane
	l.queues[r.queue].remove(r)
	l.waiting--
	l.service.waiting[r.queue]--
	s.requests.waiting[r.rank.Index()]--
	if l.service.waiting[r.queue] == 0 {
		// A rank without waiting work saves up no share.
		l.service.credit[r.queue] = 0
	}
	if l.waiting == 0 {
		s.deactivate(l)
	}
}

func (s *State) activate(l *lane) {
	if l.activeIndex == 0 {
		s.requests.active = append(s.requests.active, l)
		l.activeIndex = len(s.requests.active)
	}
	s.setSweep()
}

func (s *State) deactivate(l *lane) {
	active := s.requests.active
	last := active[len(active)-1]
	active[l.activeIndex-1] = last
	last.activeIndex = l.activeIndex
	active[len(active)-1] = nil
	s.requests.active = active[:len(active)-1]
	l.activeIndex = 0
	l.ages = nil
	l.unserved = time.Time{}
}

// demand asks for a replica that the waiting requests of a lane need.
func (s *State) demand(l *lane) {
	if !l.plain() {
		s.requests.deps.demandReplica(s, l.key)
	}
}

// waitingByRank counts the queued requests by rank.
func (s *State) waitingByRank() [rpdocument.RankCount]int { return s.requests.waiting }
