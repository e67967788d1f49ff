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

// noticeLeaving applies a response in which an endpoint says that it is leaving.
func (h *harness) noticeLeaving(e rpfleet.Endpoint) {
	h.apply(rpfleet.EndpointNoticed{
		Stamp: h.stamp(), Endpoint: e.ID, Incarnation: e.Incarnation, Notice: rpfleet.EndpointNotice{Leaving: true},
	})
}

// noticeHoldOff applies a response in which an endpoint wants no requests for d.
func (h *harness) noticeHoldOff(e rpfleet.Endpoint, d time.Duration) {
	h.apply(rpfleet.EndpointNoticed{
		Stamp: h.stamp(), Endpoint: e.ID, Incarnation: e.Incarnation, Notice: rpfleet.EndpointNotice{HoldOff: d},
	})
}

// attemptsAt returns the attempts at an endpoint since the last discardEffects.
func (h *harness) attemptsAt(id rpcore.EndpointID) []rpfleet.StartAttempt {
	var found []rpfleet.StartAttempt
	for _, attempt := range effectsOf[rpfleet.StartAttempt](h) {
		if attempt.Endpoint == id {
			found = append(found, attempt)
		}
	}
	return found
}

const timeStep = time.Millisecond

// Guards against new work for an endpoint that said in a response that it is
// leaving, at any time after that: just before the bound for leaving endpoints,
// just after it, and much later.
func TestLeavingNoticeStopsRouting(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	leaving, staying := testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, "zone-b", "m0")
	h.configure(leaving, staying)
	h.arriveRequest("before", "/suggest/1", "m0")
	g.Expect(h.lastAttempt("before").Endpoint).To(Equal(leaving.ID), "the endpoint of the same failure domain is preferred")
	h.noticeLeaving(leaving)
	h.discardEffects()
	noticedAt := h.now
	for _, after := range []time.Duration{
		0, rpfleet.DefaultLeavingBound - timeStep, rpfleet.DefaultLeavingBound, rpfleet.DefaultLeavingBound + timeStep, time.Minute,
	} {
		h.advance(noticedAt.Add(after).Sub(h.now))
		id := after.String()
		h.arriveRequest(id, "/suggest/1", "m0")
		g.Expect(h.lastAttempt(id).Endpoint).To(Equal(staying.ID), id)
		h.endAttempt(h.lastAttempt(id), rpcore.AttemptComplete, rpverdict.Ran)
	}
}

// Guards against aborting what already runs at an endpoint that is leaving.
func TestLeavingNoticeKeepsRunningAttempts(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	leaving := testEndpoint("e1", testService, homeDomain, "m0")
	h.configure(leaving)
	h.arriveRequest("running", "/later/1", "m0")
	h.noticeLeaving(leaving)
	g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(BeEmpty())
	h.endAttempt(h.lastAttempt("running"), rpcore.AttemptComplete, rpverdict.Ran)
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
	g.Expect(effectsOf[rpfleet.CloseIdleConnections](h)).To(ConsistOf(rpfleet.CloseIdleConnections{Address: leaving.Address}))
}

// Guards against a request that was queued for an endpoint, held for a retry or
// broken off in its stream before the notice, and is sent to the endpoint after
// it.
func TestLeavingNoticeAppliesToWaitingRequests(t *testing.T) {
	leaving, staying := testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, "zone-b", "m0")
	cases := map[string]func(h *harness){
		"queued for a slot": func(h *harness) {
			// The limit of an engine with four slots is six requests of rank 0.
			for i := range 6 {
				h.arriveRequest(fmt.Sprint("running", i), "/suggest/1", "m0")
			}
			h.arriveRequest("r", "/suggest/1", "m0")
			running := h.lastAttempt("running0")
			h.noticeLeaving(leaving)
			h.discardEffects()
			h.endAttempt(running, rpcore.AttemptComplete, rpverdict.Ran)
		},
		"held for a retry": func(h *harness) {
			h.arriveRequest("r", "/suggest/1", "m0")
			h.endAttempt(h.lastAttempt("r"), rpcore.AttemptBusy, rpverdict.NotRun)
			h.noticeLeaving(leaving)
			h.discardEffects()
		},
		"broken off in its stream": func(h *harness) {
			h.arriveRequest("r", "/suggest/1", "m0")
			attempt := h.lastAttempt("r")
			h.noticeLeaving(leaving)
			h.discardEffects()
			h.apply(rpfleet.AttemptEnded{
				Stamp: h.stamp(), Request: attempt.Request, Attempt: attempt.Attempt, Reason: rpcore.AttemptBroken,
				Verdict: rpverdict.MayHaveRun, ResponseStarted: true, LastEvent: "3",
			})
		},
	}
	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := withHarness(t)
			h.configure(leaving)
			begin(h)
			h.advance(rpfleet.DefaultLeavingBound + timeStep)
			g.Expect(h.attemptsAt(leaving.ID)).To(BeEmpty())
			h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: []rpfleet.Endpoint{staying}})
			h.advance(time.Second)
			g.Expect(h.attemptsAt(leaving.ID)).To(BeEmpty())
		})
	}
}

// Guards against an entry of the list that returns an endpoint to service although
// its own response said that it is leaving: an older entry, one that was removed
// and came back, and one that the planner passes on. A new incarnation is used.
func TestLeavingNoticeOutlivesListEntries(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	entry := testEndpoint("e1", testService, homeDomain, "m0")
	entry.Revision = 10
	h.configure(entry)
	h.apply(rpfleet.StoreLost{Stamp: h.stamp()})
	h.noticeLeaving(entry)
	served := func(id string) bool {
		h.discardEffects()
		h.arriveRequest(id, "/suggest/1", "m0")
		attempts := h.attemptsAt(entry.ID)
		for _, attempt := range attempts {
			h.endAttempt(attempt, rpcore.AttemptComplete, rpverdict.Ran)
		}
		return len(attempts) > 0
	}
	g.Expect(served("store lost")).To(BeFalse())
	entry.Revision = 20
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Complete: true, AsOf: 21, Entries: []rpfleet.Endpoint{entry}})
	g.Expect(served("heartbeat")).To(BeFalse())
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Removed: []rpfleet.RemovedEntry{{ID: entry.ID, Revision: 30}}})
	entry.Revision = 40
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: []rpfleet.Endpoint{entry}})
	g.Expect(served("returned entry")).To(BeFalse())
	placement := rpfleet.Placement{IsPlanner: true, Instances: 3}
	entry.Revision = 50
	placement.List.Entries = []rpfleet.Endpoint{entry}
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: placement})
	g.Expect(served("planner")).To(BeFalse())
	entry.Revision, entry.Incarnation = 60, "2"
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: []rpfleet.Endpoint{entry}})
	g.Expect(served("new incarnation")).To(BeTrue())
}

// Guards against a response of the previous incarnation that takes a new one out
// of service, and against an entry that arrives only after the response.
func TestLeavingNoticeBindsOneIncarnation(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	before, now := testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e1", testService, homeDomain, "m0")
	now.Incarnation = "2"
	h.configure(now)
	h.noticeLeaving(before)
	h.arriveRequest("r", "/suggest/1", "m0")
	g.Expect(h.attemptsAt(now.ID)).To(HaveLen(1))

	later := testEndpoint("e2", testService, homeDomain, "m1")
	h.noticeLeaving(later)
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: []rpfleet.Endpoint{later}})
	h.arriveRequest("s", "/suggest/1", "m1")
	g.Expect(h.attemptsAt(later.ID)).To(BeEmpty())
}

// Guards against other instances that never learn of an endpoint that said only to
// one instance that it is leaving, and against reports of it in every message.
func TestLeavingNoticeReachesOtherInstances(t *testing.T) {
	g := NewWithT(t)
	entry := testEndpoint("e1", testService, homeDomain, "m0")
	entry.Revision = 10
	other := withHarness(t)
	other.configure(entry)
	other.apply(rpfleet.LeaseRead{Stamp: other.stamp(), AskedAt: other.now, Row: rpfleet.LeaseRow{Revision: 7, Holder: "front-2", Epoch: 3, Address: entry.Address}})
	other.advance(time.Second)
	other.discardEffects()
	other.noticeLeaving(entry)
	other.apply(rpfleet.PlacementReceived{Stamp: other.stamp(), AskedAt: other.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: 3}})
	other.advance(2 * time.Second)
	demands := effectsOf[rpfleet.SendDemand](other)
	g.Expect(demands).NotTo(BeEmpty())
	demand := demands[len(demands)-1].Demand
	g.Expect(demand.Extension.Leaving).To(ConsistOf(rpfleet.LeavingEndpoint{ID: entry.ID, Incarnation: entry.Incarnation}))

	planner := withHarness(t)
	known := entry
	known.Revision = 5
	planner.configure(known)
	planner.becomePlanner()
	planner.apply(rpfleet.DemandReceived{Stamp: planner.stamp(), Call: 1, Demand: demand})
	answers := effectsOf[rpfleet.AnswerDemand](planner)
	changes := answers[len(answers)-1].Placement.List
	g.Expect(changes.Entries).To(HaveLen(1))
	g.Expect(changes.Entries[0].Leaving).To(BeTrue())
	// A heartbeat without the state is no new change.
	known.Revision = 12
	planner.apply(rpfleet.EndpointsRead{Stamp: planner.stamp(), Entries: []rpfleet.Endpoint{known}})
	planner.apply(rpfleet.DemandReceived{Stamp: planner.stamp(), Call: 2, Demand: rpfleet.Demand{
		Instance: "front-3", Epoch: answers[len(answers)-1].Placement.Epoch, SeenListChange: changes.Change,
	}})
	answers = effectsOf[rpfleet.AnswerDemand](planner)
	g.Expect(answers[len(answers)-1].Placement.List.Entries).To(BeEmpty())

	// The planner's entry is older than the one of the receiver.
	placement := rpfleet.Placement{IsPlanner: true, Instances: 3, List: changes}
	third := withHarness(t)
	third.configure(entry)
	third.apply(rpfleet.PlacementReceived{Stamp: third.stamp(), AskedAt: third.now, Placement: placement})
	third.arriveRequest("r", "/suggest/1", "m0")
	g.Expect(third.attemptsAt(entry.ID)).To(BeEmpty())
	// Once the planner knows, the report is not repeated.
	other.discardEffects()
	other.apply(rpfleet.PlacementReceived{Stamp: other.stamp(), AskedAt: other.now, Placement: placement})
	other.advance(2 * time.Second)
	for _, sent := range effectsOf[rpfleet.SendDemand](other) {
		g.Expect(sent.Demand.Extension.Leaving).To(BeEmpty())
	}
}

// Guards against requests, retries, reports and orders to an endpoint that wants
// none for a while, up to the end of that time, and against not using it after.
func TestHoldOff(t *testing.T) {
	const hold = 2 * time.Second
	g := NewWithT(t)
	h, engine := withPlannerHarness(t, "m0")
	h.arriveRequest("turned away", "/later/1", "m0")
	// Another instance still uses the engine, so the planner plans with it.
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: "front-2", Full: true}})
	h.noticeHoldOff(engine, hold)
	h.endAttempt(h.lastAttempt("turned away"), rpcore.AttemptBusy, rpverdict.NotRun)
	h.arriveRequest("new", "/later/1", "m0")
	h.arriveRequest("for a load", "/later/1", "m1")
	h.apply(rpfleet.RequestArrived{Stamp: h.stamp(), Request: rpfleet.Request{
		ID: "for an adapter", Host: "shop.example", Path: "/later/1", Model: "m0", Adapter: "a1", Deadline: h.now.Add(8 * time.Second),
	}})
	h.discardEffects()
	h.advanceRenewingLease(hold - timeStep)
	g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(BeEmpty())
	g.Expect(effectsOf[rpfleet.SendOrder](h)).To(BeEmpty())
	g.Expect(effectsOf[rpfleet.ReadReport](h)).To(BeEmpty())
	h.advanceRenewingLease(500 * time.Millisecond)
	g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(HaveLen(2))
	g.Expect(effectsOf[rpfleet.SendOrder](h)).NotTo(BeEmpty())
}

// Guards against a hold-off that other endpoints or other instances' work suffer
// from.
func TestHoldOffConcernsOneEndpoint(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	held, free := testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, "zone-b", "m0")
	h.configure(held, free)
	h.noticeHoldOff(held, time.Second)
	for i := range 4 {
		id := fmt.Sprint(i)
		h.arriveRequest(id, "/suggest/1", "m0")
		g.Expect(h.lastAttempt(id).Endpoint).To(Equal(free.ID))
	}
}

// Guards against callers that wait until their deadline for endpoints that have
// said that they want no requests before then.
func TestRefusesAtOnceIfHoldOffIsTooLong(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	first, second := testEndpoint("s1", testPlain, homeDomain), testEndpoint("s2", testPlain, "zone-b")
	h.configure(first, second)
	h.noticeHoldOff(first, 20*time.Second)
	h.noticeHoldOff(second, 12*time.Second)
	h.arriveRequest("r", "/place/1", "")
	refused := effectsOf[rpfleet.RefuseRequest](h)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Refusal.Status()).To(Equal(503))
	g.Expect(refused[0].Refusal.RetryAfter).To(And(BeNumerically(">=", 12*time.Second), BeNumerically("<", 13*time.Second)))
	// The timeout of the route is 8 s.
	h.advance(12*time.Second - 6*time.Second)
	h.arriveRequest("waits", "/place/1", "")
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(HaveLen(1))
	h.advance(6*time.Second + 200*time.Millisecond)
	g.Expect(h.lastAttempt("waits").Endpoint).To(Equal(second.ID))
}

// Guards against many instances that all return to an endpoint in the instant in
// which its hold-off ends.
func TestHoldOffEndsSpreadOverInstances(t *testing.T) {
	const (
		instances = 195
		hold      = 2 * time.Second
		window    = 100 * time.Millisecond
		// maxReturns is a twentieth of the instances more than an even spread of
		// 200 returns a second.
		maxReturns = 30
	)
	g := NewWithT(t)
	engine := testEndpoint("e1", testService, homeDomain, "m0")
	returns := map[time.Duration]int{}
	total := 0
	for i := range instances {
		h := withHarness(t)
		h.apply(rpfleet.Start{Stamp: h.stamp(), Self: rpcore.Identity{Instance: "front-1", FailureDomain: homeDomain}, Seed: uint64(i)})
		h.configure(engine)
		h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: instances}})
		h.noticeHoldOff(engine, hold)
		begin := h.now
		h.arriveRequest("r", "/later/1", "m0")
		for len(h.attemptsAt(engine.ID)) == 0 && h.now.Sub(begin) < 2*hold {
			h.advance(window / 10)
		}
		g.Expect(h.attemptsAt(engine.ID)).To(HaveLen(1))
		after := h.now.Sub(begin)
		g.Expect(after).To(BeNumerically(">=", hold))
		returns[after/window]++
		total++
	}
	g.Expect(total).To(Equal(instances))
	for at, n := range returns {
		g.Expect(n).To(BeNumerically("<=", maxReturns), "in the window that begins after %s", at*window)
	}
}

// Guards against callers of one instance that all come back in the instant in which
// the hold-off ends.
func TestRetryAfterOfHoldOffIsSpread(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	only := testEndpoint("s1", testPlain, homeDomain)
	h.configure(only)
	h.noticeHoldOff(only, 20*time.Second)
	seen := map[time.Duration]bool{}
	for i := range 20 {
		h.arriveRequest(fmt.Sprint(i), "/place/1", "")
	}
	for _, refused := range effectsOf[rpfleet.RefuseRequest](h) {
		seen[refused.Refusal.RetryAfter.Truncate(timeStep)] = true
	}
	g.Expect(len(seen)).To(BeNumerically(">", 10))
}

// Guards against an endpoint that is never used again because it sent an absurd
// time.
func TestHoldOffIsBounded(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	only := testEndpoint("s1", testPlain, homeDomain)
	h.configure(only)
	h.noticeHoldOff(only, 1000*time.Hour)
	h.advance(11 * time.Minute)
	h.arriveRequest("r", "/place/1", "")
	g.Expect(h.attemptsAt(only.ID)).To(HaveLen(1))
}

// Guards against a model whose only replica is at an engine that holds off most
// instances for longer than a load elsewhere takes.
func TestHoldOffLongerThanLoadMovesModel(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	held, free := testEndpoint("e1", testService, homeDomain, "m0"), withCheckpoints(testEndpoint("e2", testService, "zone-b"))
	h.configure(held, free)
	h.becomePlanner(held, free)
	h.noticeHoldOff(held, time.Minute)
	h.arriveRequest("r", "/suggest/1", "m0")
	h.advanceRenewingLease(time.Second)
	var loads []rpcore.EndpointID
	for _, order := range effectsOf[rpfleet.SendOrder](h) {
		if order.Kind == rpfleet.OrderLoad && order.Model == "m0" {
			loads = append(loads, order.Endpoint)
		}
	}
	g.Expect(loads).To(ContainElement(free.ID))
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
}
