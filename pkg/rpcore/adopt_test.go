package rpcore

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// preloadModel puts a model on an engine without an order.
func (w *world) preloadModel(id EndpointID, key ModelKey, memory rpdocument.Bytes) {
	e := w.engines[id]
	order := SendOrder{Endpoint: id, Model: key, Version: "1", Memory: memory}
	e.loads[key] = &fakeLoad{engine: e, order: order, loaded: true}
}

// Guards against a replica beyond the limit of its model, because replicas that
// were loaded without an order are not counted. They count even on an engine
// that is leaving and gets no new work.
func TestPreloadedReplicaCounts(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(2, 2, true)
	w.preloadModel("e1", keyB, gib)
	w.engines["e1"].member.Leaving = true
	w.run(2 * time.Second)
	w.demand(w.nodes["i1"], keyB, 50)
	w.run(5 * time.Second)
	g.Expect(w.loadOrders(keyB)).To(BeEmpty())
	delete(w.engines["e1"].loads, keyB)
	w.demand(w.nodes["i1"], keyB, 50)
	w.run(5 * time.Second)
	g.Expect(w.loadOrders(keyB)).To(HaveLen(1))
}

// Guards against replicas that were loaded without an order and stay although
// they exceed the limit of the document.
func TestExcessPreloadedReplicasGo(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(2, 4, true)
	for id := range w.engines {
		w.preloadModel(id, keyA, gib)
	}
	w.run(time.Minute)
	g.Expect(w.countLoaded(keyA)).To(BeNumerically("<=", w.doc.Models[0].MaxReplicas))
	g.Expect(w.tableSlots(keyA)).To(HaveLen(w.countLoaded(keyA)))
}

// Guards against a load that exceeds the memory of its engine, because the
// memory of a model without a slot is reserved again.
func TestPreloadedMemoryCounts(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(1, 1, true)
	w.preloadModel("e1", ModelKey{Service: "other", Name: "by-hand"}, 8*gib)
	w.run(2 * time.Second)
	w.demand(w.nodes["i1"], keyA, 1)
	w.run(5 * time.Second)
	g.Expect(w.loadOrders(keyA)).To(BeEmpty())
}

// Guards against a slot for a model that was just unloaded, written because a
// late report still shows the model.
func TestNoSlotForLateReport(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(1, 1, true)
	w.preloadModel("e1", keyA, gib)
	w.run(9 * time.Second)
	g.Expect(w.tableSlots(keyA)).To(BeEmpty())
	delete(w.engines["e1"].loads, keyA)
	w.run(time.Minute)
	g.Expect(w.tableSlots(keyA)).To(BeEmpty())
}
