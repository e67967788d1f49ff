package rpcore

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A home reads the rows of its models and engines again after
	// modelAuditInterval and engineAuditInterval.
	modelAuditInterval  = 30 * time.Second
	engineAuditInterval = time.Minute
	// auditBatchRows is the maximum number of rows in one read.
	auditBatchRows = 25
	// reportLagLimit is how long reports may lag behind the answer to a load
	// order before the replica counts as lost.
	reportLagLimit = 10 * time.Second
	// orderArrivalLimit replaces reportLagLimit if the engine reports no
	// fencing number as new as the slot's.
	orderArrivalLimit = 2 * time.Second
	// unansweredOrderLimit plus viableLoadFactor load times is how long a load
	// order may stay unanswered. After that, an unload order with a newer
	// fencing number makes an engine that enforces fencing refuse the load
	// order.
	unansweredOrderLimit = time.Minute
	// lastOldReplicaLimit is how long the only replica with an old version
	// keeps serving requests.
	lastOldReplicaLimit = 30 * time.Second
)

// maintainReplicas runs periodically. It announces use to the homes, audits
// rows and maintains the models and engines that this instance is the home of.
// During a planned stop it withdraws loads that were not ordered, instead
// of auditing and maintaining.
func (s *State) maintainReplicas() {
	s.runAfter(maintenanceInterval, (*State).maintainReplicas)
	s.replicas.maintenanceRounds++
	if s.replicas.maintenanceRounds%uint64(useAnnounceInterval/maintenanceInterval) == 0 {
		s.announceUse()
	}
	if s.draining {
		s.withdrawUnsentLoads()
		return
	}
	s.releaseLoadsOfGoneEngines()
	var due []RowKey
	for _, key := range s.homeModels() {
		due = s.maintainModel(key, due)
	}
	s.auditRows(s.appendDueEngines(due))
	if s.isSpendCountDue() {
		s.refreshSpend()
	}
}

func (s *State) withdrawUnsentLoads() {
	for _, nonce := range sortedKeys(s.replicas.loads) {
		s.withdrawLoad(s.replicas.loads[nonce])
	}
}

// maintainedModels returns the models and adapters that a document declares,
// that are loaded, or that have a slot in a cached row.
func (s *State) maintainedModels() []ModelKey {
	keys := make(map[ModelKey]bool)
	for _, service := range s.replicas.deps.services(s) {
		doc := s.replicas.deps.document(s, service)
		for i := range doc.Models {
			keys[ModelKey{Service: service, Name: doc.Models[i].Name}] = true
		}
		for i := range doc.Adapters {
			keys[ModelKey{Service: service, Name: doc.Adapters[i].Name}] = true
		}
	}
	for key := range s.replicas.loadedOn {
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
	spec, ok := s.lookupReplicaSpec(key)
	if !ok || !spec.isAdapter() {
		if row := modelRowKey(key); s.isAuditDue(s.replicas.rows[row], modelAuditInterval) {
			due = append(due, row)
		}
	}
	if m := s.replicas.models[key]; m != nil || spec.warmReplicas > 0 {
		m = s.ensureModelState(key)
		if m.rolloutReplicas > 0 || spec.warmReplicas > 0 {
			s.evaluateReplicas(m)
		}
	}
	s.unloadIdleReplica(key)
	return due
}

// appendDueEngines adds the rows of home engines that are due for an audit.
func (s *State) appendDueEngines(due []RowKey) []RowKey {
	for _, e := range s.homeEngines() {
		if s.isAuditDue(e.row, engineAuditInterval) {
			due = append(due, engineRowKey(e.id))
		}
	}
	return due
}

// isAuditDue reports whether a row should be read again, because its last audit
// is old or because something can be done about one of its slots.
func (s *State) isAuditDue(known *cachedRow, age time.Duration) bool {
	if known == nil {
		return true
	}
	since := s.now.Sub(known.auditedAt)
	if since >= age {
		return true
	}
	return since >= maintenanceInterval && s.rowNeedsReview(known)
}

func (s *State) rowNeedsReview(known *cachedRow) bool {
	slots := slotsOf(&known.Row)
	for i := range slots {
		if isReviewedWithRow(&slots[i], known.Key) && s.slotNeedsAction(&slots[i]) {
			return true
		}
	}
	if known.Key.Kind != RowModel {
		e := s.endpointByID(EndpointID(known.Key.Name))
		return slices.ContainsFunc(slots, s.isAdapterOutdated) || e != nil && len(s.adoptableModels(e, slots)) > 0
	}
	if len(slots) == 0 {
		return false
	}
	key := ModelKey{Service: known.Key.Service, Name: known.Key.Name}
	return len(s.excessSlots(key, slots)) > 0 || s.isRolloutDue(key, slots)
}

// isReviewedWithRow reports whether a slot is reviewed as part of a row. The
// slot of a model is reviewed with the row of the model, the slot of an adapter
// with the row of the engine.
func isReviewedWithRow(slot *Slot, key RowKey) bool {
	return (key.Kind == RowModel) == (slot.BaseModel == "")
}

// auditRows reads rows and reviews their slots.
func (s *State) auditRows(due []RowKey) {
	for batch := range slices.Chunk(due, auditBatchRows) {
		s.readTable(batch, func(s *State, read TableReadDone) {
			s.recordTableHealth(!read.Unavailable)
			if read.Unavailable {
				return
			}
			s.cacheRows(batch, read.Rows)
			for _, key := range batch {
				s.replicas.rows[key].auditedAt = s.now
				s.reviewRow(key)
			}
		})
	}
}

// auditServiceModels audits the home models of a service after its document
// changed.
func (s *State) auditServiceModels(service string) {
	var due []RowKey
	for _, key := range s.homeModels() {
		if key.Service == service {
			due = append(due, modelRowKey(key))
		}
	}
	s.auditRows(due)
}

func (s *State) reviewRow(key RowKey) {
	slots, _ := s.cachedSlots(key)
	slots = slices.Clone(slots)
	for i := range slots {
		if isReviewedWithRow(&slots[i], key) {
			s.reviewSlot(&slots[i])
		}
	}
	if key.Kind == RowEngine {
		for _, slot := range slots {
			if s.isAdapterOutdated(slot) {
				s.withdrawOrReleaseSlot(slot)
			}
		}
		if e := s.endpointByID(EndpointID(key.Name)); e != nil {
			for _, loaded := range s.adoptableModels(e, slots) {
				s.adoptReplica(e, loaded)
			}
		}
		return
	}
	model := ModelKey{Service: key.Service, Name: key.Name}
	for _, slot := range s.excessSlots(model, slots) {
		s.withdrawOrReleaseSlot(slot)
	}
	s.advanceRollout(model, slots)
}

// isAdapterOutdated reports whether the slot of an adapter should be released:
// the document no longer declares the adapter, or declares another version and
// the adapter is not in use.
func (s *State) isAdapterOutdated(slot Slot) bool {
	if slot.BaseModel == "" || s.replicas.deps.document(s, slot.Model.Service) == nil ||
		slot.State == SlotUnloading || !s.canReleaseSlot(&slot) {
		return false
	}
	spec, ok := s.lookupReplicaSpec(slot.Model)
	if !ok {
		return true
	}
	e := s.endpointByID(slot.Engine)
	return spec.version != slot.Version && (e == nil || !s.isInUse(e, slot.Model))
}

// slotNeedsAction reports whether reviewSlot would act on a slot.
func (s *State) slotNeedsAction(slot *Slot) bool { return s.decideSlot(slot) != decisionKeep }

// slotDecision is what reviewSlot does about a slot.
type slotDecision int

const (
	decisionKeep slotDecision = iota
	decisionRelease
	decisionAdopt
)

// decideSlot decides what to do about a slot that this instance is not already
// working on. Its owner may be gone.
func (s *State) decideSlot(slot *Slot) slotDecision {
	load := s.replicas.loads[slot.Nonce]
	if s.replicas.releases[slot.Nonce] != nil || load != nil && load.phase != loadAmbiguous {
		return decisionKeep
	}
	dead := s.isOrderDead(slot)
	freeable := dead || s.enforcesFencing(slot.Engine)
	engineGone := s.incarnationGone(string(slot.Engine), slot.EngineIncarnation)
	switch {
	case !freeable:
		return decisionKeep
	case slot.State == SlotUnloading || engineGone:
		return decisionRelease
	case !dead:
		if s.now.Sub(s.replicas.observed[slot.Nonce].firstSeen) > unansweredOrderLimit+viableLoadFactor*s.loadTime(slot.Model, PlaceRemote) {
			return decisionRelease
		}
		return decisionKeep
	default:
		return s.decideDeadOrderSlot(slot)
	}
}

// decideDeadOrderSlot decides on a slot whose load order is dead: either the
// replica exists or it is lost.
func (s *State) decideDeadOrderSlot(slot *Slot) slotDecision {
	seen := s.replicas.observed[slot.Nonce]
	e := s.endpointByID(slot.Engine)
	if e == nil {
		return decisionKeep
	}
	if _, loaded := e.loaded[slot.Model]; loaded {
		seen.missingSince = time.Time{}
		s.replicas.observed[slot.Nonce] = seen
		if !slot.OrderDead || slot.State == SlotReserved {
			return decisionAdopt
		}
		return decisionKeep
	}
	if seen.missingSince.IsZero() {
		seen.missingSince = s.now
		s.replicas.observed[slot.Nonce] = seen
	}
	limit := reportLagLimit
	switch {
	case slot.OrderDead:
	case e.report.HighestFence < slot.Fence:
		// The owner is gone and its order never arrived.
		limit = orderArrivalLimit
	default:
		// The owner is gone, and the engine may still be carrying out its
		// order.
		limit += 2 * s.loadTime(slot.Model, PlaceRemote)
	}
	if s.now.Sub(seen.missingSince) > limit && e.reportedAt.After(seen.missingSince) {
		return decisionRelease
	}
	return decisionKeep
}

func (s *State) reviewSlot(slot *Slot) {
	switch s.decideSlot(slot) {
	case decisionRelease:
		s.withdrawOrReleaseSlot(*slot)
	case decisionAdopt:
		s.emitReplicaNote("takes over a replica", slot.Model, slot.Engine)
		s.recordOrderDead(*slot)
	}
}

// withdrawOrReleaseSlot withdraws the load of a slot if its order was not sent
// yet, and releases the slot.
func (s *State) withdrawOrReleaseSlot(slot Slot) {
	if load := s.replicas.loads[slot.Nonce]; load != nil && load.phase == loadReserved {
		s.withdrawLoad(load)
		return
	}
	s.releaseSlot(slot, slot.Model)
}

// excessSlots returns the slots to release because a model has more slots than
// its document allows. A document that no longer declares the model allows
// none.
func (s *State) excessSlots(key ModelKey, slots []Slot) []Slot {
	if s.replicas.deps.document(s, key.Service) == nil {
		return nil
	}
	spec, _ := s.lookupReplicaSpec(key)
	if spec.isAdapter() {
		return nil
	}
	excess := len(slots) - spec.max
	var freeable []Slot
	for i := range slots {
		if slots[i].State == SlotUnloading || s.replicas.releases[slots[i].Nonce] != nil {
			excess--
		} else if s.canReleaseSlot(&slots[i]) {
			freeable = append(freeable, slots[i])
		}
	}
	slices.SortStableFunc(freeable, func(a, b Slot) int {
		return cmp.Or(cmp.Compare(s.releasePriority(spec, &a), s.releasePriority(spec, &b)), cmp.Compare(a.Nonce, b.Nonce))
	})
	return freeable[:min(len(freeable), max(excess, 0))]
}

// canReleaseSlot reports whether the release of a slot can make progress now.
func (s *State) canReleaseSlot(slot *Slot) bool {
	if load := s.replicas.loads[slot.Nonce]; load != nil && load.phase == loadReserved {
		return true
	}
	return s.isOrderDead(slot) || s.enforcesFencing(slot.Engine)
}

// releasePriority orders the slots of a model for their release. Slots with a
// lower value are released first: old versions, then replicas that don't serve,
// then idle ones.
func (s *State) releasePriority(spec replicaSpec, slot *Slot) int {
	e := s.endpointByID(slot.Engine)
	switch {
	case slot.Version != spec.version:
		return 0
	case e == nil || !e.serves(slot.Model):
		return 1
	case !s.isInUse(e, slot.Model):
		return 2
	default:
		return 3
	}
}
