package rpcore

import (
	"cmp"
	"slices"
	"time"
)

// candidate is an engine that may take a replica, with the cost of choosing
// it in seconds.
type candidate struct {
	endpoint *endpoint
	cost     float64
}

const (
	// domainPenalty is the cost of an engine outside the failure domain that
	// asks, in seconds. It decides only between engines with checkpoints
	// equally near.
	domainPenalty = 0.05
	// spreadPenalty is the cost of each replica that the failure domain of
	// the engine has already, in seconds.
	spreadPenalty = 0.1
	// silencePenalty is the cost of an engine that has not reported for
	// reportFresh, or that failed a load of the model, in seconds.
	silencePenalty = 30
	reportFresh    = 10 * time.Second
	// rowFresh is the age up to which the reservations of an engine as known
	// count for more than its report.
	rowFresh = 5 * time.Second
)

// candidates returns the best engines for a replica, the best first.
func (s *State) candidates(spec replicaSpec, need demandSum) []candidate {
	var found []candidate
	replicas := s.domainReplicas(spec.key)
	for _, e := range s.candidateEngines(spec) {
		if cost, ok := s.placementCost(spec, need, e); ok {
			cost += spreadPenalty * float64(replicas[e.FailureDomain])
			found = append(found, candidate{endpoint: e, cost: cost})
		}
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.endpoint.id, b.endpoint.id))
	})
	return found[:min(len(found), maxCandidates)]
}

// candidateEngines returns the engines to choose from: for an adapter those
// that serve its base model.
func (s *State) candidateEngines(spec replicaSpec) []*endpoint {
	if spec.adapter() {
		return s.serving(spec.baseKey())
	}
	return s.serviceEngines(spec.key.Service)
}

// domainReplicas counts the replicas of a model as known by failure domain.
func (s *State) domainReplicas(key ModelKey) map[FailureDomain]int {
	counts := make(map[FailureDomain]int)
	slots, ok := s.knownSlots(modelRowKey(key))
	if !ok {
		for _, e := range s.replicas.served[key] {
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

// placementCost returns the expected time of a load on an engine plus the
// cost of what must be evicted there, and whether the engine can take the
// replica at all.
func (s *State) placementCost(spec replicaSpec, need demandSum, e *endpoint) (float64, bool) {
	if _, loaded := e.loaded[spec.key]; loaded || e.leaving || engineMemory(e) < spec.memory {
		return 0, false
	}
	slots, known := s.knownSlots(engineRowKey(e.id))
	if hasSlot(slots, spec.key) {
		return 0, false
	}
	cost := s.placementLoadTime(spec.key, checkpointPlace(e, spec.checkpoint)).Seconds()
	if need.domain != "" && need.domain != e.FailureDomain {
		cost += domainPenalty
	}
	if e.reportedAt.IsZero() || s.now.Sub(e.reportedAt) > reportFresh {
		cost += silencePenalty
	}
	if m := s.replicas.models[spec.key]; m != nil && s.now.Before(m.avoid[e.id]) {
		cost += silencePenalty
	}
	if s.memoryKnown(e)+uint64(spec.memory) > uint64(engineMemory(e)) {
		cost += s.evictionCost(spec, need, e, slots, known)
	}
	return cost, true
}

// memoryKnown returns the memory in use on an engine as known.
func (s *State) memoryKnown(e *endpoint) uint64 {
	var reported uint64
	for _, loaded := range e.report.Loaded {
		reported += uint64(loaded.Memory)
	}
	known := s.replicas.rows[engineRowKey(e.id)]
	if known == nil {
		return reported
	}
	reserved := sumMemory(slotsOf(&known.Row))
	if s.now.Sub(known.readAt) <= rowFresh {
		return reserved
	}
	return max(reserved, reported)
}
