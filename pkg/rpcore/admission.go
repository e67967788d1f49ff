package rpcore

import (
	"fmt"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// defaultQueueLimit applies where the document sets no limit.
const defaultQueueLimit = 1000

// maxRetryAfter bounds Retry-After, since predictions far ahead are wrong.
const maxRetryAfter = time.Minute

// admitRequest refuses a request that finds its queue full or would wait past its
// deadline. A request that can start at once is never refused.
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
	// The replica is asked for even so, or a model whose cold start exceeds
	// every deadline would never be loaded.
	s.demandReplicaFor(r.lane)
	late := newRefusal(rpverdict.CodeDeadlineUnreachable,
		fmt.Sprintf("The predicted wait is %s.", wait.Round(time.Millisecond)))
	late.RetryAfter = min(max(wait-r.cutoff.Sub(s.now), retryAfterDefault), maxRetryAfter)
	return late
}

// runTimeFactor covers requests that take longer than the mean.
const runTimeFactor = 2

// expectedRunTime returns the time that most requests of a lane need at an endpoint. A
// request that starts with less time left is likely to be cancelled.
func (s *State) expectedRunTime(l *lane) time.Duration {
	if s.policy.FirstInFirstOut {
		return 0
	}
	return runTimeFactor * time.Duration(l.service.duration)
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

// predictedWait returns the time until a request that is not queued yet would
// start, and whether there is a prediction.
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

// estimatedInterval estimates the time between two dispatches of a lane that has not
// been observed under load, from the time that the service's requests take.
func (s *State) estimatedInterval(l *lane, endpoints int) time.Duration {
	slots := s.limits.EngineConcurrency * max(1, endpoints)
	return runTimeFactor * time.Duration(l.service.duration) / time.Duration(slots)
}

func (l *lane) countMoreUrgent(queue int) int {
	n := 0
	for i := range queue {
		n += len(l.queues[i])
	}
	return n
}

// dispatchRate measures how fast a lane dispatches the requests of a rank while some
// of them wait. It keeps a decaying sum of time and dispatches, since a mean
// of single gaps is useless where engines finish several requests at once.
type dispatchRate struct {
	dispatches float64
	elapsed    time.Duration
	// intervalStart is the time of the last dispatch, or the one at which the queue
	// began to wait.
	intervalStart time.Time
}

func (d *dispatchRate) start(now time.Time) { d.intervalStart = now }

func (d *dispatchRate) recordDispatch(now time.Time) {
	gap := now.Sub(d.intervalStart)
	kept := rpreducer.Decay(gap, recentWindow)
	d.dispatches = d.dispatches*kept + 1
	d.elapsed = time.Duration(float64(d.elapsed)*kept) + gap
	d.intervalStart = now
}

// minRateSamples is the number of dispatches from which a pace is used.
const minRateSamples = 4

func (d *dispatchRate) meanInterval() (time.Duration, bool) {
	if d.dispatches < minRateSamples || d.elapsed == 0 {
		return 0, false
	}
	return time.Duration(float64(d.elapsed) / d.dispatches), true
}
