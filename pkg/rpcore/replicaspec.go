package rpcore

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// replicaSpec is what the document in force says about a model or adapter, as
// far as loading needs it.
type replicaSpec struct {
	key        ModelKey
	version    string
	checkpoint string
	// base is the base model of an adapter and empty for a model.
	base         string
	memory       rpdocument.Bytes
	accelerators int
	max          int
	warm         int
	rank         rpdocument.Rank
}

func (p replicaSpec) adapter() bool { return p.base != "" }

func (p replicaSpec) baseKey() ModelKey {
	return ModelKey{Service: p.key.Service, Name: p.base}
}

// replicaSpec looks a model or adapter up in the document in force.
func (s *State) replicaSpec(key ModelKey) (replicaSpec, bool) {
	doc := s.replicas.seams.document(s, key.Service)
	if doc == nil {
		return replicaSpec{}, false
	}
	if model, ok := doc.Model(key.Name); ok {
		return replicaSpec{
			key: key, version: model.Version, checkpoint: model.Checkpoint,
			memory: model.Memory, accelerators: model.Accelerators,
			max: model.MaxReplicas, warm: min(model.WarmReplicas, model.MaxReplicas),
			rank: model.Rank,
		}, true
	}
	adapter, ok := doc.Adapter(key.Name)
	if !ok {
		return replicaSpec{}, false
	}
	return replicaSpec{
		key: key, version: adapter.Version, checkpoint: adapter.Checkpoint,
		base: adapter.BaseModel, memory: adapter.Memory,
		// An adapter has no bound of its own: it is on at most as many
		// engines as its base model.
		max: math.MaxInt, rank: adapter.Rank,
	}, true
}

// specCurrent reports whether the document still asks for what a load was
// started for.
func (s *State) specCurrent(spec replicaSpec) bool {
	if s.replicas.seams.document(s, spec.key.Service) == nil {
		return true
	}
	now, ok := s.replicaSpec(spec.key)
	return ok && now.version == spec.version && now.max > 0
}

// worth returns how much one request of a rank counts relative to the rank
// normal; worth weighs ranks against each other, while the price of
// accelerators is absolute. A document that sets no worth counts each request
// as 1.
func (s *State) worth(service string, rank rpdocument.Rank) float64 {
	doc := s.replicas.seams.document(s, service)
	if doc == nil {
		return 1
	}
	w, normal := doc.Rank(rank).Worth, doc.Rank(rpdocument.RankNormal).Worth
	if w > 0 && normal > 0 {
		return w / normal
	}
	return 1
}

// rankBefore reports whether a is more urgent than b; RankUnset stands for
// RankNormal.
func rankBefore(a, b rpdocument.Rank) bool { return rankOrder(a) < rankOrder(b) }

func rankOrder(rank rpdocument.Rank) int {
	if i := rank.Index(); i >= 0 {
		return i
	}
	return rpdocument.RankNormal.Index()
}

// sortedKeys returns the keys of a map in order, so that no decision depends
// on map order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func sortedModels[V any](m map[ModelKey]V) []ModelKey {
	return slices.SortedFunc(maps.Keys(m), ModelKey.Compare)
}
