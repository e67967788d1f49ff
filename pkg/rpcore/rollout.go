package rpcore

import (
	"slices"
	"time"
)

// rolloutNoRoomWindow is how long after a reservation found no room a rollout
// unloads an old replica first.
const rolloutNoRoomWindow = 5 * time.Second

// isRolloutDue reports whether slots of a model have another version than the
// document declares. Old versions stay while the accelerator hours of the day
// are used up, since no new one could be loaded.
func (s *State) isRolloutDue(key ModelKey, slots []Slot) bool {
	spec, ok := s.lookupReplicaSpec(key)
	if !ok || spec.isAdapter() || s.areHoursUsedUp(key.Service) {
		return false
	}
	return slices.ContainsFunc(slots, func(slot Slot) bool {
		return slot.Version != spec.version && slot.State != SlotUnloading
	})
}

// advanceRollout replaces replicas of an old version one at a time. If the
// replica limit leaves room, it loads a replica of the new version first;
// otherwise it unloads an old one first.
func (s *State) advanceRollout(key ModelKey, slots []Slot) {
	if !s.isRolloutDue(key, slots) {
		if m := s.replicas.models[key]; m != nil && m.rolloutReplicas > 0 && s.isRolloutComplete(key, slots) {
			m.rolloutReplicas = 0
		}
		return
	}
	spec, _ := s.lookupReplicaSpec(key)
	m := s.ensureModelState(key)
	if m.rolloutReplicas == 0 {
		m.rolloutReplicas = min(len(slots), spec.max)
	}
	if s.isRolloutBusy(spec, slots) {
		return
	}
	noRoom := !m.noRoomAt.IsZero() && s.now.Sub(m.noRoomAt) < rolloutNoRoomWindow
	if !noRoom && len(slots) < min(m.rolloutReplicas+1, spec.max) {
		m.nextReservationAt = s.now
		s.evaluateReplicas(m)
		if m.reservation != nil {
			return
		}
	}
	s.unloadOldVersion(spec, slots)
}

// isRolloutComplete reports whether the rollout has replaced all replicas.
func (s *State) isRolloutComplete(key ModelKey, slots []Slot) bool {
	spec, ok := s.lookupReplicaSpec(key)
	return !ok || s.countViableSlots(spec, slots) >= min(s.replicas.models[key].rolloutReplicas, spec.max)
}

// isRolloutBusy reports whether a replica of the model is being loaded or
// unloaded.
func (s *State) isRolloutBusy(spec replicaSpec, slots []Slot) bool {
	for i := range slots {
		if slots[i].State == SlotUnloading || s.replicas.releases[slots[i].Nonce] != nil {
			return true
		}
		if e := s.endpointByID(slots[i].Engine); slots[i].Version == spec.version && (e == nil || !e.serves(spec.key)) {
			return s.isSlotViable(&slots[i])
		}
	}
	return s.ensureModelState(spec.key).reservation != nil
}

// unloadOldVersion unloads one replica with an old version. The only replica of
// a model is unloaded once it is not in use, but no later than
// lastOldReplicaLimit after the change of the document.
func (s *State) unloadOldVersion(spec replicaSpec, slots []Slot) {
	othersServe := len(s.servingEndpoints(spec.key)) > 1
	overdue := s.now.Sub(s.replicas.documentChangedAt[spec.key.Service]) > lastOldReplicaLimit
	for i := range slots {
		slot := slots[i]
		if slot.Version == spec.version || !s.canReleaseSlot(&slot) {
			continue
		}
		e := s.endpointByID(slot.Engine)
		if othersServe || overdue || e == nil || !s.isInUse(e, spec.key) {
			s.emitReplicaNote("replaces version "+slot.Version+" by "+spec.version, slot.Model, slot.Engine)
			s.withdrawOrReleaseSlot(slot)
			return
		}
	}
}
