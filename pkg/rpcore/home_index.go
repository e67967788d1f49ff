package rpcore

import (
	"slices"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// homeIndex lists the models and engines that this instance is the home of, so
// that maintenance looks only at those. At the design size these are 31 of
// 14,300.
type homeIndex struct {
	// liveInstances are the live instances for which the homes were computed.
	liveInstances []InstanceID
	// memberGeneration is the value of members.generation for which engines was
	// computed.
	memberGeneration uint64
	// engines and models are those that this instance is the home of, in order.
	engines []*endpoint
	models  []ModelKey
	// documents are the documents for which models was computed, by service.
	documents map[string]*rpdocument.Document
	// modelsStale is set if models must be computed again.
	modelsStale bool
}

// liveChange describes a change of the live instances.
type liveChange struct {
	live, added []InstanceID
}

// updatedHome returns the home of a key after a change, given its previous
// home. Only keys whose home has left are compared with all live instances.
func (change *liveChange) updatedHome(key string, home InstanceID) InstanceID {
	if _, ok := slices.BinarySearch(change.live, home); !ok {
		return rendezvous(key, change.live)
	}
	if len(change.added) == 0 {
		return home
	}
	best := rpreducer.Rendezvous(key, string(home))
	for _, candidate := range change.added {
		score := rpreducer.Rendezvous(key, string(candidate))
		if score > best || score == best && candidate < home {
			home, best = candidate, score
		}
	}
	return home
}

// updateHomes updates the homes after a change of the live instances.
func (s *State) updateHomes() {
	index := &s.replicas.homeIndex
	if isSameLiveList(index.liveInstances, s.members.live) {
		return
	}
	change := liveChange{live: s.members.live}
	for _, id := range s.members.live {
		if _, ok := slices.BinarySearch(index.liveInstances, id); !ok {
			change.added = append(change.added, id)
		}
	}
	index.liveInstances = s.members.live
	for key, home := range s.replicas.homeCache {
		s.replicas.homeCache[key] = change.updatedHome(key, home)
	}
	index.modelsStale = true
	s.indexHomeEngines(&change)
}

// isSameLiveList reports whether both arguments are the same result of
// liveInstances. It is enough to compare pointers, since updateLiveInstances
// replaces the slice with each change.
func isSameLiveList(a, b []InstanceID) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// homeEngines returns the engines that this instance is the home of, ordered by
// id.
func (s *State) homeEngines() []*endpoint {
	s.updateHomes()
	if s.replicas.homeIndex.memberGeneration != s.members.generation {
		s.indexHomeEngines(&liveChange{live: s.members.live})
	}
	return s.replicas.homeIndex.engines
}

func (s *State) indexHomeEngines(change *liveChange) {
	index := &s.replicas.homeIndex
	index.memberGeneration = s.members.generation
	index.engines = index.engines[:0]
	for _, engines := range s.members.enginesByDomain {
		for _, e := range engines {
			if e.home = change.updatedHome("engine/"+string(e.id), e.home); e.home == s.self.Instance {
				index.engines = append(index.engines, e)
			}
		}
	}
	slices.SortFunc(index.engines, compareEndpoints)
}

// homeModels returns the maintained models that this instance is the home of,
// in order.
func (s *State) homeModels() []ModelKey {
	s.updateHomes()
	index := &s.replicas.homeIndex
	if s.updateIndexedDocuments() || index.modelsStale {
		index.modelsStale = false
		index.models = slices.DeleteFunc(s.maintainedModels(), func(key ModelKey) bool { return !s.isHomeOfModel(key) })
	}
	return index.models
}

// updateIndexedDocuments updates documents and reports whether one of them has
// changed.
func (s *State) updateIndexedDocuments() bool {
	index := &s.replicas.homeIndex
	services := s.replicas.deps.services(s)
	changed := len(services) != len(index.documents)
	for _, service := range services {
		doc := s.replicas.deps.document(s, service)
		if last, ok := index.documents[service]; !ok || last != doc {
			changed = true
			index.documents[service] = doc
		}
	}
	return changed
}

// invalidateHomeModels is called when a model or adapter gets its first replica
// or slot, or loses its last one. Models that a document declares are
// maintained in any case.
func (s *State) invalidateHomeModels(key ModelKey) {
	if s.replicas.homeIndex.modelsStale {
		return
	}
	if _, declared := s.lookupReplicaSpec(key); !declared {
		s.replicas.homeIndex.modelsStale = true
	}
}
