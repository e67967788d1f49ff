package rpcore

import (
	"slices"
	"time"
)

const (
	// minPollInterval is the interval at which an engine is polled while the
	// instance polls few.
	minPollInterval = 500 * time.Millisecond
	// pollIntervalPerEngine stretches the interval, so that an instance sends
	// at most 25 polls a second.
	pollIntervalPerEngine = 40 * time.Millisecond
)

// pollingView holds the engines that this instance polls.
type pollingView struct {
	// requested holds what was last asked for each of them.
	requested map[EndpointID]PollEngine
	// polled lists the engines of asked, as of a count of member changes.
	polled           []*endpoint
	polledGeneration uint64
	// live and members say what the engines below were worked out from.
	live       []InstanceID
	generation uint64
	// assigned lists the engines whose reporter this instance is, and local
	// those of its failure domain, both ordered by id. They are replaced and
	// never changed in place.
	assigned      []*endpoint
	assignedLocal []*endpoint
}

// updatePolling polls the engines whose reporter this instance is: the home
// of the engine among the live instances of its failure domain, or among all
// where that domain has none. The reporter shares what it learns.
func (s *State) updatePolling() {
	mine := s.enginesToPoll()
	polling := &s.members.polling
	if polling.polledGeneration == s.members.generation && slices.Equal(mine, polling.polled) {
		return
	}
	polling.polled, polling.polledGeneration = mine, s.members.generation
	interval := max(minPollInterval, time.Duration(len(mine))*pollIntervalPerEngine)
	s.stopPolling(mine)
	for _, e := range mine {
		poll := PollEngine{Endpoint: e.id, Address: e.Address, Interval: interval}
		if polling.requested[e.id] == poll {
			continue
		}
		polling.requested[e.id] = poll
		s.emit(poll)
	}
}

// enginesToPoll returns the engines that this instance polls, ordered by
// id. An instance of the engine's own domain also polls when the reporter's
// reports have stopped.
func (s *State) enginesToPoll() []*endpoint {
	polling := &s.members.polling
	if polling.generation != s.members.generation || !sameLive(polling.live, s.members.live) {
		s.updateAssignedEngines()
	}
	mine, local := polling.assigned, polling.assignedLocal
	extended := false
	for _, e := range s.members.enginesByDomain[s.self.FailureDomain] {
		if len(local) > 0 && local[0] == e {
			local = local[1:]
			continue
		}
		if s.now.Sub(e.reportedAt) > reportStaleAfter && s.now.Sub(e.listedAt) > reportStaleAfter {
			if !extended {
				mine = slices.Clone(mine)
				extended = true
			}
			mine = append(mine, e)
		}
	}
	if extended {
		slices.SortFunc(mine, compareEndpoints)
	}
	return mine
}

// updateAssignedEngines works out whose reporter this instance is. Engines of other
// domains are not looked at while those have instances.
func (s *State) updateAssignedEngines() {
	polling := &s.members.polling
	polling.live, polling.generation = s.members.live, s.members.generation
	polling.assigned, polling.assignedLocal = nil, nil
	live := s.liveByDomain()
	for domain, engines := range s.members.enginesByDomain {
		own := domain == s.self.FailureDomain
		if !own && len(live[domain]) > 0 {
			continue
		}
		mine := s.assignedEngines(engines, live[domain])
		polling.assigned = append(polling.assigned, mine...)
		if own {
			polling.assignedLocal = mine
		}
	}
	slices.SortFunc(polling.assigned, compareEndpoints)
}

func (s *State) assignedEngines(engines []*endpoint, local []InstanceID) (mine []*endpoint) {
	if len(local) == 0 {
		local = s.members.live
	}
	for _, e := range engines {
		if rendezvous("report/"+string(e.id), local) == s.self.Instance {
			mine = append(mine, e)
		}
	}
	return mine
}

func (s *State) stopPolling(mine []*endpoint) {
	var stopped []EndpointID
	for id := range s.members.polling.requested {
		_, kept := slices.BinarySearchFunc(mine, id, compareEndpoint)
		if !kept {
			stopped = append(stopped, id)
		}
	}
	slices.Sort(stopped)
	for _, id := range stopped {
		delete(s.members.polling.requested, id)
		s.emit(PollEngine{Endpoint: id})
	}
}
