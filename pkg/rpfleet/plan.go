package rpfleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

const (
	// planInterval is the time between two plans if nothing changes.
	planInterval = 250 * time.Millisecond
	// planDelay is the time in which changes are collected into one plan.
	// minPlanInterval is the minimum time between plans caused by demands, for
	// each modelsPerPlanInterval models of the configuration.
	planDelay             = 5 * time.Millisecond
	minPlanInterval       = 15 * time.Millisecond
	modelsPerPlanInterval = 100
	// minReplicaRate is the rate, in requests per second, that one replica can
	// take while its engine still responds within the usual targets, if the
	// engine has few slots. Larger engines take replicaRatePerSlot for each
	// slot. The usual prompts of the users need about 20 ms of prefill, so 16
	// requests a second are a third of an engine.
	minReplicaRate     = 8.0
	replicaRatePerSlot = 0.25
	// minReplicaLoad and replicaLoadPerSlot are the same limits for requests in
	// progress. At the same rate, slow requests and large batches thus get more
	// replicas.
	minReplicaLoad     = 5.0
	replicaLoadPerSlot = 0.2
	// domainSpreadRate is the rate, in requests per second, from which a model
	// gets a replica in each failure domain, so that callers in a domain are
	// still served while it is cut off.
	domainSpreadRate = 4.0
	// maxRelativeLoad is the maximum load of an engine that gets a further
	// replica, relative to the mean load of the engines that hold the model. At
	// a busier engine the replica would only move the load, and evict another
	// model.
	maxRelativeLoad = 0.5
	// surplusRateShare is a share of replicaRateCapacity. Evicting a surplus
	// replica costs nothing unless each of the others would get a higher rate
	// than this.
	surplusRateShare = 0.5
	// initialReplicaRate is the assumed rate for each replica of a model that
	// the platform placed on several engines before the first request. Once
	// requests arrive, it decays with the time constant initialRateDecayTime.
	initialReplicaRate   = 2.0
	initialRateDecayTime = 5 * time.Second
	// minResidence is how long a new replica stays while more requests wait for
	// the model. requestStartTime is how long it stays in any case: the
	// requests that waited for it are on their way, and an engine rejects
	// requests that have not begun when it gets an unload.
	minResidence     = 1500 * time.Millisecond
	requestStartTime = 400 * time.Millisecond
	// recentUseWindow is how long a replica counts as in use after a request.
	recentUseWindow = 2 * time.Second
	// evictionCostPerRate converts the rate of an evicted replica, in requests
	// per second, into seconds of load time.
	evictionCostPerRate = 6.0
	// maxEvictionCost is the maximum cost, in seconds, of an eviction, unless
	// requests of rank 0 wait for the model to load. A model with two requests
	// in three seconds costs about that much.
	maxEvictionCost = 4.0
	// runningEvictionCost is the cost, in seconds, of evicting a replica with
	// requests in progress: the engine waits for their end.
	runningEvictionCost = 0.7
	// sameDomainCost is the cost, in seconds, of a second replica in a failure
	// domain.
	sameDomainCost = 0.5
	// cachedCheckpointCost is the cost, in seconds, of each checkpoint that an
	// engine already has. It spreads checkpoints over engines, so that they can
	// be loaded at the same time.
	cachedCheckpointCost = 0.01
	// defaultLoadTime is the load time of a model if the configuration gives
	// none.
	defaultLoadTime = 6 * time.Second
	// listSettleTime is how long no endpoint must have joined before models
	// without a local checkpoint are preloaded. Engines enter the list with
	// their heartbeats, over a second apart; before, a checkpoint on one of
	// them can't be seen.
	listSettleTime = 3 * time.Second
	// preloadReserve is the number of concurrent loads from the weight store
	// that preloads leave free for models that requests wait for.
	preloadReserve = 1
)

// receivedDemand is the latest demand of an instance and when it arrived.
type receivedDemand struct {
	Demand
	at time.Time
	// engineTurn is the index of the endpoint with which the next LoadSummary begins.
	engineTurn int
}

// planState is the planner's state, beyond what it knows of each engine.
type planState struct {
	demands     map[rpcore.InstanceID]*receivedDemand
	weightStore weightStore
	// orders holds the orders that are not answered yet.
	orders map[rpcore.OrderID]*order
	// planScheduled says that an alarm for a plan is set.
	planScheduled bool
	lastPlanAt    time.Time
	// reportsInFlight counts the ReadReport effects that are not answered yet.
	reportsInFlight int
	// lastChange is the number of the last change of an engine; see
	// engineState.lastChange.
	lastChange uint64
	// expectedReadyAt is when a model is expected to be loaded on some engine.
	expectedReadyAt map[modelID]time.Time
	// firstArrivalAt is when the first demand with arrival rates came, or zero.
	firstArrivalAt time.Time
	// initialReplicas holds the number of replicas of each model when this
	// instance became the planner.
	initialReplicas map[modelID]int
	// peakRates holds the highest recent rate of each model with demand.
	peakRates map[modelID]peakRate
}

func (s *State) initPlan() {
	s.plan.demands = map[rpcore.InstanceID]*receivedDemand{}
	s.plan.orders = map[rpcore.OrderID]*order{}
	s.plan.expectedReadyAt = map[modelID]time.Time{}
	s.plan.peakRates = map[modelID]peakRate{}
	s.runAfter(planInterval, (*State).runPeriodicPlan)
}

// beginPlanning starts the work of the planner after this instance acquired the
// lease.
func (s *State) beginPlanning() {
	s.plan.initialReplicas = nil
	s.plan.reportsInFlight = 0
	s.schedulePlan()
	if !s.demand.sending {
		s.sendDemand()
	}
}

// endPlanning cancels orders in flight and drops what only the holder of the
// lease may use.
func (s *State) endPlanning() {
	if len(s.plan.orders) > 0 {
		s.emit(CancelOrders{})
	}
	for _, o := range s.plan.orders {
		s.recordOrderTime(o.engine.ID, s.now.Add(maxOrderDelay))
	}
	clear(s.plan.orders)
	clear(s.plan.expectedReadyAt)
	s.plan.weightStore.loads = nil
	for _, e := range s.endpoints {
		e.engine.order = nil
		e.engine.verified = false
		e.engine.foreignOrder = false
		e.engine.reservedFor = ""
	}
}

func (s *State) runPeriodicPlan() {
	s.runAfter(planInterval, (*State).runPeriodicPlan)
	s.runPlan()
}

// schedulePlan plans after planDelay, so that changes that arrive together
// cause one plan.
func (s *State) schedulePlan() {
	if s.plan.planScheduled || !s.isPlanner() {
		return
	}
	s.plan.planScheduled = true
	s.runAt(maxTime(s.now.Add(planDelay), s.plan.lastPlanAt.Add(s.minPlanInterval())), func(s *State) {
		s.plan.planScheduled = false
		s.runPlan()
	})
}

// modelDemand is the demand of all instances for one model, and its replicas.
type modelDemand struct {
	id   modelID
	spec ModelSpec
	// rate is in requests per second, and peak the highest recent rate.
	rate    float64
	peak    float64
	running int
	waiting int
	// waited is the total time that the waiting requests have waited.
	waited time.Duration
	// rank is the rank of the most urgent waiting request, or math.MaxInt.
	rank int
	// replicaEngines are the engines that hold or are loading the model.
	replicaEngines []*endpoint
	// checkpointCopies counts the engines that can load the model without the
	// weight store.
	checkpointCopies int
}

// desiredReplicas returns the number of replicas that the demand needs.
func (p *servicePlan) desiredReplicas(d *modelDemand) int {
	if d.rate == 0 && d.waiting == 0 {
		return 0
	}
	byRate := math.Ceil(d.peak / p.replicaRateCapacity())
	byLoad := math.Ceil(float64(d.running) / p.replicaLoadCapacity())
	n := max(1, int(max(byRate, byLoad)))
	if d.rate >= domainSpreadRate {
		n = max(n, p.domains)
	}
	return min(n, len(p.engines))
}

func (p *servicePlan) replicaRateCapacity() float64 {
	return max(minReplicaRate, replicaRatePerSlot*float64(p.spec.Slots))
}

func (p *servicePlan) replicaLoadCapacity() float64 {
	return max(minReplicaLoad, replicaLoadPerSlot*float64(p.spec.Slots))
}

// servicePlan is one run of the planner for the engines of a service.
type servicePlan struct {
	state   *State
	service string
	spec    *EngineSpec
	engines []*endpoint
	// domains is the number of failure domains with engines.
	domains int
	models  map[string]*modelDemand
	// runningModels holds the models with requests in progress, by engine.
	runningModels map[runningModel]bool
	// requestsAtEngine counts the requests in progress at each engine.
	requestsAtEngine map[rpcore.EndpointID]int
	enginePlans      map[rpcore.EndpointID]*enginePlan
	// coldRates is computed on the first call of coldRateAt.
	coldRates map[rpcore.EndpointID]int
}

// runOrSchedulePlan plans now, or later if the last plan is so recent that one
// plan for the demands of several instances is better.
func (s *State) runOrSchedulePlan() {
	if s.now.Sub(s.plan.lastPlanAt) >= s.minPlanInterval() {
		s.runPlan()
		return
	}
	s.schedulePlan()
}

// minPlanInterval returns the minimum time between two plans for the models of
// the configuration.
func (s *State) minPlanInterval() time.Duration {
	models := 0
	if s.config != nil {
		for _, service := range s.config.Services {
			if service.Engine != nil {
				models += len(service.Engine.Models)
			}
		}
	}
	return minPlanInterval * time.Duration(max(1, models/modelsPerPlanInterval))
}

// runPlan compares the demand with what the engines hold and sends orders.
func (s *State) runPlan() {
	if !s.isPlanner() || s.config == nil || !s.endpointsKnown {
		return
	}
	s.plan.lastPlanAt = s.now
	s.dropOutdatedPlanInput()
	clear(s.plan.expectedReadyAt)
	for _, name := range sortedKeys(s.config.Services) {
		service := s.config.Services[name]
		if service.Engine == nil {
			continue
		}
		p := s.newServicePlan(service)
		p.orderNeededAdapters()
		p.orderLoads()
	}
}

func (s *State) dropOutdatedPlanInput() {
	s.dropOutdatedDemands()
	s.dropOutdatedWeightLoads()
}

func (s *State) newServicePlan(service *Service) *servicePlan {
	p := &servicePlan{
		state: s, service: service.Name, spec: service.Engine, models: make(map[string]*modelDemand, len(service.Engine.Models)),
		enginePlans: map[rpcore.EndpointID]*enginePlan{},
	}
	p.runningModels, p.requestsAtEngine = s.requestsInProgress()
	avoiding := s.countAvoidingInstances()
	for _, e := range s.endpointsOf(service.Name) {
		if !e.Leaving && !e.health.isEjected(s.now) && avoiding[e.ID]*2 <= len(s.plan.demands) {
			p.engines = append(p.engines, e)
		}
	}
	for name, spec := range service.Engine.Models {
		p.models[name] = &modelDemand{id: modelID{service.Name, name}, spec: spec, rank: math.MaxInt}
	}
	domains := map[rpcore.FailureDomain]bool{}
	for _, e := range p.engines {
		domains[e.FailureDomain] = true
		s.requestReport(e)
	}
	p.domains = len(domains)
	p.collectReplicaEngines()
	p.countDemand()
	return p
}

// countAvoidingInstances counts, for each endpoint, the instances that have
// ejected it or are held off by it.
func (s *State) countAvoidingInstances() map[rpcore.EndpointID]int {
	counts := map[rpcore.EndpointID]int{}
	for _, d := range s.plan.demands {
		for _, id := range d.Ejected {
			counts[id]++
		}
		for _, id := range d.Extension.HeldOff {
			counts[id]++
		}
	}
	return counts
}

func (p *servicePlan) collectReplicaEngines() {
	for _, e := range p.engines {
		for name := range e.engine.models {
			if m := p.models[name]; m != nil {
				m.replicaEngines = append(m.replicaEngines, e)
			}
		}
		if m := p.models[e.engine.loadingModel()]; m != nil && e.engine.models[m.id.model] == nil {
			m.replicaEngines = append(m.replicaEngines, e)
		}
	}
	for _, m := range p.models {
		slices.SortFunc(m.replicaEngines, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	if s := p.state; s.plan.initialReplicas == nil {
		s.plan.initialReplicas = map[modelID]int{}
		for _, m := range p.models {
			s.plan.initialReplicas[m.id] = len(m.replicaEngines)
		}
	}
}

func (p *servicePlan) countDemand() {
	s := p.state
	for _, name := range sortedKeys(s.plan.demands) {
		d := s.plan.demands[name]
		for _, rate := range d.Rates {
			if m := p.models[rate.Model]; m != nil && rate.Service == p.service {
				m.rate += float64(max(rate.Fast, rate.Slow)) / rateUnit
			}
		}
		for _, load := range d.InFlight {
			model, _ := load.modelAndAdapter()
			if m := p.models[model]; m != nil {
				m.running += load.Count
			}
		}
		for _, need := range d.Needs {
			if m := p.models[need.Model]; m != nil && need.Service == p.service {
				m.waiting += need.Waiting
				m.waited += need.Waited
				m.rank = min(m.rank, need.Rank)
			}
		}
	}
	p.addInitialDemand()
	p.holdPeaks()
}

// addInitialDemand assumes demand for models that the platform placed on
// several engines, until requests show the real demand.
func (p *servicePlan) addInitialDemand() {
	s := p.state
	weight := 1.0
	if !s.plan.firstArrivalAt.IsZero() {
		weight = rpreducer.Decay(s.now.Sub(s.plan.firstArrivalAt), initialRateDecayTime)
	}
	for _, m := range p.models {
		if n := s.plan.initialReplicas[m.id]; n > 1 {
			m.rate = max(m.rate, weight*initialReplicaRate*float64(n))
		}
	}
}
