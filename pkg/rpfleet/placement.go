package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// demandReceived answers another instance's demand.
func (s *State) demandReceived(ev DemandReceived) {
	if s.leading() {
		s.takeDemand(ev.Demand)
		s.giveUpIfCutOff()
	}
	if !s.leading() {
		s.emit(AnswerDemand{Call: ev.Call, Placement: Placement{
			GaveUp: s.lease.gaveUp, LastOrders: s.lastOrders(),
		}})
		return
	}
	s.planNow()
	d := &ev.Demand
	if d.Epoch != s.lease.row.Epoch {
		d.Seen, d.ListSeen = 0, 0
	}
	placement := Placement{
		Leading:   true,
		Epoch:     s.lease.row.Epoch,
		Change:    s.plan.change,
		Instances: max(len(s.plan.demands), s.demand.instances),
		Engines:   s.recentContents(d.Seen),
		Expected:  s.expectedModels(d.Needs),
		List:      s.listNews(d.ListSeen),

		ConfigVersion: s.configVersion(),
		WeightLimit:   s.weightLimit(),
		CheckStore:    s.lease.failures > 0 && s.rng.Float64()*float64(len(s.plan.demands)) < storeWitnesses,
	}
	if d.Full {
		placement.HasOthers = true
		placement.Others = s.othersOf(d.Instance)
	}
	s.emit(AnswerDemand{Call: ev.Call, Placement: placement})
}

// takeDemand takes in a demand. One that is not full leaves the rest as it was.
func (s *State) takeDemand(d Demand) {
	known := s.plan.demands[d.Instance]
	if known != nil && !d.Full {
		d.Rates, d.InFlight, d.Avoid = known.Rates, known.InFlight, known.Avoid
	}
	s.plan.demands[d.Instance] = &receivedDemand{Demand: d, at: s.now}
	if len(d.Rates) > 0 && s.plan.firstArrival.IsZero() {
		s.plan.firstArrival = s.now
	}
}

// othersOf sums up the attempts of all instances but one.
func (s *State) othersOf(self rpcore.InstanceID) []EndpointLoad {
	counts := map[rpcore.EndpointID]int{}
	for _, name := range sortedKeys(s.plan.demands) {
		if name == self {
			continue
		}
		for _, load := range s.plan.demands[name].InFlight {
			counts[load.Endpoint] += load.Count
		}
	}
	var loads []EndpointLoad
	for _, id := range sortedKeys(counts) {
		loads = append(loads, EndpointLoad{Endpoint: id, Count: counts[id]})
	}
	return loads
}

// recentContents returns the engines whose last order may not be in the list
// yet and that have changed since a change that the asking instance has seen.
func (s *State) recentContents(seen uint64) []EngineContent {
	var contents []EngineContent
	for _, e := range s.sortedEndpoints() {
		if e.engine.change <= seen || s.now.Sub(e.engine.changedAt) > contentLag+time.Second {
			continue
		}
		content := EngineContent{Endpoint: e.ID, Incarnation: e.Incarnation, Sequence: e.engine.sequence}
		for _, name := range sortedKeys(e.engine.models) {
			content.Models = append(content.Models, s.placedModel(name, e.engine.models[name]))
		}
		for _, name := range sortedKeys(e.engine.dropped) {
			if s.now.Sub(e.engine.dropped[name]) < contentLag {
				content.Dropped = append(content.Dropped, name)
			}
		}
		contents = append(contents, content)
	}
	return contents
}

func (s *State) placedModel(name string, r *replica) PlacedModel {
	placed := PlacedModel{
		Name: name, Version: r.version, ReadyIn: max(0, r.readyAt.Sub(s.now)),
		Adapters: map[string]time.Duration{},
	}
	for adapter, readyAt := range r.adapters {
		placed.Adapters[adapter] = max(0, readyAt.Sub(s.now))
	}
	return placed
}

// expectedModels says when the needed models will be loaded, as far as is
// known.
func (s *State) expectedModels(needs []Need) []ExpectedModel {
	var expected []ExpectedModel
	for _, need := range needs {
		if at, ok := s.plan.expected[modelID{need.Service, need.Model}]; ok {
			expected = append(expected, ExpectedModel{Service: need.Service, Model: need.Model, ReadyIn: max(0, at.Sub(s.now))})
		}
	}
	return expected
}

// demandPosted takes in a demand from the store. Its instance sees in the list
// what was loaded.
func (s *State) demandPosted(d Demand) {
	if !s.leading() || d.Instance == s.self.Instance {
		return
	}
	s.note("replicas", "takes a demand from the store", Field{"instance", string(d.Instance)}, Field{"needs", len(d.Needs)})
	d.Full = false
	s.takeDemand(d)
	s.planNow()
}
