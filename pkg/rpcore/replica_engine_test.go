package rpcore

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

type fakeEngine struct {
	member       Member
	loads        map[ModelKey]*fakeLoad
	highestFence uint64
	sequence     uint64
	cached       []CachedCheckpoint
	loadTime     time.Duration
	running      int
	rejectLoads  bool
}

// fakeLoad is a model that an engine is loading or has loaded.
type fakeLoad struct {
	engine     *fakeEngine
	node       *fakeNode
	order      SendOrder
	nonce      Nonce
	loaded     bool
	answerLost bool
}

func (w *world) addEngine(id EndpointID, domain FailureDomain, memory rpdocument.Bytes, enforces bool) *fakeEngine {
	e := &fakeEngine{
		member: Member{
			ID: string(id), Kind: MemberEngine, Service: "svc", FailureDomain: domain, Incarnation: Incarnation(id) + "/1",
			Address: netip.MustParseAddrPort("127.0.0.1:9000"), EnforcesFencing: enforces, Memory: memory, Accelerators: 1,
		},
		loads: make(map[ModelKey]*fakeLoad), loadTime: time.Second,
	}
	w.engines[id] = e
	return e
}

func (e *fakeEngine) report(now time.Time) EngineReport {
	e.sequence++
	r := EngineReport{
		Endpoint: EndpointID(e.member.ID), Incarnation: e.member.Incarnation, Sequence: e.sequence, TakenAt: now,
		Memory: e.member.Memory, HighestFence: e.highestFence, Cached: e.cached, Running: e.running,
	}
	for _, key := range sortedModels(e.loads) {
		if load := e.loads[key]; load.loaded {
			r.Loaded = append(r.Loaded, LoadedModel{
				Key: key, Version: load.order.Version, BaseModel: load.order.BaseModel, Memory: load.order.Memory,
			})
		}
	}
	return r
}

// loadOrders returns the load orders that were sent for a model.
func (w *world) loadOrders(key ModelKey) []SendOrder {
	return slices.DeleteFunc(slices.Clone(w.orders), func(o SendOrder) bool {
		return o.Model != key || o.Kind != OrderLoadModel && o.Kind != OrderLoadAdapter
	})
}

func (w *world) deliverOrder(next *pendingItem) {
	order := *next.order
	result, load := w.engines[order.Endpoint].handleOrder(order)
	if load != nil {
		load.node, load.answerLost = next.node, next.answerLost
		load.nonce = w.slotByFence[fenceKey(order.Endpoint, order.Fence)]
		w.pending = append(w.pending, &pendingItem{at: w.now.Add(load.engine.loadTime), node: next.node, finish: load})
		return
	}
	if !next.answerLost {
		w.queueEvent(next.node, OrderAnswered{Order: order.Order, Endpoint: order.Endpoint, Result: result})
	}
}

// handleOrder accepts or refuses an order as an engine does. An unload order
// cancels a pending load, so its answer OrderDone means that the model is
// neither loaded nor being loaded.
func (e *fakeEngine) handleOrder(order SendOrder) (OrderResult, *fakeLoad) {
	if e.member.EnforcesFencing && (order.Fence < e.highestFence || order.Incarnation != e.member.Incarnation) {
		return OrderFenced, nil
	}
	e.highestFence = max(e.highestFence, order.Fence)
	if order.Kind == OrderUnloadModel || order.Kind == OrderUnloadAdapter {
		delete(e.loads, order.Model)
		for key, load := range e.loads {
			if load.order.BaseModel == order.Model.Name {
				delete(e.loads, key)
			}
		}
		return OrderDone, nil
	}
	base := e.loads[ModelKey{Service: order.Model.Service, Name: order.BaseModel}]
	if e.rejectLoads || order.BaseModel != "" && (base == nil || !base.loaded) {
		return OrderRejected, nil
	}
	if e.loads[order.Model] != nil {
		return OrderDone, nil
	}
	load := &fakeLoad{engine: e, order: order}
	e.loads[order.Model] = load
	return "", load
}

func (w *world) finishLoad(load *fakeLoad) {
	result := OrderRejected
	if load.engine.loads[load.order.Model] == load {
		load.loaded = true
		result = OrderDone
	}
	if !load.answerLost {
		w.queueEvent(load.node, OrderAnswered{Order: load.order.Order, Endpoint: load.order.Endpoint, Result: result})
	}
}

// check looks for violations of the memory and replica limits on the engines
// themselves. It also looks for models without a slot in the table, since they
// lead to later violations.
func (w *world) check() {
	replicas := make(map[ModelKey]int)
	limits := make(map[ModelKey]int)
	for _, id := range sortedKeys(w.engines) {
		e := w.engines[id]
		var used rpdocument.Bytes
		for key, load := range e.loads {
			used += load.order.Memory
			w.checkSlotExists(id, key, load)
			if load.order.BaseModel == "" {
				replicas[key]++
				limits[key] = max(limits[key], w.allowedReplicas[load.nonce])
			}
		}
		if used > e.member.Memory {
			w.addViolation("%s holds %s, but its memory is %s", id, used, e.member.Memory)
		}
	}
	for _, key := range sortedModels(replicas) {
		if replicas[key] > limits[key] {
			w.addViolation("%s has %d replicas, but at most %d are allowed", key, replicas[key], limits[key])
		}
	}
}

func (w *world) checkSlotExists(id EndpointID, key ModelKey, load *fakeLoad) {
	rows := []RowKey{engineRowKey(id)}
	if load.order.BaseModel == "" {
		rows = append(rows, modelRowKey(key))
	}
	for _, rowKey := range rows {
		row := w.table[rowKey]
		if !slices.ContainsFunc(slotsOf(&row), func(s Slot) bool { return s.Engine == id && s.Model == key }) {
			w.addViolation("%s has %s loaded without a slot in its %s row", id, key, rowKey.Kind)
		}
	}
}

// countLoaded counts the engines that have a model loaded.
func (w *world) countLoaded(key ModelKey) int {
	n := 0
	for _, e := range w.engines {
		if load := e.loads[key]; load != nil && load.loaded {
			n++
		}
	}
	return n
}

// formatSlots formats the slots in the table.
func (w *world) formatSlots() string {
	text := ""
	for _, id := range sortedKeys(w.engines) {
		row := w.table[engineRowKey(id)]
		text += fmt.Sprintf("\n%s %s:", id, w.engines[id].member.Incarnation)
		for _, slot := range slotsOf(&row) {
			text += fmt.Sprintf("\n  %+v", slot)
		}
	}
	return text
}
