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
	// planPause collects news that arrive together into one plan, and
	// planSpacing bounds the plans that demands cause, for each planModels
	// models.
	planPause   = 5 * time.Millisecond
	planSpacing = 15 * time.Millisecond
	planModels  = 100
	// leastReplicaRate is the rate, a second, of requests that one replica takes
	// while its engine still answers within the usual targets, where engines have
	// few slots. Others take replicaRateShare of their slots: prefill of the users'
	// usual prompts takes about 20 ms, so 16 a second are a third of an engine.
	leastReplicaRate = 8.0
	replicaRateShare = 0.25
	// leastReplicaLoad and replicaLoadShare are the same for the number of
	// requests in progress. Requests that take longer than usual, at slow engines
	// or in large batches, thus ask for more replicas at the same rate.
	leastReplicaLoad = 5.0
	replicaLoadShare = 0.2
	// spreadRate is the rate from which a model has a replica in each failure
	// domain, so that callers there are served while it is cut off.
	spreadRate = 4.0
	// relief is the part of the load of a model's engines that an engine may
	// have to get a further replica. Otherwise the replica would move the load
	// to engines that have as much, and push out a model for it.
	relief = 0.5
	// spareRate keeps a surplus replica while the others would get more than
	// this part of replicaRate.
	spareRate = 0.5
	// initialRate is the rate assumed for each replica of a model that was
	// placed on several engines before any request arrived. It decays with
	// initialMemory once requests arrive.
	initialRate   = 2.0
	initialMemory = 5 * time.Second
	// leastResidence keeps a new replica long enough to serve those that
	// waited for it, while more wait. startTime keeps it in any case: the requests
	// that waited are on their way to the engine, which turns away those that have
	// not begun when it gets an unload.
	leastResidence = 1500 * time.Millisecond
	startTime      = 400 * time.Millisecond
	// recentUse is the time for which a replica that was used counts as in
	// use.
	recentUse = 2 * time.Second
	// evictionWeight converts the value of an evicted replica, in requests a
	// second, into seconds of load time.
	evictionWeight = 6.0
	// maxEvictionCost is the cost, in seconds, up to which a replica makes room
	// for work that is not the most urgent: about that of a model with two
	// requests in three seconds.
	maxEvictionCost = 4.0
	// runningCost is the cost, in seconds, of evicting a replica that runs
	// requests: the engine waits for them.
	runningCost = 0.7
	// spreadCost is the cost, in seconds, of a further replica in a failure
	// domain that has one.
	spreadCost = 0.5
	// cachedCost is the cost, in seconds, of each checkpoint that an engine has
	// already: checkpoints that are spread out can be loaded at the same time.
	cachedCost = 0.01
	// assumedLoad is the load time of a model whose configuration gives none.
	assumedLoad = 6 * time.Second
	// listSettled is the time without a new endpoint after which the list counts
	// as complete. Engines enter it with their heartbeats, over a second apart;
	// before, a checkpoint seems to be nowhere that one of them has.
	listSettled = 3 * time.Second
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
	demands map[rpcore.InstanceID]*receivedDemand
	weights weightStore
	// orders holds the orders in flight.
	orders map[rpcore.OrderID]*order
	due    bool
	at     time.Time
	// reports counts the questions to engines in flight.
	reports int
	// change counts the changes of engines that were ordered.
	change   uint64
	expected map[modelID]time.Time
	// firstArrival is when the first request for a model was heard of.
	firstArrival time.Time
	// initial holds the replicas of each model when planning began.
	initial map[modelID]int
}

func (s *State) startPlan() {
	s.plan.demands = map[rpcore.InstanceID]*receivedDemand{}
	s.plan.orders = map[rpcore.OrderID]*order{}
	s.plan.expected = map[modelID]time.Time{}
	s.after(planInterval, (*State).planTick)
}

func (s *State) planBegins() {
	s.plan.initial = nil
	s.plan.reports = 0
	s.planSoon()
	if !s.demand.asking {
		s.sendDemand()
	}
}

// planEnds forgets what only the holder of the lease may act on.
func (s *State) planEnds() {
	if len(s.plan.orders) > 0 {
		s.emit(CancelOrders{})
	}
	clear(s.plan.demands)
	clear(s.plan.orders)
	clear(s.plan.expected)
	s.plan.weights.loads = nil
	for _, e := range s.endpoints {
		if e.engine.order != nil {
			e.engine.sentAt = s.now.Add(orderFlight)
		}
		e.engine.order = nil
		e.engine.verified = false
		e.engine.foreignOrder = false
		e.engine.plannedLoad = ""
	}
}

func (s *State) planTick() {
	s.after(planInterval, (*State).planTick)
	s.runPlan()
}

// planSoon makes a plan after the news that arrive together.
func (s *State) planSoon() {
	if s.plan.due || !s.leading() {
		return
	}
	s.plan.due = true
	s.at(maxTime(s.now.Add(planPause), s.plan.at.Add(s.planSpacing())), func(s *State) {
		s.plan.due = false
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
	// holders are the engines that hold or load the model.
	holders []*endpoint
	// copies counts the engines that can load it without the weight store.
	copies int
}

// desired returns the number of replicas that the demand asks for.
func (p *servicePlan) desired(d *modelDemand) int {
	if d.rate == 0 && d.waiting == 0 {
		return 0
	}
	byRate := math.Ceil(d.rate / p.replicaRate())
	byLoad := math.Ceil(float64(d.running) / p.replicaLoad())
	n := max(1, int(max(byRate, byLoad)))
	if d.rate >= spreadRate {
		n = max(n, p.domains)
	}
	return min(n, len(p.engines))
}

func (p *servicePlan) replicaRate() float64 {
	return max(leastReplicaRate, replicaRateShare*float64(p.spec.Slots))
}

func (p *servicePlan) replicaLoad() float64 {
	return max(leastReplicaLoad, replicaLoadShare*float64(p.spec.Slots))
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
	// running holds the models with requests in progress.
	running map[runningModel]bool
	// load counts the requests in progress at the engines.
	load        map[rpcore.EndpointID]int
	enginePlans map[rpcore.EndpointID]*enginePlan
	// reliance is worked out when a load is considered; see relianceOn.
	reliance map[rpcore.EndpointID]int
}

// planNow makes a plan unless the last one is so recent that the demands of
// several instances are better taken together.
func (s *State) planNow() {
	if s.now.Sub(s.plan.at) >= s.planSpacing() {
		s.runPlan()
		return
	}
	s.planSoon()
}

// planSpacing returns the least time between two plans.
func (s *State) planSpacing() time.Duration {
	models := 0
	if s.config != nil {
		for _, service := range s.config.Services {
			if service.Engine != nil {
				models += len(service.Engine.Models)
			}
		}
	}
	return planSpacing * time.Duration(max(1, models/planModels))
}

// runPlan gives the orders that the demand asks for.
func (s *State) runPlan() {
	if !s.leading() || s.config == nil || !s.listed {
		return
	}
	s.plan.at = s.now
	s.forgetOld()
	clear(s.plan.expected)
	for _, name := range sortedKeys(s.config.Services) {
		service := s.config.Services[name]
		if service.Engine == nil {
			continue
		}
		p := s.newServicePlan(service)
		p.adapters()
		p.loads()
	}
}

func (s *State) forgetOld() {
	for name, d := range s.plan.demands {
		if s.now.Sub(d.at) > demandMemory {
			delete(s.plan.demands, name)
		}
	}
	s.forgetWeightLoads()
}

func (s *State) newServicePlan(service *Service) *servicePlan {
	p := &servicePlan{
		state: s, service: service.Name, spec: service.Engine, models: make(map[string]*modelDemand, len(service.Engine.Models)),
		enginePlans: map[rpcore.EndpointID]*enginePlan{},
	}
	p.running, p.load = s.requestsInProgress()
	avoided := s.avoided()
	for _, e := range s.endpointsOf(service.Name) {
		if !e.Leaving && !e.health.ejected(s.now) && avoided[e.ID]*2 <= len(s.plan.demands) {
			p.engines = append(p.engines, e)
		}
	}
	for name, spec := range service.Engine.Models {
		p.models[name] = &modelDemand{id: modelID{service.Name, name}, spec: spec, rank: math.MaxInt}
	}
	domains := map[rpcore.FailureDomain]bool{}
	for _, e := range p.engines {
		domains[e.FailureDomain] = true
		s.askReport(e)
	}
	p.domains = len(domains)
	p.countHolders()
	p.countDemand()
	return p
}

// avoided counts the instances that give an endpoint no work.
func (s *State) avoided() map[rpcore.EndpointID]int {
	counts := map[rpcore.EndpointID]int{}
	for _, d := range s.plan.demands {
		for _, id := range d.Avoid {
			counts[id]++
		}
	}
	return counts
}

func (p *servicePlan) countHolders() {
	for _, e := range p.engines {
		for name := range e.engine.models {
			if m := p.models[name]; m != nil {
				m.holders = append(m.holders, e)
			}
		}
		if m := p.models[e.engine.loading()]; m != nil && e.engine.models[m.id.model] == nil {
			m.holders = append(m.holders, e)
		}
	}
	for _, m := range p.models {
		slices.SortFunc(m.holders, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	if s := p.state; s.plan.initial == nil {
		s.plan.initial = map[modelID]int{}
		for _, m := range p.models {
			s.plan.initial[m.id] = len(m.holders)
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
	p.addInitial()
}

// addInitial assumes demand for the models that the platform placed on several
// engines, until requests show what is asked for.
func (p *servicePlan) addInitial() {
	s := p.state
	weight := 1.0
	if !s.plan.firstArrival.IsZero() {
		weight = rpreducer.Decay(s.now.Sub(s.plan.firstArrival), initialMemory)
	}
	for _, m := range p.models {
		if n := s.plan.initial[m.id]; n > 1 {
			m.rate = max(m.rate, weight*initialRate*float64(n))
		}
	}
}
