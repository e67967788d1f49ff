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
	// planInterval is the time between two plans without news.
	planInterval = 250 * time.Millisecond
	// planDelay collects news that arrive together into one plan, and
	// planSpacing bounds the plans that demands cause, for each planModels
	// models.
	planDelay             = 5 * time.Millisecond
	minPlanInterval       = 15 * time.Millisecond
	modelsPerPlanInterval = 100
	// minReplicaRate is the rate, a second, of requests that one replica takes
	// while its engine still answers within the usual targets, where engines have
	// few slots. Others take replicaRateShare of their slots: prefill of the users'
	// usual prompts takes about 20 ms, so 16 a second are a third of an engine.
	minReplicaRate     = 8.0
	replicaRatePerSlot = 0.25
	// minReplicaLoad and replicaLoadShare are the same for the number of
	// requests in progress. Requests that take longer than usual, at slow engines
	// or in large batches, thus ask for more replicas at the same rate.
	minReplicaLoad     = 5.0
	replicaLoadPerSlot = 0.2
	// domainSpreadRate is the rate from which a model has a replica in each failure
	// domain, so that callers there are served while it is cut off.
	domainSpreadRate = 4.0
	// maxRelativeLoad is the part of the load of a model's engines that an engine may
	// have to get a further replica. Otherwise the replica would move the load
	// to engines that have as much, and push out a model for it.
	maxRelativeLoad = 0.5
	// surplusRateShare keeps a surplus replica while the others would get more than
	// this part of replicaRate.
	surplusRateShare = 0.5
	// initialReplicaRate is the rate assumed for each replica of a model that was
	// placed on several engines before any request arrived. It decays with
	// initialMemory once requests arrive.
	initialReplicaRate   = 2.0
	initialRateDecayTime = 5 * time.Second
	// minResidence keeps a new replica long enough to serve those that
	// waited for it, while more wait. startTime keeps it in any case: the requests
	// that waited are on their way to the engine, which turns away those that have
	// not begun when it gets an unload.
	minResidence     = 1500 * time.Millisecond
	requestStartTime = 400 * time.Millisecond
	// recentUseWindow is the time for which a replica that was used counts as in
	// use.
	recentUseWindow = 2 * time.Second
	// evictionCostPerRate converts the value of an evicted replica, in requests a
	// second, into seconds of load time.
	evictionCostPerRate = 6.0
	// maxEvictionCost is the cost, in seconds, up to which a replica makes room
	// for work that is not the most urgent: about that of a model with two
	// requests in three seconds.
	maxEvictionCost = 4.0
	// runningEvictionCost is the cost, in seconds, of evicting a replica that runs
	// requests: the engine waits for them.
	runningEvictionCost = 0.7
	// sameDomainCost is the cost, in seconds, of a further replica in a failure
	// domain that has one.
	sameDomainCost = 0.5
	// cachedCheckpointCost is the cost, in seconds, of each checkpoint that an engine has
	// already: checkpoints that are spread out can be loaded at the same time.
	cachedCheckpointCost = 0.01
	// defaultLoadTime is the load time of a model whose configuration gives none.
	defaultLoadTime = 6 * time.Second
	// listSettleTime is the time without a new endpoint after which the list counts
	// as complete. Engines enter it with their heartbeats, over a second apart;
	// before, a checkpoint seems to be nowhere that one of them has.
	listSettleTime = 3 * time.Second
	// preloadReserve is the number of loads from the weight store that are
	// kept free for models that requests wait for.
	preloadReserve = 1
)

// receivedDemand is the last demand of an instance.
type receivedDemand struct {
	Demand
	at time.Time
}

// planState is what the planner knows beyond the engines themselves.
type planState struct {
	demands     map[rpcore.InstanceID]*receivedDemand
	weightStore weightStore
	// orders holds the orders in flight.
	orders        map[rpcore.OrderID]*order
	planScheduled bool
	lastPlanAt    time.Time
	// reportsInFlight counts the questions to engines in flight.
	reportsInFlight int
	// lastChange counts the changes of engines that were ordered.
	lastChange      uint64
	expectedReadyAt map[modelID]time.Time
	// firstArrivalAt is when the first request for a model was heard of.
	firstArrivalAt time.Time
	// initialReplicas holds the replicas of each model when planning began.
	initialReplicas map[modelID]int
}

func (s *State) initPlan() {
	s.plan.demands = map[rpcore.InstanceID]*receivedDemand{}
	s.plan.orders = map[rpcore.OrderID]*order{}
	s.plan.expectedReadyAt = map[modelID]time.Time{}
	s.runAfter(planInterval, (*State).runPeriodicPlan)
}

func (s *State) beginPlanning() {
	s.plan.initialReplicas = nil
	s.plan.reportsInFlight = 0
	s.schedulePlan()
	if !s.demand.sending {
		s.sendDemand()
	}
}

// endPlanning forgets what only the holder of the lease may act on.
func (s *State) endPlanning() {
	if len(s.plan.orders) > 0 {
		s.emit(CancelOrders{})
	}
	clear(s.plan.demands)
	clear(s.plan.orders)
	clear(s.plan.expectedReadyAt)
	s.plan.weightStore.loads = nil
	for _, e := range s.endpoints {
		if e.engine.order != nil {
			e.engine.lastSentAt = s.now.Add(maxOrderDelay)
		}
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

// schedulePlan makes a plan after the news that arrive together.
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

// modelDemand is the demand of all instances for one model.
type modelDemand struct {
	id      modelID
	spec    ModelSpec
	rate    float64
	running int
	waiting int
	// waited is the sum of the times that the requests have waited.
	waited time.Duration
	rank   int
	// replicaEngines are the engines that hold or load the model.
	replicaEngines []*endpoint
	// checkpointCopies counts the engines that can load it without the weight store.
	checkpointCopies int
}

// desiredReplicas returns the number of replicas that the demand asks for.
func (p *servicePlan) desiredReplicas(d *modelDemand) int {
	if d.rate == 0 && d.waiting == 0 {
		return 0
	}
	byRate := math.Ceil(d.rate / p.replicaRateCapacity())
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

// servicePlan is one plan for the engines of a service.
type servicePlan struct {
	state   *State
	service string
	spec    *EngineSpec
	engines []*endpoint
	// domains is the number of failure domains with engines.
	domains int
	models  map[string]*modelDemand
	// runningModels holds the models with requests in progress.
	runningModels map[runningModel]bool
	// requestsAtEngine counts the requests in progress at the engines.
	requestsAtEngine map[rpcore.EndpointID]int
	enginePlans      map[rpcore.EndpointID]*enginePlan
	// coldRates is worked out when a load is considered; see relianceOn.
	coldRates map[rpcore.EndpointID]int
}

// runOrSchedulePlan makes a plan unless the last one is so recent that the demands of
// several instances are better taken together.
func (s *State) runOrSchedulePlan() {
	if s.now.Sub(s.plan.lastPlanAt) >= s.minPlanInterval() {
		s.runPlan()
		return
	}
	s.schedulePlan()
}

// minPlanInterval returns the least time between two plans.
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

// runPlan gives the orders that the demand asks for.
func (s *State) runPlan() {
	if !s.isPlanner() || s.config == nil || !s.endpointsKnown {
		return
	}
	s.plan.lastPlanAt = s.now
	s.dropOutdatedInput()
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

func (s *State) dropOutdatedInput() {
	for name, d := range s.plan.demands {
		if s.now.Sub(d.at) > demandTTL {
			delete(s.plan.demands, name)
		}
	}
	s.dropOutdatedWeightLoads()
}

func (s *State) newServicePlan(service *Service) *servicePlan {
	p := &servicePlan{
		state: s, service: service.Name, spec: service.Engine, models: make(map[string]*modelDemand, len(service.Engine.Models)),
		enginePlans: map[rpcore.EndpointID]*enginePlan{},
	}
	p.runningModels, p.requestsAtEngine = s.requestsInProgress()
	avoided := s.countEjectingInstances()
	for _, e := range s.endpointsOf(service.Name) {
		if !e.Leaving && !e.health.isEjected(s.now) && avoided[e.ID]*2 <= len(s.plan.demands) {
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

// countEjectingInstances counts the instances that give an endpoint no work.
func (s *State) countEjectingInstances() map[rpcore.EndpointID]int {
	counts := map[rpcore.EndpointID]int{}
	for _, d := range s.plan.demands {
		for _, id := range d.Ejected {
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
			if m := p.models[load.Model]; m != nil {
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
}

// addInitialDemand assumes demand for the models that the platform placed on several
// engines, until requests show what is asked for.
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
