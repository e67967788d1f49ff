package rpcore

import (
	"strconv"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// attempt is one execution of a request at an endpoint. It exists until
// AttemptEnded arrives, which may be after the end of its request.
type attempt struct {
	id            AttemptID
	request       *request
	endpoint      EndpointID
	incarnation   Incarnation
	version       string
	startedAt     time.Time
	gotFirstToken bool
	// silentCanceled is set when the attempt is canceled because its endpoint
	// is silent.
	silentCanceled bool
}

func (s *State) newAttemptID() AttemptID {
	s.requests.attemptCount++
	return AttemptID(s.requests.attemptPrefix + strconv.FormatUint(s.requests.attemptCount, 10))
}

func (s *State) startAttempt(r *request, e *endpoint) {
	a := &attempt{
		id: s.newAttemptID(), request: r, endpoint: e.id, incarnation: e.Incarnation,
		version: e.loaded[r.key].Version, startedAt: s.now,
	}
	s.requests.attempts[a.id] = a
	r.phase = phaseRunning
	r.attempt = a
	r.lane.inFlight++
	e.inFlight++
	e.health.load.ownPeak = max(e.health.load.ownPeak, e.inFlight)
	if r.rank == rpdocument.RankUrgent {
		e.health.load.urgentUnanswered++
	}
	s.startProbe(e, a)
	s.emit(StartAttempt{
		Attempt: a.id, Request: r.ID, Endpoint: e.id, Address: e.Address,
		Model: r.model, Version: a.version, Adapter: r.adapter, Rank: s.engineRank(r),
		ResumeAfter: r.relayedTokens, Deadline: r.deadline, Record: r.singleRun,
	})
}

// engineRank returns the rank that is sent to the engine. The
// first-in-first-out policy hides the rank from engines too.
func (s *State) engineRank(r *request) rpdocument.Rank {
	if s.policy.FirstInFirstOut {
		return rpdocument.RankNormal
	}
	return r.rank
}

func (s *State) attemptFirstToken(ev AttemptFirstToken) {
	a := s.requests.attempts[ev.Attempt]
	if a == nil || a.request.ID != ev.Request || a.request.attempt != a || a.gotFirstToken {
		return
	}
	e := s.attemptEndpoint(a)
	if e != nil {
		s.recordEndpointSuccess(e, a)
		a.clearUnanswered(e)
	}
	a.gotFirstToken = true
}

// clearUnanswered decrements the endpoint's count of urgent attempts without a
// first token. It is called at the first token of an attempt and at its end.
func (a *attempt) clearUnanswered(e *endpoint) {
	if a.request.rank == rpdocument.RankUrgent && !a.gotFirstToken && e.health.load.urgentUnanswered > 0 {
		e.health.load.urgentUnanswered--
	}
}

// attemptEndpoint returns the endpoint of an attempt, or nil if the endpoint is
// gone or has another incarnation.
func (s *State) attemptEndpoint(a *attempt) *endpoint {
	e := s.endpointByID(a.endpoint)
	if e == nil || e.Incarnation != a.incarnation {
		return nil
	}
	s.refreshLoad(e)
	return e
}

func (s *State) attemptEnded(ev AttemptEnded) {
	a := s.requests.attempts[ev.Attempt]
	if a == nil || a.request.ID != ev.Request {
		return
	}
	delete(s.requests.attempts, a.id)
	e := s.attemptEndpoint(a)
	s.decrementInFlight(a, e)
	r := a.request
	r.attempt = nil
	switch {
	case r.phase == phaseEnded:
		s.attemptEndedAfterRequest(r, ev)
	case ev.Reason == AttemptComplete:
		s.completeRequest(r, a, e, ev)
	default:
		s.handleFailedAttempt(r, a, e, ev)
	}
	if e != nil {
		s.clearProbe(e, a)
		s.dispatchToEndpoint(e)
	}
	s.checkDrained()
}

func (s *State) decrementInFlight(a *attempt, e *endpoint) {
	a.request.lane.inFlight--
	if e != nil && e.inFlight > 0 {
		e.inFlight--
		a.clearUnanswered(e)
	}
}

// attemptEndedAfterRequest handles the end of an attempt whose request has
// already ended. It only affects the claim of a request that may run only once.
func (s *State) attemptEndedAfterRequest(r *request, ev AttemptEnded) {
	if r.claim == nil {
		return
	}
	if ev.Reason == AttemptComplete {
		s.recordOutcome(r, ev.Outcome)
		return
	}
	r.verdict = max(r.verdict, ev.Verdict)
	s.finalizeWithoutOutcome(r)
}

func (s *State) completeRequest(r *request, a *attempt, e *endpoint, ev AttemptEnded) {
	r.verdict = rpverdict.Ran
	r.lane.service.meanRunTime.add(s.now.Sub(a.startedAt))
	if e != nil {
		s.recordEndpointSuccess(e, a)
	}
	if r.claim != nil {
		s.recordOutcome(r, ev.Outcome)
	}
	s.endRequest(r)
}

// handleFailedAttempt retries or refuses a request whose attempt did not
// complete.
func (s *State) handleFailedAttempt(r *request, a *attempt, e *endpoint, ev AttemptEnded) {
	r.phase = phaseDelayed
	r.lastFailedEndpoint = a.endpoint
	r.verdict = max(r.verdict, ev.Verdict)
	if ev.TokensRelayed > 0 || ev.AnswerStarted {
		r.verdict = max(r.verdict, rpverdict.MayHaveRun)
	}
	if ev.TokensRelayed > 0 {
		r.relayedTokens += ev.TokensRelayed
		r.relayedVersion = a.version
	}
	if isDeclined(ev) {
		s.retryDeclinedRequest(r, a, e, ev)
		return
	}
	if e != nil && ev.Reason != AttemptCanceled && ev.Reason != AttemptTimedOut {
		s.recordEndpointFailure(e, a)
	}
	switch {
	case ev.AnswerStarted:
		s.refuseRequest(r, rpverdict.CodeStreamBroken, "The answer broke off and can't be resumed.")
	case ev.Reason == AttemptTimedOut:
		s.refuseRequest(r, rpverdict.CodeDeadlineExceeded, "The deadline of the request passed.")
	case r.singleRun && r.verdict != rpverdict.NotRun:
		s.refuseRequest(r, r.failureCode(), "The attempt ended without an answer, and the request may run only once.")
	default:
		s.retryFailedRequest(r)
	}
}

func (r *request) failureCode() rpverdict.Code {
	if r.relayedTokens > 0 {
		return rpverdict.CodeStreamBroken
	}
	return rpverdict.CodeAttemptFailed
}

// isDeclined reports whether an attempt certainly did not start: the endpoint
// declined it, or no connection was made.
func isDeclined(ev AttemptEnded) bool {
	if ev.Verdict != rpverdict.NotRun {
		return false
	}
	switch ev.Reason {
	case AttemptNotLoaded, AttemptBusy, AttemptLeaving, AttemptRefusedConnection:
		return true
	default:
		return false
	}
}

// recordHungAttempt records a failure of the endpoint if the current attempt of
// an expired request got no first token for at least hangThreshold.
func (s *State) recordHungAttempt(r *request) {
	a := r.attempt
	if a == nil || a.gotFirstToken || s.now.Sub(a.startedAt) < hangThreshold {
		return
	}
	if e := s.attemptEndpoint(a); e != nil {
		s.recordEndpointFailure(e, a)
	}
}
