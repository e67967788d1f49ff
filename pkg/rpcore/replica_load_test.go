package rpcore

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

const gib = rpdocument.GiB

// withWorld returns a world with nodes and with engines of 8 GiB, after all
// nodes have received the instance list and the reports.
func withWorld(nodes, engines int, enforces bool) *world {
	w := withEmptyWorld(replicaTestDocument())
	for i := range engines {
		w.addEngine(EndpointID(fmt.Sprintf("e%d", i+1)), FailureDomain(fmt.Sprintf("fd%d", i+1)), 8*gib, enforces)
	}
	for i := range nodes {
		w.addNode(InstanceID(fmt.Sprintf("i%d", i+1)), 1, Policy{})
	}
	w.run(time.Second)
	return w
}

func (w *world) tableSlots(key ModelKey) []Slot {
	row := w.table[modelRowKey(key)]
	return slotsOf(&row)
}

// deliverAllButOrders delivers all pending items that are due except load and
// unload orders. It removes and returns the first order, or nil if there is
// none.
func (w *world) deliverAllButOrders() *pendingItem {
	for {
		i := slices.IndexFunc(w.pending, func(p *pendingItem) bool { return p.order == nil && !p.at.After(w.now) })
		if i < 0 {
			break
		}
		w.process(w.removePending(i))
	}
	i := slices.IndexFunc(w.pending, func(p *pendingItem) bool { return p.order != nil })
	if i < 0 {
		return nil
	}
	return w.removePending(i)
}

// Guards against more than one load for a burst of first requests on all
// instances: with a home, with a lost home, and if every instance decides for
// itself.
func TestBurstAtNineInstancesLoadsOnce(t *testing.T) {
	for name, prepare := range map[string]func(*world){
		"home":         func(*world) {},
		"per instance": func(w *world) { w.forEachNode(func(n *fakeNode) { n.state.policy.LoadPerInstance = true }) },
		"no home": func(w *world) {
			w.forEachNode(func(n *fakeNode) { n.state.replicas.homeCache[keyA.String()] = "lost" })
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := withWorld(9, 4, true)
			prepare(w)
			w.forEachNode(func(n *fakeNode) { w.demand(n, keyA, 10) })
			w.run(5 * time.Second)
			g.Expect(w.loadOrders(keyA)).To(HaveLen(1))
			g.Expect(w.countLoaded(keyA)).To(Equal(1))
			w.forEachNode(func(n *fakeNode) {
				g.Expect(n.use).To(BeEmpty(), "requests of %s wait for a loaded model", n.identity.Instance)
				g.Expect(n.refusals).To(BeEmpty())
			})
			g.Expect(w.violations).To(BeEmpty())
		})
	}
}

func (w *world) forEachNode(f func(*fakeNode)) {
	for _, id := range sortedKeys(w.nodes) {
		f(w.nodes[id])
	}
}

// Guards against a queue that does not drain and gets no second replica, and
// against more replicas than the document allows.
func TestSustainedDemandLoadsUpToMaxReplicas(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(1, 4, true)
	n := w.nodes["i1"]
	n.state.replicas.deps.replicaReady = func(*State, ModelKey) {}
	n.use[keyA] = modelUse{Waiting: 500, Oldest: time.Minute}
	w.runInEvent(n, func(s *State) { s.demandReplica(keyA) })
	w.run(20 * time.Second)
	g.Expect(w.countLoaded(keyA)).To(Equal(2))
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against the release of a slot whose order got no answer. The order may
// still arrive at any time, and an engine that ignores fencing would carry it
// out. The slot must stay, regardless of elapsed time and of which instance
// tries to release it.
func TestUnansweredOrderKeepsItsSlotWithoutFencing(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(2, 1, false)
	w.demand(w.nodes["i1"], keyA, 1)
	late := w.deliverAllButOrders()
	g.Expect(late).NotTo(BeNil())
	late.answerLost = true
	w.deliver(late.node, OrderAnswered{Order: late.order.Order, Endpoint: "e1", Result: OrderUnknown})
	slot := w.tableSlots(keyA)[0]
	w.forEachNode(func(n *fakeNode) { w.runInEvent(n, func(s *State) { s.releaseSlot(slot, keyA) }) })
	w.run(time.Hour)
	g.Expect(w.tableSlots(keyA)).To(ConsistOf(HaveField("Nonce", slot.Nonce)))

	w.process(late)
	w.run(5 * time.Second)
	g.Expect(w.tableSlots(keyA)).To(ConsistOf(HaveField("State", SlotSettled)))
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against the slot of a late order that is never released. An engine
// that enforces fencing refuses the late order after a newer one.
func TestUnansweredOrderIsFencedOff(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(2, 1, true)
	w.demand(w.nodes["i1"], keyA, 1)
	late := w.deliverAllButOrders()
	late.answerLost = true
	w.deliver(late.node, OrderAnswered{Order: late.order.Order, Endpoint: "e1", Result: OrderUnknown})
	w.run(2 * time.Minute)
	w.process(late)
	w.run(time.Second)
	g.Expect(w.tableSlots(keyA)).NotTo(ContainElement(HaveField("Fence", late.order.Fence)))
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against the slot of an unanswered order that stays after its engine is
// gone. A model with one replica could then not be loaded while the owner of
// the order runs. While the owner is paused it may still send the order, so no
// other instance may release the slot.
func TestUnansweredOrderEndsWithItsEngine(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(2, 1, false)
	w.run(listLagBound)
	w.demand(w.nodes["i1"], keyA, 1)
	late := w.deliverAllButOrders()
	owner := late.node
	delete(w.engines, late.order.Endpoint)
	owner.paused = true
	w.run(time.Hour)
	g.Expect(w.tableSlots(keyA)).To(ConsistOf(HaveField("Engine", late.order.Endpoint)))
	owner.paused = false
	w.deliver(owner, OrderAnswered{Order: late.order.Order, Endpoint: late.order.Endpoint, Result: OrderUnknown})
	w.run(10 * time.Second)
	g.Expect(w.tableSlots(keyA)).To(BeEmpty())
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against a restarted instance that sends the order of an old slot, and
// against a slot of its former incarnation that is never released.
func TestRestartedOwnerSendsNoOldOrder(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(2, 1, false)
	// A lifetime that was listed for less than listLagBound can't be proved
	// gone sooner, since a snapshot that lags may lack it too.
	w.run(listLagBound)
	w.demand(w.nodes["i1"], keyA, 1)
	lost := w.deliverAllButOrders()
	owner := lost.node
	owner.dead = true
	w.addNode(owner.identity.Instance, 2, Policy{})
	w.run(10 * time.Second)
	g.Expect(w.tableSlots(keyA)).To(ConsistOf(HaveField("Fence", BeNumerically(">", lost.order.Fence))))
	g.Expect(w.countLoaded(keyA)).To(Equal(1))
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against an order for a slot whose write got no answer, and against
// such a slot that is never released although the write was applied.
func TestUnknownWriteIsLookedFor(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(1, 1, true)
	w.demand(w.nodes["i1"], keyA, 1)
	w.process(w.removePending(0))
	w.process(w.removePending(0))
	w.tableAnswersLost = true
	w.run(20 * time.Second)
	delete(w.nodes["i1"].use, keyA)
	w.tableAnswersLost = false
	w.run(time.Minute)
	g.Expect(w.loadOrders(keyA)).To(BeEmpty())
	g.Expect(w.tableSlots(keyA)).To(BeEmpty())
}

// Guards against a second load after the answer to an applied write was lost
// and another instance has overwritten the row. The instance must recognize its
// slot in the row.
func TestOverwrittenReservationIsFound(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(1, 2, true)
	w.demand(w.nodes["i1"], keyA, 1)
	i := slices.IndexFunc(w.pending, func(p *pendingItem) bool { return p.read != nil })
	w.process(w.removePending(i))
	w.process(w.removePending(len(w.pending) - 1))
	i = slices.IndexFunc(w.pending, func(p *pendingItem) bool { return p.write != nil })
	write := w.removePending(i)
	write.answerLost = true
	w.process(write)
	for key, row := range w.table {
		row.Version, row.Nonce = row.Version+1, "other"
		w.table[key] = row
	}
	w.queueEvent(write.node, TableWriteDone{Op: write.write.Op, Outcome: WriteUnknown})
	w.run(5 * time.Second)
	g.Expect(w.tableSlots(keyA)).To(HaveLen(1))
	g.Expect(w.loadOrders(keyA)).To(HaveLen(1))
	g.Expect(w.countLoaded(keyA)).To(Equal(1))
}

// Guards against a report that counts as proof that the order of a slot
// arrived, although it was taken before the slot was written.
func TestReportShowsOrder(t *testing.T) {
	g := NewWithT(t)
	slot := &Slot{Model: keyA, Fence: 5}
	show := func(highest uint64, loaded ...LoadedModel) bool {
		return reportProvesArrival(slot, &endpoint{report: EngineReport{HighestFence: highest, Loaded: loaded}})
	}
	g.Expect(show(4, LoadedModel{Key: keyA})).To(BeFalse())
	g.Expect(show(5)).To(BeTrue())
	g.Expect(show(6)).To(BeFalse())
	g.Expect(show(6, LoadedModel{Key: keyA})).To(BeTrue())
}

// Guards against an adapter that is loaded before its base model or on another
// engine, and against a load of both that exceeds the memory.
func TestAdapterLoadsAfterItsBaseModel(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(3, 2, true)
	w.demand(w.nodes["i2"], keyL, 1)
	w.run(5 * time.Second)
	g.Expect(w.loadOrders(keyA)).To(HaveLen(1))
	g.Expect(w.loadOrders(keyL)).To(HaveLen(1))
	g.Expect(w.nodes["i2"].use).To(BeEmpty())
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against a failed load that is retried on the same engine or in a tight
// loop.
func TestRejectedLoadRetriesOnOtherEngine(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(1, 2, true)
	w.engines["e1"].rejectLoads = true
	w.demand(w.nodes["i1"], keyB, 1)
	w.run(5 * time.Second)
	g.Expect(w.engines["e2"].loads).To(HaveKey(keyB))
	g.Expect(len(w.loadOrders(keyB))).To(BeNumerically("<=", 2))
}

// Guards against requests that wait although no replica can be provided, and
// against refusals because of a short failure of the table.
func TestUnavailableReplicaRefusesRequests(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(1, 1, true)
	n := w.nodes["i1"]
	w.tableDown = true
	w.demand(n, keyA, 1)
	w.run(900 * time.Millisecond)
	g.Expect(n.refusals).To(BeEmpty())
	w.run(2 * time.Second)
	g.Expect(n.refusals).To(HaveKey(keyA))

	w.tableDown = false
	doc := replicaTestDocument()
	doc.Models[1].Memory = 9 * gib
	n.doc = doc
	w.demand(n, keyB, 1)
	g.Expect(n.refusals[keyB].Detail).To(ContainSubstring("memory"))
}

// Guards against a planned stop that ends before the pending orders are
// answered and the answers are recorded in the table.
func TestReplicasDrained(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(1, 1, false)
	n := w.nodes["i1"]
	w.demand(n, keyA, 1)
	order := w.deliverAllButOrders()
	n.state.draining = true
	g.Expect(n.state.replicasDrained()).To(BeFalse())
	w.process(order)
	w.run(5 * time.Second)
	g.Expect(n.state.replicasDrained()).To(BeTrue())
	g.Expect(w.tableSlots(keyA)).To(ConsistOf(HaveField("OrderDead", true)))
}
