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
			s.refuseRequest(r, s.unansweredRefusal(r, code, "This instance is stopping."))
		}
	}
}
