package rpfleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
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
	// replicaRate is the rate, a second, of requests that one replica takes
	// while its engine still answers within the usual targets. Prefill of the
	// users' usual prompts takes about 20 ms, so this is a fifth of an engine.
	replicaRate = 8.0
	// replicaLoad is the number of requests in progress that one replica takes.
	// Requests that take longer than usual, at slow engines or in large batches,
	// thus ask for more replicas at the same rate.
	replicaLoad = 5.0
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
	// waited for it.
	leastResidence = 1500 * time.Millisecond
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
	// assumedLoad is the load time of a model whose configuration gives none.
	assumedLoad = 6 * time.Second
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
	// weightLoads holds the ends of the loads from the weight store.
	weightLoads []time.Time
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
	clear(s.plan.demands)
	clear(s.plan.orders)
	clear(s.plan.expected)
	s.plan.weightLoads = nil
	for _, e := range s.endpoints {
		if e.engine.order != nil {
			e.engine.sentAt = s.now.Add(orderFlight)
		}
		e.engine.order = nil
		e.engine.verified = false
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
		Leading:    true,
		Epoch:      s.lease.row.Epoch,
		Change:     s.plan.change,
		Instances:  max(len(s.plan.demands), s.demand.instances),
		Engines:    s.recentContents(d.Seen),
		Expected:   s.expectedModels(d.Needs),
		List:       s.listNews(d.ListSeen),
		CheckStore: s.lease.failures > 0 && s.rng.Float64()*float64(len(s.plan.demands)) < storeWitnesses,
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
		if e.engine.change <= seen || s.now.Sub(e.engine.orderedAt) > contentLag+time.Second {
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
}

// desired returns the number of replicas that the demand asks for.
func (d *modelDemand) desired(engines int) int {
	if d.rate == 0 && d.waiting == 0 {
		return 0
	}
	byRate := math.Ceil(d.rate / replicaRate)
	byLoad := math.Ceil(float64(d.running) / replicaLoad)
	return min(max(1, int(max(byRate, byLoad))), engines)
}

// servicePlan is one plan for the engines of a service.
type servicePlan struct {
	state   *State
	service string
	spec    *EngineSpec
	engines []*endpoint
	models  map[string]*modelDemand
	// running holds the models with requests in progress.
	running map[runningModel]bool
	// load counts the requests in progress at the engines.
	load        map[rpcore.EndpointID]int
	enginePlans map[rpcore.EndpointID]*enginePlan
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
	s.plan.weightLoads = slices.DeleteFunc(s.plan.weightLoads, func(end time.Time) bool { return !end.After(s.now) })
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
	for _, e := range p.engines {
		s.askReport(e)
	}
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
		weight = math.Exp(-float64(s.now.Sub(s.plan.firstArrival)) / float64(initialMemory))
	}
	for _, m := range p.models {
		if n := s.plan.initial[m.id]; n > 1 {
			m.rate = max(m.rate, weight*initialRate*float64(n))
		}
	}
}

// wanted is a replica to load, in the order of urgency.
type wanted struct {
	model *modelDemand
	// waiting says that requests wait that no replica can take.
	waiting bool
	// preload says that nothing asks for the model yet.
	preload bool
}

func (p *servicePlan) wanted() []wanted {
	var list []wanted
	for _, name := range sortedKeys(p.models) {
		m := p.models[name]
		switch have := len(m.holders); {
		case have == 0 && m.waiting > 0:
			list = append(list, wanted{model: m, waiting: true})
		case have > 0 && have < m.desired(len(p.engines)):
			list = append(list, wanted{model: m})
		case have == 0 && !p.atHand(m):
			list = append(list, wanted{model: m, preload: true})
		}
	}
	slices.SortStableFunc(list, compareWanted)
	return list
}

func compareWanted(a, b wanted) int {
	return cmp.Or(
		compareBool(a.preload, b.preload),
		cmp.Compare(a.urgency(), b.urgency()),
		cmp.Compare(b.pressure(), a.pressure()),
		cmp.Compare(b.model.rate, a.model.rate),
		cmp.Compare(b.model.spec.Adapters, a.model.spec.Adapters),
	)
}

// urgency is the rank of the waiting requests. A model whose replicas are
// overloaded counts as one that urgent requests wait for.
func (w wanted) urgency() int {
	if !w.waiting && !w.preload {
		return 0
	}
	return w.model.rank
}

// pressure weighs the number of requests that a load would serve with the square
// of the time that they have waited, so that none waits for ever behind models
// that more requests ask for.
func (w wanted) pressure() float64 {
	if w.model.waiting == 0 {
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

// atHand reports whether an engine can load a model without the weight store.
func (p *servicePlan) atHand(m *modelDemand) bool {
	for _, e := range p.engines {
		if place := e.Cached[m.id.model]; place == rpcore.PlaceMemory || place == rpcore.PlaceDisk {
			return true
		}
	}
	return false
}

// loads orders the loads that are wanted, one at each engine at most.
func (p *servicePlan) loads() {
	s := p.state
	ahead := 0
	for _, m := range p.models {
		s.expectHolders(m)
	}
	for _, w := range p.wanted() {
		best := p.cheapest(w)
		if best.engine == nil {
			if w.waiting && p.allVerified() && !p.atHand(w.model) {
				ahead++
				s.plan.expected[w.model.id] = s.now.Add(p.queuedLoad(ahead))
			}
			continue
		}
		if w.waiting {
			s.plan.expected[w.model.id] = s.now.Add(best.wait + best.load)
		}
		p.carryOut(w, best)
	}
}

// allVerified reports whether all engines have said what they hold. Before, it
// is not known how long a load takes.
func (p *servicePlan) allVerified() bool {
	return !slices.ContainsFunc(p.engines, func(e *endpoint) bool { return !e.engine.verified })
}

// expectHolders says when a model that is being loaded is ready.
func (s *State) expectHolders(m *modelDemand) {
	for _, e := range m.holders {
		readyAt := s.now.Add(e.engine.wait(s.now))
		if r := e.engine.models[m.id.model]; r != nil {
			readyAt = r.readyAt
			if readyAt.After(s.now) && !r.dueAt.IsZero() {
				readyAt = maxTime(r.dueAt, s.now)
			}
		}
		if known, ok := s.plan.expected[m.id]; !ok || readyAt.Before(known) {
			s.plan.expected[m.id] = readyAt
		}
	}
}

// queuedLoad estimates the end of a load that waits for the weight store.
func (p *servicePlan) queuedLoad(ahead int) time.Duration {
	return assumedLoad * time.Duration(1+(ahead+p.state.policy.WeightLoads-1)/p.state.policy.WeightLoads)
}

// loadChoice is a way to load a model.
type loadChoice struct {
	engine *endpoint
	victim string
	place  rpcore.CheckpointPlace
	// wait is the time until the engine takes the order.
	wait time.Duration
	load time.Duration
	cost float64
}

// cheapest returns the best engine for a load. Its engine is nil where no load
// can begin.
func (p *servicePlan) cheapest(w wanted) loadChoice {
	var best loadChoice
	for _, e := range p.engines {
		choice, ok := p.choice(w, e)
		if ok && (best.engine == nil || choice.cost < best.cost) {
			best = choice
		}
	}
	return best
}

func (p *servicePlan) choice(w wanted, e *endpoint) (loadChoice, bool) {
	s := p.state
	m := w.model
	if !e.engine.verified {
		s.askReport(e)
		return loadChoice{}, false
	}
	if !w.waiting && !w.preload && float64(p.load[e.ID]) > relief*p.holderLoad(m) {
		return loadChoice{}, false
	}
	if e.engine.models[m.id.model] != nil || e.engine.content[m.id.model] != nil || e.engine.plannedLoad != "" && e.engine.plannedLoad != m.id.model {
		return loadChoice{}, false
	}
	choice := loadChoice{engine: e, place: cmp.Or(e.Cached[m.id.model], rpcore.PlaceRemote)}
	remote := choice.place == rpcore.PlaceRemote
	if remote && !p.storeFree(w.preload) {
		return loadChoice{}, false
	}
	choice.load = cmp.Or(m.spec.LoadTimes[choice.place], assumedLoad)
	choice.wait = e.engine.wait(s.now)
	victim, value, ok := p.victim(w, e)
	if !ok || value > maxEvictionCost && (w.model.rank > 0 || !w.waiting) {
		return loadChoice{}, false
	}
	choice.victim = victim
	choice.cost = (choice.wait + choice.load).Seconds() + value
	for _, holder := range m.holders {
		if holder.FailureDomain == e.FailureDomain {
			choice.cost += spreadCost
		}
	}
	if remote {
		// Checkpoints that are spread out can be loaded at the same time.
		choice.cost += float64(len(e.Cached)) / 100
	}
	return choice, true
}

// holderLoad returns the mean number of requests in progress at the engines that
// hold a model.
func (p *servicePlan) holderLoad(m *modelDemand) float64 {
	sum := 0
	for _, e := range m.holders {
		sum += p.load[e.ID]
	}
	return float64(sum) / float64(max(1, len(m.holders)))
}

// storeFree reports whether one more load from the weight store runs at full
// speed.
func (p *servicePlan) storeFree(preload bool) bool {
	limit := p.state.policy.WeightLoads
	if preload {
		limit -= preloadReserve
	}
	return len(p.state.plan.weightLoads) < limit
}

// enginePlan is what a plan needs of an engine, worked out once for all loads.
type enginePlan struct {
	free      rpdocument.Bytes
	evictable []evictable
}

// evictable is a model that an engine may unload, with the cost of that in
// seconds.
type evictable struct {
	name   string
	memory rpdocument.Bytes
	cost   float64
	// shared says that other engines hold the model, or that it is asked for
	// often.
	shared bool
}

func (p *servicePlan) enginePlan(e *endpoint) *enginePlan {
	if known := p.enginePlans[e.ID]; known != nil {
		return known
	}
	plan := &enginePlan{free: p.freeMemory(e)}
	for _, name := range sortedKeys(e.engine.content) {
		if candidate, ok := p.evictable(e, name); ok {
			plan.evictable = append(plan.evictable, candidate)
		}
	}
	p.enginePlans[e.ID] = plan
	return plan
}

// victim returns the model to unload at an engine so that another one fits, or
// "" where there is room. It returns false where none may be unloaded. A
// preload pushes out no model that is shared.
func (p *servicePlan) victim(w wanted, e *endpoint) (string, float64, bool) {
	need := w.model.spec.Memory
	plan := p.enginePlan(e)
	if plan.free >= need {
		return "", 0, true
	}
	var best *evictable
	for i := range plan.evictable {
		candidate := &plan.evictable[i]
		if plan.free+candidate.memory < need || w.preload && candidate.shared {
			continue
		}
		if best == nil || candidate.cost < best.cost {
			best = candidate
		}
	}
	if best == nil {
		return "", 0, false
	}
	return best.name, best.cost, true
}

// evictable returns the cost of unloading a model at an engine. It returns false
// where the model must stay.
func (p *servicePlan) evictable(e *endpoint, name string) (evictable, bool) {
	s := p.state
	candidate := evictable{name: name, memory: p.spec.Models[name].Memory}
	r := e.engine.models[name]
	m := p.models[name]
	if m == nil || r == nil {
		return candidate, true
	}
	have := len(m.holders)
	switch {
	case r.readyAt.After(s.now) || s.now.Sub(r.loadedAt) < leastResidence && m.waiting > 0:
		return candidate, false
	case have <= 1 && m.waiting > 0:
		return candidate, false
	}
	candidate.shared = have > 1 || m.rate > replicaRate/2
	if left := float64(have - 1); left == 0 || m.rate/left > spareRate*replicaRate {
		candidate.cost = evictionWeight * m.rate / float64(have)
	}
	if p.running[runningModel{e.ID, name}] {
		candidate.cost += runningCost
	}
	if s.now.Sub(r.usedAt) < recentUse {
		candidate.cost += runningCost / 2
	}
	return candidate, true
}

// runningModel is a model with requests in progress at an engine.
type runningModel struct {
	endpoint rpcore.EndpointID
	model    string
}

// requestsInProgress returns which models run where, and how many requests each
// endpoint has.
func (s *State) requestsInProgress() (map[runningModel]bool, map[rpcore.EndpointID]int) {
	running := map[runningModel]bool{}
	load := map[rpcore.EndpointID]int{}
	for _, d := range s.plan.demands {
		for _, at := range d.InFlight {
			running[runningModel{at.Endpoint, at.Model}] = true
			load[at.Endpoint] += at.Count
		}
	}
	return running, load
}
