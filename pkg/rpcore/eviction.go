package rpcore

import (
	"cmp"
	"slices"
	"time"
)

const (
	// evictionMinIdle is the time without use after which a replica may be
	// evicted for another model.
	evictionMinIdle = 5 * time.Second
	// evictionHorizon is the time over which the expected cold starts of an
	// evicted replica are counted.
	evictionHorizon = time.Minute
	// unknownEvictionSeconds is the cost of making room on an engine whose
	// reservations are not known. busyEvictionSeconds is the cost if nothing
	// may be evicted there.
	unknownEvictionSeconds = 60
	busyEvictionSeconds    = 3600
)

// victim is a replica that may be evicted together with its adapters. value is
// the expected cost of its cold starts.
type victim struct {
	slots []Slot
	value float64
}

// evictionCost returns the cost of making room on an engine, in seconds of
// waiting of one request of the demand.
func (s *State) evictionCost(spec replicaSpec, demand demandTotal, e *endpoint, slots []Slot, known bool) float64 {
	if !known {
		return unknownEvictionSeconds
	}
	picked, ok := s.leastValuableVictims(spec, e, slots)
	if !ok {
		return busyEvictionSeconds
	}
	cost := unloadEstimate.Seconds()
	for _, v := range picked {
		cost += v.value / max(demand.worth, 1)
	}
	return cost
}

// selectVictims returns the slots to release on an engine for a load, and
// whether the load is worth more than they are.
func (s *State) selectVictims(spec replicaSpec, demand demandTotal, e *endpoint, slots []Slot) ([]Slot, bool) {
	picked, ok := s.leastValuableVictims(spec, e, slots)
	if !ok {
		return nil, false
	}
	var freed []Slot
	value := 0.0
	for _, v := range picked {
		freed = append(freed, v.slots...)
		value += v.value
	}
	gain := demand.worth * float64(max(demand.waiting, 1)) * s.loadTime(spec.key, PlaceRemote).Seconds()
	return freed, value < gain
}

// leastValuableVictims returns the least valuable idle replicas that make room
// for a load, and whether they suffice.
func (s *State) leastValuableVictims(spec replicaSpec, e *endpoint, slots []Slot) ([]victim, bool) {
	used := sumMemory(slots)
	free := func() bool { return used+uint64(spec.memory) <= uint64(engineMemory(e)) }
	var picked []victim
	for _, v := range s.evictableReplicas(spec, e, slots) {
		if free() {
			break
		}
		picked = append(picked, v)
		used -= sumMemory(v.slots)
	}
	return picked, free()
}

// evictableReplicas returns the replicas on an engine that may be evicted, the
// least valuable first.
func (s *State) evictableReplicas(spec replicaSpec, e *endpoint, slots []Slot) []victim {
	var found []victim
	for i := range slots {
		if spec.isAdapter() && slots[i].Model == spec.baseKey() {
			continue
		}
		v := victim{slots: slotWithAdapters(slots, &slots[i])}
		ok := true
		for j := range v.slots {
			ok = ok && s.canEvict(e, &v.slots[j])
			v.value += s.coldStartCostRate(v.slots[j].Model) * evictionHorizon.Seconds()
		}
		if ok {
			found = append(found, v)
		}
	}
	slices.SortStableFunc(found, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.value, b.value), a.slots[0].Model.Compare(b.slots[0].Model))
	})
	return dropRepeatedSlots(found)
}

// slotWithAdapters returns a slot and, for a base model, the slots of its
// adapters on the same engine.
func slotWithAdapters(slots []Slot, base *Slot) []Slot {
	group := []Slot{*base}
	if base.BaseModel != "" {
		return group
	}
	for _, slot := range slots {
		if slot.BaseModel == base.Model.Name && slot.Model.Service == base.Model.Service {
			group = append(group, slot)
		}
	}
	return group
}

// dropRepeatedSlots removes slots that an earlier victim contains too, so that
// no memory is counted twice.
func dropRepeatedSlots(found []victim) []victim {
	taken := make(map[Nonce]bool)
	var kept []victim
	for _, v := range found {
		v.slots = slices.DeleteFunc(v.slots, func(slot Slot) bool { return taken[slot.Nonce] })
		if len(v.slots) == 0 {
			continue
		}
		for _, slot := range v.slots {
			taken[slot.Nonce] = true
		}
		kept = append(kept, v)
	}
	return kept
}

// canEvict reports whether a slot holds a replica that is loaded, idle and not
// needed as a warm replica.
func (s *State) canEvict(e *endpoint, slot *Slot) bool {
	if slot.State != SlotSettled || !slot.OrderDead || s.replicas.releases[slot.Nonce] != nil {
		return false
	}
	if s.isInUse(e, slot.Model) || s.idleTime(e, slot.Model) < evictionMinIdle {
		return false
	}
	spec, ok := s.lookupReplicaSpec(slot.Model)
	if !ok {
		return true
	}
	served := len(s.replicas.loadedOn[slot.Model])
	return served > spec.warmReplicas
}

// evictForSpend evicts the least valuable idle replica of a service that uses
// all the accelerators that its document allows.
func (s *State) evictForSpend(r *reservation) {
	spec := r.spec
	if spec.isAdapter() || !s.exceedsAccelerators(spec) || len(s.replicas.loadedOn[spec.key]) > 0 {
		return
	}
	var best *Slot
	bestValue := r.demand.worth * float64(max(r.demand.waiting, 1)) * s.loadTime(spec.key, PlaceRemote).Seconds()
	for _, key := range sortedModels(s.replicas.loadedOn) {
		if key.Service != spec.key.Service {
			continue
		}
		value := s.coldStartCostRate(key) * evictionHorizon.Seconds()
		if slot := s.evictableSlot(key); slot != nil && value < bestValue {
			best, bestValue = slot, value
		}
	}
	if best != nil {
		s.emitReplicaNote("evicts an idle replica for the spend of the service", best.Model, best.Engine)
		s.releaseSlot(*best, spec.key)
	}
}

// evictableSlot returns a cached slot of a model that may be evicted, or nil.
func (s *State) evictableSlot(key ModelKey) *Slot {
	slots, _ := s.cachedSlots(modelRowKey(key))
	for i := range slots {
		e := s.endpointByID(slots[i].Engine)
		if e != nil && s.canEvict(e, &slots[i]) {
			return &slots[i]
		}
	}
	return nil
}

// exceedsAccelerators reports whether one more replica exceeds the accelerators
// that a service may use at once, according to the cached slots.
func (s *State) exceedsAccelerators(spec replicaSpec) bool {
	doc := s.replicas.deps.document(s, spec.key.Service)
	if doc == nil || doc.Spend.Accelerators == 0 {
		return false
	}
	return s.acceleratorsUsed(spec.key.Service)+spec.accelerators > doc.Spend.Accelerators
}

func (s *State) acceleratorsUsed(service string) int {
	doc := s.replicas.deps.document(s, service)
	if doc == nil {
		return 0
	}
	used := 0
	for i := range doc.Models {
		key := ModelKey{Service: service, Name: doc.Models[i].Name}
		slots, known := s.cachedSlots(modelRowKey(key))
		n := len(slots)
		if !known {
			n = len(s.replicas.loadedOn[key])
		}
		used += n * doc.Models[i].Accelerators
	}
	return used
}
