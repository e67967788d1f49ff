package rpcore

import (
	"slices"
	"time"
)

const (
	// minPollInterval is the shortest interval at which an engine is polled.
	minPollInterval = 500 * time.Millisecond
	// pollIntervalPerEngine is the polling interval per polled engine. It
	// limits an instance to 25 polls per second.
	pollIntervalPerEngine = 40 * time.Millisecond
)

// pollingView tracks which engines this instance polls.
type pollingView struct {
	// requested holds the last PollEngine effect for each polled engine.
	requested map[EndpointID]PollEngine
	// polled lists the engines in requested, as of the member generation
	// polledGeneration.
	polled           []*endpoint
	polledGeneration uint64
	// live and generation are the live instances and the member generation from
	// which assigned and assignedLocal were computed.
	live       []InstanceID
	generation uint64
	// assigned lists the engines that this instance is the reporter of, and
	// assignedLocal those of them in its own failure domain. Both are ordered
	// by id. They are replaced as a whole and never modified.
	assigned      []*endpoint
	assignedLocal []*endpoint
}

// updatePolling starts and stops the polling of engines. Each engine is polled
// by its reporter, which shares the reports with its peers. The reporter is
// chosen by rendezvous hashing among the live instances in the engine's failure
// domain, or among all live instances if that domain has none.
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

// enginesToPoll returns the engines that this instance polls, ordered by id. In
// addition to its assigned engines, it polls those of its own domain whose
// reports have stopped.
func (s *State) enginesToPoll() []*endpoint {
	polling := &s.members.polling
	if polling.generation != s.members.generation || !isSameLiveList(polling.live, s.members.live) {
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

// updateAssignedEngines computes the engines that this instance is the reporter
// of. It skips other failure domains that have live instances.
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
		_, kept := slices.BinarySearchFunc(mine, id, compareEndpointID)
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
