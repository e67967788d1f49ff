package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// handleDemandReceived answers another instance's demand.
func (s *State) handleDemandReceived(ev DemandReceived) {
	if s.isPlanner() {
		s.recordDemand(ev.Demand)
		s.dropLeaseIfCutOff()
	}
	if !s.isPlanner() {
		placement := Placement{ReleasedEpoch: s.lease.releasedEpoch, RecentOrders: s.recentOrders()}
		s.addPooledLoad(&placement, ev.Demand)
		s.emit(AnswerDemand{Call: ev.Call, Placement: placement})
		return
	}
	s.runOrSchedulePlan()
	d := &ev.Demand
	if d.Epoch != s.lease.row.Epoch {
		d.SeenChange, d.SeenListChange = 0, 0
	}
	placement := Placement{
		IsPlanner: true,
		Epoch:     s.lease.row.Epoch,
		Change:    s.plan.lastChange,
		Instances: max(len(s.plan.demands), s.demand.instanceCount),
		Engines:   s.engineChangesSince(d.SeenChange),
		Expected:  s.expectedModels(d.Needs),
		List:      s.listChangesSince(d.SeenListChange),

		ConfigVersion: s.confirmedConfigVersion(),
		WeightLimit:   s.weightLimit(),
		CheckStore:    s.lease.failedRenewals > 0 && s.rng.Float64()*float64(len(s.plan.demands)) < storeProbeInstances,
	}
	placement.Quarantine = s.describeQuarantine()
	placement.Load = s.loadSummary(d)
	placement.Store = s.storeState()
	if d.Full {
		placement.HasOtherLoad = true
		placement.OtherLoad = s.inFlightOfOthers(d.Instance)
	}
	s.emit(AnswerDemand{Call: ev.Call, Placement: placement})
}

// recordDemand stores an instance's demand. A demand that is not full updates
// only its needs.
func (s *State) recordDemand(d Demand) {
	s.applyLeavingReports(d.Extension.Leaving)
	if d.Instance != s.self.Instance {
		s.poolEvidence(&d.Evidence)
	}
	s.recordUse(&d)
	s.recordObservations(&d)
	s.storeDemand(d)
	if len(d.Rates) > 0 && s.plan.firstArrivalAt.IsZero() {
		s.plan.firstArrivalAt = s.now
	}
}

// storeDemand keeps the latest demand of an instance.
func (s *State) storeDemand(d Demand) {
	known := s.plan.demands[d.Instance]
	if known != nil && !d.Full {
		d.Rates, d.InFlight, d.Ejected, d.Extension = known.Rates, known.InFlight, known.Ejected, known.Extension
	}
	received := &receivedDemand{Demand: d, at: s.now}
	if known != nil {
		received.engineTurn = known.engineTurn
	}
	s.plan.demands[d.Instance] = received
}

// inFlightOfOthers returns the attempts of all instances but self, by endpoint.
func (s *State) inFlightOfOthers(self rpcore.InstanceID) []EndpointLoad {
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

// engineChangesSince returns the content of the engines that have changed after
// the change with number seen, and so recently that the list of endpoints may
// not show it yet.
func (s *State) engineChangesSince(seen uint64) []EngineContent {
	var contents []EngineContent
	for _, e := range s.sortedEndpoints() {
		if e.engine.lastChange <= seen || s.now.Sub(e.engine.lastChangeAt) > listUpdateLag+time.Second {
			continue
		}
		content := EngineContent{Endpoint: e.ID, Incarnation: e.Incarnation, Sequence: e.engine.sequence}
		for _, name := range sortedKeys(e.engine.models) {
			content.Models = append(content.Models, s.describeReplica(name, e.engine.models[name]))
		}
		for _, name := range sortedKeys(e.engine.recentUnloads) {
			if s.now.Sub(e.engine.recentUnloads[name]) < listUpdateLag {
				content.Unloaded = append(content.Unloaded, name)
			}
		}
		contents = append(contents, content)
	}
	return contents
}

func (s *State) describeReplica(name string, r *replica) PlacedModel {
	placed := PlacedModel{
		Name: name, Version: r.version, ReadyIn: max(0, r.readyAt.Sub(s.now)),
		Adapters: map[string]time.Duration{},
	}
	for adapter, readyAt := range r.adapters {
		placed.Adapters[adapter] = max(0, readyAt.Sub(s.now))
	}
	return placed
}

// expectedModels returns when the needed models will be loaded, as far as is
// known.
func (s *State) expectedModels(needs []Need) []ExpectedModel {
	var expected []ExpectedModel
	for _, need := range needs {
		if at, ok := s.plan.expectedReadyAt[modelID{need.Service, need.Model}]; ok {
			expected = append(expected, ExpectedModel{Service: need.Service, Model: need.Model, ReadyIn: max(0, at.Sub(s.now))})
		}
	}
	return expected
}

// handleDemandPosted stores a demand that was read from the store. There is no
// answer: the sending instance sees in the list of endpoints what was loaded.
func (s *State) handleDemandPosted(d Demand) {
	if !s.isPlanner() || d.Instance == s.self.Instance {
		return
	}
	s.note("replicas", "read another instance's demand from the store", Field{"instance", string(d.Instance)}, Field{"needs", len(d.Needs)})
	d.Full = false
	s.recordDemand(d)
	s.runOrSchedulePlan()
}
