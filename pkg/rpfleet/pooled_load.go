package rpfleet

// The last holder of the planner's lease goes on to pool the load of all instances
// until another one holds the lease. In an outage of the store nobody can renew it, and
// without the load of others, instances send their requests to full engines. Pooling
// needs no lease, since it gives no orders.

// poolsLoad reports whether this instance pools the load without the lease.
func (s *State) poolsLoad() bool {
	return !s.isPlanner() && !s.draining && s.lease.row.Holder == s.self.Instance
}

// addPooledLoad adds the load of the other instances to the answer to a demand.
func (s *State) addPooledLoad(p *Placement, d Demand) {
	if !s.poolsLoad() {
		return
	}
	s.dropOutdatedDemands()
	s.storeDemand(d)
	if d.Full {
		p.HasOtherLoad, p.OtherLoad = true, s.inFlightOfOthers(d.Instance)
	}
}

// applyPooledLoad applies the part of an answer that needs no lease.
func (s *State) applyPooledLoad(p *Placement) {
	if p.HasOtherLoad {
		s.recordOtherLoad(p.OtherLoad)
	}
}

// dropOutdatedDemands forgets instances that sent no demand for demandTTL.
func (s *State) dropOutdatedDemands() {
	for name, d := range s.plan.demands {
		if s.now.Sub(d.at) > demandTTL {
			delete(s.plan.demands, name)
		}
	}
}
