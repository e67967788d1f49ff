package rpcore

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// feedReport feeds a report of engine-1 that peer b has just polled.
func (d *driver) feedReport(sequence uint64) {
	report := EngineReport{Endpoint: "engine-1", Incarnation: "e1", Sequence: sequence}
	d.feed(PeerReceived{d.stamp(), "b", PeerMessage{ReportShare: &ReportShare{report}}})
}

// feedNotice feeds a notice from peer b about engine-1.
func (d *driver) feedNotice(evidence LeavingEvidence, sequence uint64, age time.Duration) {
	notice := LeavingNotice{Endpoint: "engine-1", Incarnation: "e1", Evidence: evidence, Sequence: sequence, Age: age}
	d.feed(PeerReceived{d.stamp(), "b", PeerMessage{LeavingNotice: &notice}})
}

// sentLeavingNotices returns the leaving notices that were sent to peers.
func (d *driver) sentLeavingNotices() []LeavingNotice {
	var notices []LeavingNotice
	for _, sent := range driverEffects[SendPeer](d) {
		if sent.Message.LeavingNotice != nil {
			notices = append(notices, *sent.Message.LeavingNotice)
		}
	}
	return notices
}

func (d *driver) engineLeaving() bool { return d.endpointByID("engine-1").leaving }

// Guards against new work for a dead engine after a report that was taken
// before the refused connection but was not yet known to the refused instance
// (found by TestLeavingSpreads with the seed 518). Also guards against a
// refusal that outlives the next report.
func TestEarlierReportDoesNotRefute(t *testing.T) {
	evidence := map[string]func(d *driver){
		"the report is known when the refusal comes": func(d *driver) {
			d.feedReport(6)
			d.advance(1)
			d.feedNotice(LeavingRefused, 5, 0)
		},
		"a peer refutes with the report": func(d *driver) {
			d.feed(EngineUnreachable{d.stamp(), "engine-1", true})
			d.feedNotice(LeavingRefuted, 6, time.Second)
		},
		"the report was under way": func(d *driver) {
			d.feed(EngineUnreachable{d.stamp(), "engine-1", true})
			d.feedReport(6)
		},
		"a later refusal of another instance came first": func(d *driver) {
			d.feedNotice(LeavingRefused, 5, 2*time.Second)
			d.feedNotice(LeavingRefused, 4, 0)
			d.feedNotice(LeavingRefuted, 6, time.Second)
		},
		"the endpoint refused this instance again": func(d *driver) {
			d.feed(EngineUnreachable{d.stamp(), "engine-1", true})
			d.advance(2)
			d.feed(EngineUnreachable{d.stamp(), "engine-1", true})
			d.feedNotice(LeavingRefuted, 6, time.Second)
		},
	}
	for name, feed := range evidence {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := withDriver()
			d.listMembers(engineMember("e1", 1))
			feed(d)
			g.Expect(d.engineLeaving()).To(BeTrue())
			g.Expect(d.leavingNotices()).To(HaveLen(1))
			g.Expect(d.leavingNotices()[0]).To(And(
				HaveField("Evidence", LeavingRefused), HaveField("Sequence", uint64(6)), HaveField("Age", BeNumerically("<", time.Second)),
			))
			d.advance(1)
			d.feedReport(7)
			g.Expect(d.engineLeaving()).To(BeFalse())
		})
	}
}

// Guards against an endpoint that gets no work because a peer repeats a refusal
// that ended long ago.
func TestLaterReportRefutes(t *testing.T) {
	reports := map[string]func(d *driver){
		"report":     func(d *driver) { d.feedReport(6) },
		"refutation": func(d *driver) { d.feedNotice(LeavingRefuted, 6, 0) },
	}
	for name, report := range reports {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := withDriver()
			d.listMembers(engineMember("e1", 1))
			d.advance(5)
			report(d)
			d.advance(1)
			d.feedNotice(LeavingRefused, 5, 3*time.Second)
			g.Expect(d.engineLeaving()).To(BeFalse())
			g.Expect(d.sentLeavingNotices()).To(HaveLen(1))
			g.Expect(d.sentLeavingNotices()[0]).To(And(
				HaveField("Evidence", LeavingRefuted), HaveField("Sequence", uint64(6)), HaveField("Age", time.Second),
			))
		})
	}
}
