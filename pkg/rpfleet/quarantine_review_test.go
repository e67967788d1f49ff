package rpfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// reportEvidence gives a planner the evidence of another instance and returns the
// planner's decision.
func (h *harness) reportEvidence(instance string, evidence rpfleet.CrashEvidence) *rpfleet.Quarantine {
	h.discardEffects()
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: rpcore.InstanceID(instance), Evidence: evidence}})
	return effectsOf[rpfleet.AnswerDemand](h)[0].Placement.Quarantine
}

func crashReport(endpoint string, shared ...string) rpfleet.CrashEvidence {
	return rpfleet.CrashEvidence{Crashes: []rpfleet.CrashReport{
		{Endpoint: rpcore.EndpointID(endpoint), Incarnation: "1", Age: 50 * time.Millisecond, Prompts: [][]string{shared}},
	}}
}

func partNames(parts []rpfleet.PartTime) []string {
	var names []string
	for _, p := range parts {
		names = append(names, p.Part)
	}
	return names
}

// Guards against a sound part that stays in quarantine because the planner learned
// only after its decision that another instance had served the part before.
func TestPartServedElsewhereIsReleased(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.reportEvidence("front-2", crashReport("x1", "head", "shared", "d1"))
	h.reportEvidence("front-3", crashReport("x2", "head", "shared", "d2"))
	answer := h.reportEvidence("front-4", rpfleet.CrashEvidence{Used: []rpfleet.PartTime{{Part: "shared", Time: 3 * time.Second}}})
	g.Expect(partNames(answer.Quarantined)).NotTo(ContainElement("shared"), "two crashes don't suffice against a part in use")
}

// Guards against the suspicion of a part that outlives the evidence of its crash.
func TestWatchedPartsExpire(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	g.Expect(h.reportEvidence("front-2", crashReport("x1", "head", "rare")).Unused).To(ContainElement("rare"))
	h.advanceRenewingLease(11 * time.Minute)
	g.Expect(h.reportEvidence("front-3", rpfleet.CrashEvidence{}).Watched).To(BeEmpty())
}

// Guards against a quarantine that is prolonged by the copies of it that instances
// report back: their ends are later by the time of the planner's answer.
func TestReportedQuarantineDoesNotProlongItself(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.crashOn("a", "head", "deadly")
	h.crashOn("b", "head", "deadly")
	begin := h.now
	for h.now.Sub(begin) < 11*time.Minute {
		answer := h.reportEvidence("front-2", rpfleet.CrashEvidence{})
		// The answer, and the next demand with the copy, take 100 ms each.
		h.advanceRenewingLease(200 * time.Millisecond)
		h.reportEvidence("front-2", rpfleet.CrashEvidence{Quarantined: answer.Quarantined})
	}
	g.Expect(h.isQuarantined("c", "head", "deadly")).To(BeFalse(), "quarantineTime has passed")
}

// Guards against an instance that lost its own lease and neither follows the evidence
// of others nor keeps away parts that an engine crashed on.
func TestFormerPlannerFollowsEvidence(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.crashOn("a", "head", "deadly")
	// No renewal is answered, so the lease ends.
	h.advance(3 * time.Second)
	g.Expect(h.state.IsPlanner()).To(BeFalse())
	g.Expect(h.state.FollowsEvidence()).To(BeTrue(), "no planner answers this instance")
	g.Expect(h.isQuarantined("b", "head", "deadly")).To(BeTrue())
}

// Guards against an earlier version of the planner, which keeps instances from sharing
// their evidence although it decides nothing.
func TestPlannerWithoutQuarantineDoesNotStopEvidence(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(manyEngines(6)...)
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: 3}})
	h.crashOn("a", "head", "deadly")
	g.Expect(effectsOf[rpfleet.PostEvidence](h)).To(HaveLen(1))
	g.Expect(h.isQuarantined("b", "head", "deadly")).To(BeTrue())
}

// Guards against evidence that is lost with the only write of it to the store.
func TestEvidenceIsWrittenAgainWithoutPlanner(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(manyEngines(6)...)
	fail := func() { h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Failed: true}) }
	fail()
	h.crashOn("a", "head", "deadly")
	g.Expect(effectsOf[rpfleet.PostEvidence](h)).To(HaveLen(1))
	// The write may fail: the store refuses calls beyond a rate with 429.
	for range 10 {
		h.advance(500 * time.Millisecond)
		fail()
	}
	g.Expect(len(effectsOf[rpfleet.PostEvidence](h))).To(BeNumerically(">", 1))
}

// Guards against a crash whose evidence lacks the deadly part because other prompts
// filled it.
func TestCrashKeepsDeadlyPromptBesideOthers(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	for _, crash := range []string{"x1", "x2"} {
		for i, part := range []string{"s1", "s2", "s3", "s4"} {
			h.reportEvidence("front-"+string(rune('2'+i)), crashReport(crash, "head", part+crash))
		}
		h.reportEvidence("front-9", crashReport(crash, "head", "deadly"))
	}
	g.Expect(h.isQuarantined("c", "head", "deadly")).To(BeTrue())
}

// Guards against a prompt whose deadly part is not among those that are reported,
// because many parts follow it.
func TestDeadlyPartAtTheStartOfLongPromptIsFound(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	for _, id := range []string{"a", "b"} {
		h.crashOn(id, "deadly", id+"1", id+"2", id+"3", id+"4", id+"5", id+"6", id+"7", id+"8")
	}
	g.Expect(h.isQuarantined("d", "deadly", "x")).To(BeTrue())
}
