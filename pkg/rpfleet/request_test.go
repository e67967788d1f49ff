package rpfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

func plainEndpoints() []rpfleet.Endpoint {
	return []rpfleet.Endpoint{
		testEndpoint("s1", testPlain, homeDomain),
		testEndpoint("s2", testPlain, "zone-b"),
	}
}

// Guards against a request that is served, or refused with 404, before the
// instance has read a configuration.
func TestRefusesWithoutConfiguration(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.arriveRequest("a", "/stock/1", "")
	refused := effectsOf[rpfleet.RefuseRequest](r)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Refusal.Status()).To(Equal(503))
	g.Expect(refused[0].Refusal.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(effectsOf[rpfleet.ReportReady](r)[0].Ready).To(BeFalse())
	r.configure(plainEndpoints()...)
	ready := effectsOf[rpfleet.ReportReady](r)
	g.Expect(ready[len(ready)-1].Ready).To(BeTrue())
}

// Guards against the choice of the shorter of two matching prefixes, and
// against hosts compared with port or case.
func TestLongestPrefix(t *testing.T) {
	g := NewWithT(t)
	config := testConfig(1)
	config.Routes = append(config.Routes, rpfleet.Route{Name: "deep", Host: "shop.example", Prefix: "/stock/deep/"})
	config.Index()
	g.Expect(config.Route("Shop.Example:8080", "/stock/deep/x").Name).To(Equal("deep"))
	g.Expect(config.Route("shop.example", "/stock/deeper").Name).To(Equal("stock"))
	g.Expect(config.Route("shop.example", "/stock")).To(BeNil())
	g.Expect(config.Route("other.example", "/stock/x")).To(BeNil())
}

// Guards against an older configuration that replaces a newer one after a
// lagging read.
func TestConfigurationNeverReverts(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(plainEndpoints()...)
	newer := testConfig(5)
	newer.Routes = newer.Routes[:3]
	newer.Index()
	r.apply(rpfleet.ConfigRead{Stamp: r.stamp(), Config: newer})
	r.apply(rpfleet.ConfigRead{Stamp: r.stamp(), Config: testConfig(4)})
	r.arriveRequest("a", "/stock/1", "")
	refused := effectsOf[rpfleet.RefuseRequest](r)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Refusal.Code).To(Equal(rpverdict.CodeUnknownRoute))
}

// Guards against a second run of a request that may run only once, and against
// a refusal that says it did not run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(plainEndpoints()...)
	r.arriveRequest("a", "/place/1", "")
	first := r.lastAttempt("a")
	g.Expect(first.Repeatable).To(BeFalse())
	g.Expect(first.FirstTimeout).To(BeZero())
	r.endAttempt(first, rpcore.AttemptBroken, rpverdict.MayHaveRun)
	refused := effectsOf[rpfleet.RefuseRequest](r)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Refusal.Status()).To(Equal(502))
	g.Expect(refused[0].Refusal.Verdict).To(Equal(rpverdict.MayHaveRun))
	g.Expect(effectsOf[rpfleet.StartAttempt](r)).To(HaveLen(1))
}

// Guards against refusing a request that certainly did not run.
func TestNotRunRequestIsRetriedElsewhere(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(plainEndpoints()...)
	r.arriveRequest("a", "/place/1", "")
	first := r.lastAttempt("a")
	r.endAttempt(first, rpcore.AttemptRefusedConnection, rpverdict.NotRun)
	second := r.lastAttempt("a")
	g.Expect(second.Endpoint).NotTo(Equal(first.Endpoint))
	r.endAttempt(second, rpcore.AttemptComplete, rpverdict.Ran)
	g.Expect(effectsOf[rpfleet.RefuseRequest](r)).To(BeEmpty())
}

// Guards against unbounded retries while a service fails.
func TestRetryBudget(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	endpoints := plainEndpoints()
	r.configure(endpoints...)
	const requests = 200
	for i := range requests {
		id := "r" + string(rune('a'+i%26)) + time.Duration(i).String()
		r.arriveRequest(id, "/stock/1", "")
		attempt := r.lastAttempt(id)
		r.endAttempt(attempt, rpcore.AttemptFailed, rpverdict.MayHaveRun)
		attempts := effectsOf[rpfleet.StartAttempt](r)
		if last := attempts[len(attempts)-1]; last.Request == attempt.Request && last.Attempt != attempt.Attempt {
			r.endAttempt(last, rpcore.AttemptFailed, rpverdict.MayHaveRun)
		}
	}
	retries := len(effectsOf[rpfleet.StartAttempt](r)) - requests
	// An instance that knows no other instances uses a small part of the slack.
	g.Expect(retries).To(BeNumerically("<=", rpfleet.DefaultRetryRatio*requests+rpfleet.DefaultRetrySlack/2))
	g.Expect(retries).To(BeNumerically(">", 0))
}

// Guards against requests refused in a network partition because connections
// that were never made used up the retry budget.
func TestFailedConnectsDoNotUseRetryBudget(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(append(plainEndpoints(), testEndpoint("s3", testPlain, homeDomain))...)
	r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: 74}})
	for i := range 10 {
		id := time.Duration(i).String()
		r.arriveRequest(id, "/place/1", "")
		first := r.lastAttempt(id)
		r.endAttempt(first, rpcore.AttemptRefusedConnection, rpverdict.NotRun)
		second := r.lastAttempt(id)
		g.Expect(second.Attempt).NotTo(Equal(first.Attempt))
		r.endAttempt(second, rpcore.AttemptComplete, rpverdict.Ran)
	}
	g.Expect(effectsOf[rpfleet.RefuseRequest](r)).To(BeEmpty())
}

// Guards against a budget that counts a retry only when it is sent, and so
// allows all waiting requests a retry.
func TestRetryBudgetCountsWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	const requests = 6
	var attempts []rpfleet.StartAttempt
	for i := range requests {
		id := time.Duration(i).String()
		r.arriveRequest(id, "/suggest/1", "m0")
		attempts = append(attempts, r.lastAttempt(id))
	}
	r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: 48}})
	for _, attempt := range attempts {
		r.endAttempt(attempt, rpcore.AttemptNotLoaded, rpverdict.NotRun)
	}
	// Six requests and a 48th of the slack each allow one retry.
	g.Expect(len(effectsOf[rpfleet.RefuseRequest](r))).To(BeNumerically(">=", requests-2))
}

// Guards against a retry budget that grows when a new planner has heard of only
// few instances: all instances share the slack.
func TestRetryBudgetAfterTakeover(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(plainEndpoints()...)
	placement := func(instances int) {
		r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: instances}})
	}
	placement(74)
	placement(1)
	const requests = 20
	for i := range requests {
		id := time.Duration(i).String()
		r.arriveRequest(id, "/stock/1", "")
		attempt := r.lastAttempt(id)
		r.endAttempt(attempt, rpcore.AttemptFailed, rpverdict.MayHaveRun)
		attempts := effectsOf[rpfleet.StartAttempt](r)
		if last := attempts[len(attempts)-1]; last.Attempt != attempt.Attempt {
			r.endAttempt(last, rpcore.AttemptFailed, rpverdict.MayHaveRun)
		}
	}
	retries := len(effectsOf[rpfleet.StartAttempt](r)) - requests
	g.Expect(retries).To(BeNumerically("<=", rpfleet.DefaultRetryRatio*requests+rpfleet.DefaultRetrySlack/74.0))
}

// Guards against a resumed stream that starts from its beginning or continues
// with other weights.
func TestStreamResumesElsewhere(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, homeDomain, "m0"))
	r.arriveRequest("a", "/suggest/1", "m0")
	first := r.lastAttempt("a")
	g.Expect(first.FirstTimeout).To(BeNumerically(">", 0))
	r.apply(rpfleet.AttemptStarted{Stamp: r.stamp(), Request: "a", Attempt: first.Attempt})
	r.apply(rpfleet.AttemptEnded{
		Stamp: r.stamp(), Request: "a", Attempt: first.Attempt, Reason: rpcore.AttemptBroken,
		Verdict: rpverdict.MayHaveRun, ResponseStarted: true, LastEvent: "7", Version: "3",
	})
	second := r.lastAttempt("a")
	g.Expect(second.Endpoint).NotTo(Equal(first.Endpoint))
	g.Expect(second.ResumeAfter).To(Equal("7"))
	g.Expect(second.Version).To(Equal("3"))
}

// Guards against a second run of a stream that must not be resumed.
func TestStreamWithoutResumeRunsOnce(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, homeDomain, "m0"))
	r.arriveRequest("a", "/later/1", "m0")
	first := r.lastAttempt("a")
	r.endAttempt(first, rpcore.AttemptBroken, rpverdict.MayHaveRun)
	g.Expect(effectsOf[rpfleet.StartAttempt](r)).To(HaveLen(1))
	g.Expect(effectsOf[rpfleet.RefuseRequest](r)[0].Refusal.Status()).To(Equal(502))
}

// Guards against new work for an endpoint that is leaving.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	endpoints := plainEndpoints()
	r.configure(endpoints...)
	endpoints[0].Leaving = true
	r.apply(rpfleet.EndpointsRead{Stamp: r.stamp(), Entries: endpoints[:1]})
	// A late older entry must not bring it back.
	endpoints[0].Leaving = false
	r.apply(rpfleet.EndpointsRead{Stamp: r.stamp(), Entries: endpoints[:1]})
	for _, id := range []string{"a", "b", "c", "d"} {
		r.arriveRequest(id, "/stock/1", "")
		g.Expect(r.lastAttempt(id).Endpoint).To(Equal(endpoints[1].ID))
	}
}

// Guards against dropping live endpoints whose entries are missing for a moment
// after an outage of the store, and against keeping those that stay missing.
func TestMissingEntryAfterOutage(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	endpoints := plainEndpoints()
	r.configure(endpoints...)
	r.apply(rpfleet.StoreLost{Stamp: r.stamp()})
	r.advance(5 * time.Second)
	r.apply(rpfleet.EndpointsRead{Stamp: r.stamp(), Complete: true})
	r.arriveRequest("a", "/stock/1", "")
	g.Expect(effectsOf[rpfleet.StartAttempt](r)).To(HaveLen(1))
	r.apply(rpfleet.EndpointsRead{Stamp: r.stamp(), Entries: endpoints[1:]})
	r.advance(rpfleet.DefaultEntryGrace)
	for _, id := range []string{"b", "c", "d"} {
		r.arriveRequest(id, "/stock/1", "")
		g.Expect(r.lastAttempt(id).Endpoint).To(Equal(endpoints[1].ID))
	}
	// Without an outage before it, a missing entry means that the endpoint is
	// gone.
	r.advance(time.Minute)
	r.apply(rpfleet.EndpointsRead{Stamp: r.stamp(), Removed: []rpfleet.RemovedEntry{{ID: endpoints[1].ID}}})
	r.discardEffects()
	r.arriveRequest("e", "/stock/1", "")
	refused := effectsOf[rpfleet.RefuseRequest](r)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Refusal.Code).To(Equal(rpverdict.CodeNoEndpoint))
}

// Guards against a request that waits although its model is known to be loaded
// too late.
func TestRefusesAtOnceIfLoadIsTooLate(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	r.arriveRequest("a", "/suggest/1", "m3")
	g.Expect(effectsOf[rpfleet.RefuseRequest](r)).To(BeEmpty())
	r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Placement: rpfleet.Placement{
		IsPlanner: true, Instances: 3, Expected: []rpfleet.ExpectedModel{{Service: testService, Model: "m3", ReadyIn: 6 * time.Second}},
	}})
	refused := effectsOf[rpfleet.RefuseRequest](r)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Refusal.Status()).To(Equal(503))
	g.Expect(refused[0].Refusal.RetryAfter).To(BeNumerically("~", 6*time.Second, 100*time.Millisecond))
}

// Guards against a stream that waits until its caller gives up on the first
// event, and against one that is sent again after that.
func TestStreamIsRefusedBeforeFirstByteDeadline(t *testing.T) {
	const callerLeaves = 8 * 600 * time.Millisecond // eight times the longest pause
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	for i := range 6 { // 1.5 times the slots of the engine
		r.arriveRequest(string(rune('a'+i)), "/suggest/1", "m0")
	}
	offered := r.lastAttempt("f")
	r.arriveRequest("waits", "/suggest/1", "m0")
	r.advance(callerLeaves - 500*time.Millisecond)
	g.Expect(effectsOf[rpfleet.RefuseRequest](r)).To(BeEmpty())
	r.advance(400 * time.Millisecond)
	refused := effectsOf[rpfleet.RefuseRequest](r)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Request).To(BeEquivalentTo("waits"))
	g.Expect(refused[0].Refusal.Verdict).To(Equal(rpverdict.NotRun))
	g.Expect(refused[0].Refusal.RetryAfter).To(BeNumerically(">", 0))

	r.discardEffects()
	r.endAttempt(offered, rpcore.AttemptBusy, rpverdict.NotRun)
	refused = effectsOf[rpfleet.RefuseRequest](r)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Request).To(BeEquivalentTo("f"))
}

// Guards against ending a started stream at the deadline for its first event:
// it may be resumed until the deadline of the response.
func TestStartedStreamIsResumedAfterFirstByteDeadline(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, homeDomain, "m0"))
	r.arriveRequest("a", "/suggest/1", "m0")
	first := r.lastAttempt("a")
	r.apply(rpfleet.AttemptStarted{Stamp: r.stamp(), Request: first.Request, Attempt: first.Attempt})
	r.advance(5 * time.Second)
	r.apply(rpfleet.AttemptEnded{
		Stamp: r.stamp(), Request: first.Request, Attempt: first.Attempt,
		Reason: rpcore.AttemptBroken, Verdict: rpverdict.MayHaveRun, ResponseStarted: true, LastEvent: "7",
	})
	g.Expect(effectsOf[rpfleet.RefuseRequest](r)).To(BeEmpty())
	g.Expect(r.lastAttempt("a").ResumeAfter).To(Equal("7"))
}

// Guards against urgent requests that wait behind less urgent ones.
func TestUrgentRequestGoesFirst(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	for i := range 6 {
		r.arriveRequest("fill"+string(rune('0'+i)), "/suggest/1", "m0")
	}
	r.arriveRequest("later", "/later/1", "m0")
	r.arriveRequest("urgent", "/suggest/1", "m0")
	r.discardEffects()
	r.endAttempt(rpfleet.StartAttempt{Request: "fill0", Attempt: "fill0#1"}, rpcore.AttemptComplete, rpverdict.Ran)
	started := effectsOf[rpfleet.StartAttempt](r)
	g.Expect(started).To(HaveLen(1))
	g.Expect(started[0].Request).To(Equal(rpcore.RequestID("urgent")))
}

// Guards against work for an endpoint that fails while others are healthy.
func TestFailingEndpointIsEjected(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	endpoints := plainEndpoints()
	r.configure(endpoints...)
	for i, id := range []string{"a", "b", "c"} {
		r.arriveRequest(id, "/place/1", "")
		attempt := r.lastAttempt(id)
		if attempt.Endpoint == endpoints[0].ID {
			r.endAttempt(attempt, rpcore.AttemptBroken, rpverdict.MayHaveRun)
			continue
		}
		r.endAttempt(attempt, rpcore.AttemptComplete, rpverdict.Ran)
		g.Expect(i).To(BeNumerically(">", 0))
	}
	r.discardEffects()
	for _, id := range []string{"d", "e", "f", "g"} {
		r.arriveRequest(id, "/place/1", "")
	}
	for _, attempt := range effectsOf[rpfleet.StartAttempt](r) {
		g.Expect(attempt.Endpoint).To(Equal(endpoints[1].ID))
	}
}

// Guards against short requests that wait behind a long prompt while another
// engine is free. While an engine reads a prompt, all its streams pause.
func TestAvoidsEngineWithLongPrefill(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, homeDomain, "m0"))
	r.apply(rpfleet.RequestArrived{Stamp: r.stamp(), Request: rpfleet.Request{
		ID: "long", Host: "shop.example", Path: "/suggest/1", Model: "m0", PromptTokens: 9000,
	}})
	long := r.lastAttempt("long")
	for _, id := range []string{"a", "b", "c"} {
		r.arriveRequest(id, "/suggest/1", "m0")
		g.Expect(r.lastAttempt(id).Endpoint).NotTo(Equal(long.Endpoint))
	}
	// After its prefill, the long request counts like any other.
	r.apply(rpfleet.AttemptStarted{Stamp: r.stamp(), Request: "long", Attempt: long.Attempt})
	r.arriveRequest("d", "/suggest/1", "m0")
	g.Expect(r.lastAttempt("d").Endpoint).To(Equal(long.Endpoint))
}
