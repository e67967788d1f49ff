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

// Guards against a dark engine that each of 195 instances has to find out by a
// request of its own, and against a planner that goes on to count its replicas: few
// instances have ejected it at the same time.
func TestFewReportsMakeEndpointSuspect(t *testing.T) {
	const instances, reporting = 195, 6
	g := NewWithT(t)
	h := withHarness(t)
	dark, idle := testEndpoint("e1", testService, homeDomain, "m0"), withCheckpoints(testEndpoint("e2", testService, "zone-b"))
	h.configure(dark, idle)
	h.becomePlanner(dark, idle)
	loadsOf := func(model string) []rpcore.EndpointID {
		var loads []rpcore.EndpointID
		for _, order := range effectsOf[rpfleet.SendOrder](h) {
			if order.Kind == rpfleet.OrderLoad && order.Model == model {
				loads = append(loads, order.Endpoint)
			}
		}
		return loads
	}
	report := func(reporting int) rpfleet.Placement {
		for i := range instances {
			demand := rpfleet.Demand{
				Instance: rpcore.InstanceID(fmt.Sprint("other-", i)), Full: true,
				Rates: []rpfleet.ModelRate{{Service: testService, Model: "m0", Fast: 10, Slow: 10}},
			}
			if i < reporting {
				demand.Ejected = []rpcore.EndpointID{dark.ID}
				demand.Needs = []rpfleet.Need{{Service: testService, Model: "m0", Waiting: 1}}
			}
			h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: demand})
		}
		h.advanceRenewingLease(300 * time.Millisecond)
		h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 2, Demand: rpfleet.Demand{Instance: "other-100"}})
		answers := effectsOf[rpfleet.AnswerDemand](h)
		return answers[len(answers)-1].Placement
	}
	g.Expect(report(2).Suspects).To(BeEmpty())
	g.Expect(loadsOf("m0")).To(BeEmpty())
	placement := report(reporting)
	g.Expect(placement.Suspects).To(ConsistOf(dark.ID))
	g.Expect(loadsOf("m0")).To(ConsistOf(idle.ID), "the replica at the dark engine doesn't count")
}

// Guards against requests for an endpoint that failed at other instances while
// another one can take them, and against avoiding it for good.
func TestSuspectEndpointIsAvoidedForAWhile(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	suspect, other := testEndpoint("s1", testPlain, homeDomain), testEndpoint("s2", testPlain, "zone-b")
	h.configure(suspect, other)
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
		IsPlanner: true, Instances: 195, Suspects: []rpcore.EndpointID{suspect.ID},
	}})
	serve := func(id string) rpcore.EndpointID {
		h.arriveRequest(id, "/stock/1", "")
		attempt := h.lastAttempt(id)
		h.endAttempt(attempt, rpcore.AttemptComplete, rpverdict.Ran)
		return attempt.Endpoint
	}
	g.Expect(serve("a")).To(Equal(other.ID))
	h.advance(3 * time.Second)
	g.Expect(serve("b")).To(Equal(suspect.ID))
}
