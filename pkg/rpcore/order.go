package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// loadPhase is the progress of a load of this instance.
type loadPhase int

const (
	// loadUnconfirmed: the write of the slot was not confirmed; no order is
	// sent.
	loadUnconfirmed loadPhase = iota
	// loadReserved: the table has the slot, and the order was not sent.
	loadReserved
	// loadOrdered: the order was sent and not answered.
	loadOrdered
	// loadAmbiguous: the answer was lost; the order may still take effect.
	loadAmbiguous
	// loadDead: the order was answered or withdrawn and can't take effect any
	// more.
	loadDead
)

// ownLoad is a load by this incarnation of this instance, identified by the
// nonce of its slot.
type ownLoad struct {
	slot  Slot
	spec  replicaSpec
	place CheckpointPlace
	rank  rpdocument.Rank
	// waitingRequests is the number of requests that the load was started for.
	waitingRequests int
	phase           loadPhase
	reservedAt      time.Time
	orderedAt       time.Time
	// ineffective is set once it is certain that the order never took effect
	// and never will.
	ineffective bool
}

// pendingOrder is an order that was not answered yet.
type pendingOrder struct {
	kind OrderKind
	// slotNonce identifies the slot that the order is about.
	slotNonce Nonce
}

const (
	// A load order times out after loadOrderTimeoutFactor expected load times,
	// but not before loadOrderTimeout.
	loadOrderTimeout       = 30 * time.Second
	loadOrderTimeoutFactor = 5
	unloadOrderTimeout     = 10 * time.Second
	// recordRetryDelay is the delay before recordOrderDead runs again after a
	// failure of the table.
	recordRetryDelay = time.Second
	// avoidEngineAfterFailure is how long placement penalizes an engine that
	// failed a load of the same model.
	avoidEngineAfterFailure = 10 * time.Second
)

// startLoad starts the load of a slot that was written to the table: it
// requests a ticket if the load needs one, or else sends the order.
func (s *State) startLoad(r *reservation, slot Slot) {
	place := PlaceRemote
	if e := s.endpointByID(slot.Engine); e != nil {
		place = checkpointPlace(e, r.spec.checkpoint)
	}
	load := &ownLoad{
		slot: slot, spec: r.spec, place: place, phase: loadReserved, reservedAt: s.now,
		rank: r.demand.rank, waitingRequests: r.demand.waiting,
	}
	s.replicas.loads[slot.Nonce] = load
	if slot.State != SlotReserved {
		// Another instance has begun to release the slot.
		s.withdrawLoad(load)
		return
	}
	if kind, ok := s.requiredTicket(load); ok {
		s.requestTicket(load, kind)
		return
	}
	s.sendLoadOrder(load)
}

// sendLoadOrder sends the load order of a slot, at most once. It withdraws the
// load instead if the engine was restarted or is leaving, or if the load is no
// longer allowed.
func (s *State) sendLoadOrder(load *ownLoad) {
	if load.phase != loadReserved {
		return
	}
	e := s.endpointByID(load.slot.Engine)
	if e == nil || e.Incarnation != load.slot.EngineIncarnation || e.leaving ||
		s.draining || !s.selfListed() || !s.isSpecCurrent(load.spec) ||
		s.hoursForbidReplicas(load.spec) {
		s.withdrawLoad(load)
		return
	}
	load.phase = loadOrdered
	load.orderedAt = s.now
	kind := OrderLoadModel
	if load.spec.isAdapter() {
		kind = OrderLoadAdapter
	}
	timeout := max(loadOrderTimeout, loadOrderTimeoutFactor*s.loadTime(load.spec.key, load.place))
	s.emitReplicaNote("orders a load, checkpoint in "+string(load.place), load.slot.Model, load.slot.Engine)
	s.sendOrder(e, kind, load.slot, load.slot.Fence, load.spec.checkpoint, timeout)
}

func (s *State) sendOrder(e *endpoint, kind OrderKind, slot Slot, fence uint64, checkpoint string, timeout time.Duration) {
	s.replicas.lastOrderNumber++
	id := OrderID("order." + formatNonce(s.self, s.replicas.lastOrderNumber))
	s.replicas.pendingOrders[id] = &pendingOrder{kind: kind, slotNonce: slot.Nonce}
	s.emit(SendOrder{
		Order: id, Endpoint: e.id, Address: e.Address, Incarnation: e.Incarnation,
		Fence: fence, Kind: kind, Model: slot.Model, Version: slot.Version,
		BaseModel: slot.BaseModel, Checkpoint: checkpoint, Memory: slot.Memory, Timeout: timeout,
	})
}

// withdrawLoad ends a load whose order was not sent, and releases its slot. It
// has no effect on other loads.
func (s *State) withdrawLoad(load *ownLoad) {
	if load.phase != loadReserved {
		return
	}
	load.phase = loadDead
	load.ineffective = true
	s.releaseTicket(load.slot.Nonce)
	s.emitReplicaNote("withdraws a load before its order was sent", load.slot.Model, load.slot.Engine)
	s.releaseSlot(load.slot, load.slot.Model)
}

func (s *State) orderAnswered(ev OrderAnswered) {
	o, ok := s.replicas.pendingOrders[ev.Order]
	if !ok {
		return
	}
	delete(s.replicas.pendingOrders, ev.Order)
	switch o.kind {
	case OrderUnloadModel, OrderUnloadAdapter:
		s.unloadAnswered(o.slotNonce, ev.Result)
	default:
		s.loadAnswered(o.slotNonce, ev)
	}
}

func (s *State) loadAnswered(nonce Nonce, ev OrderAnswered) {
	s.releaseTicket(nonce)
	load := s.replicas.loads[nonce]
	if load == nil {
		return
	}
	switch ev.Result {
	case OrderDone:
		s.finishLoad(load)
	case OrderUnknown:
		load.phase = loadAmbiguous
		s.emitReplicaNote("has no answer to a load order", load.slot.Model, load.slot.Engine)
		if e := s.endpointByID(load.slot.Engine); e != nil {
			s.resolveAmbiguousLoads(e)
		}
	default:
		load.phase = loadDead
		// After any other refusal only an unload order proves that nothing was
		// loaded.
		load.ineffective = ev.Result == OrderFenced || ev.Result == OrderNotSent
		s.emitReplicaNote("load order failed: "+string(ev.Result)+" "+ev.Detail, load.slot.Model, load.slot.Engine)
		s.recordLoadFailure(load)
		s.releaseSlot(load.slot, load.slot.Model)
	}
}

func (s *State) finishLoad(load *ownLoad) {
	load.phase = loadDead
	s.ensureModelState(load.spec.key).loadFailures = 0
	s.recordLoadTime(load.spec.key, load.place, s.now.Sub(load.orderedAt))
	s.emitReplicaNote("loaded", load.slot.Model, load.slot.Engine)
	s.recordOrderDead(load.slot)
	s.announceLoaded(load.slot)
}

// recordLoadFailure delays the next load of a model after a failed one.
func (s *State) recordLoadFailure(load *ownLoad) {
	m := s.ensureModelState(load.slot.Model)
	m.loadFailures++
	m.nextLoadAt = s.now.Add(s.jitter(retryDelay(m.loadFailures)))
	m.avoidUntil[load.slot.Engine] = s.now.Add(avoidEngineAfterFailure)
}

// resolveAmbiguousLoads checks whether an engine's report resolves load orders
// whose answer was lost.
func (s *State) resolveAmbiguousLoads(e *endpoint) {
	for _, nonce := range sortedKeys(s.replicas.loads) {
		load := s.replicas.loads[nonce]
		if load.phase == loadAmbiguous && load.slot.Engine == e.id {
			s.resolveAmbiguousLoad(load, e)
		}
	}
}

func (s *State) resolveAmbiguousLoad(load *ownLoad, e *endpoint) {
	arrived := reportProvesArrival(&load.slot, e)
	switch {
	case arrived && reportListsModel(e, load.slot.Model):
		load.phase = loadDead
		s.recordOrderDead(load.slot)
	case arrived:
		load.phase = loadDead
		s.releaseSlot(load.slot, load.slot.Model)
	case e.EnforcesFencing && s.now.Sub(load.orderedAt) > loadOrderTimeout:
		// The unload order carries a newer fencing number, after which the
		// engine refuses the load order.
		s.releaseSlot(load.slot, load.slot.Model)
	}
}

// releaseLoadsOfGoneEngines releases the slots of ambiguous loads on engines
// that are gone. The attempt to send such an order is over and its connection
// is closed, so the order has ended with its engine. Only the owner of an order
// knows this: as far as other instances know, a paused owner may still send the
// order.
func (s *State) releaseLoadsOfGoneEngines() {
	for _, nonce := range sortedKeys(s.replicas.loads) {
		load := s.replicas.loads[nonce]
		if load.phase == loadAmbiguous && s.incarnationGone(string(load.slot.Engine), load.slot.EngineIncarnation) {
			load.phase = loadDead
			s.releaseSlot(load.slot, load.slot.Model)
		}
	}
}

// reportProvesArrival reports whether a report proves that the load order of a
// slot has arrived. The fencing number of the order itself is proof. So is the
// model together with a newer number: the newer number was handed out after the
// slot was written, and the slot was written after the engine was known not to
// have the model. The time of the report proves nothing, since reports lag.
func reportProvesArrival(slot *Slot, e *endpoint) bool {
	switch highest := e.report.HighestFence; {
	case highest == slot.Fence:
		return true
	case highest > slot.Fence:
		return reportListsModel(e, slot.Model)
	default:
		return false
	}
}

func reportListsModel(e *endpoint, key ModelKey) bool {
	for _, loaded := range e.report.Loaded {
		if loaded.Key == key {
			return true
		}
	}
	return false
}

// recordOrderDead records in the table that the load order of a slot can't take
// effect any more, and that the replica exists.
func (s *State) recordOrderDead(slot Slot) {
	s.startTransaction(&rowTransaction{
		keys: slotRowKeys(slot),
		decide: func(s *State, rows []Row) []RowWrite {
			if current, ok := findSlot(rows, slot.Nonce); !ok || current.OrderDead && current.State != SlotReserved {
				return nil
			}
			return s.changeSlots(rows, slot.Nonce, false, markOrderDead)
		},
		done: func(s *State, result transactionResult) { s.orderDeadWritten(slot, result) },
	})
}

func markOrderDead(slot *Slot) bool {
	slot.OrderDead = true
	if slot.State == SlotReserved {
		slot.State = SlotSettled
	}
	return true
}

func (s *State) orderDeadWritten(slot Slot, result transactionResult) {
	if result == transactionApplied || result == transactionNoChange {
		delete(s.replicas.loads, slot.Nonce)
		return
	}
	s.runAfter(s.jitter(recordRetryDelay), func(s *State) {
		if s.replicas.loads[slot.Nonce] != nil {
			s.recordOrderDead(slot)
		}
	})
}
