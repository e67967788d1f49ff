package rpfleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// wantedReplica is a replica that should be loaded.
type wantedReplica struct {
	model *modelDemand
	// waiting says that requests wait for the model and no engine holds it.
	waiting bool
	// cold says that the model can only be loaded from the weight store.
	cold bool
	// preload says that nobody asks for the model yet.
	preload bool
}

// wantedReplicas returns the replicas that should be loaded, most urgent first.
func (p *servicePlan) wantedReplicas() []wantedReplica {
	var list []wantedReplica
	for _, name := range sortedKeys(p.models) {
		m := p.models[name]
		switch have := len(m.replicaEngines); {
		case have == 0 && m.waiting > 0:
			list = append(list, wantedReplica{model: m, waiting: true, cold: !p.state.hasCopy(m.id)})
		case have > 0 && have < p.desiredReplicas(m):
			list = append(list, wantedReplica{model: m})
		case have == 0 && p.state.now.Sub(p.state.lastJoinAt) >= listSettleTime && !p.hasLocalCheckpoint(m):
			list = append(list, wantedReplica{model: m, preload: true})
		}
	}
	slices.SortStableFunc(list, compareWantedReplicas)
	return list
}

func compareWantedReplicas(a, b wantedReplica) int {
	return cmp.Or(
		compareBool(a.preload, b.preload),
		cmp.Compare(a.urgency(), b.urgency()),
		compareBool(b.cold, a.cold),
		cmp.Compare(b.pressure(), a.pressure()),
		cmp.Compare(b.model.peak, a.model.peak),
		cmp.Compare(b.model.spec.Adapters, a.model.spec.Adapters),
	)
}

// urgency returns the rank of the waiting requests. Loads for models whose
// replicas are overloaded count as rank 0.
func (w wantedReplica) urgency() int {
	if !w.waiting && !w.preload {
		return 0
	}
	return w.model.rank
}

// pressure is the number of waiting requests times the square of their mean
// waiting time, so that no request waits forever behind models with more
// requests. A cold model has none: its load takes longer than most requests wait, so
// the number of later requests counts.
func (w wantedReplica) pressure() float64 {
	if w.model.waiting == 0 || w.cold {
		return 0
	}
	n := float64(w.model.waiting)
	waited := w.model.waited.Seconds()/n + 1
	return n * waited * waited
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// hasLocalCheckpoint reports whether an engine can load a model without the
// weight store.
func (p *servicePlan) hasLocalCheckpoint(m *modelDemand) bool {
	for _, e := range p.engines {
		if place := e.Cached[m.id.model]; place == rpcore.PlaceMemory || place == rpcore.PlaceDisk {
			return true
		}
	}
	return false
}

// orderLoads orders the wanted loads, at most one at each engine.
func (p *servicePlan) orderLoads() {
	s := p.state
	// queued is the total load time of the models that wait for the weight store.
	queued := time.Duration(0)
	for _, m := range p.models {
		s.estimateReadyAt(m)
	}
	wanted := p.wantedReplicas()
	p.clearReservations(wanted)
	for _, w := range wanted {
		best := p.cheapestLoad(w)
		if best.engine == nil {
			if w.cold {
				queued += p.weightLoadTime(w.model)
				s.plan.expectedReadyAt[w.model.id] = s.now.Add(s.estimateQueuedLoad(queued, p.weightLoadTime(w.model)))
			}
			continue
		}
		if w.waiting {
			s.plan.expectedReadyAt[w.model.id] = s.now.Add(best.waitTime + best.loadTime)
		}
		p.startLoad(w, best)
	}
}

// clearReservations drops reservations for models that are not wanted any more.
func (p *servicePlan) clearReservations(list []wantedReplica) {
	for _, e := range p.engines {
		reserved := e.engine.reservedFor
		if reserved != "" && !slices.ContainsFunc(list, func(w wantedReplica) bool { return w.model.id.model == reserved }) {
			e.engine.reservedFor = ""
		}
	}
}

// hasCopy reports whether an endpoint holds a model or its checkpoint, as far as the
// list and the orders show. An endpoint that is ejected or not verified counts: it may
// serve the model long before a load from the weight store ends.
func (s *State) hasCopy(id modelID) bool {
	return slices.ContainsFunc(s.endpointsOf(id.service), func(e *endpoint) bool {
		place := e.Cached[id.model]
		return !e.Leaving && (e.engine.models[id.model] != nil || e.engine.content[id.model] != nil ||
			place == rpcore.PlaceMemory || place == rpcore.PlaceDisk)
	})
}

// estimateReadyAt sets when a model with replicas, loaded or loading, is ready.
func (s *State) estimateReadyAt(m *modelDemand) {
	for _, e := range m.replicaEngines {
		readyAt := s.now.Add(e.timeUntilFree(s.now))
		if r := e.engine.models[m.id.model]; r != nil {
			readyAt = r.readyAt
			if readyAt.After(s.now) && !r.dueAt.IsZero() {
				readyAt = maxTime(maxTime(r.dueAt, s.weightLoadEnd(e.ID, m.id.model)), s.now)
			}
		}
		if known, ok := s.plan.expectedReadyAt[m.id]; !ok || readyAt.Before(known) {
			s.plan.expectedReadyAt[m.id] = readyAt
		}
	}
}

// loadChoice is a way to load a model.
type loadChoice struct {
	engine *endpoint
	// victims are the models to unload first.
	victims []string
	place   rpcore.CheckpointPlace
	// waitTime is the time until the engine can take the order.
	waitTime time.Duration
	loadTime time.Duration
	// cost is in seconds.
	cost float64
}

// cheapestLoad returns the best way to load a replica. An engine that already
// made room for the model has priority. The engine of the result is nil if no
// load can begin.
func (p *servicePlan) cheapestLoad(w wantedReplica) loadChoice {
	s := p.state
	var best loadChoice
	for _, e := range p.engines {
		choice, ok := p.loadChoiceAt(w, e)
		if ok && e.engine.hasReservation(w.model.id.model, s.now) {
			return choice
		}
		if ok && (best.engine == nil || choice.cost < best.cost) {
			best = choice
		}
	}
	return best
}

// loadChoiceAt returns how an engine could load a replica, and false if it
// can't or should not.
func (p *servicePlan) loadChoiceAt(w wantedReplica, e *endpoint) (loadChoice, bool) {
	s := p.state
	m := w.model
	if !e.engine.verified {
		return p.unverifiedLoadChoice(w, e)
	}
	if !w.waiting && !w.preload && float64(p.requestsAtEngine[e.ID]) > maxRelativeLoad*p.meanReplicaLoad(m) {
		return loadChoice{}, false
	}
	if e.engine.models[m.id.model] != nil || e.engine.content[m.id.model] != nil || e.engine.reservedFor != "" && e.engine.reservedFor != m.id.model {
		return loadChoice{}, false
	}
	choice := loadChoice{engine: e, place: cmp.Or(e.Cached[m.id.model], rpcore.PlaceRemote)}
	remote := choice.place == rpcore.PlaceRemote
	if remote && !p.weightStoreAvailable(w.preload) {
		return loadChoice{}, false
	}
	choice.loadTime = cmp.Or(m.spec.LoadTimes[choice.place], defaultLoadTime)
	choice.waitTime = e.timeUntilFree(s.now)
	victims, evictionCost, ok := p.chooseEviction(w, e)
	if !ok || evictionCost > maxEvictionCost && (w.model.rank > 0 || !w.waiting) {
		return loadChoice{}, false
	}
	choice.victims = victims
	choice.cost = (choice.waitTime + choice.loadTime).Seconds() + evictionCost
	for _, holder := range m.replicaEngines {
		if holder.FailureDomain == e.FailureDomain {
			choice.cost += sameDomainCost
		}
	}
	if remote {
		choice.cost += cachedCheckpointCost * float64(len(e.Cached))
	}
	choice.cost += p.slownessCost(w, e)
	choice.cost += p.delayToOtherModels(w, e, choice.loadTime)
	return choice, true
}

// delayToOtherModels returns the cost, in seconds, for requests for models that
// only this engine can load quickly. Requests that arrive during the load wait
// for half of it on average. Their delay is divided by the number of requests
// that the load serves.
func (p *servicePlan) delayToOtherModels(w wantedReplica, e *endpoint, loadTime time.Duration) float64 {
	served := max(1, float64(w.model.waiting), w.model.rate)
	perSecond := float64(p.coldRateAt(e)) / rateUnit
	return perSecond * loadTime.Seconds() * loadTime.Seconds() / 2 / served
}

// coldRateAt returns the rate of requests, in rateUnit, for models that no
// engine holds and that this engine can load without the weight store. If
// several engines can, each gets an equal part. The rate is an integer so that
// the sum doesn't depend on the order of the addends.
func (p *servicePlan) coldRateAt(e *endpoint) int {
	if p.coldRates == nil {
		p.countColdRates()
	}
	return p.coldRates[e.ID]
}

func (p *servicePlan) countColdRates() {
	p.coldRates = make(map[rpcore.EndpointID]int, len(p.engines))
	cold := make([][]*modelDemand, len(p.engines))
	for i, e := range p.engines {
		for name, place := range e.Cached {
			if m := p.models[name]; m != nil && len(m.replicaEngines) == 0 && m.rate > 0 && place != rpcore.PlaceRemote {
				m.checkpointCopies++
				cold[i] = append(cold[i], m)
			}
		}
	}
	for i, models := range cold {
		for _, m := range models {
			p.coldRates[p.engines[i].ID] += int(rateUnit * m.rate / float64(m.checkpointCopies))
		}
	}
}

// unverifiedLoadChoice returns a choice for an engine that has the checkpoint
// but whose content is not verified yet. Waiting for its report takes less time
// than loading from the weight store elsewhere.
func (p *servicePlan) unverifiedLoadChoice(w wantedReplica, e *endpoint) (loadChoice, bool) {
	p.state.requestReport(e)
	place := e.Cached[w.model.id.model]
	if place == "" || place == rpcore.PlaceRemote {
		return loadChoice{}, false
	}
	choice := loadChoice{engine: e, place: place, waitTime: reportInterval, loadTime: cmp.Or(w.model.spec.LoadTimes[place], defaultLoadTime)}
	choice.cost = (choice.waitTime + choice.loadTime).Seconds()
	return choice, true
}

// meanReplicaLoad returns the mean number of requests in progress at the
// engines that hold a model.
func (p *servicePlan) meanReplicaLoad(m *modelDemand) float64 {
	sum := 0
	for _, e := range m.replicaEngines {
		sum += p.requestsAtEngine[e.ID]
	}
	return float64(sum) / float64(max(1, len(m.replicaEngines)))
}
