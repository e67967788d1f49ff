package rpcore

import (
	"math"
	"time"
)

const (
	// maintenanceInterval is the time between two runs of maintainReplicas.
	maintenanceInterval = time.Second
	// useAnnounceInterval is the time between two announcements of use to a
	// home.
	useAnnounceInterval = 5 * time.Second
	// minIdleTime is the time without use after which a replica may be unloaded
	// as idle. It spans several announcements, since messages may be lost.
	minIdleTime = 15 * time.Second
	// useRateDecay is the time constant of peerUseRate.
	useRateDecay = time.Hour
	// acceleratorPrice is the cost of one accelerator for one second, in
	// seconds of waiting of one request of rank normal. At this price a model
	// of rank normal that loads in 3 s is kept for 50 s after its last use.
	acceleratorPrice = 0.03
	// returnShare is the share of idle replicas that are used again within as
	// long a time as they have been idle.
	returnShare = 0.5
	// spendPressureStart is the share of the service's accelerators in use from
	// which the price grows, up to maxSpendPressure times.
	spendPressureStart = 0.5
	maxSpendPressure   = 5
)

// recordPeerUse records that another instance announced use of a model.
func (s *State) recordPeerUse(m *modelState) {
	m.peerUseRate = s.decayedPeerUseRate(m) + 1
	m.peerUseRateAt = s.now
	m.peerUsedAt = s.now
}

func (s *State) decayedPeerUseRate(m *modelState) float64 {
	if m.peerUseRate == 0 {
		return 0
	}
	return m.peerUseRate * math.Exp(-s.now.Sub(m.peerUseRateAt).Hours()/useRateDecay.Hours())
}

// announceUse tells the homes which models this instance uses, so that they
// don't unload them.
func (s *State) announceUse() {
	for _, key := range sortedModels(s.replicas.loadedOn) {
		home := s.cachedHomeOf(key.String())
		if home == s.self.Instance {
			continue
		}
		use := s.replicas.deps.modelUse(s, key)
		if use.InFlight > 0 || !use.LastArrival.IsZero() && s.now.Sub(use.LastArrival) < useAnnounceInterval {
			use.Waiting = 0
			s.sendPeer(home, PeerMessage{Demand: s.newDemandMessage(key, use)})
		}
	}
}

// isInUse reports whether a replica may have running work. Reports count the
// work of an engine as a whole, so they count only if the model is alone on the
// engine.
func (s *State) isInUse(e *endpoint, key ModelKey) bool {
	use := s.replicas.deps.modelUse(s, key)
	if use.InFlight > 0 || use.Waiting > 0 || s.totalDemand(key).waiting > 0 {
		return true
	}
	return e.report.Running+e.report.Waiting > 0 && s.isOnlyBaseModel(e, key)
}

// isOnlyBaseModel reports whether an engine has no base model loaded besides
// key or, if key is an adapter, its base model.
func (s *State) isOnlyBaseModel(e *endpoint, key ModelKey) bool {
	base := e.loaded[key].BaseModel
	for other, entry := range e.loaded {
		if other != key && entry.BaseModel == "" && other.Name != base {
			return false
		}
	}
	return true
}

// idleTime returns the time since the last known use of a replica.
func (s *State) idleTime(e *endpoint, key ModelKey) time.Duration {
	last := e.loaded[key].since
	for _, at := range []time.Time{s.replicas.deps.modelUse(s, key).LastArrival, s.ensureModelState(key).peerUsedAt} {
		if at.After(last) {
			last = at
		}
	}
	return s.now.Sub(last)
}

// coldStartCostRate returns the expected cost of cold starts per second without
// the replica: the product of the arrival rate, the worth of a request and the
// load time.
func (s *State) coldStartCostRate(key ModelKey) float64 {
	use := s.replicas.deps.modelUse(s, key)
	m := s.ensureModelState(key)
	perSecond := (use.ArrivalsPerHour + s.decayedPeerUseRate(m)) / time.Hour.Seconds()
	idle := time.Duration(math.MaxInt64)
	for _, e := range s.replicas.loadedOn[key] {
		idle = min(idle, s.idleTime(e, key))
	}
	// The longer a model has been idle, the longer it is expected to stay idle.
	perIdle := 1 / max(idle.Seconds(), 1)
	rate := max(min(perSecond, 2*perIdle), returnShare*perIdle)
	rank := use.Rank
	place := PlaceRemote
	if spec, ok := s.lookupReplicaSpec(key); ok {
		if rank.Index() < 0 {
			rank = spec.rank
		}
		if served := s.replicas.loadedOn[key]; len(served) > 0 {
			place = checkpointPlace(served[0], spec.checkpoint)
		}
	}
	return rate * s.rankWorth(key.Service, rank) * s.loadTime(key, place).Seconds()
}

// keepCostRate returns the cost per second of keeping a replica loaded.
func (s *State) keepCostRate(spec replicaSpec, e *endpoint) float64 {
	accelerators := float64(max(spec.accelerators, 1))
	if spec.isAdapter() {
		accelerators = float64(max(e.Accelerators, 1)) * float64(spec.memory) / float64(max(engineMemory(e), 1))
	}
	return acceleratorPrice * accelerators * s.spendPressure(spec.key.Service)
}

// spendPressure returns the factor on the price of accelerators. It grows from
// 1 to maxSpendPressure as the service approaches its limit of accelerators.
func (s *State) spendPressure(service string) float64 {
	doc := s.replicas.deps.document(s, service)
	if doc == nil || doc.Spend.Accelerators == 0 {
		return 1
	}
	share := float64(s.acceleratorsUsed(service)) / float64(doc.Spend.Accelerators)
	excess := min(max(share-spendPressureStart, 0)/(1-spendPressureStart), 1)
	return 1 + (maxSpendPressure-1)*excess
}

// unloadIdleReplica unloads at most one idle replica of a model. Once the
// accelerator hours of the day are used up, no idle replica stays, not even a
// warm one, since the limit of the document covers all replicas.
func (s *State) unloadIdleReplica(key ModelKey) {
	spec, ok := s.lookupReplicaSpec(key)
	served := s.servingEndpoints(key)
	if s.hoursForbidReplicas(spec) {
		spec.warmReplicas = 0
	}
	if !ok || len(served) <= spec.warmReplicas {
		return
	}
	for _, e := range served {
		if s.shouldUnloadIdle(spec, e) {
			s.unloadReplica(key, e)
			return
		}
	}
}

func (s *State) shouldUnloadIdle(spec replicaSpec, e *endpoint) bool {
	idle := s.idleTime(e, spec.key)
	if s.isInUse(e, spec.key) || idle < minIdleTime || s.isAdapterInUse(e, spec) {
		return false
	}
	if s.hoursForbidReplicas(spec) {
		return true
	}
	if s.policy.FixedKeepAlive > 0 {
		return idle >= s.policy.FixedKeepAlive
	}
	return s.coldStartCostRate(spec.key) < s.keepCostRate(spec, e)
}

// isAdapterInUse reports whether an adapter of a base model is in use on an
// engine, so that the base model has to stay.
func (s *State) isAdapterInUse(e *endpoint, base replicaSpec) bool {
	for _, key := range s.adaptersOf(base.key) {
		if _, ok := e.loaded[key]; ok && (s.isInUse(e, key) || s.idleTime(e, key) < minIdleTime) {
			return true
		}
	}
	return false
}

// unloadReplica releases the slot of a model on an engine. It reads the
// engine's row to find the slot.
func (s *State) unloadReplica(key ModelKey, e *endpoint) {
	row := engineRowKey(e.id)
	s.readTable([]RowKey{row}, func(s *State, read TableReadDone) {
		s.recordTableHealth(!read.Unavailable)
		if read.Unavailable {
			return
		}
		s.cacheRows([]RowKey{row}, read.Rows)
		for _, slot := range slotsOf(findRow(read.Rows, row)) {
			if slot.Model == key && slot.OrderDead && !s.isInUse(e, key) {
				s.emitReplicaNote("unloads an idle replica", key, e.id)
				s.releaseSlot(slot, ModelKey{})
			}
		}
	})
}
