package rpcore

import (
	"slices"
	"time"
)

const (
	// silentGrace is the minimum age of an attempt that is canceled because its
	// engine is silent. It keeps requests from moving repeatedly between
	// engines whose reports are late.
	silentGrace = 3 * time.Second
	// maxSilentCancels bounds the attempts that one check cancels. Otherwise
	// all requests of a silent engine would move to the other engines at once.
	maxSilentCancels = 32
)

// isSilent reports whether an engine has stopped reporting, because its process
// is frozen or no instance can reach it. In both cases its connections stay
// open, so an attempt there would wait until the deadline of its request. Plain
// services don't report and are never silent.
func (e *endpoint) isSilent(now time.Time) bool {
	return e.Kind == MemberEngine && !e.reportedAt.IsZero() && e.reportExpired(now)
}

// hasReportingEndpoint reports whether any endpoint that can run a request is
// not silent. If all are silent, the cause is more likely at this instance than
// at the engines.
func (s *State) hasReportingEndpoint(all []*endpoint, ejected *ejectedSet, r *request) bool {
	for _, e := range all {
		if !e.isSilent(s.now) && r.canRunAt(e, ejected) {
			return true
		}
	}
	return false
}

// cancelSilentAttempts cancels attempts at silent engines if their requests are
// repeatable and can continue at another engine. The AttemptEnded events that
// follow retry the requests, or resume their streams after the relayed tokens.
func (s *State) cancelSilentAttempts() {
	var due []AttemptID
	for id, a := range s.requests.attempts {
		if s.shouldCancelSilent(a) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due[:min(len(due), maxSilentCancels)] {
		a := s.requests.attempts[id]
		a.silentCanceled = true
		s.emit(Note{Part: "requests", Text: "canceled an attempt at an engine that stopped reporting", Endpoint: a.endpoint})
		s.cancelAttempt(a.request)
	}
}

func (s *State) shouldCancelSilent(a *attempt) bool {
	r := a.request
	if a.silentCanceled || r.attempt != a || r.singleRun || s.now.Sub(a.startedAt) < silentGrace {
		return false
	}
	e := s.attemptEndpoint(a)
	if e == nil || !e.isSilent(s.now) {
		return false
	}
	all := s.laneEndpoints(r.lane)
	ejected := s.ejectedAmong(all)
	for _, other := range all {
		// The number of tokens relayed by the current attempt is not known yet,
		// so after a first token only the same model version can continue.
		sameAnswer := !a.gotFirstToken || other.loaded[r.key].Version == a.version
		if !other.isSilent(s.now) && sameAnswer && r.canRunAt(other, &ejected) {
			return true
		}
	}
	return false
}
