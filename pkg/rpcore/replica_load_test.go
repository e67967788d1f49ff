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

// newWorldWith returns a world of nodes and of engines of 8 GiB that ignore or
// enforce fencing, with all views filled.
func newWorldWith(nodes, engines int, enforces bool) *world {
	w := newWorld(replicaTestDocument())
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

// deliverAllButOrders delivers what is due but keeps load orders under way.
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

// A burst of first requests at all instances must not start a load per
// instance: with the home, without it, and when no instance hears another.
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
			w := newWorldWith(9, 4, true)
			prepare(w)
			w.forEachNode(func(n *fakeNode) { w.demand(n, keyA, 10) })
			w.run(5 * time.Second)
			g.Expect(w.loadOrders(keyA)).To(HaveLen(1))
			g.Expect(w.countLoaded(keyA)).To(Equal(1))
			w.forEachNode(func(n *fakeNode) {
				g.Expect(n.use).To(BeEmpty(), "requests of %s wait for a loaded model", n.identity.Instance)
				g.Expect(n.refused).To(BeEmpty())
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

// A lasting queue must get a second replica, within the bound.
func TestSustainedDemandLoadsUpToMaxReplicas(t *testing.T) {
	g := NewWithT(t)
	w := newWorldWith(1, 4, true)
	n := w.nodes["i1"]
	n.state.replicas.deps.replicaReady = func(*State, ModelKey) {}
	n.use[keyA] = modelUse{Waiting: 500, Oldest: time.Minute}
	w.runInEvent(n, func(s *State) { s.demandReplica(keyA) })
	w.run(20 * time.Second)
	g.Expect(w.countLoaded(keyA)).To(Equal(2))
	g.Expect(w.violations).To(BeEmpty())
}

// An order whose answer is lost may arrive at any later time. An engine that
// ignores fencing would carry it out, so its slot must stay however much time
// passes and whoever tries to free it.
func TestUnansweredOrderKeepsItsSlotWithoutFencing(t *testing.T) {
	g := NewWithT(t)
	w := newWorldWith(2, 1, false)
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

// An engine that enforces fencing refuses the late order after a newer one, so
// its slot must not stay forever.
func TestUnansweredOrderIsFencedOff(t *testing.T) {
	g := NewWithT(t)
	w := newWorldWith(2, 1, true)
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

// The engine of an unanswered order is gone. Its slot must be freed, or a model
// with one replica can't be loaded as long as the owner of the order lives. A
// paused owner may still send the order, so nobody else may free the slot.
func TestUnansweredOrderEndsWithItsEngine(t *testing.T) {
	g := NewWithT(t)
	w := newWorldWith(2, 1, false)
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

// A restarted instance must not send the order of an old slot, and the slot of
// its former incarnation must be freed.
func TestRestartedOwnerSendsNoOldOrder(t *testing.T) {
	g := NewWithT(t)
	w := newWorldWith(2, 1, false)
	// A lifetime that was listed for less than listLagBound can't be proved
	// gone sooner, since a reading that is behind lacks it too.
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

// A write that stays unknown may have taken effect. No order may be sent for
// its slot, and the slot must not stay.
func TestUnknownWriteIsLookedFor(t *testing.T) {
	g := NewWithT(t)
	w := newWorldWith(1, 1, true)
	w.demand(w.nodes["i1"], keyA, 1)
	w.process(w.removePending(0))
	w.process(w.removePending(0))
	w.tableLost = true
	w.run(20 * time.Second)
	delete(w.nodes["i1"].use, keyA)
	w.tableLost = false
	w.run(time.Minute)
	g.Expect(w.loadOrders(keyA)).To(BeEmpty())
	g.Expect(w.tableSlots(keyA)).To(BeEmpty())
}

// The answer of an applied write may be lost while another instance overwrites
// the row. The slot in the row must count as this one's, not lead to a second
// load.
func TestOverwrittenReservationIsFound(t *testing.T) {
	g := NewWithT(t)
	w := newWorldWith(1, 2, true)
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

// A report that was taken before the slot was written must not prove that its
// order arrived.
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

// An adapter needs its base model first, on the same engine, and both must go
// within the memory.
func TestAdapterLoadsAfterItsBaseModel(t *testing.T) {
	g := NewWithT(t)
	w := newWorldWith(3, 2, true)
	w.demand(w.nodes["i2"], keyL, 1)
	w.run(5 * time.Second)
	g.Expect(w.loadOrders(keyA)).To(HaveLen(1))
	g.Expect(w.loadOrders(keyL)).To(HaveLen(1))
	g.Expect(w.nodes["i2"].use).To(BeEmpty())
	g.Expect(w.violations).To(BeEmpty())
}

// A load that fails must be tried again elsewhere, and not in a tight loop.
func TestRejectedLoadRetriesOnOtherEngine(t *testing.T) {
	g := NewWithT(t)
	w := newWorldWith(1, 2, true)
	w.engines["e1"].rejectLoads = true
	w.demand(w.nodes["i1"], keyB, 1)
	w.run(5 * time.Second)
	g.Expect(w.engines["e2"].loads).To(HaveKey(keyB))
	g.Expect(len(w.loadOrders(keyB))).To(BeNumerically("<=", 2))
}

// Waiting requests must learn that no replica can come, but a short failure of
// the table must not refuse them.
func TestUnavailableReplicaRefusesRequests(t *testing.T) {
	g := NewWithT(t)
	w := newWorldWith(1, 1, true)
	n := w.nodes["i1"]
	w.tableDown = true
	w.demand(n, keyA, 1)
	w.run(900 * time.Millisecond)
	g.Expect(n.refused).To(BeEmpty())
	w.run(2 * time.Second)
	g.Expect(n.refused).To(HaveKey(keyA))

	w.tableDown = false
	doc := replicaTestDocument()
	doc.Models[1].Memory = 9 * gib
	n.doc = doc
	w.demand(n, keyB, 1)
	g.Expect(n.refused[keyB].Detail).To(ContainSubstring("memory"))
}

// A planned stop waits for the orders under way and for the record of their
// answers, and withdraws what was not sent.
func TestReplicasDrained(t *testing.T) {
	g := NewWithT(t)
	w := newWorldWith(1, 1, false)
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
