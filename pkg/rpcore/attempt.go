package rpcore

import (
	"strconv"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// attempt is one try to run a request at an endpoint. It lasts until the edge
// reports its end, which may be after the end of its request.
type attempt struct {
	id          AttemptID
	request     *request
	endpoint    EndpointID
	incarnation Incarnation
	version     string
	startedAt   time.Time
	answering   bool
	// abandoned says that the attempt was canceled because its endpoint is
	// silent.
	abandoned bool
}

func (s *State) newAttemptID() AttemptID {
	s.requests.lastAttempt++
	return AttemptID(s.requests.attemptPrefix + strconv.FormatUint(s.requests.lastAttempt, 10))
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
	e.health.load.peak = max(e.health.load.peak, e.inFlight)
	if r.rank == rpdocument.RankUrgent {
		e.health.load.unanswered++
	}
	s.startProbe(e, a)
	s.emit(StartAttempt{
		Attempt: a.id, Request: r.ID, Endpoint: e.id, Address: e.Address,
		Model: r.model, Version: a.version, Adapter: r.adapter, Rank: s.engineRank(r),
		ResumeAfter: r.tokens, Deadline: r.deadline, Record: r.singleRun,
	})
}

// engineRank is the priority that the engine sees.
func (s *State) engineRank(r *request) rpdocument.Rank {
	if s.policy.FirstInFirstOut {
		return rpdocument.RankNormal
	}
	return r.rank
}

func (s *State) attemptFirstToken(ev AttemptFirstToken) {
	a := s.requests.attempts[ev.Attempt]
	if a == nil || a.request.ID != ev.Request || a.request.attempt != a || a.answering {
		return
	}
	e := s.endpointOf(a)
	if e != nil {
		s.endpointWorked(e, a)
		a.answered(e)
	}
	a.answering = true
}

// answered takes the first token, or the end before it, of an attempt off the
// count of its endpoint.
func (a *attempt) answered(e *endpoint) {
	if a.request.rank == rpdocument.RankUrgent && !a.answering && e.health.load.unanswered > 0 {
		e.health.load.unanswered--
	}
}

// endpointOf returns the endpoint of an attempt while its incarnation lasts,
// or nil.
func (s *State) endpointOf(a *attempt) *endpoint {
	e := s.endpointByID(a.endpoint)
	if e == nil || e.Incarnation != a.incarnation {
		return nil
	}
	s.refresh(e)
	return e
}

func (s *State) attemptEnded(ev AttemptEnded) {
	a := s.requests.attempts[ev.Attempt]
	if a == nil || a.request.ID != ev.Request {
		return
	}
	delete(s.requests.attempts, a.id)
	e := s.endpointOf(a)
	s.releaseEndpoint(a, e)
	r := a.request
	r.attempt = nil
	switch {
	case r.phase == phaseEnded:
		s.attemptOutlived(r, ev)
	case ev.Reason == AttemptComplete:
		s.attemptComplete(r, a, e, ev)
	default:
		s.attemptFailed(r, a, e, ev)
	}
	if e != nil {
		s.endProbe(e, a)
		s.dispatchAt(e)
	}
	s.checkDrained()
}

func (s *State) releaseEndpoint(a *attempt, e *endpoint) {
	a.request.lane.inFlight--
	if e != nil && e.inFlight > 0 {
		e.inFlight--
		a.answered(e)
	}
}

// attemptOutlived takes in the end of an attempt whose request has ended. It
// matters only to the claim of a request that may run only once.
func (s *State) attemptOutlived(r *request, ev AttemptEnded) {
	if r.claim == nil {
		return
	}
	if ev.Reason == AttemptComplete {
		s.settleFinished(r, ev.Outcome)
		return
	}
	r.verdict = max(r.verdict, ev.Verdict)
	s.settleUnfinished(r)
}

func (s *State) attemptComplete(r *request, a *attempt, e *endpoint, ev AttemptEnded) {
	r.verdict = rpverdict.Ran
	r.lane.service.duration.add(s.now.Sub(a.startedAt))
	if e != nil {
		s.endpointWorked(e, a)
	}
	if r.claim != nil {
		s.settleFinished(r, ev.Outcome)
	}
	s.endRequest(r)
}

// attemptFailed retries a request or refuses it.
func (s *State) attemptFailed(r *request, a *attempt, e *endpoint, ev AttemptEnded) {
	r.phase = phaseDelayed
	r.failedAt = a.endpoint
	r.verdict = max(r.verdict, ev.Verdict)
	if ev.TokensRelayed > 0 || ev.AnswerStarted {
		r.verdict = max(r.verdict, rpverdict.MayHaveRun)
	}
	if ev.TokensRelayed > 0 {
		r.tokens += ev.TokensRelayed
		r.tokensVersion = a.version
	}
	if declined(ev) {
		s.attemptDeclined(r, a, e, ev)
		return
	}
	if e != nil && ev.Reason != AttemptCanceled && ev.Reason != AttemptTimedOut {
		s.endpointFailed(e, a)
	}
	switch {
	case ev.AnswerStarted:
		s.refuse(r, rpverdict.CodeStreamBroken, "The answer broke off and can't be resumed.")
	case ev.Reason == AttemptTimedOut:
		s.refuse(r, rpverdict.CodeDeadlineExceeded, "The deadline of the request passed.")
	case r.singleRun && r.verdict != rpverdict.NotRun:
		s.refuse(r, r.failureCode(), "The attempt ended without an answer, and the request may run only once.")
	default:
		s.retryFailed(r)
	}
}

func (r *request) failureCode() rpverdict.Code {
	if r.tokens > 0 {
		return rpverdict.CodeStreamBroken
	}
	return rpverdict.CodeAttemptFailed
}

// declined reports whether the endpoint, or the lack of a connection to it,
// shows that the attempt did not start.
func declined(ev AttemptEnded) bool {
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

// expireAttempt counts an attempt that was silent for long against its
// endpoint when the deadline of its request passes.
func (s *State) expireAttempt(r *request) {
	a := r.attempt
	if a == nil || a.answering || s.now.Sub(a.startedAt) < hangTime {
		return
	}
	if e := s.endpointOf(a); e != nil {
		s.endpointFailed(e, a)
	}
}
