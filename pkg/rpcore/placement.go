package rpcore

import (
	"cmp"
	"slices"
	"time"
)

// placementCandidate is an engine that may take a replica. cost is the cost of
// choosing it, in seconds.
type placementCandidate struct {
	endpoint *endpoint
	cost     float64
}

const (
	// domainPenaltySeconds is the cost of an engine outside the failure domain
	// with the most demand. It is small, so that it only decides between
	// engines that load the checkpoint from the same kind of place.
	domainPenaltySeconds = 0.05
	// spreadPenaltySeconds is the cost of each replica of the model that the
	// failure domain of the engine already has.
	spreadPenaltySeconds = 0.1
	// unreliablePenaltySeconds is the cost of an engine that has not reported
	// for reportFreshLimit, or that recently failed a load of the model.
	unreliablePenaltySeconds = 30
	reportFreshLimit         = 10 * time.Second
	// rowFreshLimit is the age up to which the cached reservations of an engine
	// take precedence over its report.
	rowFreshLimit = 5 * time.Second
)

// placementCandidates returns at most maxCandidates engines for a replica, the
// cheapest first.
func (s *State) placementCandidates(spec replicaSpec, demand demandTotal) []placementCandidate {
	var found []placementCandidate
	replicas := s.replicasByDomain(spec.key)
	for _, e := range s.candidateEngines(spec) {
		if cost, ok := s.placementCost(spec, demand, e); ok {
			cost += spreadPenaltySeconds * float64(replicas[e.FailureDomain])
			found = append(found, placementCandidate{endpoint: e, cost: cost})
		}
	}
	slices.SortStableFunc(found, func(a, b placementCandidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.endpoint.id, b.endpoint.id))
	})
	return found[:min(len(found), maxCandidates)]
}

// candidateEngines returns the engines to choose from. An adapter can only go
// to engines that serve its base model.
func (s *State) candidateEngines(spec replicaSpec) []*endpoint {
	if spec.isAdapter() {
		return s.servingEndpoints(spec.baseKey())
	}
	return s.serviceEngines(spec.key.Service)
}

// replicasByDomain counts the known replicas of a model in each failure domain.
func (s *State) replicasByDomain(key ModelKey) map[FailureDomain]int {
	counts := make(map[FailureDomain]int)
	slots, ok := s.cachedSlots(modelRowKey(key))
	if !ok {
		for _, e := range s.replicas.loadedOn[key] {
			counts[e.FailureDomain]++
		}
	}
	for _, slot := range slots {
		if e := s.endpointByID(slot.Engine); e != nil {
			counts[e.FailureDomain]++
		}
	}
	return counts
}

// placementCost returns the expected time of a load on an engine plus the cost
// of evictions and penalties, in seconds, and whether the engine can take the
// replica at all.
func (s *State) placementCost(spec replicaSpec, demand demandTotal, e *endpoint) (float64, bool) {
	if _, loaded := e.loaded[spec.key]; loaded || e.leaving || engineMemory(e) < spec.memory {
		return 0, false
	}
	slots, known := s.cachedSlots(engineRowKey(e.id))
	if hasSlotFor(slots, spec.key) {
		return 0, false
	}
	cost := s.placementLoadTime(spec.key, checkpointPlace(e, spec.checkpoint)).Seconds()
	if demand.domain != "" && demand.domain != e.FailureDomain {
		cost += domainPenaltySeconds
	}
	if e.reportedAt.IsZero() || s.now.Sub(e.reportedAt) > reportFreshLimit {
		cost += unreliablePenaltySeconds
	}
	if m := s.replicas.models[spec.key]; m != nil && s.now.Before(m.avoidUntil[e.id]) {
		cost += unreliablePenaltySeconds
	}
	if s.memoryInUse(e)+uint64(spec.memory) > uint64(engineMemory(e)) {
		cost += s.evictionCost(spec, demand, e, slots, known)
	}
	return cost, true
}

// memoryInUse estimates the memory in use on an engine, in bytes, from its
// cached row and its report.
func (s *State) memoryInUse(e *endpoint) uint64 {
	var reported uint64
	for _, loaded := range e.report.Loaded {
		reported += uint64(loaded.Memory)
	}
	known := s.replicas.rows[engineRowKey(e.id)]
	if known == nil {
		return reported
	}
	reserved := sumMemory(slotsOf(&known.Row))
	if s.now.Sub(known.readAt) <= rowFreshLimit {
		return reserved
	}
	return max(reserved, reported)
}
