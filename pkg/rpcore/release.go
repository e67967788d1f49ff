package rpcore

import "time"

// slotRelease is the removal of one slot. A slot is removed only on evidence
// that its load order can't take effect any more and that the engine does not
// have the model. Elapsed time is never evidence.
type slotRelease struct {
	slot Slot
	// provenAbsent is set once the evidence is complete. Then only the removal
	// of the slot is left.
	provenAbsent bool
	// answerProves is set if the answer OrderDone to the pending unload order
	// is evidence.
	answerProves bool
	// fence is the fencing number of the next unload order, or 0.
	fence   uint64
	retries int
	// waitingModel is the model whose load waits for the memory.
	waitingModel ModelKey
}

const (
	// unloadEstimate is the assumed duration of an unload.
	unloadEstimate = 200 * time.Millisecond
	// releaseFastRetries is the number of retries with an exponential delay.
	// Later retries come every releaseSlowRetry, since the engine does not
	// answer at all.
	releaseFastRetries = 6
	releaseSlowRetry   = 10 * time.Second
)

// releaseSlot starts the release of a slot. Afterwards it evaluates
// waitingModel again, if it is set. It has no effect on a slot that is being
// released already.
func (s *State) releaseSlot(slot Slot, waitingModel ModelKey) {
	if s.replicas.releases[slot.Nonce] != nil {
		return
	}
	s.replicas.releases[slot.Nonce] = &slotRelease{slot: slot, waitingModel: waitingModel}
	s.setUnloading(slot.Engine, slot.Model, true)
	s.advanceRelease(slot.Nonce)
}

// advanceRelease marks the slot as unloading in the table, or removes it if the
// evidence is complete.
func (s *State) advanceRelease(nonce Nonce) {
	r := s.replicas.releases[nonce]
	if r == nil {
		return
	}
	s.startTransaction(&rowTransaction{
		keys:   slotRowKeys(r.slot),
		decide: func(s *State, rows []Row) []RowWrite { return s.decideRelease(r, rows) },
		done:   func(s *State, result transactionResult) { s.releaseWritten(r, result) },
	})
}

func (s *State) decideRelease(r *slotRelease, rows []Row) []RowWrite {
	r.fence = 0
	slot, ok := findSlot(rows, r.slot.Nonce)
	if !ok {
		// The slot is removed already.
		r.provenAbsent = true
		return nil
	}
	r.slot = slot
	r.provenAbsent = r.provenAbsent || s.isProvenAbsent(&slot)
	if r.provenAbsent {
		return s.changeSlots(rows, slot.Nonce, false, func(*Slot) bool { return false })
	}
	dead := s.isOrderDead(&slot)
	if !dead && !s.enforcesFencing(slot.Engine) {
		return nil
	}
	writes := s.changeSlots(rows, slot.Nonce, true, func(slot *Slot) bool {
		slot.State = SlotUnloading
		slot.OrderDead = slot.OrderDead || dead
		return true
	})
	for i := range writes {
		if writes[i].Engine != nil {
			r.fence = writes[i].Engine.Fence
		}
	}
	return writes
}

// isOrderDead reports whether the load order of a slot can't take effect any
// more.
func (s *State) isOrderDead(slot *Slot) bool {
	if slot.OrderDead || s.incarnationGone(string(slot.Owner), slot.OwnerIncarnation) {
		return true
	}
	if load := s.replicas.loads[slot.Nonce]; load != nil && load.phase == loadDead {
		return true
	}
	e := s.endpointByID(slot.Engine)
	return e != nil && reportProvesArrival(slot, e)
}

// enforcesFencing reports whether an engine is listed and refuses orders with
// old fencing numbers and orders for another incarnation.
func (s *State) enforcesFencing(id EndpointID) bool {
	e := s.endpointByID(id)
	return e != nil && e.EnforcesFencing
}

// isProvenAbsent reports whether a slot can be removed without an unload order:
// its order never took effect, or the incarnation of the engine is gone and no
// late order can reach the next one. An engine that ignores fencing also
// carries out a late order in its next incarnation, so while the engine is
// listed only an unload there proves the absence.
func (s *State) isProvenAbsent(slot *Slot) bool {
	if load := s.replicas.loads[slot.Nonce]; load != nil && load.ineffective {
		return true
	}
	if !s.incarnationGone(string(slot.Engine), slot.EngineIncarnation) {
		return false
	}
	e := s.endpointByID(slot.Engine)
	if e == nil || s.incarnationGone(string(e.id), e.Incarnation) {
		return s.isOrderDead(slot)
	}
	return e.EnforcesFencing
}

func (s *State) releaseWritten(r *slotRelease, result transactionResult) {
	switch {
	case result == transactionApplied && !r.provenAbsent:
		s.forgetDeadLoad(r)
		s.sendUnloadOrder(r)
	case (result == transactionApplied || result == transactionNoChange) && r.provenAbsent:
		s.finishRelease(r)
	case result == transactionNoChange:
		s.abandonRelease(r)
	default:
		s.retryRelease(r)
	}
}

// forgetDeadLoad forgets a load of this instance once the table shows that its
// order is dead.
func (s *State) forgetDeadLoad(r *slotRelease) {
	if load := s.replicas.loads[r.slot.Nonce]; load != nil && load.phase == loadDead {
		r.slot.OrderDead = true
		delete(s.replicas.loads, r.slot.Nonce)
	}
}

// sendUnloadOrder sends the unload order. The answer OrderDone is evidence only
// if the load order is already dead, or if the engine refuses it after this
// order.
func (s *State) sendUnloadOrder(r *slotRelease) {
	e := s.endpointByID(r.slot.Engine)
	if e == nil || s.draining {
		s.retryRelease(r)
		return
	}
	r.answerProves = e.EnforcesFencing || s.isOrderDead(&r.slot)
	kind := OrderUnloadModel
	if r.slot.BaseModel != "" {
		kind = OrderUnloadAdapter
	}
	s.emitReplicaNote("orders an unload", r.slot.Model, r.slot.Engine)
	s.releaseAdapters(r.slot)
	s.sendOrder(e, kind, r.slot, r.fence, "", unloadOrderTimeout)
}

// releaseAdapters releases the slots of the adapters of a base model on the
// same engine.
func (s *State) releaseAdapters(base Slot) {
	if base.BaseModel != "" {
		return
	}
	slots, _ := s.cachedSlots(engineRowKey(base.Engine))
	for _, slot := range slots {
		if slot.BaseModel == base.Model.Name && slot.Model.Service == base.Model.Service {
			s.releaseSlot(slot, slot.Model)
		}
	}
}

func (s *State) unloadAnswered(nonce Nonce, result OrderResult) {
	r := s.replicas.releases[nonce]
	if r == nil {
		return
	}
	if result != OrderDone {
		s.retryRelease(r)
		return
	}
	if e := s.endpointByID(r.slot.Engine); e != nil {
		s.markModelAbsent(e, r.slot.Model)
	}
	if !r.answerProves {
		s.retryRelease(r)
		return
	}
	r.provenAbsent = true
	s.advanceRelease(nonce)
}

// retryRelease schedules another attempt of a release. A repeated unload order
// gets a new fencing number.
func (s *State) retryRelease(r *slotRelease) {
	if s.draining && s.replicas.loads[r.slot.Nonce] == nil {
		// The home of the model continues.
		delete(s.replicas.releases, r.slot.Nonce)
		return
	}
	r.retries++
	nonce := r.slot.Nonce
	delay := releaseSlowRetry
	if r.retries <= releaseFastRetries {
		delay = retryDelay(r.retries)
	}
	s.runAfter(s.jitter(delay), func(s *State) { s.advanceRelease(nonce) })
}

// finishRelease ends a release after the slot was removed from the table.
func (s *State) finishRelease(r *slotRelease) {
	delete(s.replicas.releases, r.slot.Nonce)
	delete(s.replicas.loads, r.slot.Nonce)
	if e := s.endpointByID(r.slot.Engine); e != nil {
		if _, loaded := e.loaded[r.slot.Model]; !loaded {
			s.emitReplicaNote("freed a slot", r.slot.Model, r.slot.Engine)
		}
	}
	s.reevaluateReplicas(r.waitingModel)
	s.reevaluateReplicas(r.slot.Model)
}

// abandonRelease gives up for now, because the load order may still take effect
// and the engine ignores fencing. The slot stays until its owner or other
// evidence resolves it.
func (s *State) abandonRelease(r *slotRelease) {
	delete(s.replicas.releases, r.slot.Nonce)
	if r.slot.State != SlotUnloading {
		s.setUnloading(r.slot.Engine, r.slot.Model, false)
	}
}
