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
	h := withHarness(t)
	h.arriveRequest("a", "/stock/1", "")
	refused := effectsOf[rpfleet.RefuseRequest](h)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Refusal.Status()).To(Equal(503))
	g.Expect(refused[0].Refusal.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(effectsOf[rpfleet.ReportReady](h)[0].Ready).To(BeFalse())
	h.configure(plainEndpoints()...)
	// The lease row says how many instances share the retry budget. A read that
	// fails counts too, so that an outage does not keep callers away.
	ready := effectsOf[rpfleet.ReportReady](h)
	g.Expect(ready[len(ready)-1].Ready).To(BeFalse())
	h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Failed: true})
	ready = effectsOf[rpfleet.ReportReady](h)
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
	h := withHarness(t)
	h.configure(plainEndpoints()...)
	newer := testConfig(5)
	newer.Routes = newer.Routes[:3]
	newer.Index()
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: newer})
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: testConfig(4)})
	h.arriveRequest("a", "/stock/1", "")
	refused := effectsOf[rpfleet.RefuseRequest](h)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Refusal.Code).To(Equal(rpverdict.CodeUnknownRoute))
}

// Guards against a second run of a request that may run only once, and against
// a refusal that says it did not run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(plainEndpoints()...)
	h.arriveRequest("a", "/place/1", "")
	first := h.lastAttempt("a")
	g.Expect(first.Repeatable).To(BeFalse())
	g.Expect(first.FirstTimeout).To(BeZero())
	h.endAttempt(first, rpcore.AttemptBroken, rpverdict.MayHaveRun)
	refused := effectsOf[rpfleet.RefuseRequest](h)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Refusal.Status()).To(Equal(502))
	g.Expect(refused[0].Refusal.Verdict).To(Equal(rpverdict.MayHaveRun))
	g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(HaveLen(1))
}

// Guards against refusing a request that certainly did not run.
func TestNotRunRequestIsRetriedElsewhere(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(plainEndpoints()...)
	h.arriveRequest("a", "/place/1", "")
	first := h.lastAttempt("a")
	h.endAttempt(first, rpcore.AttemptRefusedConnection, rpverdict.NotRun)
	second := h.lastAttempt("a")
	g.Expect(second.Endpoint).NotTo(Equal(first.Endpoint))
	h.endAttempt(second, rpcore.AttemptComplete, rpverdict.Ran)
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
}

// Guards against unbounded retries while a service fails.
func TestRetryBudget(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	endpoints := plainEndpoints()
	h.configure(endpoints...)
	const requests = 200
	for i := range requests {
		id := "r" + string(rune('a'+i%26)) + time.Duration(i).String()
		h.arriveRequest(id, "/stock/1", "")
		attempt := h.lastAttempt(id)
		h.endAttempt(attempt, rpcore.AttemptFailed, rpverdict.MayHaveRun)
		attempts := effectsOf[rpfleet.StartAttempt](h)
		if last := attempts[len(attempts)-1]; last.Request == attempt.Request && last.Attempt != attempt.Attempt {
			h.endAttempt(last, rpcore.AttemptFailed, rpverdict.MayHaveRun)
		}
	}
	retries := len(effectsOf[rpfleet.StartAttempt](h)) - requests
	// An instance that knows no other instances uses a small part of the slack.
	g.Expect(retries).To(BeNumerically("<=", rpfleet.DefaultRetryRatio*requests+rpfleet.DefaultRetrySlack/2))
	g.Expect(retries).To(BeNumerically(">", 0))
}

// Guards against requests refused in a network partition because connections
// that were never made used up the retry budget.
func TestFailedConnectsDoNotUseRetryBudget(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(append(plainEndpoints(), testEndpoint("s3", testPlain, homeDomain))...)
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: 74}})
	for i := range 10 {
		id := time.Duration(i).String()
		h.arriveRequest(id, "/place/1", "")
		first := h.lastAttempt(id)
		h.endAttempt(first, rpcore.AttemptRefusedConnection, rpverdict.NotRun)
		second := h.lastAttempt(id)
		g.Expect(second.Attempt).NotTo(Equal(first.Attempt))
		h.endAttempt(second, rpcore.AttemptComplete, rpverdict.Ran)
	}
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
}

// Guards against a budget that counts a retry only when it is sent, and so
// allows all waiting requests a retry.
func TestRetryBudgetCountsWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	const requests = 6
	var attempts []rpfleet.StartAttempt
	for i := range requests {
		id := time.Duration(i).String()
		h.arriveRequest(id, "/suggest/1", "m0")
		attempts = append(attempts, h.lastAttempt(id))
	}
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: 48}})
	for _, attempt := range attempts {
		h.endAttempt(attempt, rpcore.AttemptNotLoaded, rpverdict.NotRun)
	}
	// Six requests and a 48th of the slack each allow one retry.
	g.Expect(len(effectsOf[rpfleet.RefuseRequest](h))).To(BeNumerically(">=", requests-2))
}

// Guards against a retry budget that grows when a new planner has heard of only
// few instances: all instances share the slack.
func TestRetryBudgetAfterTakeover(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(plainEndpoints()...)
	placement := func(instances int) {
		h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: instances}})
	}
	placement(74)
	placement(1)
	const requests = 20
	for i := range requests {
		id := time.Duration(i).String()
		h.arriveRequest(id, "/stock/1", "")
		attempt := h.lastAttempt(id)
		h.endAttempt(attempt, rpcore.AttemptFailed, rpverdict.MayHaveRun)
		attempts := effectsOf[rpfleet.StartAttempt](h)
		if last := attempts[len(attempts)-1]; last.Attempt != attempt.Attempt {
			h.endAttempt(last, rpcore.AttemptFailed, rpverdict.MayHaveRun)
		}
	}
	retries := len(effectsOf[rpfleet.StartAttempt](h)) - requests
	g.Expect(retries).To(BeNumerically("<=", rpfleet.DefaultRetryRatio*requests+rpfleet.DefaultRetrySlack/74.0))
}

// Guards against a stream whose events have no ids and which is sent again from its start
// after its engine has crashed or fallen silent: the caller got the first events twice.
func TestStreamWithoutEventIDsIsNotResumed(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, homeDomain, "m0"))
	h.arriveRequest("a", "/suggest/1", "m0")
	first := h.lastAttempt("a")
	h.apply(rpfleet.AttemptStarted{Stamp: h.stamp(), Request: "a", Attempt: first.Attempt})
	h.advance(3 * time.Second)
	h.apply(rpfleet.AttemptStalled{Stamp: h.stamp(), Request: "a", Attempt: first.Attempt, Unresumable: true})
	g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(BeEmpty(), "the engine may go on")
	h.apply(rpfleet.AttemptEnded{
		Stamp: h.stamp(), Request: "a", Attempt: first.Attempt, Reason: rpcore.AttemptBroken,
		Verdict: rpverdict.MayHaveRun, ResponseStarted: true, Unresumable: true,
	})
	g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(HaveLen(1))
	refused := effectsOf[rpfleet.RefuseRequest](h)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Refusal.Code).To(Equal(rpverdict.CodeStreamBroken))
}

// Guards against a resumed stream that starts from its beginning or continues
// with other weights.
func TestStreamResumesElsewhere(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, homeDomain, "m0"))
	h.arriveRequest("a", "/suggest/1", "m0")
	first := h.lastAttempt("a")
	g.Expect(first.FirstTimeout).To(BeNumerically(">", 0))
	h.apply(rpfleet.AttemptStarted{Stamp: h.stamp(), Request: "a", Attempt: first.Attempt})
	h.apply(rpfleet.AttemptEnded{
		Stamp: h.stamp(), Request: "a", Attempt: first.Attempt, Reason: rpcore.AttemptBroken,
		Verdict: rpverdict.MayHaveRun, ResponseStarted: true, LastEvent: "7", Version: "3",
	})
	second := h.lastAttempt("a")
	g.Expect(second.Endpoint).NotTo(Equal(first.Endpoint))
	g.Expect(second.ResumeAfter).To(Equal("7"))
	g.Expect(second.Version).To(Equal("3"))
}

// Guards against a second run of a stream that must not be resumed.
func TestStreamWithoutResumeRunsOnce(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, homeDomain, "m0"))
	h.arriveRequest("a", "/later/1", "m0")
	first := h.lastAttempt("a")
	h.endAttempt(first, rpcore.AttemptBroken, rpverdict.MayHaveRun)
	g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(HaveLen(1))
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)[0].Refusal.Status()).To(Equal(502))
}

// Guards against new work for an endpoint that is leaving.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	endpoints := plainEndpoints()
	h.configure(endpoints...)
	endpoints[0].Leaving = true
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: endpoints[:1]})
	// A late older entry must not bring it back.
	endpoints[0].Leaving = false
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: endpoints[:1]})
	for _, id := range []string{"a", "b", "c", "d"} {
		h.arriveRequest(id, "/stock/1", "")
		g.Expect(h.lastAttempt(id).Endpoint).To(Equal(endpoints[1].ID))
	}
}

// Guards against dropping live endpoints whose entries are missing for a moment
// after an outage of the store, and against keeping those that stay missing.
func TestMissingEntryAfterOutage(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	endpoints := plainEndpoints()
	h.configure(endpoints...)
	h.apply(rpfleet.StoreLost{Stamp: h.stamp()})
	h.advance(5 * time.Second)
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Complete: true})
	h.arriveRequest("a", "/stock/1", "")
	g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(HaveLen(1))
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: endpoints[1:]})
	h.advance(rpfleet.DefaultEntryGrace)
	for _, id := range []string{"b", "c", "d"} {
		h.arriveRequest(id, "/stock/1", "")
		g.Expect(h.lastAttempt(id).Endpoint).To(Equal(endpoints[1].ID))
	}
	// Without an outage before it, a missing entry means that the endpoint is
	// gone.
	h.advance(time.Minute)
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Removed: []rpfleet.RemovedEntry{{ID: endpoints[1].ID}}})
	h.discardEffects()
	h.arriveRequest("e", "/stock/1", "")
	refused := effectsOf[rpfleet.RefuseRequest](h)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Refusal.Code).To(Equal(rpverdict.CodeNoEndpoint))
}

// Guards against a request that waits although its model is known to be loaded
// too late.
func TestRefusesAtOnceIfLoadIsTooLate(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	h.arriveRequest("a", "/suggest/1", "m3")
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
		IsPlanner: true, Instances: 3, Expected: []rpfleet.ExpectedModel{{Service: testService, Model: "m3", ReadyIn: 6 * time.Second}},
	}})
	refused := effectsOf[rpfleet.RefuseRequest](h)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Refusal.Status()).To(Equal(503))
	g.Expect(refused[0].Refusal.RetryAfter).To(BeNumerically("~", 6*time.Second, 100*time.Millisecond))
}

// Guards against a stream that waits until its caller gives up on the first
// event, and against one that is sent again after that.
func TestStreamIsRefusedBeforeFirstByteDeadline(t *testing.T) {
	const callerLeaves = 8 * 600 * time.Millisecond // eight times the longest pause
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	for i := range 6 { // 1.5 times the slots of the engine
		h.arriveRequest(string(rune('a'+i)), "/suggest/1", "m0")
	}
	offered := h.lastAttempt("f")
	h.arriveRequest("waits", "/suggest/1", "m0")
	h.advance(callerLeaves - 500*time.Millisecond)
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
	h.advance(400 * time.Millisecond)
	refused := effectsOf[rpfleet.RefuseRequest](h)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Request).To(BeEquivalentTo("waits"))
	g.Expect(refused[0].Refusal.Verdict).To(Equal(rpverdict.NotRun))
	g.Expect(refused[0].Refusal.RetryAfter).To(BeNumerically(">", 0))

	h.discardEffects()
	h.endAttempt(offered, rpcore.AttemptBusy, rpverdict.NotRun)
	refused = effectsOf[rpfleet.RefuseRequest](h)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Request).To(BeEquivalentTo("f"))
}

// Guards against ending a started stream at the deadline for its first event:
// it may be resumed until the deadline of the response.
func TestStartedStreamIsResumedAfterFirstByteDeadline(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, homeDomain, "m0"))
	h.arriveRequest("a", "/suggest/1", "m0")
	first := h.lastAttempt("a")
	h.apply(rpfleet.AttemptStarted{Stamp: h.stamp(), Request: first.Request, Attempt: first.Attempt})
	h.advance(5 * time.Second)
	h.apply(rpfleet.AttemptEnded{
		Stamp: h.stamp(), Request: first.Request, Attempt: first.Attempt,
		Reason: rpcore.AttemptBroken, Verdict: rpverdict.MayHaveRun, ResponseStarted: true, LastEvent: "7",
	})
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
	g.Expect(h.lastAttempt("a").ResumeAfter).To(Equal("7"))
}

// Guards against urgent requests that wait behind less urgent ones.
func TestUrgentRequestGoesFirst(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	for i := range 6 {
		h.arriveRequest("fill"+string(rune('0'+i)), "/suggest/1", "m0")
	}
	h.arriveRequest("later", "/later/1", "m0")
	h.arriveRequest("urgent", "/suggest/1", "m0")
	h.discardEffects()
	h.endAttempt(rpfleet.StartAttempt{Request: "fill0", Attempt: "fill0#1"}, rpcore.AttemptComplete, rpverdict.Ran)
	started := effectsOf[rpfleet.StartAttempt](h)
	g.Expect(started).To(HaveLen(1))
	g.Expect(started[0].Request).To(Equal(rpcore.RequestID("urgent")))
}

// Guards against work for an endpoint that fails while others are healthy.
func TestFailingEndpointIsEjected(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	endpoints := plainEndpoints()
	h.configure(endpoints...)
	for i, id := range []string{"a", "b", "c"} {
		h.arriveRequest(id, "/place/1", "")
		attempt := h.lastAttempt(id)
		if attempt.Endpoint == endpoints[0].ID {
			h.endAttempt(attempt, rpcore.AttemptBroken, rpverdict.MayHaveRun)
			continue
		}
		h.endAttempt(attempt, rpcore.AttemptComplete, rpverdict.Ran)
		g.Expect(i).To(BeNumerically(">", 0))
	}
	h.discardEffects()
	for _, id := range []string{"d", "e", "f", "g"} {
		h.arriveRequest(id, "/place/1", "")
	}
	for _, attempt := range effectsOf[rpfleet.StartAttempt](h) {
		g.Expect(attempt.Endpoint).To(Equal(endpoints[1].ID))
	}
}

// Guards against short requests that wait behind a long prompt while another
// engine is free. While an engine reads a prompt, all its streams pause.
func TestAvoidsEngineWithLongPrefill(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, homeDomain, "m0"))
	h.apply(rpfleet.RequestArrived{Stamp: h.stamp(), Request: rpfleet.Request{
		ID: "long", Host: "shop.example", Path: "/suggest/1", Model: "m0", PromptTokens: 9000,
	}})
	long := h.lastAttempt("long")
	for _, id := range []string{"a", "b", "c"} {
		h.arriveRequest(id, "/suggest/1", "m0")
		g.Expect(h.lastAttempt(id).Endpoint).NotTo(Equal(long.Endpoint))
	}
	// After its prefill, the long request counts like any other.
	h.apply(rpfleet.AttemptStarted{Stamp: h.stamp(), Request: "long", Attempt: long.Attempt})
	h.arriveRequest("d", "/suggest/1", "m0")
	g.Expect(h.lastAttempt("d").Endpoint).To(Equal(long.Endpoint))
}

// Guards against a request that waits until its deadline after the only endpoint
// that could serve it failed once: for a plain service, and for a model with a
// single replica.
func TestRetriesAtOnlyEndpoint(t *testing.T) {
	for path, model := range map[string]string{"/stock/1": "", "/suggest/1": "m0"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			h := withHarness(t)
			h.configure(testEndpoint("s1", testPlain, homeDomain), testEndpoint("e1", testService, homeDomain, "m0"))
			h.arriveRequest("r", path, model)
			first := h.lastAttempt("r")
			h.endAttempt(first, rpcore.AttemptBroken, rpverdict.MayHaveRun)
			h.advance(100 * time.Millisecond)
			second := h.lastAttempt("r")
			g.Expect(second.Attempt).NotTo(Equal(first.Attempt))
			h.endAttempt(second, rpcore.AttemptBroken, rpverdict.MayHaveRun)
			refused := effectsOf[rpfleet.RefuseRequest](h)
			g.Expect(refused).To(HaveLen(1), "the route allows two runs")
			g.Expect(refused[0].Refusal.Verdict).To(Equal(rpverdict.MayHaveRun))
		})
	}
}

// Guards against work that is started again elsewhere, or given up, because its
// endpoint was silent for a while: its entry lapses while a request runs there.
func TestSilentEndpointKeepsItsWork(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	entries := []rpfleet.Endpoint{
		testEndpoint("s1", testPlain, homeDomain), testEndpoint("e1", testService, homeDomain, "m0"),
		testEndpoint("s2", testPlain, "zone-b"), testEndpoint("e2", testService, "zone-b", "m0"),
	}
	h.configure(entries...)
	paths := map[string]string{"/place/1": "", "/later/1": "m0", "/suggest/1": "m0"}
	for path, model := range paths {
		h.arriveRequest(path, path, model)
	}
	attempts := map[string]rpfleet.StartAttempt{}
	for path := range paths {
		attempts[path] = h.lastAttempt(path)
	}
	h.discardEffects()
	for i := range entries {
		h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Removed: []rpfleet.RemovedEntry{{ID: entries[i].ID}}})
	}
	h.advance(3 * time.Second)
	g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(BeEmpty())
	g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(BeEmpty())
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: entries})
	for path := range paths {
		h.endAttempt(attempts[path], rpcore.AttemptComplete, rpverdict.Ran)
	}
	g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(BeEmpty())
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
}
