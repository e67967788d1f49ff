package rpfleet_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// withUntoldInstance returns an instance that was told nothing of the quarantine.
func withUntoldInstance(t *testing.T) *harness {
	t.Helper()
	h := withHarness(t)
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: testConfig(1)})
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now, Complete: true, Entries: manyEngines(6)})
	h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: rpfleet.LeaseRow{
		Revision: 10, Holder: "front-2", Epoch: 1, Renewals: 1, Address: netip.MustParseAddrPort("10.0.0.2:7000"),
	}})
	return h
}

func (h *harness) readStore(quarantined ...string) {
	ev := rpfleet.EvidenceRead{Stamp: h.stamp(), Complete: true}
	for _, part := range quarantined {
		ev.Quarantined = append(ev.Quarantined, rpfleet.PartTime{Part: part, Time: 9 * time.Minute})
	}
	h.apply(ev)
}

func (h *harness) readPlacement(askedAt time.Time, q *rpfleet.Quarantine) {
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: askedAt, Placement: rpfleet.Placement{IsPlanner: true, Instances: 3, Quarantine: q}})
}

func (h *harness) isReady() bool {
	reports := effectsOf[rpfleet.ReportReady](h)
	return len(reports) > 0 && reports[len(reports)-1].Ready
}

// Guards against an instance that has just started and sends requests whose parts
// crash engines before it was told of the quarantine.
func TestStartedInstanceAwaitsQuarantine(t *testing.T) {
	deadly := []rpfleet.PartTime{{Part: "deadly", Time: 9 * time.Minute}}
	for source, tell := range map[string]func(*harness){
		"store":   func(h *harness) { h.readStore("deadly") },
		"planner": func(h *harness) { h.readPlacement(h.now, &rpfleet.Quarantine{Quarantined: deadly}) },
	} {
		t.Run(source, func(t *testing.T) {
			g := NewWithT(t)
			h := withUntoldInstance(t)
			g.Expect(h.state.FollowsEvidence()).To(BeTrue())
			h.arrivePrompt("a", "head", "deadly")
			g.Expect(h.refusalOf("a")).NotTo(BeNil())
			g.Expect(h.refusalOf("a").Code).To(Equal(rpverdict.CodeQuarantineUnknown))
			g.Expect(h.refusalOf("a").Verdict).To(Equal(rpverdict.NotRun))
			g.Expect(h.refusalOf("a").RetryAfter).To(BeNumerically("<=", time.Second))
			g.Expect(h.isReady()).To(BeFalse())
			h.arriveRequest("b", "/suggest/1", "m0")
			g.Expect(h.refusalOf("b")).To(BeNil(), "a request without shared parts crashes no second engine")
			tell(h)
			g.Expect(h.isReady()).To(BeTrue())
			g.Expect(h.isQuarantined("c", "head", "deadly")).To(BeTrue())
			h.arrivePrompt("d", "head", "sound")
			g.Expect(h.refusalOf("d")).To(BeNil())
		})
	}
}

// Guards against a planner that has just started and tells all others that no part is
// in quarantine.
func TestStartedPlannerTellsNoDecision(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: testConfig(1)})
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now, Complete: true, Entries: manyEngines(6)})
	h.becomePlanner()
	g.Expect(h.reportEvidence("front-2", rpfleet.CrashEvidence{})).To(BeNil())
	h.readStore("deadly")
	answer := h.reportEvidence("front-2", rpfleet.CrashEvidence{})
	g.Expect(answer).NotTo(BeNil())
	g.Expect(partNames(answer.Quarantined)).To(ConsistOf("deadly"))
}

// Guards against an answer to an earlier demand that removes a part which this
// instance has read in the store since.
func TestAnswerToEarlierDemandKeepsAdoptedParts(t *testing.T) {
	g := NewWithT(t)
	h := withUntoldInstance(t)
	askedAt := h.now
	h.advance(10 * time.Millisecond)
	h.readStore("deadly")
	h.readPlacement(askedAt, &rpfleet.Quarantine{})
	g.Expect(h.isQuarantined("a", "head", "deadly")).To(BeTrue())
	h.readPlacement(h.now, &rpfleet.Quarantine{})
	g.Expect(h.isQuarantined("b", "head", "deadly")).To(BeFalse(), "the planner knows what this instance has read")
}

// Guards against a quarantine that the store lacks because its writes failed, or has
// as an earlier planner wrote it.
func TestPlannerWritesQuarantineAgain(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.crashOn("a", "head", "deadly")
	h.crashOn("b", "head", "deadly")
	h.discardEffects()
	h.advanceRenewingLease(30 * time.Second)
	g.Expect(len(effectsOf[rpfleet.PostQuarantine](h))).To(BeNumerically("~", 3, 1))
}

// Guards against a new planner that leaves the store with the quarantine of the one
// before, which may not have been written.
func TestNewPlannerWritesAdoptedQuarantine(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.discardEffects()
	h.reportEvidence("front-2", rpfleet.CrashEvidence{Quarantined: []rpfleet.PartTime{{Part: "deadly", Time: 9 * time.Minute}}})
	h.advanceRenewingLease(time.Second)
	posted := effectsOf[rpfleet.PostQuarantine](h)
	g.Expect(posted).To(HaveLen(1))
	g.Expect(partNames(posted[0].Parts)).To(ConsistOf("deadly"))
}

// Guards against engines that crash again after all instances were killed: what they
// knew of the quarantine is only in the store.
func TestFleetKeepsDeadlyPartsAwayAfterRestart(t *testing.T) {
	for _, instances := range []int{9, 75} {
		g := NewWithT(t)
		f := withCrashFleet(t, instances, 9, "deadly")
		f.play(2*time.Second, 0)
		f.play(6*time.Second, 0.3)
		g.Expect(f.quarantined).NotTo(BeEmpty())
		before := len(f.reached)
		f.restartAll()
		f.soundSent, f.soundServed = 0, 0
		f.play(6*time.Second, 0.3)
		g.Expect(f.reached).To(HaveLen(before), "%d instances", instances)
		g.Expect(f.soundServed).To(BeNumerically(">", f.soundSent*9/10))
	}
}

// restartAll replaces all instances by new processes. They read the configuration, the
// list and the lease at once, and evidence storeReadDelay later.
func (f *crashFleet) restartAll() {
	const storeReadDelay = 500 * time.Millisecond
	for i, name := range f.names {
		h := &harness{t: f.t, now: f.now}
		f.instances[i], f.seen[i] = h, 0
		h.apply(rpfleet.Start{
			Stamp: h.stamp(), Self: rpcore.Identity{Instance: name, FailureDomain: homeDomain},
			PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+i)), Seed: uint64(1000 + i),
		})
		h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: testConfig(1)})
		h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Complete: true, Entries: f.list()})
		f.after(storeReadDelay, f.event(i, func(h *harness) {
			h.apply(rpfleet.EvidenceRead{Stamp: h.stamp(), Complete: true, Evidence: f.evidence, Quarantined: f.quarantined})
		}))
	}
	f.takeOver(1)
}
