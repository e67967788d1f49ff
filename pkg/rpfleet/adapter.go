package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// adapterSpread bounds the preference of an adapter for an engine, in adapters.
// An adapter stays at one engine until that engine has more adapters than
// others.
const adapterSpread = 8

// adapterSettleTime is how long requests may wait after the load of their adapter
// because their instances have not learned of it.
const adapterSettleTime = 500 * time.Millisecond

const (
	// adapterIdleTime is how long an adapter must not have been used before it
	// counts as idle. The planner learns of requests with the demands, up to
	// two seconds later in a large deployment.
	adapterIdleTime = time.Second
	// maxAdapterWait is the mean time that requests for an adapter may wait before
	// an adapter in use is unloaded for them.
	maxAdapterWait = 2 * time.Second
)

// orderNeededAdapters orders the adapters that requests wait for.
func (p *servicePlan) orderNeededAdapters() {
	for _, name := range sortedKeys(p.state.plan.demands) {
		for _, need := range p.state.plan.demands[name].Needs {
			if need.Service == p.service && need.Adapter != "" {
				p.placeAdapter(need)
			}
		}
	}
}

// placeAdapter orders an adapter at an engine that holds its model, unless an
// engine was just ordered to load it. Requests that wait for an adapter although an
// engine has it wait for a slot there, so another engine gets the adapter too.
func (p *servicePlan) placeAdapter(need Need) {
	s := p.state
	m := p.models[need.Model]
	if m == nil {
		return
	}
	var best *endpoint
	bestCost := 0.0
	for _, e := range m.replicaEngines {
		r := e.engine.models[need.Model]
		if r == nil {
			continue
		}
		if readyAt, ok := r.adapters[need.Adapter]; ok {
			if !s.now.After(readyAt.Add(adapterSettleTime)) || need.Waited < adapterSettleTime*time.Duration(need.Waiting) {
				return
			}
			continue
		}
		if r.readyAt.After(s.now) || e.engine.busyUntil.After(s.now) || !s.canSendOrder(e) {
			continue
		}
		cost := float64(p.adapterCount(e)) + float64(p.requestsAtEngine[e.ID]) + float64(rpreducer.Rendezvous(need.Adapter, string(e.ID))%adapterSpread)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best != nil {
		p.orderAdapter(best, need)
	}
}

// adapterCount returns the number of adapters that an engine has or is loading.
func (p *servicePlan) adapterCount(e *endpoint) int {
	n := 0
	for _, adapters := range e.engine.content {
		n += len(adapters)
	}
	return n
}

// orderAdapter loads an adapter, or first unloads another one if the engine has
// no room.
func (p *servicePlan) orderAdapter(e *endpoint, need Need) {
	s := p.state
	o := &order{engine: e, kind: OrderLoad, model: need.Model, adapter: need.Adapter, loadTime: defaultAdapterLoadTime}
	spec := p.spec.Models[need.Model]
	if p.adapterCount(e) >= p.spec.AdapterSlots || p.freeMemory(e) < spec.AdapterMemory {
		model, adapter := p.leastUsedAdapter(e, need)
		if adapter == "" {
			return
		}
		o.kind, o.model, o.adapter = OrderUnload, model, adapter
	}
	s.note("replicas", "orders an engine to load or unload an adapter", Field{"order", string(o.kind)}, Field{"endpoint", string(e.ID)},
		Field{"model", o.model}, Field{"adapter", o.adapter}, Field{"for_adapter", need.Adapter},
		Field{"waiting", need.Waiting}, Field{"adapters", p.adapterCount(e)}, Field{"sequence", e.engine.sequence})
	s.sendOrder(o)
}

// freeMemory returns the memory of an engine that is free. A model that the
// configuration no longer contains counts as all of the memory.
func (p *servicePlan) freeMemory(e *endpoint) rpdocument.Bytes {
	free := p.spec.Memory
	for name, adapters := range e.engine.content {
		spec, known := p.spec.Models[name]
		used := spec.Memory + spec.AdapterMemory*rpdocument.Bytes(len(adapters))
		if !known || used >= free {
			return 0
		}
		free -= used
	}
	return free
}

// recordAdapterUse records that requests for an adapter are in progress at an
// engine.
func (s *State) recordAdapterUse(id rpcore.EndpointID, model, adapter string) {
	e := s.endpoints[id]
	if adapter == "" || e == nil {
		return
	}
	if e.engine.adapterUsedAt == nil {
		e.engine.adapterUsedAt = map[string]time.Time{}
	}
	e.engine.adapterUsedAt[weightsName(model, adapter)] = s.now
}

// leastUsedAdapter returns the adapter at an engine that was not used for the longest
// time and that no request waits for, or "". An engine unloads an adapter in use only
// after its requests have ended and meanwhile turns away all requests for the model.
// Such an adapter is therefore unloaded only for requests that have waited long.
func (p *servicePlan) leastUsedAdapter(e *endpoint, need Need) (model, adapter string) {
	s := p.state
	var oldest time.Time
	for _, name := range sortedKeys(e.engine.content) {
		for _, candidate := range sortedKeys(e.engine.content[name]) {
			if p.adapterNeeded(name, candidate) || name == need.Model && candidate == need.Adapter {
				continue
			}
			at := e.engine.adapterUsedAt[weightsName(name, candidate)]
			if r := e.engine.models[name]; r != nil {
				at = maxTime(at, r.adapters[candidate])
			}
			if adapter == "" || at.Before(oldest) {
				model, adapter, oldest = name, candidate, at
			}
		}
	}
	if s.now.Sub(oldest) < adapterIdleTime && need.Waited < maxAdapterWait*time.Duration(need.Waiting) {
		return "", ""
	}
	return model, adapter
}

// adapterNeeded reports whether requests wait for an adapter.
func (p *servicePlan) adapterNeeded(model, adapter string) bool {
	for _, d := range p.state.plan.demands {
		for _, need := range d.Needs {
			if need.Service == p.service && need.Model == model && need.Adapter == adapter {
				return true
			}
		}
	}
	return false
}
