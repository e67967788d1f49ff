package rpcore

import (
	"slices"
	"time"
)

const (
	// reportStaleAfter is the age of the last report after which an engine
	// counts as not polled by anyone.
	reportStaleAfter = 5 * time.Second
	// reportShareInterval is the minimum time between two shared reports of an
	// engine if its models did not change.
	reportShareInterval = time.Second
)

// engineReported applies a report of an engine. polled is set if this instance
// polled it, and not set if a peer shared it.
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
	s.applyEngineReport(e)
	s.dispatchToEndpoint(e)
}

// shareReport sends a report to the peers: at once if the models of the engine
// changed, otherwise at most once per reportShareInterval.
func (s *State) shareReport(e *endpoint, changed bool) {
	if !changed && s.now.Sub(e.reportSharedAt) < reportShareInterval {
		return
	}
	e.reportSharedAt = s.now
	share := ReportShare{Report: e.report}
	for _, peer := range s.peerIDs() {
		s.sendPeer(peer, PeerMessage{ReportShare: &share})
	}
}

// sameModelState reports whether two reports differ in the load of the engine
// at most.
func sameModelState(a, b EngineReport) bool {
	return a.Leaving == b.Leaving && slices.Equal(a.Loaded, b.Loaded) && slices.Equal(a.Cached, b.Cached)
}

// engineUnreachable handles a failed poll. Only a refused connection proves
// that no process listens; a timeout may be caused by the network.
func (s *State) engineUnreachable(ev EngineUnreachable) {
	e := s.members.endpoints[ev.Endpoint]
	if e == nil || !ev.Refused {
		return
	}
	s.markEndpointRefused(e.id, e.Incarnation)
}
