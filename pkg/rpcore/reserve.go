package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

const (
	// maxCandidates limits the engine rows that one reservation reads.
	maxCandidates = 4
	// reservationRetryDelay is the delay before the next reservation of a model
	// after one that had nothing to do or found no room.
	reservationRetryDelay = 500 * time.Millisecond
	// A slot that does not serve yet counts as an upcoming replica for
	// viableLoadFactor expected load times, but at least for viableMinimum.
	viableLoadFactor = 3
	viableMinimum    = 10 * time.Second
)

// reservation is a transaction that writes the slot of one load to the table.
// The load order may be sent only after the transaction was applied.
type reservation struct {
	transaction *rowTransaction
	spec        replicaSpec
	demand      demandTotal
	// want is the number of replicas to have.
	want       int
	candidates []placementCandidate
	// unconfirmed holds the slots whose write was sent and that no later read
	// has ruled out.
	unconfirmed []unconfirmedSlot
	// foundSlot is a slot of an unconfirmed write that a later read showed.
	foundSlot *Slot
	// victims are the slots to release if memory is lacking.
	victims []Slot
	// blockedReason says which limit or lack of memory prevented a slot. It is
	// empty if nothing did.
	blockedReason string
}

// unconfirmedSlot is a slot in a transaction that may or may not have been
// applied.
type unconfirmedSlot struct {
	slot   Slot
	writes []RowWrite
}

// startReservation starts the reservation of one replica. It reserves nothing
// if the rows that it reads show that want replicas exist or are pending.
func (s *State) startReservation(m *modelState, spec replicaSpec, demand demandTotal, want int) {
	candidates := s.placementCandidates(spec, demand)
	if len(candidates) == 0 {
		m.nextReservationAt = s.now.Add(s.jitter(reservationRetryDelay))
		return
	}
	r := &reservation{spec: spec, demand: demand, want: want, candidates: candidates}
	r.transaction = &rowTransaction{
		keys:   s.reservationRowKeys(r),
		decide: func(s *State, rows []Row) []RowWrite { return s.decideReservation(r, rows) },
		done:   func(s *State, result transactionResult) { s.finishReservation(m, r, result) },
	}
	m.reservation = r
	s.startTransaction(r.transaction)
}

func (s *State) reservationRowKeys(r *reservation) []RowKey {
	var keys []RowKey
	if !r.spec.isAdapter() {
		keys = append(keys, modelRowKey(r.spec.key))
		if _, bounded := s.dailyHoursLimit(r.spec.key.Service); bounded {
			keys = append(keys, spendRowKey(r.spec.key.Service))
		}
	}
	for _, c := range r.candidates {
		keys = append(keys, engineRowKey(c.endpoint.id))
	}
	return keys
}

// decideReservation checks the limits on the rows just read and returns the
// writes that add a slot, or none.
func (s *State) decideReservation(r *reservation, rows []Row) []RowWrite {
	r.victims, r.blockedReason = nil, ""
	for _, written := range r.unconfirmed {
		if slot, ok := findSlot(rows, written.slot.Nonce); ok {
			r.foundSlot = &slot
			return nil
		}
	}
	// The rows have moved past the versions that the earlier writes expect, so
	// none of those writes can be applied any more.
	r.unconfirmed = nil
	spec, ok := s.lookupReplicaSpec(r.spec.key)
	if !ok || s.draining || !s.selfListed() {
		return nil
	}
	r.spec = spec
	if !spec.isAdapter() && !s.isReplicaAllowed(r, slotsOf(findRow(rows, modelRowKey(spec.key)))) {
		return nil
	}
	return s.reserveOnCandidate(r, rows)
}

// isReplicaAllowed checks the replica limit of the model and the spend limits
// of its service. Nothing is evicted once the accelerator hours of the day are
// used up.
func (s *State) isReplicaAllowed(r *reservation, slots []Slot) bool {
	if len(slots)+s.countUnrecordedReplicas(r.spec.key, slots) >= r.spec.max {
		r.blockedReason = "the document allows no further replica"
		return false
	}
	if s.countViableSlots(r.spec, slots) >= r.want || s.areHoursUsedUp(r.spec.key.Service) {
		return false
	}
	if s.exceedsAccelerators(r.spec) {
		r.blockedReason = "the service uses all accelerators that its document allows"
		return false
	}
	return true
}

// countViableSlots counts the slots of the current version that serve or are
// expected to serve soon.
func (s *State) countViableSlots(spec replicaSpec, slots []Slot) int {
	n := 0
	for i := range slots {
		if slots[i].Model == spec.key && slots[i].Version == spec.version && s.isSlotViable(&slots[i]) {
			n++
		}
	}
	return n
}

func (s *State) isSlotViable(slot *Slot) bool {
	if slot.State == SlotUnloading || s.incarnationGone(string(slot.Engine), slot.EngineIncarnation) {
		return false
	}
	if e := s.endpointByID(slot.Engine); e == nil || e.leaving {
		return false
	} else if _, loaded := e.loaded[slot.Model]; loaded {
		return true
	}
	limit := max(viableMinimum, viableLoadFactor*s.loadTime(slot.Model, PlaceRemote))
	return s.now.Sub(s.replicas.observed[slot.Nonce].firstSeen) < limit
}

// reserveOnCandidate returns the writes of a slot on the first candidate with
// enough memory. If there is none, it selects replicas to evict.
func (s *State) reserveOnCandidate(r *reservation, rows []Row) []RowWrite {
	for _, c := range r.candidates {
		row := rowOrEmpty(rows, engineRowKey(c.endpoint.id))
		if s.fitsInMemory(r.spec, c.endpoint, slotsOf(row)) {
			return s.reservationWrites(r, c, rows)
		}
	}
	r.blockedReason = "no engine has enough free memory"
	for _, c := range r.candidates {
		slots := slotsOf(findRow(rows, engineRowKey(c.endpoint.id)))
		if !s.canHost(r.spec, c.endpoint, slots) {
			continue
		}
		if victims, ok := s.selectVictims(r.spec, r.demand, c.endpoint, slots); ok {
			r.victims = victims
			return nil
		}
	}
	return nil
}

// fitsInMemory reports whether an engine can host a replica and has enough
// memory left besides its slots and unrecorded models.
func (s *State) fitsInMemory(spec replicaSpec, e *endpoint, slots []Slot) bool {
	return s.canHost(spec, e, slots) &&
		sumMemory(slots)+uint64(unrecordedMemory(e, slots))+uint64(spec.memory) <= uint64(engineMemory(e))
}

// canHost checks everything but the memory: the endpoint is still the one that
// the reservation was planned for, it has no slot of the model, and the base
// model of an adapter has a slot there that is not unloading.
func (s *State) canHost(spec replicaSpec, e *endpoint, slots []Slot) bool {
	if s.endpointByID(e.id) != e || e.leaving {
		return false
	}
	base := false
	for _, slot := range slots {
		if slot.Model == spec.key {
			return false
		}
		base = base || slot.Model == spec.baseKey() && slot.State != SlotUnloading &&
			slot.EngineIncarnation == e.Incarnation
	}
	return base || !spec.isAdapter()
}

func engineMemory(e *endpoint) rpdocument.Bytes {
	if e.Memory > 0 {
		return e.Memory
	}
	return e.report.Memory
}

func (s *State) reservationWrites(r *reservation, c placementCandidate, rows []Row) []RowWrite {
	rowNonce := s.newNonce()
	slot, writes := s.addSlot(s.newSlot(r.spec, c.endpoint), rows, rowNonce)
	r.unconfirmed = append(r.unconfirmed, unconfirmedSlot{slot: slot, writes: writes})
	return writes
}

func (s *State) newSlot(spec replicaSpec, e *endpoint) Slot {
	return Slot{
		Nonce: s.newNonce(), Engine: e.id, EngineIncarnation: e.Incarnation,
		Model: spec.key, Version: spec.version, BaseModel: spec.baseModel,
		Owner: s.self.Instance, OwnerIncarnation: s.self.Incarnation,
		Memory: spec.memory, State: SlotReserved, ReservedAt: s.now,
	}
}

// finishReservation handles the result of a reservation: it starts the load,
// evicts replicas, or schedules the next attempt.
func (s *State) finishReservation(m *modelState, r *reservation, result transactionResult) {
	m.reservation = nil
	switch {
	case result == transactionApplied:
		s.startLoad(r, r.unconfirmed[len(r.unconfirmed)-1].slot)
	case result == transactionNoChange && r.foundSlot != nil:
		s.startLoad(r, *r.foundSlot)
	case result == transactionNoChange:
		m.nextReservationAt = s.now.Add(s.jitter(reservationRetryDelay))
		if r.blockedReason != "" {
			m.noRoomAt = s.now
		}
		s.evictForReservation(r)
	default:
		m.nextReservationAt = s.now.Add(s.jitter(reservationRetryDelay))
		s.resolveUnconfirmedSlots(r, result)
	}
}

// evictForReservation starts evictions that free the memory or accelerators
// that the reservation lacks.
func (s *State) evictForReservation(r *reservation) {
	for _, slot := range r.victims {
		s.emitReplicaNote("evicts an idle replica to make room for "+r.spec.key.String(), slot.Model, slot.Engine)
		s.releaseSlot(slot, r.spec.key)
	}
	if r.blockedReason != "" && len(r.victims) == 0 {
		s.evictForSpend(r)
	}
}

// resolveUnconfirmedSlots keeps track of slots that may exist although their
// writes were not confirmed. It looks them up in the table and releases them.
// No order is ever sent for them.
func (s *State) resolveUnconfirmedSlots(r *reservation, result transactionResult) {
	written := r.unconfirmed
	if result == transactionRejected {
		written = written[:len(written)-1]
	}
	for _, pending := range written {
		s.replicas.loads[pending.slot.Nonce] = &ownLoad{slot: pending.slot, spec: r.spec, phase: loadUnconfirmed}
		s.scheduleSlotLookup(pending, 1)
	}
}

// scheduleSlotLookup reads the rows after a delay, again and again, until they
// show the slot or have moved past the versions that its transaction expects.
func (s *State) scheduleSlotLookup(pending unconfirmedSlot, attempt int) {
	s.runAfter(s.jitter(retryDelay(min(attempt, maxLookupBackoff))), func(s *State) {
		s.readTable(slotRowKeys(pending.slot), func(s *State, read TableReadDone) {
			s.slotLookupDone(pending, attempt, read)
		})
	})
}

// maxLookupBackoff is the number of retries after which the delay no longer
// grows.
const maxLookupBackoff = 10

func (s *State) slotLookupDone(pending unconfirmedSlot, attempt int, read TableReadDone) {
	s.recordTableHealth(!read.Unavailable)
	load := s.replicas.loads[pending.slot.Nonce]
	switch {
	case load == nil:
	case read.Unavailable:
		s.scheduleSlotLookup(pending, attempt+1)
	default:
		s.cacheRows(slotRowKeys(pending.slot), read.Rows)
		if slot, ok := findSlot(read.Rows, pending.slot.Nonce); ok {
			load.slot = slot
			load.phase = loadReserved
			s.withdrawLoad(load)
			return
		}
		if !versionsUnchanged(pending.writes, read.Rows) {
			delete(s.replicas.loads, pending.slot.Nonce)
			return
		}
		s.scheduleSlotLookup(pending, attempt+1)
	}
}
