package rpfleet

import (
	"slices"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

func (s *State) handleDrainRequested() {
	s.draining = true
	s.updateReadiness()
	s.releaseLease()
}

// handleDrainTimeoutPassed ends all requests. Those without a response get a refusal,
// which says whether they may have run, rather than a closed connection.
func (s *State) handleDrainTimeoutPassed() {
	s.drainTimeoutNear, s.drainTimeoutPassed = true, true
	s.emit(CancelAllAttempts{})
}

// stoppingDetail is the detail of refusals at the end of a planned stop.
const stoppingDetail = "This instance is stopping."

// refuseWaitingRequests refuses all requests in the queues when a planned stop has
// no time left. It runs after each later event too: requests still arrive, and those
// in progress may return to a queue.
func (s *State) refuseWaitingRequests() {
	for _, service := range sortedKeys(s.queues) {
		for _, r := range slices.Clone(s.queues[service]) {
			code := rpverdict.CodeDraining
			if r.possibleRuns > 0 {
				code = s.brokenCode(r)
			}
			s.refuseRequest(r, s.unansweredRefusal(r, code, stoppingDetail))
		}
	}
}
