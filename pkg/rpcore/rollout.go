package rpcore

import (
	"slices"
	"time"
)

// rolloutBlocked is how long a reservation that found no room makes a rollout
// unload an old replica first.
const rolloutBlocked = 5 * time.Second

// rolloutDue reports whether slots of a model have another version than the
// document. An old version stays where none may be loaded on this day.
func (s *State) rolloutDue(key ModelKey, slots []Slot) bool {
	spec, ok := s.replicaSpec(key)
	if !ok || spec.adapter() || s.hoursUsedUp(key.Service) {
		return false
	}
	return slices.ContainsFunc(slots, func(slot Slot) bool {
		return slot.Version != spec.version && slot.State != SlotUnloading
	})
}

// rollOut replaces replicas with an old version one at a time, within the
// bound: it loads one with the new version where the bound leaves room, and
// otherwise first unloads an old one.
func (s *State) rollOut(key ModelKey, slots []Slot) {
	if !s.rolloutDue(key, slots) {
		if m := s.replicas.models[key]; m != nil && m.restore > 0 && s.restored(key, slots) {
			m.restore = 0
		}
		return
	}
	spec, _ := s.replicaSpec(key)
	m := s.modelState(key)
	if m.restore == 0 {
		m.restore = min(len(slots), spec.max)
	}
	if s.rolloutBusy(spec, slots) {
		return
	}
	blocked := !m.blockedAt.IsZero() && s.now.Sub(m.blockedAt) < rolloutBlocked
	if !blocked && len(slots) < min(m.restore+1, spec.max) {
		m.nextTry = s.now
		s.evaluate(m)
		if m.reservation != nil {
			return
		}
	}
	s.retireOld(spec, slots)
}

// restored reports whether the rollout has replaced all replicas.
func (s *State) restored(key ModelKey, slots []Slot) bool {
	spec, ok := s.replicaSpec(key)
	return !ok || s.hopefulSlots(spec, slots) >= min(s.replicas.models[key].restore, spec.max)
}

// rolloutBusy reports whether a replica of the model is being loaded or
// unloaded.
func (s *State) rolloutBusy(spec replicaSpec, slots []Slot) bool {
	for i := range slots {
		if slots[i].State == SlotUnloading || s.replicas.releases[slots[i].Nonce] != nil {
			return true
		}
		if e := s.endpointByID(slots[i].Engine); slots[i].Version == spec.version && (e == nil || !e.serves(spec.key)) {
			return s.hopeful(&slots[i])
		}
	}
	return s.modelState(spec.key).reservation != nil
}

// retireOld unloads one replica with an old version. The only replica of a
// model goes when it is not in use, at the latest after rolloutPatience.
func (s *State) retireOld(spec replicaSpec, slots []Slot) {
	others := len(s.serving(spec.key)) > 1
	late := s.now.Sub(s.replicas.documentAt[spec.key.Service]) > rolloutPatience
	for i := range slots {
		slot := slots[i]
		if slot.Version == spec.version || !s.freeable(&slot) {
			continue
		}
		e := s.endpointByID(slot.Engine)
		if others || late || e == nil || !s.inUse(e, spec.key) {
			s.replicaNote("replaces version "+slot.Version+" by "+spec.version, slot.Model, slot.Engine)
			s.freeSlot(slot)
			return
		}
	}
}
