package rpcore

import (
	"slices"
	"time"
)

// cachedRow is a table row as this instance last read or wrote it. Cached rows
// only guide decisions: every transaction decides again on rows that it has
// just read.
type cachedRow struct {
	Row
	readAt time.Time
	// auditedAt is the time of the last audit. Reads for reservations don't
	// count, since they may be more frequent than audits.
	auditedAt time.Time
}

// slotObservation records since when this instance has observed a slot.
type slotObservation struct {
	firstSeen time.Time
	// missingSince is the time since which the load order is dead and the
	// engine does not report the model. It is zero unless both hold.
	missingSince time.Time
}

func modelRowKey(key ModelKey) RowKey {
	return RowKey{Kind: RowModel, Service: key.Service, Name: key.Name}
}

func engineRowKey(id EndpointID) RowKey {
	return RowKey{Kind: RowEngine, Name: string(id)}
}

// slotRowKeys returns the rows that contain a slot. The slot of an adapter is
// only in the row of its engine.
func slotRowKeys(slot Slot) []RowKey {
	if slot.BaseModel != "" {
		return []RowKey{engineRowKey(slot.Engine)}
	}
	return []RowKey{modelRowKey(slot.Model), engineRowKey(slot.Engine)}
}

// slotsOf returns the slots of a row, which may be nil.
func slotsOf(row *Row) []Slot {
	switch {
	case row == nil:
		return nil
	case row.Model != nil:
		return row.Model.Slots
	case row.Engine != nil:
		return row.Engine.Slots
	default:
		return nil
	}
}

func slotIndex(slots []Slot, nonce Nonce) int {
	return slices.IndexFunc(slots, func(slot Slot) bool { return slot.Nonce == nonce })
}

// hasSlotFor reports whether one of the slots is for a model or adapter.
func hasSlotFor(slots []Slot, key ModelKey) bool {
	return slices.ContainsFunc(slots, func(slot Slot) bool { return slot.Model == key })
}

func findSlot(rows []Row, nonce Nonce) (Slot, bool) {
	for i := range rows {
		slots := slotsOf(&rows[i])
		if j := slotIndex(slots, nonce); j >= 0 {
			return slots[j], true
		}
	}
	return Slot{}, false
}

// cacheRows caches the result of a read. Keys without a row are cached as empty
// rows.
func (s *State) cacheRows(keys []RowKey, rows []Row) {
	for _, key := range keys {
		row := findRow(rows, key)
		if row == nil {
			row = &Row{Key: key}
		}
		s.cacheRow(*row)
	}
}

func (s *State) cacheRow(row Row) {
	known := s.replicas.rows[row.Key]
	if known == nil {
		known = &cachedRow{Row: Row{Key: row.Key}}
		s.replicas.rows[row.Key] = known
		if e := s.members.endpoints[EndpointID(row.Key.Name)]; e != nil && row.Key == engineRowKey(e.id) {
			e.row = known
		}
	}
	if row.Version < known.Version {
		return
	}
	for _, slot := range slotsOf(&known.Row) {
		if slotIndex(slotsOf(&row), slot.Nonce) < 0 {
			delete(s.replicas.observed, slot.Nonce)
		}
	}
	if row.Key.Kind == RowModel && (len(slotsOf(&known.Row)) == 0) != (len(slotsOf(&row)) == 0) {
		s.invalidateHomeModels(ModelKey{Service: row.Key.Service, Name: row.Key.Name})
	}
	known.Row = row
	known.readAt = s.now
	for _, slot := range slotsOf(&row) {
		if s.replicas.observed[slot.Nonce].firstSeen.IsZero() {
			s.replicas.observed[slot.Nonce] = slotObservation{firstSeen: s.now}
		}
	}
}

// cacheWrites caches rows that this instance has written.
func (s *State) cacheWrites(writes []RowWrite) {
	for _, w := range writes {
		s.cacheRow(Row{Key: w.Key, Version: w.ExpectVersion + 1, Nonce: w.Nonce, RowBody: w.RowBody})
	}
}

// cachedSlots returns the slots of a cached row, and whether the row was ever
// read.
func (s *State) cachedSlots(key RowKey) ([]Slot, bool) {
	known := s.replicas.rows[key]
	if known == nil {
		return nil, false
	}
	return slotsOf(&known.Row), true
}

// changeSlots returns the writes that apply edit to every slot with the nonce
// and remove those for which edit returns false. If bumpFence is set, the
// fencing counter of the engine is incremented.
func (s *State) changeSlots(rows []Row, nonce Nonce, bumpFence bool, edit func(*Slot) bool) []RowWrite {
	var writes []RowWrite
	rowNonce := s.newNonce()
	for i := range rows {
		row := &rows[i]
		j := slotIndex(slotsOf(row), nonce)
		if j < 0 {
			continue
		}
		slots := slices.Clone(slotsOf(row))
		if !edit(&slots[j]) {
			slots = slices.Delete(slots, j, j+1)
		}
		writes = append(writes, s.newSlotsWrite(row, slots, rowNonce, bumpFence))
	}
	return writes
}

// addSlot returns the slot with the next fencing number of its engine, and the
// writes that add it. The rows get rowNonce as their nonce.
func (s *State) addSlot(slot Slot, rows []Row, rowNonce Nonce) (Slot, []RowWrite) {
	engine := rowOrEmpty(rows, engineRowKey(slot.Engine))
	write := s.newSlotsWrite(engine, append(slices.Clone(slotsOf(engine)), slot), rowNonce, true)
	slot.Fence = write.Engine.Fence
	write.Engine.Slots[len(write.Engine.Slots)-1].Fence = slot.Fence
	writes := []RowWrite{write}
	if slot.BaseModel == "" {
		model := rowOrEmpty(rows, modelRowKey(slot.Model))
		writes = append(writes, s.newSlotsWrite(model, append(slices.Clone(slotsOf(model)), slot), rowNonce, false))
	}
	return slot, writes
}

// newSlotsWrite returns the write that replaces the slots of a row. If
// bumpFence is set, the fencing counter of an engine row is incremented.
func (s *State) newSlotsWrite(row *Row, slots []Slot, rowNonce Nonce, bumpFence bool) RowWrite {
	w := RowWrite{Key: row.Key, ExpectVersion: row.Version, Nonce: rowNonce}
	if row.Key.Kind == RowModel {
		w.Model = &ModelRow{Slots: slots}
		s.carryFreedTime(row.Model, w.Model)
		return w
	}
	w.Engine = &EngineRow{Slots: slots}
	if row.Engine != nil {
		w.Engine.Fence = row.Engine.Fence
	}
	if bumpFence {
		w.Engine.Fence++
	}
	return w
}

// rowOrEmpty returns a row as read, or an empty row for a key that the write
// creates.
func rowOrEmpty(rows []Row, key RowKey) *Row {
	if row := findRow(rows, key); row != nil {
		return row
	}
	return &Row{Key: key}
}

func sumMemory(slots []Slot) (total uint64) {
	for _, slot := range slots {
		total += uint64(slot.Memory)
	}
	return total
}
