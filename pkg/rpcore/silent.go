package rpcore

import (
	"slices"
	"time"
)

const (
	// silentGrace is the least time that an attempt has at an engine that
	// has stopped to report, so that a request does not wander between engines
	// while their reports are late.
	silentGrace = 3 * time.Second
	// maxSilentCancels bounds the attempts that one look abandons. Requests of a
	// whole engine would otherwise come to the others at the same moment.
	maxSilentCancels = 32
)

// silent reports whether an engine has stopped to report: its process is
// frozen, or no instance can reach it. Its connections stay open in both cases,
// so an attempt there would wait until the deadline of its request. Plain
// services don't report and are never silent.
func (e *endpoint) silent(now time.Time) bool {
	return e.Kind == MemberEngine && !e.reportedAt.IsZero() && e.reportExpired(now)
}

// hasReporting reports whether one of the endpoints that can take a request is not
// silent. Where all are silent, it is rather this instance that hears nothing.
func (s *State) hasReporting(all []*endpoint, ejected *ejectedSet, r *request) bool {
	for _, e := range all {
		if !e.silent(s.now) && r.canRunAt(e, ejected) {
			return true
		}
	}
	return false
}

// cancelSilentAttempts cancels repeatable attempts at silent engines whose requests
// can go on elsewhere. AttemptEnded then repeats the request, or resumes its
// stream after the tokens that were relayed.
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
		s.emit(Note{Part: "requests", Text: "cancels an attempt at an engine that does not report", Endpoint: a.endpoint})
		s.cancelAttempt(a.request)
	}
}

func (s *State) shouldCancelSilent(a *attempt) bool {
	r := a.request
	if a.silentCanceled || r.attempt != a || r.singleRun || s.now.Sub(a.startedAt) < silentGrace {
		return false
	}
	e := s.attemptEndpoint(a)
	if e == nil || !e.silent(s.now) {
		return false
	}
	all := s.laneEndpoints(r.lane)
	ejected := s.ejectedAmong(all)
	for _, other := range all {
		// Tokens that were relayed since the attempt began are not known here.
		sameAnswer := !a.gotFirstToken || other.loaded[r.key].Version == a.version
		if !other.silent(s.now) && sameAnswer && r.canRunAt(other, &ejected) {
			return true
		}
	}
	return false
}
