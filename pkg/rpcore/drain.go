package rpcore

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	// readyInterval is the time between two looks at whether documents are
	// known.
	readyInterval = 250 * time.Millisecond
	// drainInterval is the time between two looks at whether a planned stop
	// may end.
	drainInterval = 100 * time.Millisecond
)

// checkReady tells the front once that callers may be sent here.
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

// drainRequested starts a planned stop: new requests are refused, and those
// in progress or queued go on until the drain timeout.
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

// checkDrained ends a planned stop when no work is left. Attempts that
// outlive their request and outcomes that are still to be written count as
// work.
func (s *State) checkDrained() {
	if !s.draining || s.requests.drained {
		return
	}
	idle := len(s.requests.byID) == 0 && len(s.requests.attempts) == 0 && s.claims.settling == 0
	if idle && s.requests.deps.replicasReleased(s) {
		s.reportDrained()
	}
}

// drainTimedOut refuses what is left, so that no caller loses its connection
// without an answer.
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
		s.refuseEarlierUnknown(r, "The instance stops before the earlier request has ended.")
		return
	}
	s.refuse(r, rpverdict.CodeDraining, "The instance stops before the request could be finished.")
}

func (s *State) reportDrained() {
	s.requests.drained = true
	s.emit(ReportDrained{})
}
