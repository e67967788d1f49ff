package rpcore

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Guards against requests that are resolved to a wrong model or route, in
// particular a repeatable one, and against requests without an allowed
// credential.
func TestResolve(t *testing.T) {
	tests := []struct {
		req  Request
		want string
	}{
		{Request{ModelName: "kodovac/m"}, "start r@e1"},
		{Request{ModelName: "kodovac/a"}, "start r@e1"},
		{Request{ModelName: "m"}, "refuse r unknown_model not_run"},
		{Request{ModelName: "kodovac/x"}, "refuse r unknown_model not_run"},
		{Request{ModelName: "other/m"}, "refuse r unknown_service not_run"},
		{Request{}, "refuse r malformed_request not_run"},
		{Request{Service: "kodovac", Method: "GET", Path: "/order/1"}, "start r@p1"},
		{Request{Service: "kodovac", Method: "POST", Path: "/order/preview/1"}, "start r@p1"},
		{Request{Service: "kodovac", Method: "POST", Path: "/order/previewed"}, "refuse r idempotency_key_required not_run"},
		{Request{Service: "kodovac", Method: "POST", Path: "/ordered"}, "refuse r unknown_route not_run"},
		{Request{Service: "kodovac", Method: "POST", Path: "/order/preview/../1"}, "refuse r malformed_request not_run"},
		{Request{ModelName: "kodovac/once"}, "refuse r idempotency_key_required not_run"},
		{Request{ModelName: "kodovac/m", Rank: 9}, "refuse r invalid_header not_run"},
	}
	for _, test := range tests {
		g := NewWithT(t)
		h := withHarness("a", Limits{}, Policy{})
		h.addEngine("e1", "m", "a", "once")
		h.addPlainService("p1")
		test.req.ID = "r"
		g.Expect(summary(h.arrive(test.req))).To(Equal([]string{test.want}), "%+v", test.req)
	}
	g := NewWithT(t)
	h := withHarness("a", Limits{RequestsInProgress: 1}, Policy{})
	h.addEngine("e1", "m", "a")
	start := firstStart(h.arriveForModel("r1", "a"))
	g.Expect(start.Model.Name).To(Equal("m"))
	g.Expect(start.Adapter).To(Equal("a"))
	g.Expect(start.Rank).To(Equal(rpdocument.RankNormal))
	g.Expect(start.Deadline).To(Equal(h.now.Add(30 * time.Second)))
	g.Expect(summary(h.arriveForModel("r2", "m"))).To(Equal([]string{"refuse r2 too_many_streams not_run"}))
	h.completeAttempt(start)
	start = firstStart(h.arrive(Request{ID: "r3", ModelName: "kodovac/m", Timeout: 1000 * time.Hour}))
	g.Expect(start.Deadline).To(Equal(h.now.Add(24 * time.Hour)))
	h.completeAttempt(start)
	h.documents["kodovac"].Callers = []string{"aa"}
	g.Expect(summary(h.arriveForModel("r4", "m"))).To(Equal([]string{"refuse r4 caller_not_allowed not_run"}))
	h.noDocuments = true
	g.Expect(summary(h.arriveForModel("r5", "m"))).To(Equal([]string{"refuse r5 caller_not_allowed not_run"}))
	g.Expect(summary(h.arrive(Request{ID: "r6", ModelName: "other/m"}))).To(Equal([]string{"refuse r6 no_document not_run"}))
}

// Guards against queued requests that are dropped, refused after their
// deadline, or blocked by requests for a model that is being loaded.
func TestQueueDeadlinesAndColdModel(t *testing.T) {
	g := NewWithT(t)
	h := withHarness("a", Limits{EngineConcurrency: 1}, Policy{})
	e := h.addEngine("e1", "m")
	g.Expect(summary(h.arriveForModel("cold1", "cold"))).To(BeEmpty())
	g.Expect(h.demanded).To(ContainElement(ModelKey{Service: "kodovac", Name: "cold"}))
	first := firstStart(h.arriveForModel("m1", "m"))
	g.Expect(summary(h.arriveForModel("m2", "m"))).To(BeEmpty())
	g.Expect(h.demanded).To(ContainElement(ModelKey{Service: "kodovac", Name: "m"}))
	second := firstStart(h.completeAttempt(first))
	g.Expect(second.Request).To(Equal(RequestID("m2")))
	use := h.s.currentModelUse(ModelKey{Service: "kodovac", Name: "cold"})
	g.Expect(use.Waiting).To(Equal(1))
	g.Expect(use.Rank).To(Equal(rpdocument.RankUrgent))
	h.advance(1900 * time.Millisecond)
	g.Expect(h.s.currentModelUse(ModelKey{Service: "kodovac", Name: "cold"}).Oldest).To(Equal(1900 * time.Millisecond))
	g.Expect(summary(h.advance(100 * time.Millisecond))).To(Equal([]string{"refuse cold1 deadline_exceeded not_run"}))

	h.expectedWait = 5 * time.Second
	effects := h.arriveForModel("cold2", "cold")
	g.Expect(summary(effects)).To(Equal([]string{"refuse cold2 deadline_unreachable not_run"}))
	g.Expect(effectsOf[RefuseRequest](effects)[0].Refusal.RetryAfter).To(BeNumerically("~", 3*time.Second, 50*time.Millisecond))
	h.expectedWait = time.Second
	g.Expect(summary(h.arriveForModel("cold3", "cold"))).To(BeEmpty())
	markLoaded(e, "cold")
	ready := func(s *State) { s.dispatchWaiting(ModelKey{Service: "kodovac", Name: "cold"}) }
	g.Expect(summary(h.call(ready))).To(BeEmpty(), "the engine is full")
	g.Expect(summary(h.completeAttempt(second))).To(Equal([]string{"start cold3@e1"}))
	g.Expect(summary(h.advance(2 * time.Second))).To(Equal([]string{"cancel", "refuse cold3 deadline_exceeded may_have_run"}))
}

// Guards against an unbounded queue, and against a predicted wait that counts
// queued requests with a later deadline.
func TestQueueLimitAndPrediction(t *testing.T) {
	g := NewWithT(t)
	h := withHarness("a", Limits{EngineConcurrency: 1}, Policy{})
	h.addEngine("e1", "m")
	h.documents["kodovac"].Ranks.Normal.QueueLimit = 12
	last := firstStart(h.arriveForModel("r0", "m"))
	for i := range 12 {
		h.arriveForModel(fmt.Sprintf("w%d", i), "m")
	}
	g.Expect(summary(h.arriveForModel("full", "m"))).To(Equal([]string{"refuse full queue_full not_run"}))
	for range 6 {
		h.advance(time.Second)
		last = firstStart(h.completeAttempt(last))
	}
	g.Expect(summary(h.arrive(Request{ID: "late", ModelName: "kodovac/m", Timeout: 4 * time.Second}))).To(BeEmpty())
	for i := range 5 {
		h.arrive(Request{ID: RequestID(fmt.Sprintf("s%d", i)), ModelName: "kodovac/m", Timeout: 3 * time.Second})
	}
	g.Expect(summary(h.arrive(Request{ID: "late2", ModelName: "kodovac/m", Timeout: 3 * time.Second}))).
		To(Equal([]string{"refuse late2 deadline_unreachable not_run"}))
	h.documents["kodovac"] = &rpdocument.Document{Service: "kodovac"}
	g.Expect(summary(h.call(func(s *State) { s.applyDocumentToRequests("kodovac") }))).
		To(ContainElement("refuse w11 unknown_model not_run"))
	g.Expect(h.s.waitingByRank()).To(Equal([rpdocument.RankCount]int{}))
}

// Guards against a first-in-first-out baseline that still uses ranks or
// deadlines.
func TestFirstInFirstOut(t *testing.T) {
	g := NewWithT(t)
	h := withHarness("a", Limits{EngineConcurrency: 1}, Policy{FirstInFirstOut: true, RandomRouting: true})
	h.addEngine("e1", "m")
	first := firstStart(h.arriveForModel("r1", "m"))
	h.arrive(Request{ID: "r2", ModelName: "kodovac/m", Rank: rpdocument.RankBackground})
	h.arrive(Request{ID: "r3", ModelName: "kodovac/m", Rank: rpdocument.RankUrgent})
	g.Expect(summary(h.completeAttempt(first))).To(Equal([]string{"start r2@e1"}))
}

// Guards against a retry at the endpoint that just failed, a resume after the
// wrong token or with another model version, a late end of an attempt that ends
// the next attempt, and unlimited retries.
func TestRetryAndResume(t *testing.T) {
	g := NewWithT(t)
	h := withHarness("a", Limits{}, Policy{})
	h.addEngine("e1", "m")
	h.addEngine("e2", "m")
	first := firstStart(h.arriveForModel("r1", "m"))
	broken := AttemptEnded{
		Stamp: h.stamp(), Attempt: first.Attempt, Request: "r1",
		Reason: AttemptBroken, Verdict: rpverdict.MayHaveRun, TokensRelayed: 7,
	}
	h.send(broken)
	second := firstStart(h.advance(time.Second))
	g.Expect(second.Endpoint).NotTo(Equal(first.Endpoint))
	g.Expect(second.ResumeAfter).To(Equal(7))
	g.Expect(summary(h.completeAttempt(first))).To(BeEmpty())
	broken.Attempt, broken.TokensRelayed, broken.Stamp = second.Attempt, 3, h.stamp()
	h.send(broken)
	third := firstStart(h.advance(time.Second))
	g.Expect(third.ResumeAfter).To(Equal(10))
	broken.Attempt, broken.AnswerStarted, broken.Stamp = third.Attempt, true, h.stamp()
	g.Expect(summary(h.send(broken))).To(Equal([]string{"refuse r1 stream_broken may_have_run"}))

	a := firstStart(h.arriveForModel("r2", "m"))
	moved := firstStart(h.endAttempt(a, AttemptRefusedConnection, rpverdict.NotRun))
	g.Expect(moved.Endpoint).NotTo(Equal(a.Endpoint))
	g.Expect(summary(h.endAttempt(moved, AttemptNotLoaded, rpverdict.NotRun))).To(BeEmpty())
	g.Expect(summary(h.advance(30 * time.Second))).To(Equal([]string{"refuse r2 deadline_exceeded not_run"}))

	newer := h.addEngine("e3", "m")
	first = firstStart(h.arriveForModel("r3", "m"))
	newer.loaded[first.Model] = loadedEntry{LoadedModel: LoadedModel{Version: "2"}}
	broken.Attempt, broken.Request, broken.AnswerStarted, broken.Stamp = first.Attempt, "r3", false, h.stamp()
	h.send(broken)
	g.Expect(summary(h.advance(time.Second))).To(Equal([]string{"refuse r3 stream_broken may_have_run"}),
		"another version must not continue the text")
}

// Guards against retries that amplify an overload.
func TestRetryBudget(t *testing.T) {
	g := NewWithT(t)
	h := withHarness("a", Limits{EngineConcurrency: 200}, Policy{})
	h.addEngine("e1", "m")
	attempts := 0
	h.onEffects = func(effects []Effect) {
		for _, a := range effectsOf[StartAttempt](effects) {
			attempts++
			h.endAttempt(a, AttemptFailed, rpverdict.MayHaveRun)
		}
	}
	for i := range 100 {
		h.arriveForModel(fmt.Sprint("r", i), "m")
	}
	h.advance(time.Minute)
	g.Expect(attempts).To(BeNumerically(">", 100))
	g.Expect(attempts).To(BeNumerically("<=", 100+13))
	g.Expect(h.s.requests.byID).To(BeEmpty())
}

// Guards against requests to an endpoint that keeps failing, against the
// ejection of more than half of the endpoints, and against a return to use
// without a probe.
func TestEjection(t *testing.T) {
	g := NewWithT(t)
	h := withHarness("a", Limits{}, Policy{})
	for _, id := range []string{"e1", "e2", "e3"} {
		h.addEngine(id, "m")
	}
	key := ModelKey{Service: "kodovac", Name: "m"}
	for i := range 40 {
		a := firstStart(h.arriveForModel(fmt.Sprint("r", i), "m"))
		h.endAttempt(a, AttemptFailed, rpverdict.MayHaveRun)
		h.send(RequestAbandoned{Stamp: h.stamp(), Request: a.Request})
	}
	set := h.s.ejectedAmong(h.serving(key))
	var out, in []*endpoint
	for _, e := range h.endpoints {
		if set.contains(e) {
			out = append(out, e)
		} else {
			in = append(in, e)
		}
	}
	g.Expect(out).To(HaveLen(1))
	for _, e := range in {
		e.health.consecutiveFailures = 0
	}
	until := out[0].health.ejectedUntil
	h.advance(until.Sub(h.now) + time.Millisecond)
	var probe StartAttempt
	probes := 0
	for i := range 30 {
		a := firstStart(h.arriveForModel(fmt.Sprint("p", i), "m"))
		if a.Endpoint == out[0].id {
			probe = a
			probes++
		}
	}
	g.Expect(probes).To(Equal(1))
	h.endAttempt(probe, AttemptFailed, rpverdict.MayHaveRun)
	g.Expect(out[0].health.ejectedUntil.Sub(h.now)).To(BeNumerically(">=", time.Second), "the second ejection is longer")
	in[0].leaving, in[1].leaving = true, true
	g.Expect(firstStart(h.arriveForModel("last", "m")).Endpoint).To(Equal(out[0].id), "the only endpoint left is used")
}

// Guards against requests that leave the failure domain of the instance without
// need, and against affinity to an endpoint that is overloaded or whose cache
// content is unknown.
func TestRouting(t *testing.T) {
	g := NewWithT(t)
	h := withHarness("a", Limits{EngineConcurrency: 4}, Policy{})
	remote := h.addEngine("a-far", "m")
	remote.FailureDomain = "fd2"
	local1, local2 := h.addEngine("e1", "m"), h.addEngine("e2", "m")
	local1.report, local1.reportedAt = EngineReport{Sequence: 1, Running: 3}, h.now
	count := map[EndpointID]int{}
	for i := range 6 {
		count[firstStart(h.arriveForModel(fmt.Sprint("r", i), "m")).Endpoint]++
	}
	g.Expect(count).To(Equal(map[EndpointID]int{"e1": 1, "e2": 4, "a-far": 1}))

	h = withHarness("a", Limits{EngineConcurrency: 8}, Policy{})
	local1, local2 = h.addEngine("e1", "m"), h.addEngine("e2", "m")
	batch := CacheEventsReceived{Stamp: h.stamp(), Endpoint: "e2", Incarnation: "e1", Next: 2, Reset: true, Added: []uint64{1, 2}}
	h.send(batch)
	prompt := Request{ModelName: "kodovac/m", PrefixHashes: []uint64{1, 2, 3}}
	chosen := map[EndpointID]int{}
	for i := range 16 {
		prompt.ID = RequestID(fmt.Sprint("q", i))
		start := firstStart(h.arrive(prompt))
		chosen[start.Endpoint]++
		h.completeAttempt(start)
		start = firstStart(h.arrive(Request{ID: RequestID(fmt.Sprint("t", i)), ModelName: "kodovac/m", Session: "s1"}))
		chosen["session "+start.Endpoint]++
		h.completeAttempt(start)
	}
	g.Expect(chosen).To(HaveLen(2))
	g.Expect(chosen).To(HaveKeyWithValue(EndpointID("e2"), 16))
	for i := range 4 {
		prompt.ID = RequestID(fmt.Sprint("p", i))
		h.arrive(prompt)
	}
	g.Expect(local2.inFlight).To(BeNumerically(">=", 2))
	g.Expect(local2.inFlight - local1.inFlight).To(BeNumerically("<=", 3))
	g.Expect(local2.cache.matchingBlocks(prompt.PrefixHashes)).To(Equal(2))
	batch.Reset, batch.First = false, 5
	h.send(batch)
	g.Expect(local2.cache.matchingBlocks(prompt.PrefixHashes)).To(Equal(0))
}

// Guards against a planned stop that aborts running requests, reports twice
// that it is done, or never ends.
func TestDrain(t *testing.T) {
	g := NewWithT(t)
	h := withHarness("a", Limits{EngineConcurrency: 1, DrainTimeout: 5 * time.Second}, Policy{})
	g.Expect(effectsOf[ReportReady](h.advance(time.Second))).To(Equal([]ReportReady{{Ready: true}}))
	h.addEngine("e1", "m")
	first := firstStart(h.arriveForModel("r1", "m"))
	h.arriveForModel("r2", "m")
	effects := h.send(DrainRequested{Stamp: h.stamp()})
	g.Expect(effectsOf[ReportReady](effects)).To(Equal([]ReportReady{{Reason: "draining"}}))
	g.Expect(summary(h.arriveForModel("r3", "m"))).To(Equal([]string{"refuse r3 draining not_run"}))
	second := firstStart(h.completeAttempt(first))
	g.Expect(effectsOf[ReportDrained](h.completeAttempt(second))).To(HaveLen(1))
	g.Expect(effectsOf[ReportDrained](h.advance(10 * time.Second))).To(BeEmpty())

	h = withHarness("a", Limits{EngineConcurrency: 1, DrainTimeout: 5 * time.Second}, Policy{})
	h.addEngine("e1", "m")
	h.arriveForModel("r1", "m")
	h.arriveForModel("r2", "m")
	h.send(DrainRequested{Stamp: h.stamp()})
	effects = h.advance(5 * time.Second)
	g.Expect(summary(effects)).To(Equal([]string{"cancel", "refuse r1 draining may_have_run", "refuse r2 draining not_run"}))
	g.Expect(effectsOf[ReportDrained](effects)).To(HaveLen(1))
}
