package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	// maxFailures bounds the failed attempts of one request.
	maxFailures = 4
	// maxDeclines bounds the attempts of one request that endpoints declined.
	maxDeclines = 16
	// retryShare and retryConstant are the retry budget of a service: a part
	// of its recent requests and a constant, so that retries neither multiply
	// an overload nor stop at a service with few requests.
	retryShare    = 0.1
	retryConstant = 3.0
	// busyPause is the time for which a busy endpoint gets no request.
	busyPause = 100 * time.Millisecond
)

// retryFailedRequest repeats a failed request within the budget of its service.
func (s *State) retryFailedRequest(r *request) {
	service := r.lane.service
	r.failedAttempts++
	spent := service.retries.Get(s.now, recentWindow)
	budget := retryConstant + retryShare*service.recent.Get(s.now, recentWindow)
	switch {
	case r.failedAttempts >= maxFailures:
		s.refuseRequest(r, r.failureCode(), "Every attempt failed.")
	case spent+1 > budget:
		s.refuseRequest(r, r.failureCode(), "The attempt failed, and the service has used up its retries.")
	default:
		service.retries.Add(s.now, recentWindow, 1)
		s.requeueAfter(r, s.jitter(retryDelay(r.failedAttempts)))
	}
}

// retryDeclinedRequest sends a request that did not start elsewhere. It costs no
// retry budget, since the endpoint did no work.
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
		s.requests.deps.endpointNotLoaded(s, a.endpoint, r.key)
	case AttemptLeaving:
		s.requests.deps.endpointLeaving(s, a.endpoint, a.incarnation)
	case AttemptRefusedConnection:
		s.requests.deps.endpointRefused(s, a.endpoint, a.incarnation)
	default:
	}
}

// requeueAfter queues a request again after a delay. A delay of zero means the
// end of this event, when the endpoint's refusal has been taken in.
func (s *State) requeueAfter(r *request, delay time.Duration) {
	r.phase = phaseDelayed
	s.runAfter(delay, func(s *State) {
		if r.phase == phaseDelayed {
			s.requeue(r)
		}
	})
}

// requeue queues an admitted request. The queue limit does not apply again,
// since an admitted request is never dropped.
func (s *State) requeue(r *request) {
	if refusal := s.stillDeclared(r); refusal != nil {
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

// canResume reports whether a broken stream can go on: at an endpoint with
// the same version, or at one that is still to be loaded.
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
