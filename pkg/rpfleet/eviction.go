package rpfleet

import (
	"math/bits"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// enginePlan is what a plan needs to know of an engine, computed once for all
// loads.
type enginePlan struct {
	freeMemory rpdocument.Bytes
	candidates []evictionCandidate
}

// evictionCandidate is a model that an engine may unload. The cost is in
// seconds.
type evictionCandidate struct {
	name   string
	memory rpdocument.Bytes
	cost   float64
	// shared says that other engines hold the model or that its request rate is
	// high.
	shared bool
	// needed says that the other replicas of the model could not take its requests at
	// the next peak.
	needed bool
}

func (p *servicePlan) enginePlanFor(e *endpoint) *enginePlan {
	if known := p.enginePlans[e.ID]; known != nil {
		return known
	}
	plan := &enginePlan{freeMemory: p.freeMemory(e)}
	for _, name := range sortedKeys(e.engine.content) {
		if candidate, ok := p.evictionCandidate(e, name); ok {
			plan.candidates = append(plan.candidates, candidate)
		}
	}
	p.enginePlans[e.ID] = plan
	return plan
}

// chooseEviction returns the cheapest models to unload at an engine so that another
// one fits, with their cost. There are none if there is room already. The result is
// false if no models may be unloaded.
func (p *servicePlan) chooseEviction(w wantedReplica, e *endpoint) ([]string, float64, bool) {
	need := w.model.spec.Memory
	plan := p.enginePlanFor(e)
	if plan.freeMemory >= need {
		return nil, 0, true
	}
	var usable []evictionCandidate
	for _, candidate := range plan.candidates {
		if p.mayEvict(w, &candidate) {
			usable = append(usable, candidate)
		}
	}
	best, bestCost := 0, 0.0
	// An engine has a handful of models, so all sets of them can be tried.
	usable = usable[:min(len(usable), maxEvictionCandidates)]
	for set := 1; set < 1<<len(usable); set++ {
		free, cost := plan.freeMemory, float64(bits.OnesCount(uint(set))-1)*furtherUnloadCost
		for i := range usable {
			if set&(1<<i) != 0 {
				free += usable[i].memory
				cost += usable[i].cost
			}
		}
		if free >= need && (best == 0 || cost < bestCost) {
			best, bestCost = set, cost
		}
	}
	var names []string
	for i := range usable {
		if best&(1<<i) != 0 {
			names = append(names, usable[i].name)
		}
	}
	return names, bestCost, len(names) > 0
}

const (
	// maxEvictionCandidates bounds the sets of models that are tried for an eviction.
	maxEvictionCandidates = 8
	// furtherUnloadCost is the cost, in seconds, of each unload after the first one: the
	// time of an order and of its answer.
	furtherUnloadCost = 0.1
)

// mayEvict reports whether a model may be unloaded for a wanted one. A preload evicts
// no shared model. A model with few requests evicts none whose replicas are all needed:
// one request would then make many others late, also urgent ones.
func (p *servicePlan) mayEvict(w wantedReplica, candidate *evictionCandidate) bool {
	if w.preload {
		return !candidate.shared
	}
	return !candidate.needed || w.model.rate >= p.replicaRateCapacity()/2
}

// evictionCandidate returns a model at an engine with the cost of unloading it.
// It returns false if the model must stay.
func (p *servicePlan) evictionCandidate(e *endpoint, name string) (evictionCandidate, bool) {
	s := p.state
	candidate := evictionCandidate{name: name, memory: p.spec.Models[name].Memory}
	r := e.engine.models[name]
	m := p.models[name]
	if m == nil || r == nil {
		return candidate, true
	}
	have := len(m.replicaEngines)
	switch {
	case s.now.Before(r.readyAt.Add(requestStartTime)) || s.now.Sub(r.loadedAt) < minResidence && m.waiting > 0:
		return candidate, false
	case have <= 1 && m.waiting > 0:
		return candidate, false
	}
	candidate.shared = have > 1 || m.rate > p.replicaRateCapacity()/2
	candidate.needed = have > 1 && m.peak > float64(have-1)*p.replicaRateCapacity()
	if left := float64(have - 1); have <= p.desiredReplicas(m) || left == 0 || m.rate/left > surplusRateShare*p.replicaRateCapacity() {
		candidate.cost = evictionCostPerRate * m.rate / float64(have)
	}
	if p.runningModels[runningModel{e.ID, name}] {
		candidate.cost += runningEvictionCost
	}
	if s.now.Sub(r.usedAt) < recentUseWindow {
		candidate.cost += runningEvictionCost / 2
	}
	return candidate, true
}

// runningModel is a model with requests in progress at an engine.
type runningModel struct {
	endpoint rpcore.EndpointID
	model    string
}

// requestsInProgress returns the models with requests in progress at each
// engine, and the number of requests at each endpoint.
func (s *State) requestsInProgress() (map[runningModel]bool, map[rpcore.EndpointID]int) {
	running := map[runningModel]bool{}
	load := map[rpcore.EndpointID]int{}
	for _, d := range s.plan.demands {
		for _, at := range d.InFlight {
			model, adapter := at.modelAndAdapter()
			running[runningModel{at.Endpoint, model}] = true
			s.recordAdapterUse(at.Endpoint, model, adapter)
			load[at.Endpoint] += at.Count
		}
	}
	return running, load
}
