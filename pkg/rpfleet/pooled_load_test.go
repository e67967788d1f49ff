package rpfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// loadDemand is the full demand of an instance with requests at an endpoint.
func loadDemand(instance string, endpoint rpcore.EndpointID, requests int) rpfleet.Demand {
	demand := rpfleet.Demand{Instance: rpcore.InstanceID(instance), Full: true}
	if requests > 0 {
		demand.InFlight = []rpfleet.EndpointLoad{{Endpoint: endpoint, Weights: "m0", Count: requests}}
	}
	return demand
}

// Guards against instances that know nothing of each other's requests while the store
// is unavailable, so that nobody can hold the planner's lease.
func TestLoadIsPooledWithoutLease(t *testing.T) {
	g := NewWithT(t)
	h, engine := withPlannerHarness(t, "m0")
	// The lease ends, since no renewal is answered.
	h.advance(3 * time.Second)
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: loadDemand("front-2", engine.ID, 3)})
	h.discardEffects()
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 2, Demand: loadDemand("front-3", engine.ID, 0)})
	answers := effectsOf[rpfleet.AnswerDemand](h)
	g.Expect(answers).To(HaveLen(1))
	p := answers[0].Placement
	g.Expect(p.IsPlanner).To(BeFalse())
	g.Expect(p.HasOtherLoad).To(BeTrue())
	g.Expect(p.OtherLoad).To(ConsistOf(rpfleet.EndpointLoad{Endpoint: engine.ID, Count: 3}))
	g.Expect(p.Engines).To(BeEmpty())

	// Demands older than their time to live don't count any more.
	h.advance(4 * time.Second)
	h.discardEffects()
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 3, Demand: loadDemand("front-3", engine.ID, 0)})
	g.Expect(effectsOf[rpfleet.AnswerDemand](h)[0].Placement.OtherLoad).To(BeEmpty())

	// Once another instance holds the lease, the load is pooled there.
	row := h.lease
	row.Holder, row.Epoch, row.Revision = "front-2", row.Epoch+1, row.Revision+1
	h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: row})
	h.discardEffects()
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 4, Demand: loadDemand("front-3", engine.ID, 0)})
	g.Expect(effectsOf[rpfleet.AnswerDemand](h)[0].Placement.HasOtherLoad).To(BeFalse())
}

// Guards against an instance that ignores the pooled load because the answer does not
// come from the planner, and sends its requests to a full engine.
func TestPooledLoadIsUsedWithoutPlanner(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, homeDomain, "m0"))
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
		HasOtherLoad: true, OtherLoad: []rpfleet.EndpointLoad{{Endpoint: "e1", Count: 9}},
	}})
	h.arriveRequest("a", "/suggest/1", "m0")
	g.Expect(h.lastAttempt("a").Endpoint).To(Equal(rpcore.EndpointID("e2")))
}
