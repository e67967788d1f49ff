package rpfleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	// stallFactor is the multiple of the usual time to the first byte after
	// which a request that may be repeated goes to another endpoint.
	stallFactor = 5
	// leastStall bounds it from below, since single slow answers are normal.
	leastStall = 120 * time.Millisecond
	// stallByTarget is the part of the route's target that an attempt may use
	// before another one is made.
	stallByTarget = 0.75
	// plainStallByTarget is that of routes without streams, whose answers come
	// after the whole work.
	plainStallByTarget = 0.8
	// eventStallFactor is the multiple of the route's longest pause after
	// which a resumable stream goes on elsewhere.
	eventStallFactor = 1.5
	// leastEventStall bounds it from below.
	leastEventStall = 900 * time.Millisecond
	// maxUnreached bounds the endpoints that a request tries to connect to in
	// vain, each of which takes up to the timeout of a connection.
	maxUnreached = 6
	// refusedRetry is the first pause before a request that an engine did not
	// take is offered again; it doubles up to maxRefusedRetry.
	refusedRetry    = 20 * time.Millisecond
	maxRefusedRetry = 400 * time.Millisecond
)

// startAttempt sends a waiting request to an endpoint.
func (s *State) startAttempt(r *request, e *endpoint) {
	s.dequeue(r)
	r.phase = phaseRunning
	r.sends++
	r.endpoint = e
	r.sentAt = s.now
	r.attempt = rpcore.AttemptID(fmt.Sprintf("%s#%d", r.ID, r.sends))
	e.inFlight++
	r.prefill = r.prefillTokens()
	e.prefill += r.prefill
	if r.engine != nil {
		e.inFlightModels[r.Model]++
		if held := e.engine.models[r.Model]; held != nil {
			held.usedAt = s.now
		}
	}
	first, event := s.stallBounds(r)
	s.noteRequest(r, "sends a request to an endpoint", Field{"attempt", r.sends}, Field{"endpoint", string(e.ID)},
		Field{"route", r.route.Name}, Field{"service", r.service}, Field{"model", r.Model}, Field{"adapter", r.Adapter},
		Field{"waited", s.now.Sub(r.arrivedAt)}, Field{"in_flight", e.inFlight}, Field{"in_flight_others", e.others},
		Field{"others_age", s.now.Sub(s.demand.placementAt)}, Field{"entry_age", s.now.Sub(e.seenAt)},
		Field{"config_version", s.configVersion()})
	s.emit(StartAttempt{
		Request:      r.ID,
		Attempt:      r.attempt,
		Endpoint:     e.ID,
		Address:      e.Address,
		Rank:         r.route.Rank,
		Kind:         r.route.Kind,
		Repeatable:   r.route.Repeatable(),
		ResumeAfter:  r.lastEvent,
		Version:      r.version,
		Deadline:     r.cutoff,
		FirstTimeout: first,
		EventTimeout: event,
	})
}

// stallBounds returns how long an attempt may go without a sign before the
// request goes elsewhere; zero where it can't.
func (s *State) stallBounds(r *request) (first, event time.Duration) {
	if !r.route.Repeatable() || r.runs+1 >= r.route.MaxEndpoints || !s.mayRetry(r.service) || !s.hasAlternative(r, r.endpoint, true) {
		return 0, 0
	}
	share := plainStallByTarget
	if r.route.Kind == KindStream {
		share = stallByTarget
		event = max(leastEventStall, time.Duration(eventStallFactor*float64(r.route.EventGap)))
	}
	usual := stallFactor * s.stats(r.service).latency
	first = max(leastStall, usual, time.Duration(share*float64(r.route.Target)))
	return first, event
}

// hasAlternative reports whether an endpoint other than the given one can take a
// request. healthy leaves out those that get no work for a time.
func (s *State) hasAlternative(r *request, e *endpoint, healthy bool) bool {
	return slices.ContainsFunc(s.endpointsOf(r.service), func(other *endpoint) bool {
		return other != e && s.candidate(r, other) && !(healthy && other.health.ejected(s.now))
	})
}

// release gives back the place of a running attempt.
func (s *State) release(r *request) {
	e := r.endpoint
	e.inFlight--
	s.prefilled(r)
	if r.engine != nil {
		e.inFlightModels[r.Model]--
		if e.inFlightModels[r.Model] <= 0 {
			delete(e.inFlightModels, r.Model)
		}
	}
	r.endpoint = nil
	s.stats(r.service).departures.add(s.now, 1)
}

// prefilled takes in that the prompt of a running request is read.
func (s *State) prefilled(r *request) {
	r.endpoint.prefill -= r.prefill
	r.prefill = 0
}

func (s *State) attemptStarted(ev AttemptStarted) {
	r := s.requests[ev.Request]
	if r == nil || r.attempt != ev.Attempt || r.phase != phaseRunning {
		return
	}
	if !r.started {
		r.startedAt = s.now
	}
	r.started = true
	s.prefilled(r)
	s.observeLatency(r)
}

func (s *State) observeLatency(r *request) {
	latency := s.now.Sub(r.sentAt)
	r.endpoint.health.observeLatency(latency, s.now)
	s.stats(r.service).observeLatency(latency)
}

func (s *State) attemptEnded(ev AttemptEnded) {
	r := s.requests[ev.Request]
	if r == nil || r.attempt != ev.Attempt || r.phase != phaseRunning {
		return
	}
	e := r.endpoint
	if ev.Reason == rpcore.AttemptComplete && !r.started {
		s.observeLatency(r)
	}
	s.release(r)
	r.started = r.started || ev.AnswerStarted
	if ev.LastEvent != "" {
		r.lastEvent = ev.LastEvent
	}
	if ev.Version != "" && r.version == "" {
		r.version = ev.Version
	}
	if ev.Verdict != rpverdict.NotRun {
		r.runs++
	}
	firstEvent := time.Duration(0)
	if !r.startedAt.IsZero() {
		firstEvent = r.startedAt.Sub(r.arrivedAt)
	}
	s.noteRequest(r, "an attempt ended", Field{"attempt", r.sends}, Field{"endpoint", string(e.ID)},
		Field{"reason", string(ev.Reason)}, Field{"verdict", ev.Verdict.String()}, Field{"took", s.now.Sub(r.sentAt)},
		Field{"since_arrival", s.now.Sub(r.arrivedAt)}, Field{"first_event", firstEvent},
		Field{"longest_pause", ev.LongestPause}, Field{"last_event", r.lastEvent}, Field{"route", r.route.Name}, Field{"detail", ev.Detail})
	if ev.Reason == rpcore.AttemptComplete {
		e.health.succeeded()
		s.stats(r.service).observe(false)
		s.end(r)
		s.dispatchService(r.service)
		return
	}
	r.lastFailure = string(ev.Reason)
	s.learn(r, e, ev)
	s.retry(r, e, ev)
	s.dispatchService(r.service)
}

// learn takes in what a failed attempt shows of its endpoint.
func (s *State) learn(r *request, e *endpoint, ev AttemptEnded) {
	switch ev.Reason {
	case rpcore.AttemptRefusedConnection:
		s.stats(r.service).observe(true)
		s.endpointFailed(e, true, ev.Detail)
	case rpcore.AttemptBroken, rpcore.AttemptFailed:
		s.stats(r.service).observe(true)
		s.endpointFailed(e, false, ev.Detail)
	case rpcore.AttemptTimedOut:
		if !r.started {
			s.stats(r.service).observe(true)
			s.endpointFailed(e, false, "no answer in time")
		}
	case rpcore.AttemptLeaving:
		// Another endpoint has the address.
		s.endpointFailed(e, true, ev.Detail)
	case rpcore.AttemptNotLoaded:
		s.notLoaded(r, e)
	}
}

// notLoaded takes in that an engine does not have a model or adapter that it
// was thought to have. News of a later order shows it again.
func (s *State) notLoaded(r *request, e *endpoint) {
	held := e.engine.models[r.Model]
	if held == nil {
		return
	}
	adapter := ""
	if _, ok := held.adapters[r.Adapter]; ok {
		adapter = r.Adapter
	}
	e.engine.drop(r.Model, adapter, s.now)
}

// retry sends a request on after a failed attempt, or refuses it.
func (s *State) retry(r *request, e *endpoint, ev AttemptEnded) {
	if why := s.retryBar(r, ev); why != "" {
		s.refuse(r, s.giveUp(r, s.failureCode(r, ev), why))
		return
	}
	switch ev.Reason {
	case rpcore.AttemptNotLoaded:
		// The engine may get the model back.
	case rpcore.AttemptBusy:
		if r.engine == nil || s.hasAlternative(r, e, false) {
			r.tried[e.ID] = true
		}
	default:
		r.tried[e.ID] = true
	}
	// The attempt counts from now on, although the request may have to wait: the
	// budget would otherwise allow all that wait at the same time.
	if arrived(ev) {
		s.countRetry(r.service)
	} else {
		r.unreached++
	}
	s.enqueue(r)
	if ev.Reason == rpcore.AttemptNotLoaded || ev.Reason == rpcore.AttemptBusy {
		s.pause(r, min(refusedRetry<<min(r.sends-1, 8), maxRefusedRetry))
		if r.engine != nil {
			s.need()
		}
		return
	}
	s.dispatch(r)
}

// pause keeps a waiting request from being sent for a time.
func (s *State) pause(r *request, d time.Duration) {
	r.notBefore = s.now.Add(d)
	s.at(r.notBefore, func(s *State) {
		if r.phase == phaseWaiting {
			s.dispatch(r)
		}
	})
}

// retryBar returns why a request must not be sent again, or "".
func (s *State) retryBar(r *request, ev AttemptEnded) string {
	switch {
	case r.runs > 0 && !r.route.Repeatable():
		return "The endpoint failed to answer, and the request may have run."
	case r.started && r.route.Kind != KindStream:
		return "The answer broke off."
	case r.runs >= r.route.MaxEndpoints:
		return "The request ran at as many endpoints as its route allows."
	case s.expired(r):
		return timeUp
	case !arrived(ev) && r.unreached >= maxUnreached:
		return "No endpoint could be reached."
	case arrived(ev) && !s.mayRetry(r.service):
		return "The retry budget of the service is used up."
	case ev.Reason == rpcore.AttemptCanceled:
		return "The attempt was canceled."
	}
	return ""
}

// arrived reports whether an attempt may have reached its endpoint. One that got
// no connection costs the endpoints nothing, so the budget does not count it.
func arrived(ev AttemptEnded) bool {
	return ev.Reason != rpcore.AttemptRefusedConnection || ev.Verdict != rpverdict.NotRun
}

func (s *State) failureCode(r *request, ev AttemptEnded) rpverdict.Code {
	switch {
	case r.started:
		return rpverdict.CodeStreamBroken
	case ev.Reason == rpcore.AttemptTimedOut:
		return rpverdict.CodeDeadlineExceeded
	}
	return rpverdict.CodeAttemptFailed
}
