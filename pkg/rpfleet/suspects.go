package rpfleet

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	// minSuspectReports is the number of instances that must have ejected an
	// endpoint before the others avoid it too. On a large deployment each instance
	// sends an endpoint a request every few seconds: without the reports of others,
	// each would lose requests to an engine that went dark, and a majority would
	// never have ejected it at the same time.
	minSuspectReports = 5
	// suspectTime is how long an endpoint is avoided after the planner named it.
	// It is more than the time between two answers of the planner.
	suspectTime = 2500 * time.Millisecond
)

// updateSuspects updates the endpoints that failed at several instances, from the
// latest demand of each.
func (s *State) updateSuspects() {
	reports := map[rpcore.EndpointID]int{}
	for _, d := range s.plan.demands {
		for _, id := range d.Ejected {
			reports[id]++
		}
	}
	before := s.plan.suspects
	s.plan.suspects = nil
	for _, id := range sortedKeys(reports) {
		if reports[id] < minSuspectReports {
			continue
		}
		s.plan.suspects = append(s.plan.suspects, id)
		if !slices.Contains(before, id) {
			s.note("members", "an endpoint failed at several instances", Field{"endpoint", string(id)}, Field{"reports", reports[id]},
				Field{"instances", len(s.plan.demands)})
		}
	}
}

// unusableEndpoints returns the endpoints whose replicas don't count: those that are
// suspect, and those that most instances have ejected or are held off by.
func (s *State) unusableEndpoints() map[rpcore.EndpointID]bool {
	counts := map[rpcore.EndpointID]int{}
	for _, d := range s.plan.demands {
		for _, id := range d.Ejected {
			counts[id]++
		}
		for _, id := range d.Extension.HeldOff {
			counts[id]++
		}
	}
	unusable := map[rpcore.EndpointID]bool{}
	for id, n := range counts {
		if n*2 > len(s.plan.demands) || slices.Contains(s.plan.suspects, id) {
			unusable[id] = true
		}
	}
	return unusable
}

// applySuspects avoids the endpoints that the planner named for a while. Their
// ejections at the instances that reported them end meanwhile, so that a few
// instances try them again before all do.
func (s *State) applySuspects(ids []rpcore.EndpointID) {
	for _, id := range ids {
		if e := s.endpoints[id]; e != nil && !e.health.isEjected(s.now) {
			e.suspectUntil = s.now.Add(suspectTime)
		}
	}
}

// isAvoided reports whether an endpoint gets no new work while others can take it.
func (e *endpoint) isAvoided(now time.Time) bool {
	return e.health.isEjected(now) || now.Before(e.suspectUntil)
}
