package rpcore

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// rankQueue holds the waiting requests of one rank in order of their deadlines.
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

// position returns the index of a request in the queue, or the index at which
// it would be inserted.
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

// firstRunnable returns the first request that is not in skip and whose cutoff
// is at least runTime away, or nil. A runTime of 0 accepts every request that
// may still start.
func (q rankQueue) firstRunnable(now time.Time, runTime time.Duration, skip []*request) *request {
	if runTime > 0 {
		q = q[q.countLate(now, runTime):]
	}
	return q.firstBeforeCutoff(now, skip)
}

// countLate returns the number of requests that would miss their cutoff with
// the given run time.
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

// lane holds the queues of one model, adapter or plain service. Every model has
// its own queues, so that requests whose model is being loaded don't block
// others.
type lane struct {
	key     ModelKey
	service *serviceState
	queues  [rpdocument.RankCount]rankQueue
	rates   [rpdocument.RankCount]dispatchRate
	// waiting is the number of queued requests of all ranks.
	waiting int
	// activeIndex is the index in requestView.activeLanes plus 1, or 0.
	activeIndex int
	// inFlight is the number of attempts of this instance in progress.
	inFlight int
	// stalled is set while no endpoint serves the lane. The time since the last
	// dispatch then says nothing about the dispatch rate.
	stalled bool
	// unservedSince is the time at which waiting requests first found the plain
	// service without endpoints. It is zero while there are endpoints or no
	// requests wait.
	unservedSince time.Time
	byQueueTime   []queueEntry
	// arrivals is a decaying sum over arrivalWindow.
	arrivals    rpreducer.DecayingSum
	lastArrival time.Time
	// lastRank is the rank of the last arrival.
	lastRank rpdocument.Rank
}

// queueEntry is an entry of lane.byQueueTime, which lists requests in the order
// in which they were queued. An entry is stale once its request has left the
// queue.
type queueEntry struct {
	request  *request
	queuedAt time.Time
}

func (e queueEntry) isStale() bool {
	return e.request.phase != phaseQueued || !e.request.queuedAt.Equal(e.queuedAt)
}

// laneFor returns the lane of a key and creates it if necessary.
func (s *State) laneFor(service *serviceState, key ModelKey) *lane {
	if l, ok := s.requests.lanes[key]; ok {
		return l
	}
	l := &lane{key: key, service: service}
	s.requests.lanes[key] = l
	service.lanes = append(service.lanes, l)
	return l
}

// isPlainService reports whether the lane belongs to a plain service and not to
// a model or adapter.
func (l *lane) isPlainService() bool { return l.key.Name == "" }

// arrivalWindow is the time constant of the arrival rate.
const arrivalWindow = time.Hour

func (l *lane) recordArrival(now time.Time, rank rpdocument.Rank) {
	l.arrivals.Add(now, arrivalWindow, 1)
	l.lastArrival = now
	l.lastRank = rank
}

// longestWait returns the time for which the oldest queued request has waited.
func (l *lane) longestWait(now time.Time) time.Duration {
	for len(l.byQueueTime) > 0 && l.byQueueTime[0].isStale() {
		l.byQueueTime = l.byQueueTime[1:]
	}
	if len(l.byQueueTime) == 0 {
		return 0
	}
	return now.Sub(l.byQueueTime[0].queuedAt)
}

// dropStaleEntries drops stale entries before they outnumber the waiting
// requests.
func (l *lane) dropStaleEntries() {
	const slack = 16
	if len(l.byQueueTime) > 2*l.waiting+slack {
		l.byQueueTime = slices.DeleteFunc(l.byQueueTime, queueEntry.isStale)
	}
}

// enqueue queues a request and dispatches the requests that can start. It
// requests a replica if the new request remains queued.
func (s *State) enqueue(r *request) {
	r.phase = phaseQueued
	r.queuedAt = s.now
	l := r.lane
	if len(l.queues[r.queueIndex]) == 0 {
		l.rates[r.queueIndex].startInterval(s.now)
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
		// A rank accumulates credit only while it has waiting requests.
		l.service.credit[r.queueIndex] = 0
	}
	if l.waiting == 0 {
		s.removeActiveLane(l)
	}
}

func (s *State) addActiveLane(l *lane) {
	if l.activeIndex == 0 {
		s.requests.activeLanes = append(s.requests.activeLanes, l)
		l.activeIndex = len(s.requests.activeLanes)
	}
	s.scheduleSweep()
}

func (s *State) removeActiveLane(l *lane) {
	active := s.requests.activeLanes
	last := active[len(active)-1]
	active[l.activeIndex-1] = last
	last.activeIndex = l.activeIndex
	active[len(active)-1] = nil
	s.requests.activeLanes = active[:len(active)-1]
	l.activeIndex = 0
	l.byQueueTime = nil
	l.unservedSince = time.Time{}
}

// demandReplicaFor starts the demand for a replica of a lane's model or
// adapter. Plain services have no replicas.
func (s *State) demandReplicaFor(l *lane) {
	if !l.isPlainService() {
		s.requests.deps.demandReplica(s, l.key)
	}
}

// waitingByRank returns the number of queued requests of each rank.
func (s *State) waitingByRank() [rpdocument.RankCount]int { return s.requests.waiting }
