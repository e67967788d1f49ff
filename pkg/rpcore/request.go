package rpcore

import (
	"fmt"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	// maxTimeout caps the timeouts of callers and documents, so that the state
	// of every request is freed eventually.
	maxTimeout = 24 * time.Hour
	// defaultTimeout applies if neither the caller nor the document sets a
	// timeout.
	defaultTimeout = time.Minute
	// deadlineMargin is reserved before the deadline so that a refusal still
	// reaches the caller in time.
	deadlineMargin = 20 * time.Millisecond
	// retryAfterDefault is the Retry-After value if a retry may help but the
	// time of recovery is unknown.
	retryAfterDefault = time.Second
)

// requestView holds the requests that callers sent to this instance, their
// attempts and their queues.
type requestView struct {
	// started is false until the Start event has been handled.
	started  bool
	deps     requestDeps
	byID     map[RequestID]*request
	attempts map[AttemptID]*attempt
	services map[string]*serviceState
	lanes    map[ModelKey]*lane
	// activeLanes lists the lanes with waiting requests.
	activeLanes []*lane
	// waiting is the number of queued requests of each rank.
	waiting        [rpdocument.RankCount]int
	sweepScheduled bool
	// sequence is the sequence number of the last request whose target was
	// found.
	sequence uint64
	// dispatchCount orders the services by their last dispatch.
	dispatchCount uint64
	// attemptPrefix and attemptCount make the attempt ids unique, also across
	// instances and incarnations.
	attemptPrefix string
	attemptCount  uint64
	// refusals is the number of refusals by code since the start.
	refusals map[rpverdict.Code]uint64
	ready    bool
	drained  bool
	// laneBuffer and routeBuffer are reused to avoid allocations.
	laneBuffer  []*lane
	routeBuffer routeBuffer
}

// requestPhase is the state of a request between its arrival and its end.
type requestPhase int

const (
	// phaseClaiming: the write of the claim is in progress.
	phaseClaiming requestPhase = iota
	// phaseFollowing: an earlier request owns the claim, and this request polls
	// the table for its outcome.
	phaseFollowing
	// phaseQueued: the request waits for an endpoint with capacity.
	phaseQueued
	// phaseDelayed: the request waits for its retry delay.
	phaseDelayed
	// phaseRunning: an attempt is in progress.
	phaseRunning
	// phaseEnded: the caller has received an answer or a refusal, or has
	// disconnected.
	phaseEnded
)

// request is the state of one request from its arrival to its end.
type request struct {
	Request
	target
	phase requestPhase
	lane  *lane
	// sequence numbers the requests of the instance in order of arrival.
	sequence uint64
	// queueIndex selects the rank queue of the lane. The queue is ordered by
	// dueAt, then by sequence.
	queueIndex int
	dueAt      time.Time
	queuedAt   time.Time
	deadline   time.Time
	// cutoff is the deadline minus deadlineMargin, or minus a quarter of a
	// short timeout. No attempt starts after it.
	cutoff time.Time
	alarm  rpreducer.AlarmID
	// attempt is the current attempt, or nil.
	attempt *attempt
	// lastFailedEndpoint is the endpoint of the last attempt that failed or was
	// declined.
	lastFailedEndpoint EndpointID
	// relayedTokens is the number of tokens that the caller has received.
	// relayedVersion is the version of the model that produced them.
	relayedTokens  int
	relayedVersion string
	// verdict is the strongest verdict of the attempts that have ended.
	verdict          rpverdict.Verdict
	failedAttempts   int
	declinedAttempts int
	// claim is the granted claim of a request that may run only once, else nil.
	claim *claim
	// claimPolls counts how often this request has tried again because of the
	// claim of another request. It determines the next delay.
	claimPolls int
}

func (s *State) startRequests() {
	s.requests = requestView{
		started:       true,
		deps:          defaultRequestDeps(),
		byID:          make(map[RequestID]*request),
		attempts:      make(map[AttemptID]*attempt),
		services:      make(map[string]*serviceState),
		lanes:         make(map[ModelKey]*lane),
		attemptPrefix: fmt.Sprintf("%s.%s.a", s.self.Instance, s.self.Incarnation),
	}
	s.checkReady()
	s.scheduleReadyCheck()
}

func (s *State) requestArrived(req Request) {
	if _, ok := s.requests.byID[req.ID]; ok {
		// A refusal with this id would end the earlier request.
		s.emit(Note{Part: "requests", Text: "ignored a request whose id is in use", Request: req.ID})
		return
	}
	r, refusal := s.acceptRequest(req)
	if refusal != nil {
		s.emitRefusal(req.ID, *refusal)
		return
	}
	s.requests.byID[r.ID] = r
	r.alarm = s.runAt(r.cutoff, func(s *State) { s.requestExpired(r) })
	if r.singleRun {
		s.claimRequest(r, 0)
		return
	}
	s.enqueue(r)
}

// acceptRequest validates a new request and admits it to its queue. It returns
// the refusal of a request that is not admitted.
func (s *State) acceptRequest(req Request) (*request, *rpverdict.Refusal) {
	if s.draining {
		return nil, newRefusal(rpverdict.CodeDraining, "The instance finishes its work and takes no new requests.")
	}
	if len(s.requests.byID) >= s.limits.RequestsInProgress {
		full := newRefusal(rpverdict.CodeTooManyStreams, "The instance holds as many requests as its settings allow.")
		full.RetryAfter = retryAfterDefault
		return nil, full
	}
	service, resolved, refusal := s.resolveTarget(&req)
	if refusal != nil {
		return nil, refusal
	}
	r := s.newRequest(req, service, resolved)
	r.lane.recordArrival(s.now, resolved.rank)
	service.recentRequests.Add(s.now, recentWindow, 1)
	if refusal := s.checkIdempotencyKey(r); refusal != nil {
		return nil, refusal
	}
	if refusal := s.admitRequest(r); refusal != nil {
		return nil, refusal
	}
	return r, nil
}

func (s *State) newRequest(req Request, service *serviceState, resolved target) *request {
	timeout := req.Timeout
	if timeout <= 0 {
		timeout = time.Duration(service.document.Rank(resolved.rank).Deadline)
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	timeout = min(timeout, maxTimeout)
	s.requests.sequence++
	r := &request{
		Request:    req,
		target:     resolved,
		lane:       s.laneFor(service, resolved.key),
		sequence:   s.requests.sequence,
		queueIndex: resolved.rank.Index(),
		deadline:   s.now.Add(timeout),
		cutoff:     s.now.Add(timeout - min(deadlineMargin, timeout/4)),
	}
	r.dueAt = r.deadline
	if s.policy.FirstInFirstOut {
		r.queueIndex = 0
		r.dueAt = time.Time{}
	}
	return r
}

func (s *State) requestAbandoned(id RequestID) {
	r, ok := s.requests.byID[id]
	if !ok {
		return
	}
	s.cancelAttempt(r)
	s.endRequest(r)
}

// requestExpired refuses a request at its cutoff, shortly before its deadline.
func (s *State) requestExpired(r *request) {
	switch r.phase {
	case phaseEnded:
	case phaseFollowing:
		s.refuseUnknownOutcome(r, "The earlier request did not finish before the deadline of this one.")
	default:
		s.recordHungAttempt(r)
		s.refuseRequest(r, rpverdict.CodeDeadlineExceeded, "The deadline of the request passed.")
	}
}

// refuseRequest ends a request with a refusal that has the strongest verdict of
// the request's attempts.
func (s *State) refuseRequest(r *request, code rpverdict.Code, detail string) {
	s.refuseRequestWith(r, rpverdict.Refuse(code, detail))
}

// refuseRequestWith ends a request with the given refusal. If an attempt has a
// stronger verdict than the refusal, the refusal gets that verdict. An attempt
// in progress counts as may_have_run.
func (s *State) refuseRequestWith(r *request, refusal rpverdict.Refusal) {
	refusal.Verdict = max(refusal.Verdict, r.verdict)
	if r.attempt != nil {
		refusal.Verdict = max(refusal.Verdict, rpverdict.MayHaveRun)
	}
	s.cancelAttempt(r)
	s.emitRefusal(r.ID, refusal)
	s.endRequest(r)
}

func (s *State) emitRefusal(id RequestID, refusal rpverdict.Refusal) {
	s.countRefusal(refusal.Code)
	s.emit(RefuseRequest{Request: id, Refusal: refusal})
}

// countRefusal updates the counters of the status page. The map is bounded,
// since the codes are a fixed set.
func (s *State) countRefusal(code rpverdict.Code) {
	if s.requests.refusals == nil {
		s.requests.refusals = make(map[rpverdict.Code]uint64)
	}
	s.requests.refusals[code]++
}

// cancelAttempt cancels the current attempt. The attempt of a request that may
// run only once continues until its deadline, so that its outcome can be
// recorded for later requests with the same idempotency key.
func (s *State) cancelAttempt(r *request) {
	if r.attempt != nil && !r.singleRun {
		s.emit(CancelAttempt{Attempt: r.attempt.id})
	}
}

// endRequest removes a request whose caller has received an answer or a
// refusal, or has disconnected.
func (s *State) endRequest(r *request) {
	if r.phase == phaseQueued {
		s.dequeue(r)
	}
	r.phase = phaseEnded
	s.alarms.Stop(r.alarm)
	delete(s.requests.byID, r.ID)
	if r.claim != nil && r.attempt == nil {
		s.finalizeWithoutOutcome(r)
	}
	s.checkDrained()
}

// newRefusal returns a refusal with the verdict not_run.
func newRefusal(code rpverdict.Code, detail string) *rpverdict.Refusal {
	refusal := rpverdict.Refuse(code, detail)
	return &refusal
}
