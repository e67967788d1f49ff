package rpfleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpestimate"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpqueue"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseDone
)

// request is a caller's request from its arrival to its end.
type request struct {
	Request
	accountState
	route   *Route
	service string
	// engineSpec describes the engines of the service; nil if the request names
	// no model or the service is a plain one.
	engineSpec *EngineSpec
	phase      phase
	// queued is the request's place in the order of its service.
	queued    rpqueue.Entry
	arrivedAt time.Time
	// responseDeadline is when the caller must have the complete response.
	// firstByteDeadline is when the caller stops waiting for the first byte.
	responseDeadline  time.Time
	firstByteDeadline time.Time
	// excludedEndpoints holds the endpoints that must not get the request
	// again.
	excludedEndpoints map[rpcore.EndpointID]bool
	// possibleRuns counts the endpoints that may have run the request, and
	// attemptCount all attempts.
	possibleRuns int
	attemptCount int
	attemptID    rpcore.AttemptID
	// pendingPrefill is the number of prompt tokens that the running attempt
	// adds to its endpoint until the first event arrives.
	pendingPrefill int
	endpoint       *endpoint
	sentAt         time.Time
	// sentLoad is the load that the running attempt met at its engine.
	sentLoad rpestimate.Load
	// responseStarted says that a part of the response reached the caller.
	responseStarted bool
	firstByteAt     time.Time
	// retryReserved says that the end of the running attempt was already counted
	// in the retry budget. stayNoted says that the log says why the attempt stays
	// at its silent endpoint.
	retryReserved bool
	stayNoted     bool
	// silenceRecorded says that the silence of the running attempt was recorded as a
	// failure of its endpoint.
	silenceRecorded bool
	// sentToBusy says that the engine of the running attempt was busy when it got the
	// request.
	sentToBusy bool
	// leftSilent says that the request left a silent endpoint, and awaitsBudget
	// that it waits until the retry budget allows another attempt.
	leftSilent, awaitsBudget bool
	// lastEvent is the id of the last event that the caller has, and
	// weightsVersion the version that a resumed stream needs.
	lastEvent      string
	weightsVersion string
	// failedConnects counts the attempts that got no connection.
	failedConnects int
	// retryNotBefore is the end of the delay after an endpoint did not take the
	// request.
	retryNotBefore time.Time
	// lastFailure is the reason of the last failed attempt, for the log.
	lastFailure string
}

func (r *request) weights() string { return weightsName(r.Model, r.Adapter) }

const (
	// startupRetryAfter is the Retry-After while the configuration or the
	// endpoints are not known yet. It is about the time of a start.
	startupRetryAfter = 500 * time.Millisecond
	// noEndpointRetryAfter is the Retry-After of a service without endpoints.
	// The list is read more often than that.
	noEndpointRetryAfter = time.Second
	// busyRetryAfter is the minimum Retry-After of a service whose endpoints
	// are busy.
	busyRetryAfter = 300 * time.Millisecond
	// responseMargin is the time that a response needs to reach the caller.
	responseMargin = 30 * time.Millisecond
)

// The users' clients give up on a stream without an event after two seconds,
// four times the target or eight times the longest pause, whichever is longest.
// The instance refuses the request firstByteTimeoutMargin earlier.
const (
	minFirstByteTimeout    = 2 * time.Second
	firstByteTargetFactor  = 4
	firstByteGapFactor     = 8
	firstByteTimeoutMargin = 200 * time.Millisecond
)

func (r *Route) firstByteTimeout() time.Duration {
	return max(minFirstByteTimeout, firstByteTargetFactor*r.Target, firstByteGapFactor*r.EventGap) - firstByteTimeoutMargin
}

func (s *State) handleRequestArrived(arrived Request) {
	r := &request{Request: arrived, arrivedAt: s.now, excludedEndpoints: map[rpcore.EndpointID]bool{}, lastEvent: arrived.ResumeAfter}
	refusal := s.resolveRoute(r)
	if refusal == nil {
		refusal = s.chargeQuota(r)
	}
	if refusal != nil {
		s.noteArrivalRefused(r, refusal)
		s.emit(RefuseRequest{Request: r.ID, Refusal: *refusal})
		return
	}
	s.requests[r.ID] = r
	s.countBudgetRequest(r.service)
	s.recordModelArrival(r)
	s.runAt(r.responseDeadline.Add(-responseMargin), func(s *State) { s.refuseIfExpired(r) })
	if r.firstByteDeadline.Before(r.responseDeadline) {
		s.runAt(r.firstByteDeadline.Add(-responseMargin), func(s *State) { s.refuseIfExpired(r) })
	}
	s.enqueue(r)
	s.dispatch(r)
}

// resolveRoute sets the route, the service and the deadlines of a request, or
// returns why it can't be served.
func (s *State) resolveRoute(r *request) *rpverdict.Refusal {
	if s.config == nil || !s.endpointsKnown {
		return newRefusal(rpverdict.CodeNoDocument, "This instance has not read the configuration yet.", startupRetryAfter)
	}
	r.route = s.config.Route(r.Host, r.Path)
	if r.route == nil {
		return newRefusal(rpverdict.CodeUnknownRoute, "No route matches the host and path.", 0)
	}
	if refusal := s.admitKey(r); refusal != nil {
		return refusal
	}
	r.service = r.route.service(r.ID)
	service := s.config.Services[r.service]
	if service == nil {
		return newRefusal(rpverdict.CodeNoEndpoint, "The configuration has no service for the route.", noEndpointRetryAfter)
	}
	if r.Model != "" {
		r.engineSpec = service.Engine
	}
	if r.engineSpec != nil {
		if _, ok := r.engineSpec.Models[r.Model]; !ok {
			return newRefusal(rpverdict.CodeUnknownModel, "The configuration does not have the model.", 0)
		}
	}
	r.responseDeadline = s.now.Add(r.route.Timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(r.responseDeadline) {
		r.responseDeadline = r.Deadline
	}
	r.firstByteDeadline = r.responseDeadline
	if until := s.now.Add(r.route.firstByteTimeout()); r.route.Kind == KindStream && until.Before(r.responseDeadline) {
		r.firstByteDeadline = until
	}
	return nil
}

func newRefusal(code rpverdict.Code, detail string, retryAfter time.Duration) *rpverdict.Refusal {
	refusal := rpverdict.Refuse(code, detail)
	refusal.RetryAfter = retryAfter
	return &refusal
}

// enqueue inserts a request by the order of its service.
func (s *State) enqueue(r *request) {
	r.phase = phaseWaiting
	s.queueRequest(r)
	s.queues[r.service] = append(s.queues[r.service], r)
	s.sortQueue(r.service)
}

func (s *State) dequeue(r *request) {
	queue := s.queues[r.service]
	if at := slices.Index(queue, r); at >= 0 {
		s.queues[r.service] = slices.Delete(queue, at, at+1)
	}
}

// dispatchAll tries to start all waiting requests.
func (s *State) dispatchAll() {
	for _, service := range sortedKeys(s.queues) {
		s.dispatchService(service)
	}
}

// dispatchService tries to start the waiting requests of a service in queue
// order.
func (s *State) dispatchService(service string) {
	s.sortQueue(service)
	for _, r := range slices.Clone(s.queues[service]) {
		if r.phase == phaseWaiting {
			s.dispatch(r)
		}
	}
}

// dispatch starts a waiting request, refuses it if it can't be served in time,
// or else leaves it in the queue.
func (s *State) dispatch(r *request) {
	if refusal := s.quarantineRefusal(r); refusal != nil {
		s.refuseRequest(r, refusal)
		return
	}
	if s.now.Before(r.retryNotBefore) || s.drainTimeoutPassed {
		return
	}
	if r.awaitsBudget && !s.retryBudgetAllows(r.service) {
		s.delayRetry(r, maxBusyRetryDelay)
		return
	}
	if e := s.chooseEndpoint(r); e != nil {
		s.startAttempt(r, e)
		return
	}
	if s.allExcluded(r) {
		// Nothing else would start the request before its deadline.
		clear(r.excludedEndpoints)
		s.delayRetry(r, s.retryDelay(r))
		return
	}
	if refusal := s.unservableRefusal(r); refusal != nil {
		if r.possibleRuns > 0 {
			// The code of the refusal would promise that the request has not run.
			refusal.Code, refusal.Verdict = s.brokenCode(r), rpverdict.MayHaveRun
		}
		s.refuseRequest(r, refusal)
		return
	}
	if r.engineSpec != nil {
		s.reportNeed()
	}
}

// unservableRefusal returns a refusal if, as far as is known, the request can't
// be answered in time, and nil otherwise.
func (s *State) unservableRefusal(r *request) *rpverdict.Refusal {
	usable, capable := 0, 0
	var heldOffUntil time.Time
	for _, e := range s.endpointsOf(r.service) {
		if e.Leaving {
			continue
		}
		usable++
		if r.engineSpec != nil && (!e.modelReady(r.Model, s.now) || !e.adapterReady(r.Model, r.Adapter, s.now) || e.health.isEjected(s.now)) {
			continue
		}
		if !e.isHeldOff(s.now) {
			capable++
		} else if !r.excludedEndpoints[e.ID] && (heldOffUntil.IsZero() || e.heldOffUntil.Before(heldOffUntil)) {
			heldOffUntil = e.heldOffUntil
		}
	}
	if usable == 0 {
		return newRefusal(rpverdict.CodeNoEndpoint, "The service has no endpoint.", noEndpointRetryAfter)
	}
	if capable > 0 {
		return s.overloadRefusal(r)
	}
	if !heldOffUntil.IsZero() {
		return s.heldOffRefusal(r, heldOffUntil)
	}
	readyAt, ok := s.expectedReadyAt(r)
	if ok && readyAt.After(r.waitDeadline()) {
		return newRefusal(rpverdict.CodeDeadlineUnreachable, "The model is not loaded before the deadline.", readyAt.Sub(s.now))
	}
	return nil
}

// overloadRefusal returns a refusal if the requests ahead in the queue take
// longer than the request may wait, given the rate at which attempts of the
// service end.
func (s *State) overloadRefusal(r *request) *rpverdict.Refusal {
	ahead := 0
	for _, other := range s.queues[r.service] {
		if other == r {
			break
		}
		ahead++
	}
	if len(r.excludedEndpoints) > 0 && ahead == 0 {
		return nil
	}
	rate := s.serviceStats(r.service).attemptEnds.perSecond(s.now)
	if rate <= 0 {
		return nil
	}
	wait := time.Duration(float64(ahead+1) / rate * float64(time.Second))
	if !s.now.Add(wait).After(r.waitDeadline()) {
		return nil
	}
	return newRefusal(rpverdict.CodeDeadlineUnreachable, fmt.Sprintf("%d requests are ahead in the queue.", ahead),
		max(busyRetryAfter, wait-r.waitDeadline().Sub(s.now)))
}

// refuseIfExpired refuses a request that is still in the queue when its time is
// up. A running request is ended by the deadline of its attempt.
func (s *State) refuseIfExpired(r *request) {
	if r.phase != phaseWaiting || !s.hasExpired(r) {
		return
	}
	s.refuseRequest(r, s.unansweredRefusal(r, rpverdict.CodeDeadlineExceeded, timeoutDetail))
}

// timeoutDetail is the detail of the refusal of a request whose time is up.
const timeoutDetail = "The deadline or the caller's time limit for the first event has passed."

// waitDeadline returns how long the caller waits for the next part of the response:
// firstByteDeadline applies only until the response has started.
func (r *request) waitDeadline() time.Time {
	if r.responseStarted {
		return r.responseDeadline
	}
	return r.firstByteDeadline
}

// hasExpired reports whether the caller of a waiting request would be gone
// before another attempt could get a response.
func (s *State) hasExpired(r *request) bool {
	return !s.now.Add(responseMargin).Before(r.waitDeadline())
}

// unansweredRefusal returns the refusal of a request that got no complete
// response. If the request did not run, the refusal says when to retry.
func (s *State) unansweredRefusal(r *request, code rpverdict.Code, detail string) *rpverdict.Refusal {
	if r.possibleRuns > 0 {
		refusal := newRefusal(code, detail, 0)
		refusal.Verdict = rpverdict.MayHaveRun
		return refusal
	}
	refusal := newRefusal(rpverdict.CodeNoEndpoint, detail, busyRetryAfter)
	if readyAt, ok := s.expectedReadyAt(r); ok && r.engineSpec != nil && readyAt.After(s.now) {
		refusal.RetryAfter = max(busyRetryAfter, readyAt.Sub(s.now))
	}
	return refusal
}

func (s *State) refuseRequest(r *request, refusal *rpverdict.Refusal) {
	s.noteRequest(r, "refused a request", Field{"refusal", string(refusal.Code)}, Field{"verdict", refusal.Verdict.String()},
		Field{"detail", refusal.Detail}, Field{"account", r.account}, Field{"route", r.route.Name}, Field{"service", r.service}, Field{"model", r.Model},
		Field{"adapter", r.Adapter}, Field{"waited", s.now.Sub(r.arrivedAt)}, Field{"attempts", r.attemptCount},
		Field{"last_failure", r.lastFailure}, Field{"retry_after", refusal.RetryAfter},
		Field{"config_version", s.configVersion()}, Field{"placement_age", s.now.Sub(s.demand.placementAsOf)})
	if refusal.Code != rpverdict.CodePromptQuarantined {
		s.keepDemandForRetry(r, refusal.RetryAfter)
	}
	s.refundUnlessRun(r, false)
	s.finishRequest(r)
	s.emit(RefuseRequest{Request: r.ID, Refusal: *refusal})
}

func (s *State) finishRequest(r *request) {
	if r.phase == phaseWaiting {
		s.dequeue(r)
	}
	r.phase = phaseDone
	delete(s.requests, r.ID)
}

func (s *State) handleRequestAbandoned(ev RequestAbandoned) {
	r := s.requests[ev.Request]
	if r == nil {
		return
	}
	s.noteRequest(r, "the caller closed the connection", Field{"route", r.route.Name}, Field{"after", s.now.Sub(r.arrivedAt)},
		Field{"attempts", r.attemptCount}, Field{"answer_started", r.responseStarted})
	s.refundUnlessRun(r, ev.NotRun)
	if r.phase == phaseRunning {
		s.emit(CancelAttempt{Request: r.ID, Attempt: r.attemptID})
		s.releaseAttempt(r)
	}
	s.finishRequest(r)
}

// dispatchAndSchedulePlan starts waiting requests and plans again after a change of the
// endpoints.
func (s *State) dispatchAndSchedulePlan() {
	s.dispatchAll()
	s.schedulePlan()
}
