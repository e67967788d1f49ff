package rpfleet_test

import (
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
	r := withHarness(t)
	engine := withCheckpoints(testEndpoint("e1", testService, homeDomain, "m0", "m1", "m2"))
	r.configure(engine)
	row := rpfleet.LeaseRow{Revision: 7, Holder: "front-2", Epoch: 3, Renewals: 9}
	r.apply(rpfleet.LeaseRead{Stamp: r.stamp(), AskedAt: r.now, Row: row})
	begin := r.now
	r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Failed: true})
	for len(effectsOf[rpfleet.WriteLease](r)) == 0 && r.now.Sub(begin) < time.Minute {
		r.advance(100 * time.Millisecond)
		r.apply(rpfleet.LeaseRead{Stamp: r.stamp(), AskedAt: r.now, Row: row})
	}
	// The previous holder's lease lasts 1.5 s after its last renewal, which was
	// before the first read.
	g.Expect(r.now.Sub(begin)).To(BeNumerically(">", 1500*time.Millisecond))
	write := effectsOf[rpfleet.WriteLease](r)[0]
	g.Expect(write.Expected).To(Equal(uint64(7)))
	g.Expect(write.Row.Epoch).To(Equal(uint64(4)))
	taken := write.Row
	taken.Revision = 8
	r.apply(rpfleet.LeaseWritten{Stamp: r.stamp(), AskedAt: r.now, Outcome: rpcore.WriteApplied, Row: taken})
	r.reportEngine(engine, 0)
	r.arriveRequest("a", "/later/1", "m4")
	for len(effectsOf[rpfleet.SendOrder](r)) == 0 && r.now.Sub(begin) < time.Minute {
		r.advanceRenewingLease(100 * time.Millisecond)
	}
	g.Expect(r.now.Sub(begin)).To(BeNumerically(">=", 1500*time.Millisecond+rpfleet.DefaultHolderGap))
	g.Expect(r.now.Sub(begin)).To(BeNumerically("<", 6*time.Second))
}

// Guards against a takeover before the lease has ended by the store's clock,
// and against one that waits much longer.
func TestTakeoverByStoreClock(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	engine := testEndpoint("e1", testService, homeDomain, "m0", "m1", "m2")
	r.configure(engine)
	const storeStart = rpfleet.StoreTime(time.Hour)
	begin := r.now
	storeNow := func() rpfleet.StoreTime { return storeStart + rpfleet.StoreTime(r.now.Sub(begin)) }
	row := rpfleet.LeaseRow{Revision: 7, Holder: "front-2", Epoch: 3, ValidUntil: storeStart + rpfleet.StoreTime(time.Second)}
	r.apply(rpfleet.LeaseRead{Stamp: r.stamp(), AskedAt: r.now, Row: row, StoreNow: storeNow()})
	r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Failed: true})
	for len(effectsOf[rpfleet.WriteLease](r)) == 0 && r.now.Sub(begin) < time.Minute {
		r.advance(50 * time.Millisecond)
		for range effectsOf[rpfleet.ReadLease](r) {
			r.apply(rpfleet.LeaseRead{Stamp: r.stamp(), AskedAt: r.now, Row: row, StoreNow: storeNow()})
		}
		r.discarded = min(r.discarded, len(r.effects))
	}
	g.Expect(r.now.Sub(begin)).To(BeNumerically(">", time.Second))
	g.Expect(r.now.Sub(begin)).To(BeNumerically("<", 2*time.Second))
	taken := effectsOf[rpfleet.WriteLease](r)[0].Row
	g.Expect(taken.ValidUntil).To(BeNumerically(">", storeNow()))
	taken.Revision = 8
	r.apply(rpfleet.LeaseWritten{Stamp: r.stamp(), AskedAt: r.now, Outcome: rpcore.WriteApplied, Row: taken, StoreNow: storeNow()})
	r.reportEngine(engine, 0)
	r.arriveRequest("a", "/later/1", "m4")
	for len(effectsOf[rpfleet.SendOrder](r)) == 0 && r.now.Sub(begin) < time.Minute {
		r.advanceRenewingLease(100 * time.Millisecond)
	}
	// The previous holder may have sent orders until the end of its lease.
	g.Expect(r.now.Sub(begin)).To(BeNumerically(">=", time.Second+rpfleet.DefaultHolderGap))
	g.Expect(r.now.Sub(begin)).To(BeNumerically("<", 5*time.Second))
}

// Guards against a planner that keeps its lease while only its own calls to the
// store fail, and against one that sends orders after it has dropped the lease.
func TestCutOffPlannerDropsLease(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	engine := testEndpoint("e1", testService, homeDomain, "m0", "m1", "m2")
	r.configure(engine)
	r.becomePlanner(engine)
	demand := rpfleet.Demand{Instance: "front-2", Full: true}
	var late rpfleet.LeaseRow
	for range 2 {
		r.advance(400 * time.Millisecond)
		writes := effectsOf[rpfleet.WriteLease](r)
		late = writes[len(writes)-1].Row
		r.apply(rpfleet.DemandReceived{Stamp: r.stamp(), Call: 1, Demand: demand})
		r.apply(rpfleet.LeaseWritten{Stamp: r.stamp(), AskedAt: r.now, Outcome: rpcore.WriteUnavailable, Row: late})
	}
	r.discardEffects()
	r.apply(rpfleet.DemandReceived{Stamp: r.stamp(), Call: 2, Demand: demand})
	answers := effectsOf[rpfleet.AnswerDemand](r)
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Placement.IsPlanner).To(BeFalse())
	g.Expect(answers[0].Placement.ReleasedEpoch).To(Equal(late.Epoch))
	// The answer to an earlier renewal must not bring the lease back.
	late.Revision = 20
	r.apply(rpfleet.LeaseWritten{Stamp: r.stamp(), AskedAt: r.now, Outcome: rpcore.WriteApplied, Row: late})
	r.arriveRequest("a", "/later/1", "m4")
	r.advance(300 * time.Millisecond)
	g.Expect(effectsOf[rpfleet.SendOrder](r)).To(BeEmpty())
}

// Guards against a planner that drops its lease when the store fails for all
// instances. It can go on at once when the store is back; a new planner would
// have to wait for HolderGap.
func TestPlannerKeepsLeaseInStoreOutage(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	r.becomePlanner()
	for i := range 3 {
		r.advance(400 * time.Millisecond)
		writes := effectsOf[rpfleet.WriteLease](r)
		demand := rpfleet.Demand{Instance: "front-2", Full: true, StoreAge: time.Duration(i+1) * 400 * time.Millisecond}
		r.apply(rpfleet.DemandReceived{Stamp: r.stamp(), Call: 1, Demand: demand})
		r.apply(rpfleet.LeaseWritten{Stamp: r.stamp(), AskedAt: r.now, Outcome: rpcore.WriteUnavailable, Row: writes[len(writes)-1].Row})
	}
	g.Expect(r.state.IsPlanner()).To(BeTrue())
	row := effectsOf[rpfleet.WriteLease](r)[0].Row
	row.Revision = 10
	r.advance(2 * time.Second)
	g.Expect(r.state.IsPlanner()).To(BeFalse())
	r.discardEffects()
	r.apply(rpfleet.LeaseRead{Stamp: r.stamp(), AskedAt: r.now, Row: row})
	g.Expect(effectsOf[rpfleet.WriteLease](r)).To(HaveLen(1))
}

// Guards against an instance that waits for the end of a lease that its holder
// has already released.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	row := rpfleet.LeaseRow{Revision: 7, Holder: "front-2", Epoch: 3, ValidUntil: rpfleet.StoreTime(time.Hour)}
	r.apply(rpfleet.LeaseRead{Stamp: r.stamp(), AskedAt: r.now, Row: row, StoreNow: 1})
	g.Expect(effectsOf[rpfleet.WriteLease](r)).To(BeEmpty())
	r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Placement: rpfleet.Placement{ReleasedEpoch: 3}})
	for range 2 {
		r.apply(rpfleet.LeaseRead{Stamp: r.stamp(), AskedAt: r.now, Row: row, StoreNow: 2})
		r.advance(100 * time.Millisecond)
	}
	g.Expect(effectsOf[rpfleet.WriteLease](r)).To(HaveLen(1))
}

// Guards against a gap for all engines after a holder that listed its recent
// orders, and against an order too soon after one of the holder before that:
// each holder has to pass on the recent orders that it took over.
func TestRecentOrdersArePassedOn(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	fresh := withCheckpoints(testEndpoint("e1", testService, homeDomain))
	ordered := withCheckpoints(testEndpoint("e2", testService, homeDomain))
	r.configure(fresh, ordered)
	begin := r.now
	storeNow := func() rpfleet.StoreTime { return rpfleet.StoreTime(time.Hour + r.now.Sub(begin)) }
	row := rpfleet.LeaseRow{
		Revision: 7, Epoch: 3, Released: true, ValidUntil: storeNow(),
		RecentOrders: []rpfleet.RecentOrder{{Endpoint: "e2", Age: time.Second}},
	}
	for range 2 {
		r.apply(rpfleet.LeaseRead{Stamp: r.stamp(), AskedAt: r.now, Row: row, StoreNow: storeNow()})
		r.advance(40 * time.Millisecond)
	}
	taken := effectsOf[rpfleet.WriteLease](r)[0].Row
	taken.Revision = 8
	r.apply(rpfleet.LeaseWritten{Stamp: r.stamp(), AskedAt: r.now, Outcome: rpcore.WriteApplied, Row: taken, StoreNow: storeNow()})
	r.reportEngine(fresh, 0)
	r.reportEngine(ordered, 0)
	for i, model := range []string{"m0", "m1", "m2", "m3"} {
		r.arriveRequest("r"+string(rune('0'+i)), "/later/1", model)
	}
	first := map[rpcore.EndpointID]time.Duration{}
	for r.now.Sub(begin) < 2*time.Second {
		before := len(r.effects)
		r.advanceRenewingLease(100 * time.Millisecond)
		for _, effect := range r.effects[before:] {
			if order, ok := effect.(rpfleet.SendOrder); ok {
				if _, known := first[order.Endpoint]; !known {
					first[order.Endpoint] = r.now.Sub(begin)
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
	r.discardEffects()
	r.apply(rpfleet.DrainRequested{Stamp: r.stamp()})
	writes := effectsOf[rpfleet.WriteLease](r)
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
	r := withHarness(t)
	engine := testEndpoint("e1", testService, homeDomain, "m0", "m1", "m2")
	r.configure(engine)
	const storeNow = rpfleet.StoreTime(time.Hour)
	begin := r.now
	row := rpfleet.LeaseRow{
		Revision: 7, Holder: "front-1", Epoch: 3, ValidUntil: storeNow + 1, OrdersFrom: storeNow + rpfleet.StoreTime(2*time.Second),
	}
	r.apply(rpfleet.LeaseRead{Stamp: r.stamp(), AskedAt: r.now, Row: row, StoreNow: storeNow})
	taken := effectsOf[rpfleet.WriteLease](r)[0].Row
	taken.Revision = 8
	r.apply(rpfleet.LeaseWritten{Stamp: r.stamp(), AskedAt: r.now, Outcome: rpcore.WriteApplied, Row: taken, StoreNow: storeNow})
	r.reportEngine(engine, 0)
	r.arriveRequest("a", "/later/1", "m4")
	for len(effectsOf[rpfleet.SendOrder](r)) == 0 && r.now.Sub(begin) < time.Minute {
		r.advanceRenewingLease(100 * time.Millisecond)
	}
	g.Expect(r.now.Sub(begin)).To(BeNumerically(">=", 2*time.Second))
	g.Expect(r.now.Sub(begin)).To(BeNumerically("<", 3*time.Second))
}

// Guards against orders of an instance whose lease ended while the store did
// not answer or the instance was paused.
func TestNoOrderAfterLeaseEnd(t *testing.T) {
	g := NewWithT(t)
	r, _ := withPlannerHarness(t, "m0", "m1", "m2")
	r.discardEffects()
	r.now = r.now.Add(1600 * time.Millisecond)
	r.arriveRequest("a", "/later/1", "m4")
	g.Expect(effectsOf[rpfleet.SendOrder](r)).To(BeEmpty())
	r.advance(200 * time.Millisecond)
	g.Expect(effectsOf[rpfleet.SendOrder](r)).To(BeEmpty())
}

// Guards against an order that arrives at its engine after an order of the next
// planner, because it was in flight when the lease was lost.
func TestLostLeaseCancelsOrders(t *testing.T) {
	g := NewWithT(t)
	r, _ := withPlannerHarness(t, "m0", "m1", "m2")
	r.arriveRequest("a", "/later/1", "m4")
	r.advance(50 * time.Millisecond)
	g.Expect(effectsOf[rpfleet.SendOrder](r)).NotTo(BeEmpty())
	r.discardEffects()
	other := r.lease
	other.Revision, other.Holder, other.Epoch = other.Revision+5, "front-2", other.Epoch+1
	r.apply(rpfleet.LeaseWritten{Stamp: r.stamp(), AskedAt: r.now, Outcome: rpcore.WriteConflict, Row: other})
	g.Expect(r.state.IsPlanner()).To(BeFalse())
	g.Expect(effectsOf[rpfleet.CancelOrders](r)).To(HaveLen(1))
}
