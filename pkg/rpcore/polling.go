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
	// assigned lists the engines that this instance is the reporter of.
	// assignedLocal lists the subset in its own failure domain. Both are
	// ordered by id. They are replaced as a whole and never modified.
	assigned      []*endpoint
	assignedLocal []*endpoint
}

// updatePolling starts and stops the polling of engines. Each engine is polled
// by its reporter, which shares the reports with its peers. The reporter is
// chosen by rendezvous hashing among the live instances in the engine's failure
// domain, or among all live instances if that domain has none.
func (s *State) updatePolling() {
	toPoll := s.enginesToPoll()
	polling := &s.members.polling
	if polling.polledGeneration == s.members.generation && slices.Equal(toPoll, polling.polled) {
		return
	}
	polling.polled, polling.polledGeneration = toPoll, s.members.generation
	interval := max(minPollInterval, time.Duration(len(toPoll))*pollIntervalPerEngine)
	s.stopPolling(toPoll)
	for _, e := range toPoll {
		poll := PollEngine{Endpoint: e.id, Address: e.Address, Interval: interval}
		if polling.requested[e.id] == poll {
			continue
		}
		polling.requested[e.id] = poll
		s.emit(poll)
	}
}

// enginesToPoll returns the engines that this instance polls, ordered by id. In
// addition to its assigned engines, it polls the engines of its own failure
// domain whose reports have stopped.
func (s *State) enginesToPoll() []*endpoint {
	polling := &s.members.polling
	if polling.generation != s.members.generation || !isSameLiveList(polling.live, s.members.live) {
		s.updateAssignedEngines()
	}
	toPoll, local := polling.assigned, polling.assignedLocal
	extended := false
	for _, e := range s.members.enginesByDomain[s.self.FailureDomain] {
		if len(local) > 0 && local[0] == e {
			local = local[1:]
			continue
		}
		if s.now.Sub(e.reportedAt) > reportStaleAfter && s.now.Sub(e.listedAt) > reportStaleAfter {
			if !extended {
				toPoll = slices.Clone(toPoll)
				extended = true
			}
			toPoll = append(toPoll, e)
		}
	}
	if extended {
		slices.SortFunc(toPoll, compareEndpoints)
	}
	return toPoll
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
		assigned := s.assignedEngines(engines, live[domain])
		polling.assigned = append(polling.assigned, assigned...)
		if own {
			polling.assignedLocal = assigned
		}
	}
	slices.SortFunc(polling.assigned, compareEndpoints)
}

// assignedEngines returns the given engines that this instance is the reporter
// of. If their failure domain has no live instances, local is empty and all
// live instances are candidates.
func (s *State) assignedEngines(engines []*endpoint, local []InstanceID) (assigned []*endpoint) {
	if len(local) == 0 {
		local = s.members.live
	}
	for _, e := range engines {
		if rendezvous("report/"+string(e.id), local) == s.self.Instance {
			assigned = append(assigned, e)
		}
	}
	return assigned
}

// stopPolling stops the polling of all engines that are not in toPoll.
func (s *State) stopPolling(toPoll []*endpoint) {
	var stopped []EndpointID
	for id := range s.members.polling.requested {
		_, kept := slices.BinarySearchFunc(toPoll, id, compareEndpointID)
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
