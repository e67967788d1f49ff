package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	// maxFailures is the number of failed attempts after which a request is
	// refused.
	maxFailures = 4
	// maxDeclines is the number of declined attempts after which a request is
	// refused.
	maxDeclines = 16
	// The retry budget of a service is retryShare times its recent requests
	// plus retryConstant. The share keeps retries from amplifying an overload.
	// The constant allows retries at a service with few requests.
	retryShare    = 0.1
	retryConstant = 3.0
	// busyPause is the mean time for which an endpoint gets no requests after
	// it declined one as busy.
	busyPause = 100 * time.Millisecond
)

// retryFailedRequest retries a request after a failed attempt, within the retry
// budget of its service.
func (s *State) retryFailedRequest(r *request) {
	service := r.lane.service
	r.failedAttempts++
	spent := service.recentRetries.Get(s.now, recentWindow)
	budget := retryConstant + retryShare*service.recentRequests.Get(s.now, recentWindow)
	switch {
	case r.failedAttempts >= maxFailures:
		s.refuseRequest(r, r.failureCode(), "Every attempt failed.")
	case spent+1 > budget:
		s.refuseRequest(r, r.failureCode(), "The attempt failed, and the service has used up its retries.")
	default:
		service.recentRetries.Add(s.now, recentWindow, 1)
		s.requeueAfter(r, s.jitter(retryDelay(r.failedAttempts)))
	}
}

// retryDeclinedRequest retries a request that an endpoint declined. This does
// not use the retry budget, since the endpoint did no work.
func (s *State) retryDeclinedRequest(r *request, a *attempt, e *endpoint, ev AttemptEnded) {
	r.declinedAttempts++
	if e != nil && ev.Reason == AttemptBusy {
		e.health.load.busyUntil = s.now.Add(s.jitter(busyPause))
	}
	switch {
	case r.declinedAttempts >= maxDeclines:
		s.refuseRequest(r, r.failureCode(), "Endpoints declined the request too often.")
	case ev.Reason == AttemptBusy || r.declinedAttempts > 1:
		s.requeueAfter(r, s.jitter(retryDelay(r.declinedAttempts)))
	default:
		s.requeueAfter(r, 0)
	}
	switch ev.Reason {
	case AttemptNotLoaded:
		s.requests.deps.markModelNotLoaded(s, a.endpoint, r.key)
	case AttemptLeaving:
		s.requests.deps.markEndpointLeaving(s, a.endpoint, a.incarnation)
	case AttemptRefusedConnection:
		s.requests.deps.markEndpointRefused(s, a.endpoint, a.incarnation)
	default:
	}
}

// requeueAfter queues a request again after a delay. A delay of zero means the
// end of the current event, after the state of the endpoint has been updated.
func (s *State) requeueAfter(r *request, delay time.Duration) {
	r.phase = phaseDelayed
	s.runAfter(delay, func(s *State) {
		if r.phase == phaseDelayed {
			s.requeue(r)
		}
	})
}

// requeue queues an admitted request again. It does not check the queue limit,
// since an admitted request is never dropped.
func (s *State) requeue(r *request) {
	if refusal := s.undeclaredRefusal(r); refusal != nil {
		s.refuseRequestWith(r, *refusal)
		return
	}
	// A document change may have replaced the lane while the request was not
	// queued.
	r.lane = s.laneFor(r.lane.service, r.key)
	if r.relayedTokens > 0 && !s.canResume(r) {
		s.refuseRequest(r, rpverdict.CodeStreamBroken, "The version that the answer began with is not loaded any more.")
		return
	}
	s.enqueue(r)
}

// canResume reports whether a broken stream can be resumed at an endpoint with
// the same model version. It is true if no endpoint serves the lane, since the
// version may still be loaded.
func (s *State) canResume(r *request) bool {
	all := s.laneEndpoints(r.lane)
	if len(all) == 0 {
		return true
	}
	for _, e := range all {
		if r.canResumeAt(e) {
			return true
		}
	}
	return false
}
