package rpfleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// learnSpeeds applies an answer of the planner with the speeds of engines, in
// thousandths.
func (h *harness) learnSpeeds(speeds map[rpcore.EndpointID]int, others ...rpfleet.EndpointLoad) {
	summary := &rpfleet.LoadSummary{ConfigAge: -1}
	for id, speed := range speeds {
		summary.Engines = append(summary.Engines, rpfleet.EngineSummary{Endpoint: id, Speed: speed})
	}
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
		IsPlanner: true, Instances: 3, HasOtherLoad: true, OtherLoad: others, Load: summary,
	}})
}

// Guards against long prompts that go to a slow engine, where each of their chunks
// delays the streams beside it for longer.
func TestLongPromptsGoToFastEngine(t *testing.T) {
	for i := range 4 {
		g := NewWithT(t)
		h := withReplicas(t)
		fast := rpcore.EndpointID(fmt.Sprint("e", i))
		speeds := map[rpcore.EndpointID]int{"e0": 700, "e1": 700, "e2": 700, "e3": 700}
		speeds[fast] = 1200
		h.learnSpeeds(speeds)
		h.arriveRequest("short", "/suggest/1", "m0")
		g.Expect(h.arriveLong("long").Endpoint).To(Equal(fast))
	}
}

// Guards against long prompts at a slow engine that is hardly less busy than a fast one,
// also where no shorter requests arrive.
func TestPromptsReadFasterOutweighLoad(t *testing.T) {
	for _, fast := range []rpcore.EndpointID{"e1", "e2"} {
		g := NewWithT(t)
		h := withHarness(t)
		h.configure(testEndpoint("e1", testService, "zone-b", "m0"), testEndpoint("e2", testService, "zone-b", "m0"))
		speeds := map[rpcore.EndpointID]int{"e1": 600, "e2": 600}
		speeds[fast] = 1200
		busy := rpfleet.EndpointLoad{Endpoint: fast, Weights: "m0", Count: 3}
		h.learnSpeeds(speeds, busy)
		g.Expect(h.arriveLong("long").Endpoint).To(Equal(fast))

		// A short prompt goes to the engine with less load.
		h.discardEffects()
		h.learnSpeeds(speeds, busy)
		h.arriveRequest("short", "/later/1", "m0")
		g.Expect(h.lastAttempt("short").Endpoint).NotTo(Equal(fast))
	}
}

// Guards against replicas of busy models at slow engines, and against a load from the
// weight store to get a fast one.
func TestBusyModelIsLoadedAtFastEngine(t *testing.T) {
	for _, c := range []struct {
		name           string
		slow, fast     rpcore.EndpointID
		fastCheckpoint bool
		expected       rpcore.EndpointID
	}{
		{"first is fast", "b2", "b1", true, "b1"},
		{"second is fast", "b1", "b2", true, "b2"},
		{"fast one has no checkpoint", "b1", "b2", false, "b1"},
		{"fast one has no checkpoint, other order", "b2", "b1", false, "b2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := withHarness(t)
			engines := []rpfleet.Endpoint{withCheckpoints(testEndpoint("a1", testService, "zone-a", "m0"))}
			for _, id := range []rpcore.EndpointID{"b1", "b2"} {
				e := withCheckpoints(testEndpoint(string(id), testService, "zone-b", "m1"))
				if id == c.fast && !c.fastCheckpoint {
					delete(e.Cached, "m0")
				}
				engines = append(engines, e)
			}
			h.configure(engines...)
			h.learnSpeeds(map[rpcore.EndpointID]int{c.slow: 800, c.fast: 1800})
			h.becomePlanner(engines...)
			loads, _ := h.runWithDemand(2*time.Second, busyDemand("m0", 6))
			g.Expect(loads["m0"]).To(ConsistOf(c.expected))
		})
	}
}

// Guards against an estimate that ignores what the engine reads before, or its speed, and
// against one for an endpoint that has no prompts to read.
func TestAttemptHasEstimate(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, "zone-b", "m0"), testEndpoint("p1", testPlain, homeDomain))
	h.learnSpeeds(map[rpcore.EndpointID]int{"e1": 500})
	first := h.arriveLong("long-1").Estimate
	g.Expect(first.LongPrompt).To(BeTrue())
	g.Expect(first.BusyEngine).To(BeFalse())
	// 9,200 tokens at 35 a millisecond and half the speed.
	g.Expect(first.Expected).To(BeNumerically("~", 525*time.Millisecond, 2*time.Millisecond))
	g.Expect(h.arriveLong("long-2").Estimate.Expected).To(BeNumerically("~", 2*first.Expected, 2*time.Millisecond))
	h.arriveRequest("plain", "/stock/1", "")
	g.Expect(h.lastAttempt("plain").Estimate).To(BeZero())
}
