package rpfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// Guards against a load from the weight store, which takes seconds, at the only
// engine with the checkpoints of other models that callers ask for.
func TestLongLoadsAvoidEnginesWithOnlyCheckpoints(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	// Both engines have room. The one that other models rely on is in the
	// caller's failure domain and has fewer checkpoints.
	needed := testEndpoint("e1", testService, homeDomain, "m0")
	needed.Cached = map[string]rpcore.CheckpointPlace{"m0": rpcore.PlaceDisk, "m1": rpcore.PlaceDisk, "m2": rpcore.PlaceDisk}
	other := testEndpoint("e2", testService, "zone-b", "m0")
	other.Cached = map[string]rpcore.CheckpointPlace{
		"m0": rpcore.PlaceDisk, "m3": rpcore.PlaceDisk, "m4": rpcore.PlaceDisk, "m6": rpcore.PlaceDisk, "m7": rpcore.PlaceDisk,
	}
	h.configure(needed, other)
	h.becomePlanner(needed, other)
	demand := rpfleet.Demand{
		Instance: "front-2", Full: true,
		Rates: []rpfleet.ModelRate{
			{Service: testService, Model: "m1", Fast: 400, Slow: 400}, {Service: testService, Model: "m2", Fast: 400, Slow: 400},
		},
		Needs: []rpfleet.Need{{Service: testService, Model: "m5", Waiting: 1, Rank: 2}},
	}
	h.discardEffects()
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: demand})
	h.advanceRenewingLease(100 * time.Millisecond)
	orders := effectsOf[rpfleet.SendOrder](h)
	g.Expect(orders).NotTo(BeEmpty())
	g.Expect(orders[0].Model).To(Equal("m5"))
	g.Expect(orders[0].Endpoint).To(Equal(other.ID))
}

// busyDemand is the demand of another instance for a single model.
func busyDemand(model string, perSecond int) rpfleet.Demand {
	return rpfleet.Demand{
		Instance: "front-2", Full: true,
		Rates: []rpfleet.ModelRate{{Service: testService, Model: model, Fast: perSecond * 1000, Slow: perSecond * 1000}},
	}
}

// runWithDemand accepts the planner's orders for a time and repeats the same
// demand. It returns the loads and unloads by model.
func (h *harness) runWithDemand(d time.Duration, demand rpfleet.Demand) (loads, unloads map[string][]rpcore.EndpointID) {
	loads, unloads = map[string][]rpcore.EndpointID{}, map[string][]rpcore.EndpointID{}
	for begin := h.now; h.now.Sub(begin) < d; {
		h.discardEffects()
		h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: demand})
		h.advanceRenewingLease(100 * time.Millisecond)
		for _, order := range effectsOf[rpfleet.SendOrder](h) {
			h.answerOrder(order, rpfleet.OrderAccepted)
			if order.Kind == rpfleet.OrderLoad {
				loads[order.Model] = append(loads[order.Model], order.Endpoint)
			} else {
				unloads[order.Model] = append(unloads[order.Model], order.Endpoint)
			}
		}
	}
	return loads, unloads
}

// Guards against a busy model that callers of a failure domain can't use while
// the domain is cut off, and against more replicas than that if one engine
// could serve all requests.
func TestBusyModelHasReplicaInEachDomain(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	engines := []rpfleet.Endpoint{
		withCheckpoints(testEndpoint("a1", testService, "zone-a", "m0")), withCheckpoints(testEndpoint("a2", testService, "zone-a", "m1")),
		withCheckpoints(testEndpoint("b1", testService, "zone-b", "m1")), withCheckpoints(testEndpoint("c1", testService, "zone-c", "m1")),
	}
	h.configure(engines...)
	h.becomePlanner(engines...)
	loads, _ := h.runWithDemand(5*time.Second, busyDemand("m0", 6))
	g.Expect(loads["m0"]).To(ConsistOf(rpcore.EndpointID("b1"), rpcore.EndpointID("c1")))
}

// Guards against a replica that is evicted as surplus and then loaded again,
// because its failure domain should have one.
func TestDomainReplicaIsNotEvicted(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	var engines []rpfleet.Endpoint
	for _, domain := range []string{"a", "b", "c"} {
		engines = append(engines, withCheckpoints(testEndpoint(domain+"1", testService, rpcore.FailureDomain("zone-"+domain), "m0", "m1", "m2")))
	}
	h.configure(engines...)
	h.becomePlanner(engines...)
	demand := busyDemand("m0", 6)
	demand.Needs = []rpfleet.Need{
		{Service: testService, Model: "m5", Waiting: 1, Rank: 2},
		{Service: testService, Model: "m6", Waiting: 1, Rank: 2},
		{Service: testService, Model: "m7", Waiting: 1, Rank: 2},
	}
	loads, unloads := h.runWithDemand(5*time.Second, demand)
	g.Expect(loads).To(HaveKey("m5"))
	g.Expect(unloads).NotTo(HaveKey("m0"))
}

// busyFleet is a planner with three engines that all hold m0, m1 and m2, and no room
// for other models.
func busyFleet(t *testing.T) *harness {
	t.Helper()
	h := withHarness(t)
	var engines []rpfleet.Endpoint
	for _, domain := range []string{"a", "b", "c"} {
		engines = append(engines, withCheckpoints(testEndpoint(domain+"1", testService, rpcore.FailureDomain("zone-"+domain), "m0", "m1", "m2")))
	}
	h.configure(engines...)
	h.becomePlanner(engines...)
	return h
}

// busyModels is a demand for m0, m1 and m2 at the same rate, beside one request of
// rank 0 for m5.
func busyModels(perSecond int) rpfleet.Demand {
	demand := busyDemand("m0", perSecond)
	for _, model := range []string{"m1", "m2"} {
		demand.Rates = append(demand.Rates, busyDemand(model, perSecond).Rates...)
	}
	demand.Needs = []rpfleet.Need{{Service: testService, Model: "m5", Waiting: 1, Rank: 0}}
	return demand
}

// Guards against one urgent request for a rare model that evicts a replica without
// which the others of a busy model are overloaded.
func TestNeededReplicaIsNotEvicted(t *testing.T) {
	g := NewWithT(t)
	h := busyFleet(t)
	_, unloads := h.runWithDemand(5*time.Second, busyModels(20))
	g.Expect(unloads).To(BeEmpty())
}

// Guards against the eviction of a replica in a short trough of the demand, after
// which it is missing at the next peak.
func TestReplicaStaysThroughTrough(t *testing.T) {
	g := NewWithT(t)
	h := busyFleet(t)
	peak := busyModels(20)
	peak.Needs = nil
	h.runWithDemand(2*time.Second, peak)
	_, unloads := h.runWithDemand(3*time.Second, busyModels(3))
	g.Expect(unloads).To(BeEmpty())
	// A lower demand that lasts frees the place.
	_, unloads = h.runWithDemand(20*time.Second, busyModels(3))
	g.Expect(unloads).NotTo(BeEmpty())
}

// Guards against a model that is never loaded because no single smaller model leaves
// enough room for it: requests for it waited until their deadlines.
func TestSeveralSmallModelsMakeRoom(t *testing.T) {
	g := NewWithT(t)
	h, _ := withPlannerHarness(t, "m0", "m1", "m2")
	config := testConfig(2)
	large := config.Services[testService].Engine.Models["m7"]
	large.Memory = 140 * testGB
	config.Services[testService].Engine.Models["m7"] = large
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: config})
	demand := rpfleet.Demand{Instance: "front-2", Full: true, Needs: []rpfleet.Need{{Service: testService, Model: "m7", Waiting: 1}}}
	loads, unloads := h.runWithDemand(2*time.Second, demand)
	g.Expect(unloads).To(HaveLen(2))
	g.Expect(loads).To(HaveKey("m7"))
}
