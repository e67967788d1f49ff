package rpfleet

import (
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

// chooseEviction returns the cheapest model to unload at an engine so that
// another one fits, with its cost. The model is "" if there is room already.
// The result is false if no model may be unloaded. A preload evicts no shared
// model. A model with few requests evicts none whose replicas are all needed: one
// request would then make many others late, also urgent ones.
func (p *servicePlan) chooseEviction(w wantedReplica, e *endpoint) (string, float64, bool) {
	need := w.model.spec.Memory
	plan := p.enginePlanFor(e)
	if plan.freeMemory >= need {
		return "", 0, true
	}
	var best *evictionCandidate
	for i := range plan.candidates {
		candidate := &plan.candidates[i]
		if plan.freeMemory+candidate.memory < need || w.preload && candidate.shared {
			continue
		}
		if candidate.needed && w.model.rate < p.replicaRateCapacity()/2 {
			continue
		}
		if best == nil || candidate.cost < best.cost {
			best = candidate
		}
	}
	if best == nil {
		return "", 0, false
	}
	return best.name, best.cost, true
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
