package rpcore

import (
	"slices"
	"time"
)

const (
	// reportStaleAfter is the age at which a report of a peer no longer shows that
	// the engine is being polled.
	reportStaleAfter = 5 * time.Second
	// reportShareInterval is the least time between two shared reports of an engine
	// whose models did not change.
	reportShareInterval = time.Second
)

// engineReported takes in a report; own says that this instance polled it.
func (s *State) engineReported(report EngineReport, polled bool) {
	e := s.members.endpoints[report.Endpoint]
	if e == nil || e.Incarnation != report.Incarnation {
		return
	}
	if !e.reportedAt.IsZero() && report.Sequence <= e.report.Sequence {
		return
	}
	changed := e.reportedAt.IsZero() || !sameModelState(e.report, report)
	e.report = report
	e.reportedAt = s.now
	s.recordEndpointReport(e, report.Sequence, polled)
	if polled {
		s.shareReport(e, changed)
	}
	if report.Leaving {
		s.markEndpointLeaving(e.id, e.Incarnation)
	}
	s.replicaReportChanged(e)
	s.dispatchAt(e)
}

// shareReport tells the peers at once what models an engine has, and its load
// at most once per shareInterval.
func (s *State) shareReport(e *endpoint, changed bool) {
	if !changed && s.now.Sub(e.sharedAt) < reportShareInterval {
		return
	}
	e.sharedAt = s.now
	share := ReportShare{Report: e.report}
	for _, peer := range s.peerIDs() {
		s.sendPeer(peer, PeerMessage{ReportShare: &share})
	}
}

func sameModelState(a, b EngineReport) bool {
	return a.Leaving == b.Leaving && slices.Equal(a.Loaded, b.Loaded) && slices.Equal(a.Cached, b.Cached)
}

// engineUnreachable takes in a failed poll. Only a refused connection proves
// that nothing listens; a time-out may be the network between the two.
func (s *State) engineUnreachable(ev EngineUnreachable) {
	e := s.members.endpoints[ev.Endpoint]
	if e == nil || !ev.Refused {
		return
	}
	s.markEndpointRefused(e.id, e.Incarnation)
}
