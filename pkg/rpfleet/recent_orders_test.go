package rpfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// releaseLease starts a planned stop and returns the row that gives the lease up.
func (h *harness) releaseLease() rpfleet.LeaseRow {
	h.t.Helper()
	h.discardEffects()
	h.apply(rpfleet.DrainRequested{Stamp: h.stamp()})
	writes := effectsOf[rpfleet.WriteLease](h)
	NewWithT(h.t).Expect(writes).To(HaveLen(1))
	row := writes[0].Row
	NewWithT(h.t).Expect(row.Released).To(BeTrue())
	row.Revision = writes[0].Expected + 1
	if row.ValidUntil == 0 {
		// The harness did not tell the store's clock.
		row.ValidUntil = rpfleet.StoreTime(time.Hour)
	}
	return row
}

// removeEntry removes the entry of an endpoint from the list.
func (h *harness) removeEntry(id rpcore.EndpointID) {
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now, Removed: []rpfleet.RemovedEntry{{ID: id}}})
}

// addEntry adds an endpoint to the list.
func (h *harness) addEntry(e rpfleet.Endpoint) {
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now, Entries: []rpfleet.Endpoint{e}})
}

// firstOrderAfter lets an instance take a lease that was given up and returns how long
// after its start the engine, whose entry is back, gets its first order.
func firstOrderAfter(t *testing.T, row rpfleet.LeaseRow, engine rpfleet.Endpoint) time.Duration {
	t.Helper()
	h := withHarness(t)
	h.configure(engine)
	begin := h.now
	storeNow := func() rpfleet.StoreTime { return row.ValidUntil + rpfleet.StoreTime(h.now.Sub(begin)) }
	for range 2 {
		h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: row, StoreNow: storeNow()})
		h.advance(40 * time.Millisecond)
	}
	taken := effectsOf[rpfleet.WriteLease](h)[0].Row
	taken.Revision = row.Revision + 1
	h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteApplied, Row: taken, StoreNow: storeNow()})
	h.reportEngine(engine, 0)
	h.arriveRequest("a", "/later/1", "m5")
	for len(effectsOf[rpfleet.SendOrder](h)) == 0 && h.now.Sub(begin) < 10*time.Second {
		h.advanceRenewingLease(50 * time.Millisecond)
	}
	NewWithT(t).Expect(effectsOf[rpfleet.SendOrder](h)).NotTo(BeEmpty())
	return h.now.Sub(begin)
}

// withOrderedEngine returns a planner that has just sent an order to its engine.
func withOrderedEngine(t *testing.T) (*harness, rpfleet.Endpoint, rpfleet.SendOrder) {
	t.Helper()
	h, engine := withPlannerHarness(t, "m0", "m1", "m2")
	h.arriveRequest("a", "/later/1", "m4")
	h.advance(50 * time.Millisecond)
	orders := effectsOf[rpfleet.SendOrder](h)
	NewWithT(t).Expect(orders).NotTo(BeEmpty())
	return h, engine, orders[len(orders)-1]
}

// Guards against orders of two planners to one engine that are closer together than
// HolderGap because the engine's entry was removed around the handover.
func TestRemovedEntryKeepsHolderGap(t *testing.T) {
	for name, happen := range map[string]func(*harness, rpfleet.Endpoint, rpfleet.SendOrder){
		"answered, then removed": func(h *harness, e rpfleet.Endpoint, o rpfleet.SendOrder) {
			h.answerOrder(o, rpfleet.OrderAccepted)
			h.removeEntry(e.ID)
		},
		"removed, then answered": func(h *harness, e rpfleet.Endpoint, o rpfleet.SendOrder) {
			h.removeEntry(e.ID)
			h.answerOrder(o, rpfleet.OrderAccepted)
		},
		"removed in flight": func(h *harness, e rpfleet.Endpoint, _ rpfleet.SendOrder) {
			h.removeEntry(e.ID)
		},
		"removed and back": func(h *harness, e rpfleet.Endpoint, o rpfleet.SendOrder) {
			h.answerOrder(o, rpfleet.OrderAccepted)
			h.removeEntry(e.ID)
			h.addEntry(e)
		},
		"in flight, removed and back": func(h *harness, e rpfleet.Endpoint, _ rpfleet.SendOrder) {
			h.removeEntry(e.ID)
			h.addEntry(e)
		},
		"another incarnation": func(h *harness, e rpfleet.Endpoint, o rpfleet.SendOrder) {
			h.answerOrder(o, rpfleet.OrderAccepted)
			e.Incarnation = "2"
			h.addEntry(e)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h, engine, order := withOrderedEngine(t)
			happen(h, engine, order)
			orderedAt := h.now
			h.advanceRenewingLease(500 * time.Millisecond)
			row := h.releaseLease()
			since := h.now.Sub(orderedAt)
			g.Expect(since + firstOrderAfter(t, row, engine)).To(BeNumerically(">=", rpfleet.DefaultHolderGap))
		})
	}
}

// Guards against a planner without the lease that does not name an engine whose entry
// was removed: the next one takes over by this answer, without the row.
func TestAnswerNamesRemovedEngines(t *testing.T) {
	g := NewWithT(t)
	h, engine, order := withOrderedEngine(t)
	h.removeEntry(engine.ID)
	other := h.lease
	other.Revision, other.Holder, other.Epoch = other.Revision+5, "front-2", other.Epoch+1
	h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteConflict, Row: other})
	h.answerOrder(order, rpfleet.OrderUnknown)
	h.discardEffects()
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: "front-2"}})
	answer := effectsOf[rpfleet.AnswerDemand](h)[0].Placement
	g.Expect(answer.IsPlanner).To(BeFalse())
	g.Expect(answer.RecentOrders).To(HaveLen(1))
	g.Expect(answer.RecentOrders[0].Endpoint).To(Equal(engine.ID))
}

// Guards against a handover that loses the orders of the holder before: that one did
// not list its orders, and the entry of an engine is missing until after the handover.
func TestGapForAllEnginesIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	engine := withCheckpoints(testEndpoint("e1", testService, homeDomain, "m0", "m1", "m2"))
	h.configure(withCheckpoints(testEndpoint("e2", testService, homeDomain)))
	begin := h.now
	storeNow := func() rpfleet.StoreTime { return rpfleet.StoreTime(time.Hour + h.now.Sub(begin)) }
	ended := rpfleet.LeaseRow{Revision: 7, Holder: "front-9", Epoch: 3, ValidUntil: storeNow() - rpfleet.StoreTime(200*time.Millisecond)}
	for len(effectsOf[rpfleet.WriteLease](h)) == 0 {
		h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: ended, StoreNow: storeNow()})
		h.advance(100 * time.Millisecond)
	}
	taken := effectsOf[rpfleet.WriteLease](h)[0].Row
	taken.Revision = 8
	h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteApplied, Row: taken, StoreNow: storeNow()})
	h.advanceRenewingLease(200 * time.Millisecond)
	row := h.releaseLease()
	since := h.now.Sub(begin) + 200*time.Millisecond
	g.Expect(since + firstOrderAfter(t, row, engine)).To(BeNumerically(">=", rpfleet.DefaultHolderGap))
	named := map[rpcore.EndpointID]bool{}
	for _, order := range row.RecentOrders {
		named[order.Endpoint] = true
	}
	// Earlier versions of the program only know the engines that are listed.
	g.Expect(named).To(HaveKey(rpcore.EndpointID("e2")))
}

// Guards against a planner that restarts and gives the lease up: the orders of its
// earlier process are those of another holder for the next one.
func TestRestartedPlannerPassesOnEarlierOrders(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	engine := withCheckpoints(testEndpoint("e1", testService, homeDomain, "m0", "m1", "m2"))
	h.configure()
	const storeNow = rpfleet.StoreTime(time.Hour)
	begin := h.now
	row := rpfleet.LeaseRow{Revision: 7, Holder: "front-1", Epoch: 3, ValidUntil: storeNow + rpfleet.StoreTime(time.Second)}
	h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: row, StoreNow: storeNow})
	taken := effectsOf[rpfleet.WriteLease](h)[0].Row
	taken.Revision = 8
	h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteApplied, Row: taken, StoreNow: storeNow})
	h.advanceRenewingLease(300 * time.Millisecond)
	released := h.releaseLease()
	g.Expect(h.now.Sub(begin) + firstOrderAfter(t, released, engine)).To(BeNumerically(">=", rpfleet.DefaultHolderGap))
}

// Guards against a handover that waits for orders that were sent longer than HolderGap
// ago, or for engines that got none.
func TestOldOrdersAreNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	h, engine, order := withOrderedEngine(t)
	h.answerOrder(order, rpfleet.OrderAccepted)
	h.removeEntry(engine.ID)
	h.advanceRenewingLease(rpfleet.DefaultHolderGap + 300*time.Millisecond)
	row := h.releaseLease()
	g.Expect(row.RecentOrders).To(BeEmpty())
	g.Expect(firstOrderAfter(t, row, engine)).To(BeNumerically("<", time.Second))
}
