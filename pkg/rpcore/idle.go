package rpcore

import (
	"math"
	"time"
)

const (
	// maintenanceInterval is the time between two rounds of upkeep.
	maintenanceInterval = time.Second
	// useInterval is the time between two announcements of use to the home.
	useInterval = 5 * time.Second
	// recentUse is the time without use after which a replica may be unloaded
	// as idle. It spans several announcements, since messages may be lost.
	recentUse = 15 * time.Second
	// useDecay is the time constant of the rate of announced use.
	useDecay = time.Hour
	// acceleratorPrice is the cost of one accelerator for one second, in
	// seconds that one request of rank normal waits. With it a model of rank
	// normal that loads in 3 s is kept for 50 s after its last use.
	acceleratorPrice = 0.03
	// returnShare is the share of replicas that are used again within as long
	// a time as they have been idle.
	returnShare = 0.5
	// pressureFrom is the used share of the service's accelerators from which
	// the price grows, up to pressureFactor times.
	pressureFrom   = 0.5
	pressureFactor = 5
)

// noteUse takes in that another instance uses a model.
func (s *State) noteUse(m *modelState) {
	m.rate = s.heardRate(m) + 1
	m.rateAt = s.now
	m.lastUse = s.now
}

func (s *State) heardRate(m *modelState) float64 {
	if m.rate == 0 {
		return 0
	}
	return m.rate * math.Exp(-s.now.Sub(m.rateAt).Hours()/useDecay.Hours())
}

// announceUse tells the homes which models this instance uses, so that they
// don't unload them.
func (s *State) announceUse() {
	for _, key := range sortedModels(s.replicas.served) {
		home := s.replicaHome(key.String())
		if home == s.self.Instance {
			continue
		}
		use := s.replicas.seams.use(s, key)
		if use.InFlight > 0 || !use.LastArrival.IsZero() && s.now.Sub(use.LastArrival) < useInterval {
			use.Waiting = 0
			s.sendPeer(home, PeerMessage{Demand: s.demandMessage(key, use)})
		}
	}
}

// inUse reports whether a replica may have running work. Reports count the
// work of an engine as a whole, so they tell only of a model that is alone
// there.
func (s *State) inUse(e *endpoint, key ModelKey) bool {
	use := s.replicas.seams.use(s, key)
	if use.InFlight > 0 || use.Waiting > 0 || s.sumDemand(key).waiting > 0 {
		return true
	}
	return e.report.Running+e.report.Waiting > 0 && s.aloneOn(e, key)
}

// aloneOn reports whether no base model other than that of key is loaded.
func (s *State) aloneOn(e *endpoint, key ModelKey) bool {
	base := e.loaded[key].BaseModel
	for other, entry := range e.loaded {
		if other != key && entry.BaseModel == "" && other.Name != base {
			return false
		}
	}
	return true
}

// idleFor returns the time since the last known use of a replica.
func (s *State) idleFor(e *endpoint, key ModelKey) time.Duration {
	last := e.loaded[key].since
	for _, at := range []time.Time{s.replicas.seams.use(s, key).LastArrival, s.modelState(key).lastUse} {
		if at.After(last) {
			last = at
		}
	}
	return s.now.Sub(last)
}

// coldStartRate returns the expected cost of cold starts in a second without
// the replica: the rate of arrivals, their worth and the load time.
func (s *State) coldStartRate(key ModelKey) float64 {
	use := s.replicas.seams.use(s, key)
	m := s.modelState(key)
	perSecond := (use.ArrivalsPerHour + s.heardRate(m)) / time.Hour.Seconds()
	idle := time.Duration(math.MaxInt64)
	for _, e := range s.replicas.served[key] {
		idle = min(idle, s.idleFor(e, key))
	}
	// The longer a model was idle, the longer it stays so.
	perIdle := 1 / max(idle.Seconds(), 1)
	rate := max(min(perSecond, 2*perIdle), returnShare*perIdle)
	rank := use.Rank
	place := PlaceRemote
	if spec, ok := s.replicaSpec(key); ok {
		if rank.Index() < 0 {
			rank = spec.rank
		}
		if served := s.replicas.served[key]; len(served) > 0 {
			place = checkpointPlace(served[0], spec.checkpoint)
		}
	}
	return rate * s.worth(key.Service, rank) * s.loadTime(key, place).Seconds()
}

// keepRate returns the cost of keeping a replica for a second.
func (s *State) keepRate(spec replicaSpec, e *endpoint) float64 {
	accelerators := float64(max(spec.accelerators, 1))
	if spec.adapter() {
		accelerators = float64(max(e.Accelerators, 1)) * float64(spec.memory) / float64(max(engineMemory(e), 1))
	}
	return acceleratorPrice * accelerators * s.spendPressure(spec.key.Service)
}

// spendPressure grows from 1 to pressureFactor as the service comes near its
// accelerators.
func (s *State) spendPressure(service string) float64 {
	doc := s.replicas.seams.document(s, service)
	if doc == nil || doc.Spend.Accelerators == 0 {
		return 1
	}
	share := float64(s.acceleratorsUsed(service)) / float64(doc.Spend.Accelerators)
	excess := min(max(share-pressureFrom, 0)/(1-pressureFrom), 1)
	return 1 + (pressureFactor-1)*excess
}

// unloadIdle frees at most one idle replica of a model. Once the accelerator
// hours of the day are used up, no idle replica stays, not even a warm one:
// the bound of the document is on all replicas.
func (s *State) unloadIdle(key ModelKey) {
	spec, ok := s.replicaSpec(key)
	served := s.serving(key)
	if s.hoursEnd(spec) {
		spec.warm = 0
	}
	if !ok || len(served) <= spec.warm {
		return
	}
	for _, e := range served {
		if s.idle(spec, e) {
			s.unloadReplica(key, e)
			return
		}
	}
}

func (s *State) idle(spec replicaSpec, e *endpoint) bool {
	idle := s.idleFor(e, spec.key)
	if s.inUse(e, spec.key) || idle < recentUse || s.adapterInUse(e, spec) {
		return false
	}
	if s.hoursEnd(spec) {
		return true
	}
	if s.policy.FixedKeepAlive > 0 {
		return idle >= s.policy.FixedKeepAlive
	}
	return s.coldStartRate(spec.key) < s.keepRate(spec, e)
}

// adapterInUse reports whether an adapter on an engine keeps its base model
// in use.
func (s *State) adapterInUse(e *endpoint, base replicaSpec) bool {
	for _, key := range s.adaptersOf(base.key) {
		if _, ok := e.loaded[key]; ok && (s.inUse(e, key) || s.idleFor(e, key) < recentUse) {
			return true
		}
	}
	return false
}

// unloadReplica frees the slot of a model on an engine. The slot is looked up
// in the row as it is now.
func (s *State) unloadReplica(key ModelKey, e *endpoint) {
	row := engineRowKey(e.id)
	s.readTable([]RowKey{row}, func(s *State, read TableReadDone) {
		s.noteTable(!read.Unavailable)
		if read.Unavailable {
			return
		}
		s.takeRows([]RowKey{row}, read.Rows)
		for _, slot := range slotsOf(findRow(read.Rows, row)) {
			if slot.Model == key && slot.OrderDead && !s.inUse(e, key) {
				s.replicaNote("unloads an idle replica", key, e.id)
				s.releaseSlot(slot, ModelKey{})
			}
		}
	})
}
