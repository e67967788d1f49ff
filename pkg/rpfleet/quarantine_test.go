package rpfleet_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// prompt returns a prompt with the given shared parts and a last part of its own.
func prompt(id string, shared ...string) []rpfleet.PromptPart {
	var parts []rpfleet.PromptPart
	for _, part := range append(slices.Clone(shared), "last of "+id) {
		parts = append(parts, rpfleet.PromptPart{ID: part, Tokens: 100})
	}
	return parts
}

func (h *harness) arrivePrompt(id string, shared ...string) {
	if h.prompts == nil {
		h.prompts = map[rpcore.RequestID][]string{}
	}
	h.prompts[rpcore.RequestID(id)] = shared
	h.apply(rpfleet.RequestArrived{Stamp: h.stamp(), Request: rpfleet.Request{
		ID: rpcore.RequestID(id), Host: "shop.example", Path: "/suggest/1", Model: "m0", Deadline: h.now.Add(8 * time.Second),
		Prompt: prompt(id, shared...),
	}})
}

// stopAtStart ends an attempt whose stream had a head, but no event.
func (h *harness) stopAtStart(a rpfleet.StartAttempt) {
	h.apply(rpfleet.AttemptEnded{
		Stamp: h.stamp(), Request: a.Request, Attempt: a.Attempt, Reason: rpcore.AttemptBroken, Verdict: rpverdict.MayHaveRun, StoppedAtStart: true,
	})
}

func (h *harness) answerCheck(a rpfleet.StartAttempt, alive bool) {
	h.apply(rpfleet.EngineChecked{Stamp: h.stamp(), Endpoint: a.Endpoint, Incarnation: a.Incarnation, Alive: alive})
}

// crashOn lets the engine of a new request with a prompt crash. It is back at once, as
// a new incarnation.
func (h *harness) crashOn(id string, shared ...string) {
	h.arrivePrompt(id, shared...)
	attempt := h.lastAttempt(id)
	h.stopAtStart(attempt)
	h.answerCheck(attempt, false)
	entry := testEndpoint(string(attempt.Endpoint), testService, homeDomain, "m0")
	entry.Incarnation = attempt.Incarnation + "+"
	entry.Slots = 64
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: []rpfleet.Endpoint{entry}})
}

// complete serves a request with a prompt.
func (h *harness) complete(id string, shared ...string) {
	h.arrivePrompt(id, shared...)
	attempt := h.lastAttempt(id)
	h.apply(rpfleet.AttemptStarted{Stamp: h.stamp(), Request: attempt.Request, Attempt: attempt.Attempt})
	h.endAttempt(attempt, rpcore.AttemptComplete, rpverdict.Ran)
}

// refusalOf returns the refusal of a request, or nil.
func (h *harness) refusalOf(id string) *rpverdict.Refusal {
	for _, refused := range effectsOf[rpfleet.RefuseRequest](h) {
		if refused.Request == rpcore.RequestID(id) {
			return &refused.Refusal
		}
	}
	return nil
}

// isQuarantined reports whether a new request with a prompt is refused for a part of
// it.
func (h *harness) isQuarantined(id string, shared ...string) bool {
	h.arrivePrompt(id, shared...)
	refusal := h.refusalOf(id)
	return refusal != nil && refusal.Code == rpverdict.CodePromptQuarantined
}

func manyEngines(n int) []rpfleet.Endpoint {
	engines := make([]rpfleet.Endpoint, n)
	for i := range engines {
		engines[i] = testEndpoint(fmt.Sprintf("e%d", i), testService, homeDomain, "m0")
		engines[i].Slots = 64
	}
	return engines
}

// withCrashPlanner returns a planner with engines, which has served requests with the
// shared parts "head" and "used".
func withCrashPlanner(t *testing.T) *harness {
	t.Helper()
	h := withHarness(t)
	engines := manyEngines(6)
	h.configure(engines...)
	h.becomePlanner(engines...)
	h.complete("first", "head", "used")
	h.advanceRenewingLease(time.Second)
	return h
}

// Guards against requests with one part that crash engine after engine, and against
// a refusal of sound requests that share its other parts.
func TestPartThatCrashesEnginesIsKeptAway(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.crashOn("a", "head", "used", "deadly")
	h.crashOn("b", "head", "used", "deadly")
	g.Expect(h.isQuarantined("c", "head", "used", "deadly")).To(BeTrue())
	refusal := h.refusalOf("c")
	g.Expect(refusal.Status()).To(Equal(503))
	g.Expect(refusal.Verdict).To(Equal(rpverdict.NotRun))
	g.Expect(refusal.RetryAfter).To(BeNumerically(">", time.Minute), "the end of the quarantine")
	g.Expect(h.isQuarantined("d", "deadly")).To(BeTrue(), "whatever else the prompt holds")
	for i, shared := range [][]string{{"head"}, {"head", "used"}, {"head", "other"}} {
		g.Expect(h.isQuarantined(fmt.Sprint("sound ", i), shared...)).To(BeFalse(), "%v", shared)
	}
	h.advance(11 * time.Minute)
	g.Expect(h.isQuarantined("e", "head", "used", "deadly")).To(BeFalse(), "the quarantine ends")
}

// Guards against a request that crashes one engine and is sent to the next one.
func TestRequestThatCrashedItsEngineIsNotRetried(t *testing.T) {
	for _, part := range []string{"deadly", "used"} {
		t.Run(part, func(t *testing.T) { testCrashedRequestIsNotRetried(t, part) })
	}
}

func testCrashedRequestIsNotRetried(t *testing.T, part string) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.arrivePrompt("a", "head", part)
	attempt := h.lastAttempt("a")
	h.discardEffects()
	h.stopAtStart(attempt)
	g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(BeEmpty(), "it is not known yet whether the engine lives")
	g.Expect(effectsOf[rpfleet.CheckEngine](h)).To(HaveLen(1))
	h.answerCheck(attempt, false)
	g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(BeEmpty())
	refused := effectsOf[rpfleet.RefuseRequest](h)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Refusal.Verdict).To(Equal(rpverdict.MayHaveRun))
}

// Guards against engines that break streams off but live: their requests must be
// retried, and no part may be blamed.
func TestBrokenStreamOfLivingEngineIsRetried(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	for _, id := range []string{"a", "b", "c"} {
		h.arrivePrompt(id, "head", "rare")
		first := h.lastAttempt(id)
		h.stopAtStart(first)
		h.answerCheck(first, true)
		second := h.lastAttempt(id)
		g.Expect(second.Attempt).NotTo(Equal(first.Attempt))
		g.Expect(second.Endpoint).NotTo(Equal(first.Endpoint))
		h.endAttempt(second, rpcore.AttemptComplete, rpverdict.Ran)
	}
	g.Expect(h.isQuarantined("d", "head", "rare")).To(BeFalse())
}

// Guards against a request that waits for ever if nothing tells whether its engine
// lives.
func TestUnansweredCrashCheckEnds(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.arrivePrompt("a", "head", "rare")
	first := h.lastAttempt("a")
	h.stopAtStart(first)
	h.advance(1100 * time.Millisecond)
	g.Expect(h.lastAttempt("a").Attempt).NotTo(Equal(first.Attempt))
}

// Guards against blaming a sound part for crashes that another part explains.
func TestPartIsReleasedWhenAnotherExplainsItsCrashes(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.crashOn("a", "head", "deadly", "companion")
	h.crashOn("b", "head", "deadly", "companion")
	g.Expect(h.isQuarantined("c", "companion")).To(BeTrue(), "both parts were in the same crashes")
	h.crashOn("d", "head", "deadly", "x")
	g.Expect(h.isQuarantined("e", "head", "deadly", "y")).To(BeTrue())
	g.Expect(h.isQuarantined("f", "companion")).To(BeFalse())
}

// Guards against missing the second of two parts that crash engines.
func TestTwoPartsCrashEngines(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	for i, deadly := range []string{"d1", "d2", "d1", "d2"} {
		h.crashOn(fmt.Sprint("crash ", i), "head", deadly)
	}
	g.Expect(h.isQuarantined("a", "head", "d1")).To(BeTrue())
	g.Expect(h.isQuarantined("b", "head", "d2")).To(BeTrue())
	g.Expect(h.isQuarantined("c", "head", "x")).To(BeFalse())
}

// Guards against a first part that crashes engines, whose requests share no other
// part, and against one that requests had before and that began to crash engines.
func TestFirstAndUsedPartsCanCrashEngines(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.crashOn("a", "deadly", "x")
	h.crashOn("b", "deadly", "y")
	g.Expect(h.isQuarantined("c", "deadly", "z")).To(BeTrue())
	for i := range 3 {
		g.Expect(h.isQuarantined(fmt.Sprint("before ", i), "head", "used")).To(BeFalse())
		h.crashOn(fmt.Sprint("crash ", i), "head", "used")
		h.advanceRenewingLease(time.Second)
	}
	g.Expect(h.isQuarantined("d", "used")).To(BeTrue(), "three crashes without a success, and no other part explains them")
}

// Guards against blaming a part in use for engines that crash together.
func TestEnginesThatCrashTogetherBlameNoPartInUse(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	for i := range 4 {
		h.crashOn(fmt.Sprint("crash ", i), "head", "used")
	}
	h.advanceRenewingLease(100 * time.Millisecond)
	h.complete("sound", "head", "used")
	h.advanceRenewingLease(5 * time.Second)
	h.crashOn("another crash", "head", "used")
	g.Expect(h.isQuarantined("a", "head", "used")).To(BeFalse())
}

// Guards against a planner that knows only its own crashes, and against a part that
// is blamed although another instance has served it.
func TestPlannerPoolsEvidence(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.crashOn("a", "head", "cold", "deadly")
	report := func(instance string, evidence rpfleet.CrashEvidence) *rpfleet.Quarantine {
		h.discardEffects()
		h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: rpcore.InstanceID(instance), Evidence: evidence}})
		return effectsOf[rpfleet.AnswerDemand](h)[0].Placement.Quarantine
	}
	answer := report("front-2", rpfleet.CrashEvidence{Used: []rpfleet.PartTime{{Part: "cold", Time: 3 * time.Second}}})
	g.Expect(answer.Quarantined).To(BeEmpty())
	g.Expect(answer.Unused).To(ConsistOf("deadly"))
	answer = report("front-3", rpfleet.CrashEvidence{Crashes: []rpfleet.CrashReport{
		{Endpoint: "e9", Incarnation: "1", Age: 100 * time.Millisecond, Prompts: [][]string{{"head", "cold", "deadly"}}},
	}})
	g.Expect(answer.Quarantined).To(HaveLen(1))
	g.Expect(answer.Quarantined[0].Part).To(Equal("deadly"))
	posted := effectsOf[rpfleet.PostQuarantine](h)
	g.Expect(posted).To(HaveLen(1), "instances that the planner can't reach read it in the store")
	g.Expect(posted[0].Parts[0].Part).To(Equal("deadly"))
}

// Guards against a new planner that forgets the quarantine of the one before, of
// which it knows only some of the crashes.
func TestNewPlannerAdoptsQuarantine(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: "front-2", Evidence: rpfleet.CrashEvidence{
		Crashes:     []rpfleet.CrashReport{{Endpoint: "e1", Incarnation: "1", Prompts: [][]string{{"head", "deadly"}}}},
		Quarantined: []rpfleet.PartTime{{Part: "deadly", Time: 9 * time.Minute}},
	}}})
	g.Expect(h.isQuarantined("a", "head", "deadly")).To(BeTrue())
	g.Expect(effectsOf[rpfleet.AnswerDemand](h)[0].Placement.Quarantine.Quarantined).To(HaveLen(1))
}

// Guards against crashes while the planner is lost: the others must keep the parts
// away that one engine has crashed on, until they know more.
func TestSuspectPartWaitsWithoutPlanner(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(manyEngines(6)...)
	answer := func(q *rpfleet.Quarantine) {
		h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: 3, Quarantine: q}})
	}
	h.complete("first", "head", "used")
	answer(&rpfleet.Quarantine{Watched: []string{"head", "used", "suspect"}, Unused: []string{"used", "suspect"}})
	g.Expect(h.isQuarantined("a", "head", "suspect")).To(BeFalse(), "the planner decides")
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Failed: true})
	g.Expect(h.isQuarantined("b", "head", "suspect")).To(BeTrue())
	g.Expect(h.refusalOf("b").RetryAfter).To(BeNumerically("<", 5*time.Second))
	g.Expect(h.isQuarantined("c", "head", "used")).To(BeFalse(), "this instance has served it")
	h.crashOn("d", "head", "second")
	g.Expect(effectsOf[rpfleet.PostEvidence](h)).To(HaveLen(1))
	g.Expect(h.isQuarantined("e", "second")).To(BeTrue())
	g.Expect(h.isQuarantined("f", "suspect")).To(BeTrue(), "its own crash does not replace what the planner knew")
	h.apply(rpfleet.EvidenceRead{Stamp: h.stamp(), Evidence: []rpfleet.CrashEvidence{{
		Crashes: []rpfleet.CrashReport{{Endpoint: "e9", Incarnation: "1", Prompts: [][]string{{"elsewhere"}}}},
	}}})
	g.Expect(h.isQuarantined("g", "elsewhere")).To(BeTrue(), "another instance without a planner saw the crash")
	answer(&rpfleet.Quarantine{})
	g.Expect(h.isQuarantined("h", "head", "suspect")).To(BeFalse())
}

// Guards against answers of an earlier version of the planner, which have no
// quarantine.
func TestPlacementWithoutQuarantineChangesNothing(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(manyEngines(3)...)
	parts := []rpfleet.PartTime{{Part: "deadly", Time: time.Minute}}
	for _, q := range []*rpfleet.Quarantine{{Quarantined: parts}, nil} {
		h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{IsPlanner: true, Quarantine: q}})
	}
	g.Expect(h.isQuarantined("a", "deadly")).To(BeTrue())
}

// Guards against a caller that fills the memory and the log with the names of parts.
func TestLongPartsAreNotKept(t *testing.T) {
	g := NewWithT(t)
	h := withCrashPlanner(t)
	h.discardEffects()
	long := strings.Repeat("x", 10_000)
	h.complete("a", long, "short")
	h.crashOn("b", long, "short")
	logged := 0
	for _, note := range effectsOf[rpfleet.Note](h) {
		for _, field := range note.Fields {
			if field.Name == "prompt_parts" {
				logged++
				g.Expect(field.Value).To(Equal("short"))
			}
		}
	}
	g.Expect(logged).To(BeNumerically(">=", 3))
}
