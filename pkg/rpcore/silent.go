package rpcore

import (
	"slices"
	"time"
)

const (
	// silentPatience is the least time that an attempt has at an engine that
	// has stopped to report, so that a request does not wander between engines
	// while their reports are late.
	silentPatience = 3 * time.Second
	// abandonLimit bounds the attempts that one look abandons. Requests of a
	// whole engine would otherwise come to the others at the same moment.
	abandonLimit = 32
)

// silent reports whether an engine has stopped to report: its process is
// frozen, or no instance can reach it. Its connections stay open in both cases,
// so an attempt there would wait until the deadline of its request. Plain
// services don't report and are never silent.
func (e *endpoint) silent(now time.Time) bool {
	return e.Kind == MemberEngine && !e.reportedAt.IsZero() && e.reportExpired(now)
}

// hasHeard reports whether one of the endpoints that can take a request is not
// silent. Where all are silent, it is rather this instance that hears nothing.
func (s *State) hasHeard(all []*endpoint, ejected *ejectedSet, r *request) bool {
	for _, e := range all {
		if !e.silent(s.now) && r.mayGoTo(e, ejected) {
			return true
		}
	}
	return false
}

// abandonSilent cancels repeatable attempts at silent engines whose requests
// can go on elsewhere. AttemptEnded then repeats the request, or resumes its
// stream after the tokens that were relayed.
func (s *State) abandonSilent() {
	var due []AttemptID
	for id, a := range s.requests.attempts {
		if s.shouldAbandon(a) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due[:min(len(due), abandonLimit)] {
		a := s.requests.attempts[id]
		a.abandoned = true
		s.emit(Note{Part: "requests", Text: "cancels an attempt at an engine that does not report", Endpoint: a.endpoint})
		s.cancelAttempt(a.request)
	}
}

func (s *State) shouldAbandon(a *attempt) bool {
	r := a.request
	if a.abandoned || r.attempt != a || r.singleRun || s.now.Sub(a.startedAt) < silentPatience {
		return false
	}
	e := s.endpointOf(a)
	if e == nil || !e.silent(s.now) {
		return false
	}
	all := s.endpointsOf(r.lane)
	ejected := s.ejectedOf(all)
	for _, other := range all {
		// Tokens that were relayed since the attempt began are not known here.
		sameAnswer := !a.answering || other.loaded[r.key].Version == a.version
		if !other.silent(s.now) && sameAnswer && r.mayGoTo(other, &ejected) {
			return true
		}
	}
	return false
}
