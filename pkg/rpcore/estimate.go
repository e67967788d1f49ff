package rpcore

import "time"

// loadTimeKey is the key of a measured load time.
type loadTimeKey struct {
	key   ModelKey
	place CheckpointPlace
}

const (
	// loadTimeWeight is the weight of a new measurement in the moving average.
	loadTimeWeight = 0.3
	// adapterLoadEstimate is the load time that is assumed for an adapter
	// before one was measured. Engines below their limit of parallel loads need
	// at most this time.
	adapterLoadEstimate = 20 * time.Millisecond
	// overdueDivisor divides the expected time of a load. The quotient is the
	// remaining time that is predicted for a load that takes longer than
	// expected.
	overdueDivisor = 10
)

// recordLoadTime adds a measured load time to the moving average.
func (s *State) recordLoadTime(key ModelKey, place CheckpointPlace, took time.Duration) {
	id := loadTimeKey{key, place}
	old, ok := s.replicas.loadTimes[id]
	if ok {
		took = old + time.Duration(loadTimeWeight*float64(took-old))
	}
	s.replicas.loadTimes[id] = took
}

// loadTime returns the expected time of a load of a checkpoint from the given
// place.
func (s *State) loadTime(key ModelKey, place CheckpointPlace) time.Duration {
	if took, ok := s.replicas.loadTimes[loadTimeKey{key, place}]; ok {
		return took
	}
	if spec, ok := s.lookupReplicaSpec(key); ok && spec.isAdapter() {
		return adapterLoadEstimate
	}
	return s.limits.ColdStartEstimate
}

// placementLoadTime returns the load time for the comparison of engines. As
// long as no load from a place was measured, memory and disk are assumed to be
// faster than remote storage.
func (s *State) placementLoadTime(key ModelKey, place CheckpointPlace) time.Duration {
	took := s.loadTime(key, place)
	if _, ok := s.replicas.loadTimes[loadTimeKey{key, place}]; ok {
		return took
	}
	switch place {
	case PlaceMemory:
		return took / 4
	case PlaceDisk:
		return took / 2
	default:
		return took
	}
}

// checkpointPlace returns the fastest place from which an engine can load a
// checkpoint.
func checkpointPlace(e *endpoint, checkpoint string) CheckpointPlace {
	place := PlaceRemote
	for _, cached := range e.report.Cached {
		if cached.Checkpoint != checkpoint {
			continue
		}
		switch cached.Place {
		case PlaceMemory:
			return PlaceMemory
		case PlaceDisk:
			place = PlaceDisk
		}
	}
	return place
}

// expectedReplicaWait returns the predicted time until a replica of a model or
// adapter is ready, and whether a prediction is possible.
func (s *State) expectedReplicaWait(key ModelKey) (time.Duration, bool) {
	if len(s.servingEndpoints(key)) > 0 {
		return 0, true
	}
	spec, ok := s.lookupReplicaSpec(key)
	if !ok || s.infeasibleReason(spec) != "" {
		return 0, false
	}
	if expected, ok := s.expectedSlotWait(spec); ok {
		return expected, true
	}
	if s.isLoadBlockedByHours(spec) {
		return 0, false
	}
	if m := s.replicas.models[key]; m != nil && m.expectedAt.After(s.now) {
		return m.expectedAt.Sub(s.now), true
	}
	expected := s.loadTime(key, PlaceRemote)
	if spec.isAdapter() {
		if base, ok := s.expectedReplicaWait(spec.baseKey()); ok {
			expected += base
		}
	}
	return expected, true
}

// expectedSlotWait returns the predicted time until the first known load in
// progress is complete, and whether there is one.
func (s *State) expectedSlotWait(spec replicaSpec) (time.Duration, bool) {
	var best time.Duration
	found := false
	consider := func(d time.Duration) {
		if !found || d < best {
			best, found = d, true
		}
	}
	for _, load := range s.replicas.loads {
		if load.slot.Model == spec.key && load.phase != loadUnconfirmed && load.phase != loadDead {
			consider(s.expectedLoadWait(load))
		}
	}
	slots, _ := s.cachedSlots(modelRowKey(spec.key))
	for i := range slots {
		if s.replicas.loads[slots[i].Nonce] == nil && slots[i].Version == spec.version && s.isSlotViable(&slots[i]) {
			consider(remainingTime(s.loadTime(spec.key, s.slotPlace(&slots[i])),
				s.now.Sub(s.replicas.observed[slots[i].Nonce].firstSeen)))
		}
	}
	return best, found
}

func (s *State) expectedLoadWait(load *ownLoad) time.Duration {
	took := s.loadTime(load.slot.Model, load.place)
	if load.phase == loadReserved {
		return took + s.predictedTicketWait(load.slot.Nonce)
	}
	return remainingTime(took, s.now.Sub(load.orderedAt))
}

func (s *State) slotPlace(slot *Slot) CheckpointPlace {
	spec, ok := s.lookupReplicaSpec(slot.Model)
	e := s.endpointByID(slot.Engine)
	if !ok || e == nil {
		return PlaceRemote
	}
	return checkpointPlace(e, spec.checkpoint)
}

// remainingTime returns the predicted remaining time of a load. The minimum is
// expected/overdueDivisor, so that an overdue load is predicted to end soon but
// not at once.
func remainingTime(expected, elapsed time.Duration) time.Duration {
	return max(expected-elapsed, expected/overdueDivisor)
}
