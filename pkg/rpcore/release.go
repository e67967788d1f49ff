package rpcore

import "time"

// release is the freeing of one slot. A slot is freed only on evidence that
// its load order can't take effect any more and that the engine does not have
// the model; no time that passes counts as evidence.
type release struct {
	slot Slot
	// absent says that the evidence is complete and only the removal is left.
	absent bool
	// proves says that an answer done to the unload order that is under way
	// is evidence.
	proves bool
	fence  uint64
	tries  int
	// waiter is the model whose load waits for the room.
	waiter ModelKey
}

const (
	// unloadEstimate is the assumed time of an unload.
	unloadEstimate = 200 * time.Millisecond
	// releaseFastRetries is the number of retries with an exponential delay;
	// later ones come every releaseSlowRetry, since the engine does not
	// answer at all.
	releaseFastRetries = 6
	releaseSlowRetry   = 10 * time.Second
)

// releaseSlot frees a slot; a call for a slot that is being freed has no
// effect. The load of waiter is tried again afterwards.
func (s *State) releaseSlot(slot Slot, waiter ModelKey) {
	if s.replicas.releases[slot.Nonce] != nil {
		return
	}
	s.replicas.releases[slot.Nonce] = &release{slot: slot, waiter: waiter}
	s.markUnloading(slot.Engine, slot.Model, true)
	s.stepRelease(slot.Nonce)
}

// stepRelease writes that the slot is unloading, or removes it where the
// evidence is complete.
func (s *State) stepRelease(nonce Nonce) {
	r := s.replicas.releases[nonce]
	if r == nil {
		return
	}
	s.changeRows(&rowChange{
		keys:   slotRowKeys(r.slot),
		decide: func(s *State, rows []Row) []RowWrite { return s.decideRelease(r, rows) },
		done:   func(s *State, result changeResult) { s.releaseWritten(r, result) },
	})
}

func (s *State) decideRelease(r *release, rows []Row) []RowWrite {
	r.fence = 0
	slot, ok := findSlot(rows, r.slot.Nonce)
	if !ok {
		// The slot is removed already.
		r.absent = true
		return nil
	}
	r.slot = slot
	r.absent = r.absent || s.absentByEvidence(&slot)
	if r.absent {
		return s.changeSlots(rows, slot.Nonce, false, func(*Slot) bool { return false })
	}
	dead := s.orderDead(&slot)
	if !dead && !s.enforces(slot.Engine) {
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

// orderDead reports whether the load order of a slot can't take effect any
// more.
func (s *State) orderDead(slot *Slot) bool {
	if slot.OrderDead || s.incarnationGone(string(slot.Owner), slot.OwnerIncarnation) {
		return true
	}
	if load := s.replicas.loads[slot.Nonce]; load != nil && load.phase == loadDead {
		return true
	}
	e := s.endpointByID(slot.Engine)
	return e != nil && reportShowsOrder(slot, e)
}

// enforces reports whether an engine that is listed refuses orders with old
// fencing numbers and orders for another incarnation.
func (s *State) enforces(id EndpointID) bool {
	e := s.endpointByID(id)
	return e != nil && e.EnforcesFencing
}

// absentByEvidence reports whether a slot can be removed without an unload
// order: its order never took effect, or the incarnation of the engine is gone
// and no late order can reach the next one. An engine that ignores fencing
// carries out a late order in its next incarnation too, so as long as the
// engine is listed only an unload there proves the absence.
func (s *State) absentByEvidence(slot *Slot) bool {
	if load := s.replicas.loads[slot.Nonce]; load != nil && load.ineffective {
		return true
	}
	if !s.incarnationGone(string(slot.Engine), slot.EngineIncarnation) {
		return false
	}
	e := s.endpointByID(slot.Engine)
	if e == nil || s.incarnationGone(string(e.id), e.Incarnation) {
		return s.orderDead(slot)
	}
	return e.EnforcesFencing
}

func (s *State) releaseWritten(r *release, result changeResult) {
	switch {
	case result == changeApplied && !r.absent:
		s.deathRecorded(r)
		s.sendUnload(r)
	case (result == changeApplied || result == changeNothing) && r.absent:
		s.released(r)
	case result == changeNothing:
		s.releaseBlocked(r)
	default:
		s.retryRelease(r)
	}
}

// deathRecorded forgets a load of this instance whose order the table now
// shows to be dead.
func (s *State) deathRecorded(r *release) {
	if load := s.replicas.loads[r.slot.Nonce]; load != nil && load.phase == loadDead {
		r.slot.OrderDead = true
		delete(s.replicas.loads, r.slot.Nonce)
	}
}

// sendUnload sends the unload order. The answer done is evidence only where
// the load order is dead by now, or where the engine refuses it after this
// order.
func (s *State) sendUnload(r *release) {
	e := s.endpointByID(r.slot.Engine)
	if e == nil || s.draining {
		s.retryRelease(r)
		return
	}
	r.proves = e.EnforcesFencing || s.orderDead(&r.slot)
	kind := OrderUnloadModel
	if r.slot.BaseModel != "" {
		kind = OrderUnloadAdapter
	}
	s.replicaNote("orders an unload", r.slot.Model, r.slot.Engine)
	s.releaseAdapters(r.slot)
	s.sendOrder(e, kind, r.slot, r.fence, "", unloadOrderTimeout)
}

// releaseAdapters frees the adapters that use a base model on an engine.
func (s *State) releaseAdapters(base Slot) {
	if base.BaseModel != "" {
		return
	}
	slots, _ := s.knownSlots(engineRowKey(base.Engine))
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
		s.absentAnswered(e, r.slot.Model)
	}
	if !r.proves {
		s.retryRelease(r)
		return
	}
	r.absent = true
	s.stepRelease(nonce)
}

// retryRelease goes on later. An unload is repeated with a new fencing number.
func (s *State) retryRelease(r *release) {
	if s.draining && s.replicas.loads[r.slot.Nonce] == nil {
		// The home of the model goes on.
		delete(s.replicas.releases, r.slot.Nonce)
		return
	}
	r.tries++
	nonce := r.slot.Nonce
	delay := releaseSlowRetry
	if r.tries <= releaseFastRetries {
		delay = retryDelay(r.tries)
	}
	s.runAfter(s.jitter(delay), func(s *State) { s.stepRelease(nonce) })
}

// released ends a release after the slot was removed.
func (s *State) released(r *release) {
	delete(s.replicas.releases, r.slot.Nonce)
	delete(s.replicas.loads, r.slot.Nonce)
	if e := s.endpointByID(r.slot.Engine); e != nil {
		if _, loaded := e.loaded[r.slot.Model]; !loaded {
			s.replicaNote("freed a slot", r.slot.Model, r.slot.Engine)
		}
	}
	s.retryDemand(r.waiter)
	s.retryDemand(r.slot.Model)
}

// releaseBlocked gives up for now: the load order may still take effect and
// the engine ignores fencing. The slot stays until its owner or other evidence
// resolves it.
func (s *State) releaseBlocked(r *release) {
	delete(s.replicas.releases, r.slot.Nonce)
	if r.slot.State != SlotUnloading {
		s.markUnloading(r.slot.Engine, r.slot.Model, false)
	}
}
