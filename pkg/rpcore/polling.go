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
	// asked holds what was last asked for each of them.
	asked map[EndpointID]PollEngine
	// current lists the engines of asked, as of a count of member changes.
	current        []*endpoint
	currentMembers uint64
	// live and members say what the engines below were worked out from.
	live    []InstanceID
	members uint64
	// reporter lists the engines whose reporter this instance is, and local
	// those of its failure domain, both ordered by id. They are replaced and
	// never changed in place.
	reporter []*endpoint
	local    []*endpoint
}

// updatePolling polls the engines whose reporter this instance is: the home
// of the engine among the live instances of its failure domain, or among all
// where that domain has none. The reporter shares what it learns.
func (s *State) updatePolling() {
	mine := s.engineReporterOf()
	polling := &s.members.polling
	if polling.currentMembers == s.members.changes && slices.Equal(mine, polling.current) {
		return
	}
	polling.current, polling.currentMembers = mine, s.members.changes
	interval := max(minPollInterval, time.Duration(len(mine))*pollIntervalPerEngine)
	s.stopPolling(mine)
	for _, e := range mine {
		poll := PollEngine{Endpoint: e.id, Address: e.Address, Interval: interval}
		if polling.asked[e.id] == poll {
			continue
		}
		polling.asked[e.id] = poll
		s.emit(poll)
	}
}

// engineReporterOf returns the engines that this instance polls, ordered by
// id. An instance of the engine's own domain also polls when the reporter's
// reports have stopped.
func (s *State) engineReporterOf() []*endpoint {
	polling := &s.members.polling
	if polling.members != s.members.changes || !sameLive(polling.live, s.members.live) {
		s.indexReporter()
	}
	mine, local := polling.reporter, polling.local
	extended := false
	for _, e := range s.members.domains[s.self.FailureDomain] {
		if len(local) > 0 && local[0] == e {
			local = local[1:]
			continue
		}
		if s.now.Sub(e.reportedAt) > reportStale && s.now.Sub(e.listedAt) > reportStale {
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

// indexReporter works out whose reporter this instance is. Engines of other
// domains are not looked at while those have instances.
func (s *State) indexReporter() {
	polling := &s.members.polling
	polling.live, polling.members = s.members.live, s.members.changes
	polling.reporter, polling.local = nil, nil
	live := s.liveByDomain()
	for domain, engines := range s.members.domains {
		own := domain == s.self.FailureDomain
		if !own && len(live[domain]) > 0 {
			continue
		}
		mine := s.reporterAmong(engines, live[domain])
		polling.reporter = append(polling.reporter, mine...)
		if own {
			polling.local = mine
		}
	}
	slices.SortFunc(polling.reporter, compareEndpoints)
}

func (s *State) reporterAmong(engines []*endpoint, local []InstanceID) (mine []*endpoint) {
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
	for id := range s.members.polling.asked {
		_, kept := slices.BinarySearchFunc(mine, id, compareEndpoint)
		if !kept {
			stopped = append(stopped, id)
		}
	}
	slices.Sort(stopped)
	for _, id := range stopped {
		delete(s.members.polling.asked, id)
		s.emit(PollEngine{Endpoint: id})
	}
}
