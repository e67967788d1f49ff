package rpfleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// Guards against orders of two holders of the lease to one engine that are
// closer together than HolderGap.
func TestTakeoverKeepsHolderGap(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	engine := withCheckpoints(testEndpoint("e1", testService, homeDomain, "m0", "m1", "m2"))
	h.configure(engine)
	row := rpfleet.LeaseRow{Revision: 7, Holder: "front-2", Epoch: 3, Renewals: 9}
	h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: row})
	begin := h.now
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Failed: true})
	for len(effectsOf[rpfleet.WriteLease](h)) == 0 && h.now.Sub(begin) < time.Minute {
		h.advance(100 * time.Millisecond)
		h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: row})
	}
	// The previous holder's lease lasts 1.5 s after its last renewal, which was
	// before the first read.
	g.Expect(h.now.Sub(begin)).To(BeNumerically(">", 1500*time.Millisecond))
	write := effectsOf[rpfleet.WriteLease](h)[0]
	g.Expect(write.Expected).To(Equal(rpfleet.Revision(7)))
	g.Expect(write.Row.Epoch).To(Equal(uint64(4)))
	taken := write.Row
	taken.Revision = 8
	h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteApplied, Row: taken})
	h.reportEngine(engine, 0)
	h.arriveRequest("a", "/later/1", "m4")
	for len(effectsOf[rpfleet.SendOrder](h)) == 0 && h.now.Sub(begin) < time.Minute {
		h.advanceRenewingLease(100 * time.Millisecond)
	}
	g.Expect(h.now.Sub(begin)).To(BeNumerically(">=", 1500*time.Millisecond+rpfleet.DefaultHolderGap))
	g.Expect(h.now.Sub(begin)).To(BeNumerically("<", 6*time.Second))
}

// Guards against a takeover before the lease has ended by the store's clock,
// and against one that waits much longer.
func TestTakeoverByStoreClock(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	engine := testEndpoint("e1", testService, homeDomain, "m0", "m1", "m2")
	h.configure(engine)
	const storeStart = rpfleet.StoreTime(time.Hour)
	begin := h.now
	storeNow := func() rpfleet.StoreTime { return storeStart + rpfleet.StoreTime(h.now.Sub(begin)) }
	row := rpfleet.LeaseRow{Revision: 7, Holder: "front-2", Epoch: 3, ValidUntil: storeStart + rpfleet.StoreTime(time.Second)}
	h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: row, StoreNow: storeNow()})
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Failed: true})
	for len(effectsOf[rpfleet.WriteLease](h)) == 0 && h.now.Sub(begin) < time.Minute {
		h.advance(50 * time.Millisecond)
		for range effectsOf[rpfleet.ReadLease](h) {
			h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: row, StoreNow: storeNow()})
		}
		h.discarded = min(h.discarded, len(h.effects))
	}
	g.Expect(h.now.Sub(begin)).To(BeNumerically(">", time.Second))
	g.Expect(h.now.Sub(begin)).To(BeNumerically("<", 2*time.Second))
	taken := effectsOf[rpfleet.WriteLease](h)[0].Row
	g.Expect(taken.ValidUntil).To(BeNumerically(">", storeNow()))
	taken.Revision = 8
	h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteApplied, Row: taken, StoreNow: storeNow()})
	h.reportEngine(engine, 0)
	h.arriveRequest("a", "/later/1", "m4")
	for len(effectsOf[rpfleet.SendOrder](h)) == 0 && h.now.Sub(begin) < time.Minute {
		h.advanceRenewingLease(100 * time.Millisecond)
	}
	// The previous holder may have sent orders until the end of its lease.
	g.Expect(h.now.Sub(begin)).To(BeNumerically(">=", time.Second+rpfleet.DefaultHolderGap))
	g.Expect(h.now.Sub(begin)).To(BeNumerically("<", 5*time.Second))
}

// Guards against a planner that keeps its lease while only its own calls to the
// store fail, and against one that sends orders after it has dropped the lease.
func TestCutOffPlannerDropsLease(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	engine := testEndpoint("e1", testService, homeDomain, "m0", "m1", "m2")
	h.configure(engine)
	h.becomePlanner(engine)
	demand := rpfleet.Demand{Instance: "front-2", Full: true}
	var late rpfleet.LeaseRow
	for range 2 {
		h.advance(400 * time.Millisecond)
		writes := effectsOf[rpfleet.WriteLease](h)
		late = writes[len(writes)-1].Row
		h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: demand})
		h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteUnavailable, Row: late})
	}
	h.discardEffects()
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 2, Demand: demand})
	answers := effectsOf[rpfleet.AnswerDemand](h)
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Placement.IsPlanner).To(BeFalse())
	g.Expect(answers[0].Placement.ReleasedEpoch).To(Equal(late.Epoch))
	// The answer to an earlier renewal must not bring the lease back.
	late.Revision = 20
	h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteApplied, Row: late})
	h.arriveRequest("a", "/later/1", "m4")
	h.advance(300 * time.Millisecond)
	g.Expect(effectsOf[rpfleet.SendOrder](h)).To(BeEmpty())
}

// Guards against a planner that drops its lease when the store fails for all
// instances. It can go on at once when the store is back; a new planner would
// have to wait for HolderGap.
func TestPlannerKeepsLeaseInStoreOutage(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	h.becomePlanner()
	for i := range 3 {
		h.advance(400 * time.Millisecond)
		writes := effectsOf[rpfleet.WriteLease](h)
		demand := rpfleet.Demand{Instance: "front-2", Full: true, StoreAge: time.Duration(i+1) * 400 * time.Millisecond}
		h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: demand})
		h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteUnavailable, Row: writes[len(writes)-1].Row})
	}
	g.Expect(h.state.IsPlanner()).To(BeTrue())
	row := effectsOf[rpfleet.WriteLease](h)[0].Row
	row.Revision = 10
	h.advance(2 * time.Second)
	g.Expect(h.state.IsPlanner()).To(BeFalse())
	h.discardEffects()
	h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: row})
	g.Expect(effectsOf[rpfleet.WriteLease](h)).To(HaveLen(1))
}

// Guards against an instance that waits for the end of a lease that its holder
// has already released.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	row := rpfleet.LeaseRow{Revision: 7, Holder: "front-2", Epoch: 3, ValidUntil: rpfleet.StoreTime(time.Hour)}
	h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: row, StoreNow: 1})
	g.Expect(effectsOf[rpfleet.WriteLease](h)).To(BeEmpty())
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{ReleasedEpoch: 3}})
	for range 2 {
		h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: row, StoreNow: 2})
		h.advance(100 * time.Millisecond)
	}
	g.Expect(effectsOf[rpfleet.WriteLease](h)).To(HaveLen(1))
}

// Guards against a gap for all engines after a holder that listed its recent
// orders, and against an order too soon after one of the holder before that:
// each holder has to pass on the recent orders that it took over.
func TestRecentOrdersArePassedOn(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	fresh := withCheckpoints(testEndpoint("e1", testService, homeDomain))
	ordered := withCheckpoints(testEndpoint("e2", testService, homeDomain))
	h.configure(fresh, ordered)
	begin := h.now
	storeNow := func() rpfleet.StoreTime { return rpfleet.StoreTime(time.Hour + h.now.Sub(begin)) }
	row := rpfleet.LeaseRow{
		Revision: 7, Epoch: 3, Released: true, ValidUntil: storeNow(),
		RecentOrders: []rpfleet.RecentOrder{{Endpoint: "e2", Age: time.Second}},
	}
	for range 2 {
		h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: row, StoreNow: storeNow()})
		h.advance(40 * time.Millisecond)
	}
	taken := effectsOf[rpfleet.WriteLease](h)[0].Row
	taken.Revision = 8
	h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteApplied, Row: taken, StoreNow: storeNow()})
	h.reportEngine(fresh, 0)
	h.reportEngine(ordered, 0)
	for i, model := range []string{"m0", "m1", "m2", "m3"} {
		h.arriveRequest("r"+string(rune('0'+i)), "/later/1", model)
	}
	first := map[rpcore.EndpointID]time.Duration{}
	for h.now.Sub(begin) < 2*time.Second {
		before := len(h.effects)
		h.advanceRenewingLease(100 * time.Millisecond)
		for _, effect := range h.effects[before:] {
			if order, ok := effect.(rpfleet.SendOrder); ok {
				if _, known := first[order.Endpoint]; !known {
					first[order.Endpoint] = h.now.Sub(begin)
				}
			}
		}
	}
	g.Expect(first["e1"]).To(BeNumerically("<", 500*time.Millisecond))
	if at, ok := first["e2"]; ok {
		g.Expect(at).To(BeNumerically(">=", rpfleet.DefaultHolderGap-time.Second))
	}
	// On a planned stop within HolderGap the row lists both engines for the next
	// holder.
	h.discardEffects()
	h.apply(rpfleet.DrainRequested{Stamp: h.stamp()})
	writes := effectsOf[rpfleet.WriteLease](h)
	g.Expect(writes).NotTo(BeEmpty())
	named := map[rpcore.EndpointID]bool{}
	for _, order := range writes[len(writes)-1].Row.RecentOrders {
		named[order.Endpoint] = true
	}
	g.Expect(named).To(HaveKey(rpcore.EndpointID("e1")))
	g.Expect(named).To(HaveKey(rpcore.EndpointID("e2")))
}

// Guards against a restart that ignores the time until which the lease forbids
// orders.
func TestRestartKeepsHolderGap(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	engine := testEndpoint("e1", testService, homeDomain, "m0", "m1", "m2")
	h.configure(engine)
	const storeNow = rpfleet.StoreTime(time.Hour)
	begin := h.now
	row := rpfleet.LeaseRow{
		Revision: 7, Holder: "front-1", Epoch: 3, ValidUntil: storeNow + 1, OrdersFrom: storeNow + rpfleet.StoreTime(2*time.Second),
	}
	h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: row, StoreNow: storeNow})
	taken := effectsOf[rpfleet.WriteLease](h)[0].Row
	taken.Revision = 8
	h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteApplied, Row: taken, StoreNow: storeNow})
	h.reportEngine(engine, 0)
	h.arriveRequest("a", "/later/1", "m4")
	for len(effectsOf[rpfleet.SendOrder](h)) == 0 && h.now.Sub(begin) < time.Minute {
		h.advanceRenewingLease(100 * time.Millisecond)
	}
	g.Expect(h.now.Sub(begin)).To(BeNumerically(">=", 2*time.Second))
	g.Expect(h.now.Sub(begin)).To(BeNumerically("<", 3*time.Second))
}

// Guards against orders of an instance whose lease ended while the store did
// not answer or the instance was paused.
func TestNoOrderAfterLeaseEnd(t *testing.T) {
	g := NewWithT(t)
	h, _ := withPlannerHarness(t, "m0", "m1", "m2")
	h.discardEffects()
	h.now = h.now.Add(1600 * time.Millisecond)
	h.arriveRequest("a", "/later/1", "m4")
	g.Expect(effectsOf[rpfleet.SendOrder](h)).To(BeEmpty())
	h.advance(200 * time.Millisecond)
	g.Expect(effectsOf[rpfleet.SendOrder](h)).To(BeEmpty())
}

// Guards against an order that arrives at its engine after an order of the next
// planner, because it was in flight when the lease was lost.
func TestLostLeaseCancelsOrders(t *testing.T) {
	g := NewWithT(t)
	h, _ := withPlannerHarness(t, "m0", "m1", "m2")
	h.arriveRequest("a", "/later/1", "m4")
	h.advance(50 * time.Millisecond)
	g.Expect(effectsOf[rpfleet.SendOrder](h)).NotTo(BeEmpty())
	h.discardEffects()
	other := h.lease
	other.Revision, other.Holder, other.Epoch = other.Revision+5, "front-2", other.Epoch+1
	h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteConflict, Row: other})
	g.Expect(h.state.IsPlanner()).To(BeFalse())
	g.Expect(effectsOf[rpfleet.CancelOrders](h)).To(HaveLen(1))
}

// Guards against a planner with too little CPU for a large deployment although
// larger instances are there: its orders get no answers in time. Also guards
// against attempts of all instances at the same time.
func TestLargeInstancesTakeLeaseFirst(t *testing.T) {
	const instances, large = 195, 15
	for _, known := range []int{0, instances} {
		t.Run(fmt.Sprint("known instances ", known), func(t *testing.T) {
			g := NewWithT(t)
			var firstSmall, firstLarge, last time.Duration
			for i := range instances {
				h := withHarness(t)
				share := 0.192
				if i < large {
					share = 0.8
				}
				h.apply(rpfleet.Start{Stamp: h.stamp(), Self: rpcore.Identity{Instance: "front-1"}, Seed: uint64(i), Policy: rpfleet.Policy{CPUShare: share}})
				if known > 0 {
					h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: known}})
				}
				begin := h.now
				h.discardEffects()
				h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now})
				for len(effectsOf[rpfleet.ReadLease](h))+len(effectsOf[rpfleet.WriteLease](h)) == 0 {
					h.advance(time.Millisecond)
				}
				after := h.now.Sub(begin)
				last = max(last, after)
				if i < large && (firstLarge == 0 || after < firstLarge) {
					firstLarge = after
				}
				if i >= large && (firstSmall == 0 || after < firstSmall) {
					firstSmall = after
				}
			}
			g.Expect(firstLarge).To(BeNumerically("<", firstSmall/2))
			g.Expect(last).To(BeNumerically("<", 2*time.Second))
		})
	}
}
