package rpcore

import (
	"fmt"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	// maxTimeout caps what callers and documents ask for, so that no request
	// holds its state for ever.
	maxTimeout = 24 * time.Hour
	// defaultTimeout applies where neither caller nor document names one.
	defaultTimeout = time.Minute
	// deadlineMargin is the time that a refusal needs to reach the caller
	// before its deadline.
	deadlineMargin = 20 * time.Millisecond
	// retryAfterDefault is sent where a retry helps but no time is known.
	retryAfterDefault = time.Second
)

// requestView holds the requests of this instance's callers.
type requestView struct {
	started  bool
	deps     requestDeps
	byID     map[RequestID]*request
	attempts map[AttemptID]*attempt
	services map[string]*serviceState
	lanes    map[ModelKey]*lane
	// active lists the lanes with waiting requests.
	active []*lane
	// waiting counts the queued requests by rank.
	waiting        [rpdocument.RankCount]int
	sweepScheduled bool
	sequence       uint64
	dispatchCount  uint64
	attemptPrefix  string
	attemptCount   uint64
	// refusals counts since the start.
	refusals    map[rpverdict.Code]uint64
	ready       bool
	drained     bool
	laneBuffer  []*lane
	routeBuffer routeBuffer
}

// requestPhase says what a request waits for.
type requestPhase int

const (
	// phaseClaiming: the table has not answered the claim.
	phaseClaiming requestPhase = iota
	// phaseFollowing: an earlier request holds the claim, and its outcome is
	// polled.
	phaseFollowing
	// phaseQueued: the request waits for an endpoint with capacity.
	phaseQueued
	// phaseDelayed: the request waits before a retry.
	phaseDelayed
	// phaseRunning: an attempt is under way.
	phaseRunning
	// phaseEnded: the caller has its answer or refusal, or is gone.
	phaseEnded
)

// request is a request from its arrival to its end.
type request struct {
	Request
	target
	phase    requestPhase
	lane     *lane
	sequence uint64
	// queueIndex is the index of the rank queue; dueAt orders it.
	queueIndex int
	dueAt      time.Time
	queuedAt   time.Time
	deadline   time.Time
	// cutoff is the deadline less the margin; nothing starts after it.
	cutoff time.Time
	alarm  rpreducer.AlarmID
	// attempt is the current attempt; it is nil while none is under way.
	attempt *attempt
	// lastFailedEndpoint is the endpoint of the last failed attempt.
	lastFailedEndpoint EndpointID
	// relayedTokens is the number of tokens that the caller has, and tokensVersion
	// the version of the model that they came from.
	relayedTokens  int
	relayedVersion string
	// verdict is the strongest of the verdicts of the ended attempts.
	verdict          rpverdict.Verdict
	failedAttempts   int
	declinedAttempts int
	claim            *claim
	claimPolls       int
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
		// A refusal would end the request that already has this id.
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

// acceptRequest returns the request, or the reason for which it is refused at once.
func (s *State) acceptRequest(req Request) (*request, *rpverdict.Refusal) {
	if s.draining {
		return nil, newRefusal(rpverdict.CodeDraining, "The instance finishes its work and takes no new requests.")
	}
	if len(s.requests.byID) >= s.limits.RequestsInProgress {
		full := newRefusal(rpverdict.CodeTooManyStreams, "The instance holds as many requests as its settings allow.")
		full.RetryAfter = retryAfterDefault
		return nil, full
	}
	service, resolved, refusal := s.resolve(&req)
	if refusal != nil {
		return nil, refusal
	}
	r := s.newRequest(req, service, resolved)
	r.lane.recordArrival(s.now, resolved.rank)
	service.recent.Add(s.now, recentWindow, 1)
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

// requestExpired refuses a request whose deadline is about to pass.
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

// refuseRequest ends a request with the verdict of its attempts.
func (s *State) refuseRequest(r *request, code rpverdict.Code, detail string) {
	s.refuseRequestWith(r, rpverdict.Refuse(code, detail))
}

// refuseRequestWith ends a request. The verdict becomes at least that of the
// attempts, and an attempt without an end may have run.
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

// countRefusal counts for the status. The codes of this program bound the map.
func (s *State) countRefusal(code rpverdict.Code) {
	if s.requests.refusals == nil {
		s.requests.refusals = make(map[rpverdict.Code]uint64)
	}
	s.requests.refusals[code]++
}

// cancelAttempt stops the current attempt. An attempt that may run only once
// goes on until its deadline, so that its outcome can be recorded for the
// next request with the same key.
func (s *State) cancelAttempt(r *request) {
	if r.attempt != nil && !r.singleRun {
		s.emit(CancelAttempt{Attempt: r.attempt.id})
	}
}

// endRequest forgets a request that has its answer or refusal.
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
	refused := rpverdict.Refuse(code, detail)
	return &refused
}
