package rpcore

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// replicaSpec holds what the current document declares about a model or
// adapter, as far as loading needs it.
type replicaSpec struct {
	key        ModelKey
	version    string
	checkpoint string
	// baseModel is the base model of an adapter, and empty for a model.
	baseModel    string
	memory       rpdocument.Bytes
	accelerators int
	// max is the maximum number of replicas, and warmReplicas the number to
	// keep loaded without demand.
	max          int
	warmReplicas int
	rank         rpdocument.Rank
}

func (spec replicaSpec) isAdapter() bool { return spec.baseModel != "" }

func (spec replicaSpec) baseKey() ModelKey {
	return ModelKey{Service: spec.key.Service, Name: spec.baseModel}
}

// lookupReplicaSpec looks up a model or adapter in the current document.
func (s *State) lookupReplicaSpec(key ModelKey) (replicaSpec, bool) {
	doc := s.replicas.deps.document(s, key.Service)
	if doc == nil {
		return replicaSpec{}, false
	}
	if model, ok := doc.Model(key.Name); ok {
		return replicaSpec{
			key: key, version: model.Version, checkpoint: model.Checkpoint,
			memory: model.Memory, accelerators: model.Accelerators,
			max: model.MaxReplicas, warmReplicas: min(model.WarmReplicas, model.MaxReplicas),
			rank: model.Rank,
		}, true
	}
	adapter, ok := doc.Adapter(key.Name)
	if !ok {
		return replicaSpec{}, false
	}
	return replicaSpec{
		key: key, version: adapter.Version, checkpoint: adapter.Checkpoint,
		baseModel: adapter.BaseModel, memory: adapter.Memory,
		// An adapter has no limit of its own: it is loaded on at most as many
		// engines as its base model.
		max: math.MaxInt, rank: adapter.Rank,
	}, true
}

// isSpecCurrent reports whether the current document still declares the version
// that a load was started for, and allows a replica of it.
func (s *State) isSpecCurrent(spec replicaSpec) bool {
	if s.replicas.deps.document(s, spec.key.Service) == nil {
		return true
	}
	current, ok := s.lookupReplicaSpec(spec.key)
	return ok && current.version == spec.version && current.max > 0
}

// rankWorth returns the worth of a request of a rank relative to rank normal.
// Worth weighs ranks against each other, while the price of accelerators is
// absolute. The result is 1 if the document sets no worth.
func (s *State) rankWorth(service string, rank rpdocument.Rank) float64 {
	doc := s.replicas.deps.document(s, service)
	if doc == nil {
		return 1
	}
	w, normal := doc.Rank(rank).Worth, doc.Rank(rpdocument.RankNormal).Worth
	if w > 0 && normal > 0 {
		return w / normal
	}
	return 1
}

// isMoreUrgent reports whether a is more urgent than b. RankUnset counts as
// RankNormal.
func isMoreUrgent(a, b rpdocument.Rank) bool { return urgencyOrder(a) < urgencyOrder(b) }

func urgencyOrder(rank rpdocument.Rank) int {
	if i := rank.Index(); i >= 0 {
		return i
	}
	return rpdocument.RankNormal.Index()
}

// sortedKeys returns the keys of a map in order, so that no decision depends on
// map order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func sortedModels[V any](m map[ModelKey]V) []ModelKey {
	return slices.SortedFunc(maps.Keys(m), ModelKey.Compare)
}
