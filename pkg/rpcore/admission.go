package rpcore

import (
	"fmt"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// defaultQueueLimit is the queue limit of a rank if the document sets none.
const defaultQueueLimit = 1000

// maxRetryAfter bounds Retry-After, since longer predictions are unreliable.
const maxRetryAfter = time.Minute

// admitRequest returns a refusal if the queue of the request is full or if the
// request is predicted to miss its deadline. A request that can start at once
// is always admitted.
func (s *State) admitRequest(r *request) *rpverdict.Refusal {
	if r.lane.waiting == 0 && s.canRoute(r) {
		return nil
	}
	if r.lane.service.waiting[r.queueIndex] >= s.queueLimitFor(r) {
		full := newRefusal(rpverdict.CodeQueueFull, fmt.Sprintf("The queue of rank %s is full.", r.rank))
		full.RetryAfter = retryAfterDefault
		return full
	}
	wait, ok := s.predictedWait(r)
	if !ok || !s.now.Add(wait+s.expectedRunTime(r.lane)).After(r.cutoff) {
		return nil
	}
	// Request a replica although the request is refused. Otherwise a model
	// whose cold start takes longer than every deadline would never be loaded.
	s.demandReplicaFor(r.lane)
	late := newRefusal(rpverdict.CodeDeadlineUnreachable,
		fmt.Sprintf("The predicted wait is %s.", wait.Round(time.Millisecond)))
	late.RetryAfter = min(max(wait-r.cutoff.Sub(s.now), retryAfterDefault), maxRetryAfter)
	return late
}

// runTimeFactor is the factor on the mean run time that covers most requests.
const runTimeFactor = 2

// expectedRunTime returns the time within which an endpoint completes most
// requests of a lane. A request with less time left is likely to be canceled.
func (s *State) expectedRunTime(l *lane) time.Duration {
	if s.policy.FirstInFirstOut {
		return 0
	}
	return runTimeFactor * time.Duration(l.service.meanRunTime)
}

func (s *State) queueLimitFor(r *request) int {
	document := r.lane.service.document
	if !s.policy.FirstInFirstOut {
		return rankQueueLimit(document.Rank(r.rank))
	}
	sum := 0
	for _, rank := range rpdocument.Ranks {
		sum += rankQueueLimit(document.Rank(rank))
	}
	return sum
}

func rankQueueLimit(policy *rpdocument.RankPolicy) int {
	if policy.QueueLimit <= 0 {
		return defaultQueueLimit
	}
	return policy.QueueLimit
}

// predictedWait returns the predicted queueing time of a request that is not
// yet queued, and whether a prediction is possible.
func (s *State) predictedWait(r *request) (time.Duration, bool) {
	l := r.lane
	endpoints := len(s.laneEndpoints(l))
	var wait time.Duration
	if endpoints == 0 {
		if l.isPlainService() {
			return 0, false
		}
		expected, ok := s.requests.deps.expectedReplicaWait(s, l.key)
		if !ok {
			return 0, false
		}
		wait = expected
	}
	queue := l.queues[r.queueIndex]
	ahead := queue.position(r) - queue.countLate(s.now, s.expectedRunTime(l))
	if ahead <= 0 {
		return wait, true
	}
	rate := &l.rates[r.queueIndex]
	if interval, ok := rate.meanInterval(); ok {
		wait += time.Duration(ahead) * interval
		if endpoints > 0 && !l.stalled {
			wait += max(0, s.now.Sub(rate.intervalStart)-interval)
		}
		return wait, true
	}
	return wait + s.estimatedInterval(l, endpoints)*time.Duration(ahead+l.countMoreUrgent(r.queueIndex)), true
}

// estimatedInterval returns the expected time between two dispatches of a lane
// whose dispatch rate is not known yet. It is derived from the mean run time of
// the service's requests.
func (s *State) estimatedInterval(l *lane, endpoints int) time.Duration {
	slots := s.limits.EngineConcurrency * max(1, endpoints)
	return runTimeFactor * time.Duration(l.service.meanRunTime) / time.Duration(slots)
}

func (l *lane) countMoreUrgent(queue int) int {
	n := 0
	for i := range queue {
		n += len(l.queues[i])
	}
	return n
}

// dispatchRate measures how fast a lane dispatches the requests of a rank while
// some of them wait. It keeps decaying sums of time and of dispatches. A mean
// of single intervals would be misleading, since engines often finish several
// requests at once.
type dispatchRate struct {
	dispatches float64
	elapsed    time.Duration
	// intervalStart is the latest of: the last dispatch, the arrival of a
	// request in the empty queue, and the end of a stall of the lane.
	intervalStart time.Time
}

// startInterval starts an interval without a dispatch, when a request arrives
// in the empty queue.
func (d *dispatchRate) startInterval(now time.Time) { d.intervalStart = now }

func (d *dispatchRate) recordDispatch(now time.Time) {
	gap := now.Sub(d.intervalStart)
	kept := rpreducer.Decay(gap, recentWindow)
	d.dispatches = d.dispatches*kept + 1
	d.elapsed = time.Duration(float64(d.elapsed)*kept) + gap
	d.intervalStart = now
}

// minRateSamples is the number of dispatches below which the rate is not used.
const minRateSamples = 4

func (d *dispatchRate) meanInterval() (time.Duration, bool) {
	if d.dispatches < minRateSamples || d.elapsed == 0 {
		return 0, false
	}
	return time.Duration(float64(d.elapsed) / d.dispatches), true
}
