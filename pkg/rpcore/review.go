package rpcore

import (
	"cmp"
	"slices"
	"time"
)

const (
	// modelAudit and engineAudit are the times after which a home reads the
	// rows of its models and engines again.
	modelAudit  = 30 * time.Second
	engineAudit = time.Minute
	// auditBatch bounds the rows of one read.
	auditBatch = 25
	// lostAfter is the time that reports may lag behind the answer to a load
	// order before its replica counts as lost.
	lostAfter = 10 * time.Second
	// neverArrived is the same where the report shows no order as new as that
	// of the slot.
	neverArrived = 2 * time.Second
	// stuckAfter is the time after which a load order that was not answered
	// is fenced off where the engine enforces fencing.
	stuckAfter = time.Minute
	// rolloutPatience is the time for which the only replica with an old
	// version keeps serving requests.
	rolloutPatience = 30 * time.Second
)

// maintainReplicas is one round of upkeep: it withdraws loads during a planned
// stop, announces use, reads the rows that this instance is the home of, keeps
// warm replicas and unloads idle ones.
func (s *State) maintainReplicas() {
	s.runAfter(maintenanceInterval, (*State).maintainReplicas)
	s.replicas.ticks++
	if s.replicas.ticks%uint64(useInterval/maintenanceInterval) == 0 {
		s.announceUse()
	}
	if s.draining {
		s.withdrawUnsent()
		return
	}
	s.settleGone()
	var due []RowKey
	for _, key := range s.homeModels() {
		due = s.maintainModel(key, due)
	}
	s.audit(s.dueEngines(due))
	if s.spendDue() {
		s.updateSpend()
	}
}

func (s *State) withdrawUnsent() {
	for _, nonce := range sortedKeys(s.replicas.loads) {
		s.withdrawLoad(s.replicas.loads[nonce])
	}
}

// maintainedModels returns the models and adapters that documents declare and
// those that are loaded or have a slot as known.
func (s *State) maintainedModels() []ModelKey {
	keys := make(map[ModelKey]bool)
	for _, service := range s.replicas.seams.services(s) {
		doc := s.replicas.seams.document(s, service)
		for i := range doc.Models {
			keys[ModelKey{Service: service, Name: doc.Models[i].Name}] = true
		}
		for i := range doc.Adapters {
			keys[ModelKey{Service: service, Name: doc.Adapters[i].Name}] = true
		}
	}
	for key := range s.replicas.served {
		keys[key] = true
	}
	for key, known := range s.replicas.rows {
		if key.Kind == RowModel && len(slotsOf(&known.Row)) > 0 {
			keys[ModelKey{Service: key.Service, Name: key.Name}] = true
		}
	}
	return sortedModels(keys)
}

func (s *State) maintainModel(key ModelKey, due []RowKey) []RowKey {
	spec, ok := s.replicaSpec(key)
	if !ok || !spec.adapter() {
		if row := modelRowKey(key); s.auditDue(s.replicas.rows[row], modelAudit) {
			due = append(due, row)
		}
	}
	if m := s.replicas.models[key]; m != nil || spec.warm > 0 {
		m = s.modelState(key)
		if m.restore > 0 || spec.warm > 0 {
			s.evaluate(m)
		}
	}
	s.unloadIdle(key)
	return due
}

// dueEngines adds the rows of the engines that this instance is the home of.
func (s *State) dueEngines(due []RowKey) []RowKey {
	for _, e := range s.homeEngines() {
		if s.auditDue(e.row, engineAudit) {
			due = append(due, engineRowKey(e.id))
		}
	}
	return due
}

// auditDue reports whether a row should be read again: it is old, or it has a
// slot that something can be done about.
func (s *State) auditDue(known *knownRow, age time.Duration) bool {
	if known == nil {
		return true
	}
	since := s.now.Sub(known.auditedAt)
	if since >= age {
		return true
	}
	return since >= maintenanceInterval && s.rowNeedsReview(known)
}

func (s *State) rowNeedsReview(known *knownRow) bool {
	slots := slotsOf(&known.Row)
	for i := range slots {
		if reviewedIn(&slots[i], known.Key) && s.slotDue(&slots[i]) {
			return true
		}
	}
	if known.Key.Kind != RowModel {
		e := s.endpointByID(EndpointID(known.Key.Name))
		return slices.ContainsFunc(slots, s.adapterOutdated) || e != nil && len(s.adoptable(e, slots)) > 0
	}
	if len(slots) == 0 {
		return false
	}
	key := ModelKey{Service: known.Key.Service, Name: known.Key.Name}
	return len(s.excessSlots(key, slots)) > 0 || s.rolloutDue(key, slots)
}

// reviewedIn reports whether a slot is reviewed with a row: that of a model
// with the row of its model, that of an adapter with the row of its engine.
func reviewedIn(slot *Slot, key RowKey) bool {
	return (key.Kind == RowModel) == (slot.BaseModel == "")
}

// audit reads rows and reviews what they show.
func (s *State) audit(due []RowKey) {
	for batch := range slices.Chunk(due, auditBatch) {
		s.readTable(batch, func(s *State, read TableReadDone) {
			s.noteTable(!read.Unavailable)
			if read.Unavailable {
				return
			}
			s.takeRows(batch, read.Rows)
			for _, key := range batch {
				s.replicas.rows[key].auditedAt = s.now
				s.reviewRow(key)
			}
		})
	}
}

// auditService reads the models of a service again after its document
// changed.
func (s *State) auditService(service string) {
	var due []RowKey
	for _, key := range s.homeModels() {
		if key.Service == service {
			due = append(due, modelRowKey(key))
		}
	}
	s.audit(due)
}

func (s *State) reviewRow(key RowKey) {
	slots, _ := s.knownSlots(key)
	slots = slices.Clone(slots)
	for i := range slots {
		if reviewedIn(&slots[i], key) {
			s.reviewSlot(&slots[i])
		}
	}
	if key.Kind == RowEngine {
		for _, slot := range slots {
			if s.adapterOutdated(slot) {
				s.freeSlot(slot)
			}
		}
		if e := s.endpointByID(EndpointID(key.Name)); e != nil {
			for _, loaded := range s.adoptable(e, slots) {
				s.adopt(e, loaded)
			}
		}
		return
	}
	model := ModelKey{Service: key.Service, Name: key.Name}
	for _, slot := range s.excessSlots(model, slots) {
		s.freeSlot(slot)
	}
	s.rollOut(model, slots)
}

// adapterOutdated reports whether the slot of an adapter is to be freed since
// the document has dropped the adapter, or has another version and the adapter
// is not in use.
func (s *State) adapterOutdated(slot Slot) bool {
	if slot.BaseModel == "" || s.replicas.seams.document(s, slot.Model.Service) == nil ||
		slot.State == SlotUnloading || !s.freeable(&slot) {
		return false
	}
	spec, ok := s.replicaSpec(slot.Model)
	if !ok {
		return true
	}
	e := s.endpointByID(slot.Engine)
	return spec.version != slot.Version && (e == nil || !s.inUse(e, slot.Model))
}

// slotDue reports whether reviewSlot would act on a slot.
func (s *State) slotDue(slot *Slot) bool { return s.slotAction(slot) != slotKeep }

type slotDecision int

const (
	slotKeep slotDecision = iota
	slotFree
	slotAdopt
)

// slotAction decides what is to be done about a slot that nobody may be
// working on.
func (s *State) slotAction(slot *Slot) slotDecision {
	load := s.replicas.loads[slot.Nonce]
	if s.replicas.releases[slot.Nonce] != nil || load != nil && load.phase != loadAmbiguous {
		return slotKeep
	}
	dead := s.orderDead(slot)
	freeable := dead || s.enforces(slot.Engine)
	engineGone := s.incarnationGone(string(slot.Engine), slot.EngineIncarnation)
	switch {
	case !freeable:
		return slotKeep
	case slot.State == SlotUnloading || engineGone:
		return slotFree
	case !dead:
		if s.now.Sub(s.replicas.seen[slot.Nonce].first) > stuckAfter+hopeFactor*s.loadTime(slot.Model, PlaceRemote) {
			return slotFree
		}
		return slotKeep
	default:
		return s.deadSlotAction(slot)
	}
}

// deadSlotAction decides on a slot whose load order is dead: the replica is
// there, or it is lost.
func (s *State) deadSlotAction(slot *Slot) slotDecision {
	seen := s.replicas.seen[slot.Nonce]
	e := s.endpointByID(slot.Engine)
	if e == nil {
		return slotKeep
	}
	if _, loaded := e.loaded[slot.Model]; loaded {
		seen.missing = time.Time{}
		s.replicas.seen[slot.Nonce] = seen
		if !slot.OrderDead || slot.State == SlotReserved {
			return slotAdopt
		}
		return slotKeep
	}
	if seen.missing.IsZero() {
		seen.missing = s.now
		s.replicas.seen[slot.Nonce] = seen
	}
	patience := lostAfter
	switch {
	case slot.OrderDead:
	case e.report.HighestFence < slot.Fence:
		// The owner is gone before its order arrived.
		patience = neverArrived
	default:
		// The owner is gone, and the engine may still carry out its order.
		patience += 2 * s.loadTime(slot.Model, PlaceRemote)
	}
	if s.now.Sub(seen.missing) > patience && e.reportedAt.After(seen.missing) {
		return slotFree
	}
	return slotKeep
}

func (s *State) reviewSlot(slot *Slot) {
	switch s.slotAction(slot) {
	case slotFree:
		s.freeSlot(*slot)
	case slotAdopt:
		s.replicaNote("takes over a replica", slot.Model, slot.Engine)
		s.recordDead(*slot)
	}
}

// freeSlot frees a slot; a load of this instance that was not ordered is
// withdrawn.
func (s *State) freeSlot(slot Slot) {
	if load := s.replicas.loads[slot.Nonce]; load != nil && load.phase == loadReserved {
		s.withdrawLoad(load)
		return
	}
	s.releaseSlot(slot, slot.Model)
}

// excessSlots returns the slots above the bound of the document, and all slots
// of a model that it has dropped.
func (s *State) excessSlots(key ModelKey, slots []Slot) []Slot {
	if s.replicas.seams.document(s, key.Service) == nil {
		return nil
	}
	spec, _ := s.replicaSpec(key)
	if spec.adapter() {
		return nil
	}
	excess := len(slots) - spec.max
	var rest []Slot
	for i := range slots {
		if slots[i].State == SlotUnloading || s.replicas.releases[slots[i].Nonce] != nil {
			excess--
		} else if s.freeable(&slots[i]) {
			rest = append(rest, slots[i])
		}
	}
	slices.SortStableFunc(rest, func(a, b Slot) int {
		return cmp.Or(cmp.Compare(s.keepOrder(spec, &a), s.keepOrder(spec, &b)), cmp.Compare(a.Nonce, b.Nonce))
	})
	return rest[:min(len(rest), max(excess, 0))]
}

// freeable reports whether the freeing of a slot can make progress now.
func (s *State) freeable(slot *Slot) bool {
	if load := s.replicas.loads[slot.Nonce]; load != nil && load.phase == loadReserved {
		return true
	}
	return s.orderDead(slot) || s.enforces(slot.Engine)
}

// keepOrder ranks slots for freeing: first those with an old version, then
// those that don't serve, then the idle ones.
func (s *State) keepOrder(spec replicaSpec, slot *Slot) int {
	e := s.endpointByID(slot.Engine)
	switch {
	case slot.Version != spec.version:
		return 0
	case e == nil || !e.serves(slot.Model):
		return 1
	case !s.inUse(e, slot.Model):
		return 2
	default:
		return 3
	}
}
