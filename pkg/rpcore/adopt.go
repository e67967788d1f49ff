package rpcore

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// adoptDelay is the time for which an engine must report a model without a
// slot before one is written for it. It outlasts the lag of reports after an
// unload.
const adoptDelay = reportLagLimit

// unrecordedMemory returns the memory of what an engine has loaded without a
// slot. Somebody else than this system loaded it, such as an operator by hand or
// the engine itself when it started.
func unrecordedMemory(e *endpoint, slots []Slot) (total rpdocument.Bytes) {
	for key, entry := range e.loaded {
		if !hasSlotFor(slots, key) {
			total += entry.Memory
		}
	}
	return total
}

// countUnrecordedReplicas counts the engines that have a model and no slot for it.
func (s *State) countUnrecordedReplicas(key ModelKey, slots []Slot) int {
	n := 0
	for _, e := range s.replicas.loadedOn[key] {
		if !slices.ContainsFunc(slots, func(slot Slot) bool { return slot.Engine == e.id }) {
			n++
		}
	}
	return n
}

// adoptableModels returns what an engine has had loaded without a slot for
// adoptAfter. It notes since when that is so.
func (s *State) adoptableModels(e *endpoint, slots []Slot) []LoadedModel {
	var found []LoadedModel
	for _, key := range sortedModels(e.loaded) {
		entry := e.loaded[key]
		switch {
		case hasSlotFor(slots, key):
			entry.unrecordedSince = time.Time{}
		case entry.unrecordedSince.IsZero():
			entry.unrecordedSince = s.now
		case s.now.Sub(entry.unrecordedSince) >= adoptDelay && e.reportedAt.After(entry.unrecordedSince):
			found = append(found, entry.LoadedModel)
		}
		e.loaded[key] = entry
	}
	return found
}

// adoptReplica writes a slot for what an engine has loaded without one. From then on
// it counts like any other: it takes memory and a replica of its model, and it
// is unloaded where it is idle or above the bound of the document.
func (s *State) adoptReplica(e *endpoint, loaded LoadedModel) {
	slot := Slot{
		Nonce: s.newNonce(), Engine: e.id, EngineIncarnation: e.Incarnation,
		Model: loaded.Key, Version: loaded.Version, BaseModel: loaded.BaseModel, Memory: loaded.Memory,
		Owner: s.self.Instance, OwnerIncarnation: s.self.Incarnation,
		State: SlotSettled, OrderDead: true, ReservedAt: s.now,
	}
	s.startTransaction(&rowTransaction{
		keys:   slotRowKeys(slot),
		decide: func(s *State, rows []Row) []RowWrite { return s.decideAdoption(slot, rows) },
		done: func(s *State, result transactionResult) {
			if result == transactionApplied {
				s.emitReplicaNote("takes over a replica that was loaded without an order", slot.Model, slot.Engine)
			}
		},
	})
}

func (s *State) decideAdoption(slot Slot, rows []Row) []RowWrite {
	e := s.endpointByID(slot.Engine)
	if e == nil || e.Incarnation != slot.EngineIncarnation {
		return nil
	}
	recorded := slotsOf(findRow(rows, engineRowKey(slot.Engine)))
	if hasSlotFor(recorded, slot.Model) {
		return nil
	}
	_, writes := s.addSlot(slot, rows, s.newNonce())
	return writes
}
