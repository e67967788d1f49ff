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
	// reportStale is the age at which a report of a peer no longer shows that
	// the engine is being polled.
	reportStale = 5 * time.Second
	// shareInterval is the least time between two shared reports of an engine
	// whose models did not change.
	shareInterval = time.Second
)

// updatePolling polls the engines whose reporter this instance is: the home
// of the engine among the live instances of its failure domain, or among all
// where that domain has none. The reporter shares what it learns.
func (s *State) updatePolling() {
	domains := s.liveByDomain()
	var mine []*endpoint
	for _, id := range s.members.order {
		e := s.members.endpoints[id]
		if e.Kind == MemberEngine && s.pollsEngine(e, domains[e.FailureDomain]) {
			mine = append(mine, e)
		}
	}
	interval := max(minPollInterval, time.Duration(len(mine))*pollIntervalPerEngine)
	s.stopPolling(mine)
	for _, e := range mine {
		if s.members.polled[e.id] == interval {
			continue
		}
		s.members.polled[e.id] = interval
		s.emit(PollEngine{Endpoint: e.id, Address: e.Address, Interval: interval})
	}
}

// pollsEngine reports whether this instance polls an engine. An instance of
// the engine's own domain also polls when the reporter's reports have stopped.
func (s *State) pollsEngine(e *endpoint, local []InstanceID) bool {
	if len(local) == 0 {
		local = s.members.live
	}
	if rendezvous("report/"+string(e.id), local) == s.self.Instance {
		return true
	}
	if e.FailureDomain != s.self.FailureDomain || e.listedAt.IsZero() {
		return false
	}
	return s.now.Sub(e.reportedAt) > reportStale && s.now.Sub(e.listedAt) > reportStale
}

func (s *State) stopPolling(mine []*endpoint) {
	kept := make(map[EndpointID]bool, len(mine))
	for _, e := range mine {
		kept[e.id] = true
	}
	var stopped []EndpointID
	for id := range s.members.polled {
		if !kept[id] {
			stopped = append(stopped, id)
		}
	}
	slices.Sort(stopped)
	for _, id := range stopped {
		delete(s.members.polled, id)
		s.emit(PollEngine{Endpoint: id})
	}
}

// engineReported takes in a report; own says that this instance polled it.
func (s *State) engineReported(report EngineReport, own bool) {
	e := s.members.endpoints[report.Endpoint]
	if e == nil || e.Incarnation != report.Incarnation {
		return
	}
	if !e.reportedAt.IsZero() && report.Sequence <= e.report.Sequence {
		return
	}
	changed := e.reportedAt.IsZero() || !sameModels(e.report, report)
	e.report = report
	e.reportedAt = s.now
	if own {
		s.endpointAnswered(e)
		s.shareReport(e, changed)
	}
	if report.Leaving {
		s.endpointLeaving(e.id, e.Incarnation)
	}
	s.replicaReportChanged(e)
	s.dispatchAt(e)
}

// shareReport tells the peers at once what models an engine has, and its load
// at most once per shareInterval.
func (s *State) shareReport(e *endpoint, changed bool) {
	if !changed && s.now.Sub(e.sharedAt) < shareInterval {
		return
	}
	e.sharedAt = s.now
	share := ReportShare{Report: e.report}
	for _, peer := range s.peerIDs() {
		s.sendPeer(peer, PeerMessage{ReportShare: &share})
	}
}

func sameModels(a, b EngineReport) bool {
	return a.Leaving == b.Leaving && slices.Equal(a.Loaded, b.Loaded) && slices.Equal(a.Cached, b.Cached)
}

// engineUnreachable takes in a failed poll. Only a refused connection proves
// that nothing listens; a time-out may be the network between the two.
func (s *State) engineUnreachable(ev EngineUnreachable) {
	e := s.members.endpoints[ev.Endpoint]
	if e == nil || !ev.Refused {
		return
	}
	s.endpointRefused(e.id, e.Incarnation)
}
