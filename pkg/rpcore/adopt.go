package rpcore

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// adoptDelay is how long an engine must report a model without a slot before a
// slot is written for it. It is longer than the lag of reports after an unload.
const adoptDelay = reportLagLimit

// unrecordedMemory returns the memory of the models that an engine has loaded
// without a slot. This system did not load them; an operator may have done so
// by hand, or the engine itself when it started.
func unrecordedMemory(e *endpoint, slots []Slot) (total rpdocument.Bytes) {
	for key, entry := range e.loaded {
		if !hasSlotFor(slots, key) {
			total += entry.Memory
		}
	}
	return total
}

// countUnrecordedReplicas counts the engines that have a model loaded without a
// slot for it.
func (s *State) countUnrecordedReplicas(key ModelKey, slots []Slot) int {
	n := 0
	for _, e := range s.replicas.loadedOn[key] {
		if !slices.ContainsFunc(slots, func(slot Slot) bool { return slot.Engine == e.id }) {
			n++
		}
	}
	return n
}

// adoptableModels returns the models that an engine has had loaded without a
// slot for adoptDelay. It updates unrecordedSince of all loaded models.
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

// adoptReplica writes a slot for a model that an engine has loaded without one.
// From then on it is treated like any other replica: it uses memory, counts
// towards the replica limit of its model, and is unloaded when it is idle or
// exceeds the limit of the document.
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
