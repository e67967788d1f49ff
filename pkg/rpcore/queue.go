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

// firstRunnable returns the first request with more than need left, apart from those
// to skip, or nil. A need of 0 finds every request that may still start.
func (q rankQueue) firstRunnable(now time.Time, runTime time.Duration, skip []*request) *request {
	if runTime > 0 {
		q = q[q.countLate(now, runTime):]
	}
	return q.firstBeforeCutoff(now, skip)
}

// countLate returns the number of requests that are likely to end after their
// deadline, since requests take need.
func (q rankQueue) countLate(now time.Time, runTime time.Duration) int {
	if runTime == 0 {
		return 0
	}
	i, _ := slices.BinarySearchFunc(q, now.Add(runTime), func(r *request, at time.Time) int { return r.cutoff.Compare(at) })
	return i
}

func (q rankQueue) firstBeforeCutoff(now time.Time, skip []*request) *request {
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
	rates   [rpdocument.RankCount]dispatchRate
	waiting int
	// activeIndex is the position in requestView.active plus 1.
	activeIndex int
	inFlight    int
	// stalled says that nothing served the lane, so the time since the last
	// dispatch says nothing about the capacity.
	stalled bool
	// unservedSince is the time since which a plain service has no endpoint.
	unservedSince time.Time
	byQueueTime   []queueEntry
	arrivals      rpreducer.DecayingSum
	lastArrival   time.Time
	lastRank      rpdocument.Rank
}

// queueEntry is an entry of a list of requests in the order of queueing. It is
// stale once the request has left the queue.
type queueEntry struct {
	request  *request
	queuedAt time.Time
}

func (e queueEntry) stale() bool {
	return e.request.phase != phaseQueued || !e.request.queuedAt.Equal(e.queuedAt)
}

// laneFor returns the lane of a key and makes it where there is none.
func (s *State) laneFor(service *serviceState, key ModelKey) *lane {
	if l, ok := s.requests.lanes[key]; ok {
		return l
	}
	l := &lane{key: key, service: service}
	s.requests.lanes[key] = l
	service.lanes = append(service.lanes, l)
	return l
}

// isPlainService reports whether the lane is that of a plain service.
func (l *lane) isPlainService() bool { return l.key.Name == "" }

// arrivalWindow is the time constant of the arrival rate.
const arrivalWindow = time.Hour

func (l *lane) recordArrival(now time.Time, rank rpdocument.Rank) {
	l.arrivals.Add(now, arrivalWindow, 1)
	l.lastArrival = now
	l.lastRank = rank
}

// longestWait returns the longest time that a request has waited.
func (l *lane) longestWait(now time.Time) time.Duration {
	for len(l.byQueueTime) > 0 && l.byQueueTime[0].stale() {
		l.byQueueTime = l.byQueueTime[1:]
	}
	if len(l.byQueueTime) == 0 {
		return 0
	}
	return now.Sub(l.byQueueTime[0].queuedAt)
}

// dropStaleEntries drops stale entries before they outnumber the waiting requests.
func (l *lane) dropStaleEntries() {
	const slack = 16
	if len(l.byQueueTime) > 2*l.waiting+slack {
		l.byQueueTime = slices.DeleteFunc(l.byQueueTime, queueEntry.stale)
	}
}

// enqueue makes a request wait and dispatches what can start. It asks for a
// replica when the request has to wait.
func (s *State) enqueue(r *request) {
	r.phase = phaseQueued
	r.queuedAt = s.now
	l := r.lane
	if len(l.queues[r.queueIndex]) == 0 {
		l.rates[r.queueIndex].start(s.now)
	}
	l.queues[r.queueIndex].insert(r)
	l.waiting++
	l.service.waiting[r.queueIndex]++
	s.requests.waiting[r.rank.Index()]++
	l.byQueueTime = append(l.byQueueTime, queueEntry{request: r, queuedAt: s.now})
	l.dropStaleEntries()
	s.addActiveLane(l)
	s.dispatchLane(l)
	s.overcommitUrgent(l)
	if r.phase == phaseQueued {
		s.demandReplicaFor(l)
	}
}

func (s *State) dequeue(r *request) {
	l := r.lane
	l.queues[r.queueIndex].remove(r)
	l.waiting--
	l.service.waiting[r.queueIndex]--
	s.requests.waiting[r.rank.Index()]--
	if l.service.waiting[r.queueIndex] == 0 {
		// A rank without waiting work saves up no share.
		l.service.credit[r.queueIndex] = 0
	}
	if l.waiting == 0 {
		s.removeActiveLane(l)
	}
}

func (s *State) addActiveLane(l *lane) {
	if l.activeIndex == 0 {
		s.requests.active = append(s.requests.active, l)
		l.activeIndex = len(s.requests.active)
	}
	s.scheduleSweep()
}

func (s *State) removeActiveLane(l *lane) {
	active := s.requests.active
	last := active[len(active)-1]
	active[l.activeIndex-1] = last
	last.activeIndex = l.activeIndex
	active[len(active)-1] = nil
	s.requests.active = active[:len(active)-1]
	l.activeIndex = 0
	l.byQueueTime = nil
	l.unservedSince = time.Time{}
}

// demandReplicaFor asks for a replica that the waiting requests of a lane need.
func (s *State) demandReplicaFor(l *lane) {
	if !l.isPlainService() {
		s.requests.deps.demandReplica(s, l.key)
	}
}

// waitingByRank counts the queued requests by rank.
func (s *State) waitingByRank() [rpdocument.RankCount]int { return s.requests.waiting }
