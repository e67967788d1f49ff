package rpcore

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	// readyInterval is the time between two checks whether the documents are
	// known.
	readyInterval = 250 * time.Millisecond
	// drainInterval is the time between two checks whether a planned stop
	// is complete.
	drainInterval = 100 * time.Millisecond
)

// checkReady reports once that this instance is ready for callers, as soon as
// it has all documents.
func (s *State) checkReady() {
	if !s.requests.started || s.requests.ready || s.draining {
		return
	}
	if s.requests.deps.hasDocuments(s) {
		s.requests.ready = true
		s.emit(ReportReady{Ready: true})
	}
}

func (s *State) scheduleReadyCheck() {
	s.runAfter(readyInterval, func(s *State) {
		s.checkReady()
		if !s.requests.ready && !s.draining {
			s.scheduleReadyCheck()
		}
	})
}

// drainRequested starts a planned stop. New requests are refused. Those in
// progress or queued continue until the drain timeout.
func (s *State) drainRequested() {
	if s.draining {
		return
	}
	s.draining = true
	s.requests.ready = false
	s.emit(ReportReady{Reason: "draining"})
	s.runAfter(s.limits.DrainTimeout, (*State).drainTimedOut)
	s.scheduleDrainCheck()
	s.checkDrained()
}

func (s *State) scheduleDrainCheck() {
	s.runAfter(drainInterval, func(s *State) {
		s.checkDrained()
		if !s.requests.drained {
			s.scheduleDrainCheck()
		}
	})
}

// checkDrained ends a planned stop if no work is left. Work includes
// attempts that outlive their request and outcomes that are not written yet.
func (s *State) checkDrained() {
	if !s.draining || s.requests.drained {
		return
	}
	idle := len(s.requests.byID) == 0 && len(s.requests.attempts) == 0 && s.claims.finalizing == 0
	if idle && s.requests.deps.replicasDrained(s) {
		s.reportDrained()
	}
}

// drainTimedOut refuses the remaining requests, so that every caller gets an
// answer before its connection is closed.
func (s *State) drainTimedOut() {
	if s.requests.drained {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.requests.byID)) {
		if r, ok := s.requests.byID[id]; ok {
			s.refuseUnfinished(r)
		}
	}
	if !s.requests.drained {
		s.reportDrained()
	}
}

func (s *State) refuseUnfinished(r *request) {
	if r.phase == phaseFollowing {
		s.refuseUnknownOutcome(r, "The instance stops before the earlier request has ended.")
		return
	}
	s.refuseRequest(r, rpverdict.CodeDraining, "The instance stops before the request could be finished.")
}

func (s *State) reportDrained() {
	s.requests.drained = true
	s.emit(ReportDrained{})
}
