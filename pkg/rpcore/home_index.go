package rpcore

import (
	"slices"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// homeIndex keeps what this instance is the home of, so that a round of upkeep
// looks at its own models and engines only. At the design size these are 31 of
// 14,300.
type homeIndex struct {
	// live are the live instances that the homes are of.
	live []InstanceID
	// members is the count of member changes that engines takes in.
	members uint64
	// engines and models are those of this instance, ordered.
	engines []*endpoint
	models  []ModelKey
	// documents are those that models takes in.
	documents map[string]*rpdocument.Document
	// modelsChanged says that models is out of date.
	modelsChanged bool
}

// liveDiff says how the live instances changed.
type liveDiff struct {
	live, added []InstanceID
}

// follow returns the home of a key after a change. Only the keys of instances
// that left are weighed against all others.
func (d *liveDiff) follow(key string, home InstanceID) InstanceID {
	if _, ok := slices.BinarySearch(d.live, home); !ok {
		return rendezvous(key, d.live)
	}
	if len(d.added) == 0 {
		return home
	}
	best := rpreducer.Rendezvous(key, string(home))
	for _, candidate := range d.added {
		score := rpreducer.Rendezvous(key, string(candidate))
		if score > best || score == best && candidate < home {
			home, best = candidate, score
		}
	}
	return home
}

// followLive brings the homes up to date with the live instances.
func (s *State) followLive() {
	index := &s.replicas.index
	if sameLive(index.live, s.members.live) {
		return
	}
	diff := liveDiff{live: s.members.live}
	for _, id := range s.members.live {
		if _, ok := slices.BinarySearch(index.live, id); !ok {
			diff.added = append(diff.added, id)
		}
	}
	index.live = s.members.live
	for key, home := range s.replicas.homes {
		s.replicas.homes[key] = diff.follow(key, home)
	}
	index.modelsChanged = true
	s.indexHomeEngines(&diff)
}

// sameLive reports whether two results of liveInstances are the same one:
// updateLive replaces the slice with each change.
func sameLive(a, b []InstanceID) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// homeEngines returns the engines that this instance is the home of, ordered
// by id.
func (s *State) homeEngines() []*endpoint {
	s.followLive()
	if s.replicas.index.members != s.members.generation {
		s.indexHomeEngines(&liveDiff{live: s.members.live})
	}
	return s.replicas.index.engines
}

func (s *State) indexHomeEngines(diff *liveDiff) {
	index := &s.replicas.index
	index.members = s.members.generation
	index.engines = index.engines[:0]
	for _, engines := range s.members.enginesByDomain {
		for _, e := range engines {
			if e.home = diff.follow("engine/"+string(e.id), e.home); e.home == s.self.Instance {
				index.engines = append(index.engines, e)
			}
		}
	}
	slices.SortFunc(index.engines, compareEndpoints)
}

// homeModels returns the maintained models that this instance is the home of,
// in order.
func (s *State) homeModels() []ModelKey {
	s.followLive()
	index := &s.replicas.index
	if s.followDocuments() || index.modelsChanged {
		index.modelsChanged = false
		index.models = slices.DeleteFunc(s.maintainedModels(), func(key ModelKey) bool { return !s.isReplicaHome(key) })
	}
	return index.models
}

// followDocuments reports whether another document came into force.
func (s *State) followDocuments() bool {
	index := &s.replicas.index
	services := s.replicas.seams.services(s)
	changed := len(services) != len(index.documents)
	for _, service := range services {
		doc := s.replicas.seams.document(s, service)
		if last, ok := index.documents[service]; !ok || last != doc {
			changed = true
			index.documents[service] = doc
		}
	}
	return changed
}

// maintainedChanged takes in that a model or adapter got its first replica or
// slot or lost its last one. Those that a document declares are maintained
// either way.
func (s *State) maintainedChanged(key ModelKey) {
	if s.replicas.index.modelsChanged {
		return
	}
	if _, declared := s.replicaSpec(key); !declared {
		s.replicas.index.modelsChanged = true
	}
}
