package rpfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Guards against a request that returns to the queue after a planned stop has refused
// the waiting requests: nothing refused it, and the end of the stop closed its
// connection without a response.
func TestStoppingInstanceRefusesReturnedRequests(t *testing.T) {
	for _, c := range []struct {
		reason  rpcore.AttemptReason
		verdict rpverdict.Verdict
		path    string
		status  int
	}{
		{rpcore.AttemptBusy, rpverdict.NotRun, "/later/1", 503},
		{rpcore.AttemptNotLoaded, rpverdict.NotRun, "/later/1", 503},
		{rpcore.AttemptRefusedConnection, rpverdict.NotRun, "/later/1", 503},
		{rpcore.AttemptLeaving, rpverdict.NotRun, "/later/1", 503},
		{rpcore.AttemptBroken, rpverdict.MayHaveRun, "/suggest/1", 502},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			g := NewWithT(t)
			h := withHarness(t)
			h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
			h.arriveRequest("a", c.path, "m0")
			attempt := h.lastAttempt("a")
			h.apply(rpfleet.DrainRequested{Stamp: h.stamp()})
			h.advance(6 * time.Second)
			h.apply(rpfleet.DrainTimeoutNear{Stamp: h.stamp()})
			h.discardEffects()
			h.endAttempt(attempt, c.reason, c.verdict)
			refused := effectsOf[rpfleet.RefuseRequest](h)
			g.Expect(refused).To(HaveLen(1), "the instance has no time left")
			g.Expect(refused[0].Refusal.Status()).To(Equal(c.status))
			g.Expect(refused[0].Refusal.Verdict).To(Equal(c.verdict))
			if c.verdict == rpverdict.NotRun {
				g.Expect(refused[0].Refusal.RetryAfter).To(BeNumerically(">", 0))
			}
			h.advance(2 * time.Second)
			g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(BeEmpty())
		})
	}
}

// Guards against a request whose body arrives late in a planned stop and which then
// waits for an endpoint, although the instance has no time left. A request that can
// start at once is still served.
func TestStoppingInstanceQueuesNoArrivals(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	h.apply(rpfleet.DrainRequested{Stamp: h.stamp()})
	h.apply(rpfleet.DrainTimeoutNear{Stamp: h.stamp()})
	h.arriveRequest("loaded", "/later/1", "m0")
	g.Expect(h.lastAttempt("loaded").Endpoint).To(Equal(rpcore.EndpointID("e1")))
	h.arriveRequest("missing", "/later/1", "m1")
	refused := effectsOf[rpfleet.RefuseRequest](h)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Request).To(Equal(rpcore.RequestID("missing")))
	g.Expect(refused[0].Refusal.Status()).To(Equal(503))
}

// Guards against an attempt that ends late in a planned stop and is refused although
// another endpoint can serve the request at once.
func TestStoppingInstanceRetriesAtOnce(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(plainEndpoints()...)
	h.arriveRequest("a", "/stock/1", "")
	first := h.lastAttempt("a")
	h.apply(rpfleet.DrainRequested{Stamp: h.stamp()})
	h.apply(rpfleet.DrainTimeoutNear{Stamp: h.stamp()})
	h.endAttempt(first, rpcore.AttemptRefusedConnection, rpverdict.NotRun)
	g.Expect(h.lastAttempt("a").Endpoint).NotTo(Equal(first.Endpoint))
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
}

// Guards against a request that still runs at the end of a planned stop and whose
// connection is closed without a response, for example because it waits at its engine.
// Its caller must learn that it may have run, or that it has not.
func TestEndOfPlannedStopRefusesRunningRequests(t *testing.T) {
	for _, c := range []struct {
		verdict rpverdict.Verdict
		status  int
	}{
		{rpverdict.NotRun, 503},
		{rpverdict.MayHaveRun, 502},
	} {
		t.Run(c.verdict.String(), func(t *testing.T) {
			g := NewWithT(t)
			h := withHarness(t)
			h.configure(plainEndpoints()...)
			h.arriveRequest("a", "/stock/1", "")
			attempt := h.lastAttempt("a")
			h.apply(rpfleet.DrainRequested{Stamp: h.stamp()})
			h.apply(rpfleet.DrainTimeoutNear{Stamp: h.stamp()})
			h.discardEffects()
			h.apply(rpfleet.DrainTimeoutPassed{Stamp: h.stamp()})
			g.Expect(effectsOf[rpfleet.CancelAllAttempts](h)).To(HaveLen(1))
			h.endAttempt(attempt, rpcore.AttemptCanceled, c.verdict)
			h.arriveRequest("b", "/stock/1", "")
			g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(BeEmpty(), "no time is left for an attempt")
			refused := effectsOf[rpfleet.RefuseRequest](h)
			g.Expect(refused).To(HaveLen(2))
			g.Expect(refused[0].Refusal.Status()).To(Equal(c.status))
			g.Expect(refused[0].Refusal.Verdict).To(Equal(c.verdict))
			g.Expect(refused[1].Refusal.Status()).To(Equal(503))
		})
	}
}
