package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

const (
	// maxCandidates bounds the engine rows that one reservation reads.
	maxCandidates = 4
	// reserveRetry is the delay before a reservation that found nothing to do
	// or no room is tried again.
	reserveRetry = 500 * time.Millisecond
	// hopeFactor and hopeMinimum bound how long a slot that does not serve
	// counts as a replica to come, in expected load times.
	hopeFactor  = 3
	hopeMinimum = 10 * time.Second
)

// reservation is the transaction that writes the intent of one load. The load
// order may be sent only after it was applied.
type reservation struct {
	change     *rowChange
	spec       replicaSpec
	need       demandSum
	want       int
	candidates []candidate
	// tries are the slots whose write was sent and that no later read has
	// excluded.
	tries []slotTry
	// found is the slot of an earlier try that a read showed.
	found *Slot
	// victims are the slots to free where memory or spend is lacking.
	victims []Slot
	blocked string
}

// slotTry is a slot in a transaction that may or may not have been applied.
type slotTry struct {
	slot   Slot
	writes []RowWrite
}

// reserve starts the reservation of one replica, unless the rows as read show
// that want replicas are there or to come.
func (s *State) reserve(m *modelState, spec replicaSpec, need demandSum, want int) {
	candidates := s.candidates(spec, need)
	if len(candidates) == 0 {
		m.nextTry = s.now.Add(s.jitter(reserveRetry))
		return
	}
	r := &reservation{spec: spec, need: need, want: want, candidates: candidates}
	r.change = &rowChange{
		keys:   s.reservationKeys(r),
		decide: func(s *State, rows []Row) []RowWrite { return s.decideReserve(r, rows) },
		done:   func(s *State, result changeResult) { s.reserved(m, r, result) },
	}
	m.reservation = r
	s.changeRows(r.change)
}

func (s *State) reservationKeys(r *reservation) []RowKey {
	var keys []RowKey
	if !r.spec.adapter() {
		keys = append(keys, modelRowKey(r.spec.key))
		if _, bounded := s.hoursBound(r.spec.key.Service); bounded {
			keys = append(keys, spendRowKey(r.spec.key.Service))
		}
	}
	for _, c := range r.candidates {
		keys = append(keys, engineRowKey(c.endpoint.id))
	}
	return keys
}

// decideReserve checks the bounds on the rows as read and returns the writes
// of a slot, or none.
func (s *State) decideReserve(r *reservation, rows []Row) []RowWrite {
	r.victims, r.blocked = nil, ""
	for _, try := range r.tries {
		if slot, ok := findSlot(rows, try.slot.Nonce); ok {
			r.found = &slot
			return nil
		}
	}
	// The rows have moved past the versions that the earlier tries expect, so
	// none of those can be applied any more.
	r.tries = nil
	spec, ok := s.replicaSpec(r.spec.key)
	if !ok || s.draining || !s.selfListed() {
		return nil
	}
	r.spec = spec
	if !spec.adapter() && !s.roomForReplica(r, slotsOf(findRow(rows, modelRowKey(spec.key)))) {
		return nil
	}
	return s.reserveOnCandidate(r, rows)
}

// roomForReplica checks the bound of the model and the spend of its service.
// Nothing is evicted where the hours of the day are used up.
func (s *State) roomForReplica(r *reservation, slots []Slot) bool {
	if len(slots)+s.unrecordedReplicas(r.spec.key, slots) >= r.spec.max {
		r.blocked = "the document allows no further replica"
		return false
	}
	if s.hopefulSlots(r.spec, slots) >= r.want || s.hoursUsedUp(r.spec.key.Service) {
		return false
	}
	if s.spendLacks(r.spec) {
		r.blocked = "the service uses all accelerators that its document allows"
		return false
	}
	return true
}

// hopefulSlots counts the slots of the version in force that serve or are to
// serve soon.
func (s *State) hopefulSlots(spec replicaSpec, slots []Slot) int {
	n := 0
	for i := range slots {
		if slots[i].Model == spec.key && slots[i].Version == spec.version && s.hopeful(&slots[i]) {
			n++
		}
	}
	return n
}

func (s *State) hopeful(slot *Slot) bool {
	if slot.State == SlotUnloading || s.incarnationGone(string(slot.Engine), slot.EngineIncarnation) {
		return false
	}
	if e := s.endpointByID(slot.Engine); e == nil || e.leaving {
		return false
	} else if _, loaded := e.loaded[slot.Model]; loaded {
		return true
	}
	limit := max(hopeMinimum, hopeFactor*s.loadTime(slot.Model, PlaceRemote))
	return s.now.Sub(s.replicas.seen[slot.Nonce].first) < limit
}

// reserveOnCandidate writes a slot on the first candidate with room. Where
// none has room it picks what to evict.
func (s *State) reserveOnCandidate(r *reservation, rows []Row) []RowWrite {
	for _, c := range r.candidates {
		row := rowOrEmpty(rows, engineRowKey(c.endpoint.id))
		if s.fits(r.spec, c.endpoint, slotsOf(row)) {
			return s.reserveWrites(r, c, rows)
		}
	}
	r.blocked = "no engine has enough free memory"
	for _, c := range r.candidates {
		slots := slotsOf(findRow(rows, engineRowKey(c.endpoint.id)))
		if !s.mayHost(r.spec, c.endpoint, slots) {
			continue
		}
		if victims, ok := s.victims(r.spec, r.need, c.endpoint, slots); ok {
			r.victims = victims
			return nil
		}
	}
	return nil
}

// fits checks the memory of an engine over its reservations.
func (s *State) fits(spec replicaSpec, e *endpoint, slots []Slot) bool {
	return s.mayHost(spec, e, slots) &&
		sumMemory(slots)+uint64(unrecordedMemory(e, slots))+uint64(spec.memory) <= uint64(engineMemory(e))
}

// mayHost checks everything but the memory: the engine is the one that the
// reservation was planned for, it has no slot of the model, and for an adapter
// its base model has a slot there that is not unloading.
func (s *State) mayHost(spec replicaSpec, e *endpoint, slots []Slot) bool {
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
	return base || !spec.adapter()
}

func engineMemory(e *endpoint) rpdocument.Bytes {
	if e.Memory > 0 {
		return e.Memory
	}
	return e.report.Memory
}

func (s *State) reserveWrites(r *reservation, c candidate, rows []Row) []RowWrite {
	mark := s.newNonce()
	slot, writes := s.addSlot(s.newSlot(r.spec, c.endpoint), rows, mark)
	r.tries = append(r.tries, slotTry{slot: slot, writes: writes})
	return writes
}

func (s *State) newSlot(spec replicaSpec, e *endpoint) Slot {
	return Slot{
		Nonce: s.newNonce(), Engine: e.id, EngineIncarnation: e.Incarnation,
		Model: spec.key, Version: spec.version, BaseModel: spec.base,
		Owner: s.self.Instance, OwnerIncarnation: s.self.Incarnation,
		Memory: spec.memory, State: SlotReserved, ReservedAt: s.now,
	}
}

// reserved takes in the end of a reservation.
func (s *State) reserved(m *modelState, r *reservation, result changeResult) {
	m.reservation = nil
	switch {
	case result == changeApplied:
		s.startLoad(r, r.tries[len(r.tries)-1].slot)
	case result == changeNothing && r.found != nil:
		s.startLoad(r, *r.found)
	case result == changeNothing:
		m.nextTry = s.now.Add(s.jitter(reserveRetry))
		if r.blocked != "" {
			m.blockedAt = s.now
		}
		s.makeRoom(r)
	default:
		m.nextTry = s.now.Add(s.jitter(reserveRetry))
		s.lookForTries(r, result)
	}
}

// makeRoom frees what the reservation lacks.
func (s *State) makeRoom(r *reservation) {
	for _, slot := range r.victims {
		s.replicaNote("evicts an idle replica to make room for "+r.spec.key.String(), slot.Model, slot.Engine)
		s.releaseSlot(slot, r.spec.key)
	}
	if r.blocked != "" && len(r.victims) == 0 {
		s.evictForSpend(r)
	}
}

// lookForTries keeps the slots that may exist although their writes were not
// confirmed. They are found by reading and freed; no order is ever sent for
// them.
func (s *State) lookForTries(r *reservation, result changeResult) {
	tries := r.tries
	if result == changeRefused {
		tries = tries[:len(tries)-1]
	}
	for _, try := range tries {
		s.replicas.loads[try.slot.Nonce] = &ownLoad{slot: try.slot, spec: r.spec, phase: loadMaybe}
		s.lookForSlot(try, 1)
	}
}

// lookForSlot reads the rows until they show the slot or have moved past the
// versions that its transaction expects.
func (s *State) lookForSlot(try slotTry, tries int) {
	s.runAfter(s.jitter(retryDelay(min(tries, maxLookBackoff))), func(s *State) {
		s.readTable(slotRowKeys(try.slot), func(s *State, read TableReadDone) {
			s.lookedForSlot(try, tries, read)
		})
	})
}

// maxLookBackoff is the retry from which the delay no longer grows.
const maxLookBackoff = 10

func (s *State) lookedForSlot(try slotTry, tries int, read TableReadDone) {
	s.noteTable(!read.Unavailable)
	load := s.replicas.loads[try.slot.Nonce]
	switch {
	case load == nil:
	case read.Unavailable:
		s.lookForSlot(try, tries+1)
	default:
		s.takeRows(slotRowKeys(try.slot), read.Rows)
		if slot, ok := findSlot(read.Rows, try.slot.Nonce); ok {
			load.slot = slot
			load.phase = loadReserved
			s.withdrawLoad(load)
			return
		}
		if !versionsUnchanged(try.writes, read.Rows) {
			delete(s.replicas.loads, try.slot.Nonce)
			return
		}
		s.lookForSlot(try, tries+1)
	}
}
