package rpfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Guards against cutting a started stream because its model is loaded again only
// after the deadline for the first event, which the caller has long received.
func TestStartedStreamWaitsForLoad(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, homeDomain, "m1"))
	h.arriveRequest("a", "/suggest/1", "m0")
	first := h.lastAttempt("a")
	h.apply(rpfleet.AttemptStarted{Stamp: h.stamp(), Request: first.Request, Attempt: first.Attempt})
	h.advance(4 * time.Second)
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
		IsPlanner: true, Instances: 3, Expected: []rpfleet.ExpectedModel{{Service: testService, Model: "m0", ReadyIn: 2 * time.Second}},
	}})
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Complete: true, Entries: []rpfleet.Endpoint{testEndpoint("e2", testService, homeDomain, "m1")}})
	h.apply(rpfleet.AttemptEnded{
		Stamp: h.stamp(), Request: first.Request, Attempt: first.Attempt,
		Reason: rpcore.AttemptBroken, Verdict: rpverdict.MayHaveRun, ResponseStarted: true, LastEvent: "7",
	})
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty(), "the model is ready 2 s before the deadline of the response")
	h.advance(2 * time.Second)
	loaded := testEndpoint("e2", testService, homeDomain, "m0")
	loaded.Incarnation = "2"
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Complete: true, Entries: []rpfleet.Endpoint{loaded}})
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
	g.Expect(h.lastAttempt("a").Endpoint).To(BeEquivalentTo("e2"))
	g.Expect(h.lastAttempt("a").ResumeAfter).To(Equal("7"))
}

// Guards against a refusal that claims that a request has not run, although an
// attempt before may have run it. It comes about when the model is unloaded or out
// of reach after that attempt.
func TestRefusalAfterAttemptDoesNotPromise(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, homeDomain, "m1"))
	h.arriveRequest("a", "/suggest/1", "m0")
	first := h.lastAttempt("a")
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
		IsPlanner: true, Instances: 3, Expected: []rpfleet.ExpectedModel{{Service: testService, Model: "m0", ReadyIn: 10 * time.Second}},
	}})
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Complete: true, Entries: []rpfleet.Endpoint{testEndpoint("e2", testService, homeDomain, "m1")}})
	h.endAttempt(first, rpcore.AttemptBroken, rpverdict.MayHaveRun)
	h.advance(100 * time.Millisecond)
	refused := effectsOf[rpfleet.RefuseRequest](h)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Refusal.Verdict).To(Equal(rpverdict.MayHaveRun))
	g.Expect(refused[0].Refusal.Status()).To(Equal(502))
}
