package rpfleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// withReplicas returns an instance with four replicas of a model in another failure
// domain, where no engine is preferred for the prefix of a prompt.
func withReplicas(t *testing.T) *harness {
	t.Helper()
	h := withHarness(t)
	var engines []rpfleet.Endpoint
	for i := range 4 {
		engines = append(engines, testEndpoint(fmt.Sprintf("e%d", i), testService, "zone-b", "m0"))
	}
	h.configure(engines...)
	return h
}

// arriveLong sends a request whose prompt takes 263 ms to be read.
func (h *harness) arriveLong(id string) rpfleet.StartAttempt {
	h.t.Helper()
	h.apply(rpfleet.RequestArrived{Stamp: h.stamp(), Request: rpfleet.Request{
		ID: rpcore.RequestID(id), Host: "shop.example", Path: "/later/1", Model: "m0", Deadline: h.now.Add(8 * time.Second),
		Prompt: []rpfleet.PromptPart{{ID: "shared", Tokens: 6300}, {ID: id, Tokens: 2900}},
	}})
	return h.lastAttempt(id)
}

// enginesOfLongPrompts sends long prompts, each after the first event of the one
// before, and counts their engines. Streams of other instances are at some of the
// engines.
func (h *harness) enginesOfLongPrompts(count int) map[rpcore.EndpointID]int {
	engines := map[rpcore.EndpointID]int{}
	for i := range count {
		h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
			IsPlanner: true, Instances: 3, HasOtherLoad: true,
			OtherLoad: []rpfleet.EndpointLoad{{Endpoint: rpcore.EndpointID(fmt.Sprintf("e%d", i%4)), Weights: "m0", Count: 2}},
		}})
		attempt := h.arriveLong(fmt.Sprintf("long-%d", i))
		engines[attempt.Endpoint]++
		h.apply(rpfleet.AttemptStarted{Stamp: h.stamp(), Request: attempt.Request, Attempt: attempt.Attempt})
		h.endAttempt(attempt, rpcore.AttemptComplete, rpverdict.Ran)
	}
	return engines
}

// Guards against long prompts that spread over all replicas of a model, where each
// delays the short ones and reads the shared part again.
func TestLongPromptsShareOneEngine(t *testing.T) {
	g := NewWithT(t)
	h := withReplicas(t)
	h.arriveRequest("short", "/suggest/1", "m0")
	g.Expect(h.enginesOfLongPrompts(12)).To(HaveLen(1))
}

// Guards against a changed choice of engines where no requests with a shorter
// target arrive.
func TestLongPromptsSpreadWithoutShortOnes(t *testing.T) {
	g := NewWithT(t)
	h := withReplicas(t)
	h.arriveRequest("short", "/suggest/1", "m0")
	h.advance(11 * time.Second)
	h.discardEffects()
	g.Expect(len(h.enginesOfLongPrompts(12))).To(BeNumerically(">", 1))
}

// Guards against long prompts that queue at their engine past their target while
// other replicas could read them, and against long prompts that are never started.
func TestLongPromptsMoveOnWhileTheirEngineIsBehind(t *testing.T) {
	g := NewWithT(t)
	h := withReplicas(t)
	h.arriveRequest("short", "/suggest/1", "m0")
	engines := map[rpcore.EndpointID]int{}
	// Each engine has four slots. A fifth long prompt there would have to wait.
	for i := range 12 {
		engines[h.arriveLong(fmt.Sprintf("long-%d", i)).Endpoint]++
	}
	g.Expect(len(engines)).To(BeNumerically(">=", 3))
}

// Guards against a long prompt that returns to the engine that did not take it.
func TestLongPromptLeavesBusyEngine(t *testing.T) {
	g := NewWithT(t)
	h := withReplicas(t)
	h.arriveRequest("short", "/suggest/1", "m0")
	first := h.arriveLong("long")
	h.endAttempt(first, rpcore.AttemptBusy, rpverdict.NotRun)
	h.advance(time.Second)
	second := h.lastAttempt("long")
	g.Expect(second.Attempt).NotTo(Equal(first.Attempt))
	g.Expect(second.Endpoint).NotTo(Equal(first.Endpoint))
}
