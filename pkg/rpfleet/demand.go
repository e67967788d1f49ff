package rpfleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// rateUnit converts a rate a second into the unit of ModelRate.
const rateUnit = 1000

const (
	// demandInterval is the time between two demands. The planner's view of
	// the load is as old as that.
	demandInterval = 500 * time.Millisecond
	// demandSpacing is the least time between two demands where new needs
	// come up.
	demandSpacing = 20 * time.Millisecond
	// needInterval is the time between two demands while requests wait.
	needInterval = 150 * time.Millisecond
	// demandCalls, needCalls and newNeedCalls bound the demands a second of all
	// instances: the regular ones, those while requests wait, and those for a
	// new need. One costs the planner about a millisecond of a small machine.
	demandCalls  = 100.0
	needCalls    = 200.0
	newNeedCalls = 1000.0
	// postAfter is the time without an answer of the planner after which needs go
	// to the store, and postInterval that between two of them.
	postAfter    = time.Second
	postInterval = time.Second
	// demandMemory is how long the demand of an instance counts that sends no
	// more.
	demandMemory = 3 * time.Second
	// fastWindow and slowWindow are the time constants of the arrival rates.
	// The fast one finds models whose demand begins, the slow one keeps the
	// replicas of those that are asked for now and then.
	fastWindow = 3 * time.Second
	slowWindow = 20 * time.Second
	// forgottenRate is the rate, in requests in 1000 seconds, below which a
	// model is not reported.
	forgottenRate = 5
)

type modelID struct {
	service string
	model   string
}

func (a modelID) compare(b modelID) int {
	if c := strings.Compare(a.service, b.service); c != 0 {
		return c
	}
	return strings.Compare(a.model, b.model)
}

type arrivals struct {
	fast decayingRate
	slow decayingRate
}

// demandState is this instance's demand and what the planner told it.
type demandState struct {
	arrivals map[modelID]*arrivals
	// asking says that a call is under way, again that another one is due.
	asking bool
	again  bool
	sentAt time.Time
	// postedAt is when the last demand was left in the store.
	postedAt time.Time
	// fullAt is when the last full demand was sent.
	fullAt time.Time
	// epoch, seen and listSeen are those of the last placement.
	epoch    uint64
	seen     uint64
	listSeen uint64
	// storeReadAt is when the store last answered a call about the lease.
	storeReadAt time.Time
	// expected holds when models will be loaded.
	expected    map[modelID]time.Time
	placementAt time.Time
	instances   int
	instancesAt time.Time
	// promised holds the models whose requests were told to come back, until
	// then.
	promised map[modelID]promise
}

// promise is what callers were told about a model that is not loaded.
type promise struct {
	rank  int
	until time.Time
}

// promiseModel keeps up the demand for a model whose request is refused with a
// time to come back.
func (s *State) promiseModel(r *request, retryAfter time.Duration) {
	if r.engine == nil || retryAfter <= 0 {
		return
	}
	id := modelID{r.service, r.Model}
	made, ok := s.demand.promised[id]
	if !ok {
		made.rank = r.route.Rank
	}
	made.rank = min(made.rank, r.route.Rank)
	made.until = maxTime(made.until, s.now.Add(min(retryAfter, maxPromise)))
	s.demand.promised[id] = made
}

// maxPromise bounds how long a refused request counts as one that waits.
// Callers come back within a third of the time that they have left.
const maxPromise = 5 * time.Second

// scaled returns an interval for the present number of instances, so that the
// planner gets no more than the given number of calls a second.
func (s *State) scaled(least time.Duration, calls float64) time.Duration {
	return max(least, time.Duration(float64(s.demand.instances)/calls*float64(time.Second)))
}

func (s *State) startDemand() {
	s.demand.arrivals = map[modelID]*arrivals{}
	s.demand.expected = map[modelID]time.Time{}
	s.demand.promised = map[modelID]promise{}
	s.after(demandInterval, (*State).demandTick)
}

func (s *State) countArrival(r *request) {
	if r.engine == nil {
		return
	}
	id := modelID{r.service, r.Model}
	a := s.demand.arrivals[id]
	if a == nil {
		a = &arrivals{fast: decayingRate{window: fastWindow}, slow: decayingRate{window: slowWindow}}
		s.demand.arrivals[id] = a
	}
	a.fast.add(s.now, 1)
	a.slow.add(s.now, 1)
}

// expectedReplica returns when the model of a request will be loaded, where the
// planner has said so.
func (s *State) expectedReplica(r *request) (time.Time, bool) {
	at, ok := s.demand.expected[modelID{r.service, r.Model}]
	return at, ok
}

// need tells the planner that a request waits.
func (s *State) need() {
	if s.demand.asking {
		s.demand.again = true
		return
	}
	due := s.demand.sentAt.Add(s.scaled(demandSpacing, newNeedCalls))
	if !s.now.Before(due) {
		s.sendDemand()
		return
	}
	if !s.demand.again {
		s.demand.again = true
		s.at(due, (*State).demandAgain)
	}
}

func (s *State) demandAgain() {
	if s.demand.again && !s.demand.asking {
		s.sendDemand()
	}
}

// demandTick repeats the demand, more often while requests wait.
func (s *State) demandTick() {
	interval := s.scaled(demandInterval, demandCalls)
	if s.hasNeeds() {
		interval = s.scaled(needInterval, needCalls)
	}
	s.after(interval, (*State).demandTick)
	if !s.demand.asking && s.now.Sub(s.demand.sentAt) >= interval-demandSpacing {
		s.sendDemand()
	}
}

func (s *State) hasNeeds() bool {
	if len(s.demand.promised) > 0 {
		return true
	}
	for _, queue := range s.waiting {
		for _, r := range queue {
			if r.engine != nil {
				return true
			}
		}
	}
	return false
}

// sendDemand tells the planner what is asked for here. The planner takes its
// own demand in at once.
func (s *State) sendDemand() {
	s.demand.again = false
	s.demand.sentAt = s.now
	if s.leading() {
		demand := s.currentDemand()
		s.takeDemand(demand)
		s.planNow()
		s.adoptExpected(s.expectedModels(demand.Needs))
		s.countInstances(len(s.plan.demands))
		s.demand.placementAt = s.now
		s.adoptOthers(s.othersOf(s.self.Instance))
		s.dispatchAll()
		return
	}
	if holder := s.lease.row.Holder; holder == "" || holder == s.self.Instance || !s.lease.row.Address.IsValid() {
		return
	}
	s.demand.asking = true
	s.emit(SendDemand{Address: s.lease.row.Address, Demand: s.currentDemand()})
}

func (s *State) currentDemand() Demand {
	d := Demand{
		Instance: s.self.Instance, Epoch: s.demand.epoch, Seen: s.demand.seen, ListSeen: s.demand.listSeen, Needs: s.currentNeeds(),
		StoreAge: s.now.Sub(maxTime(s.listReadAt, s.demand.storeReadAt)),
	}
	if s.now.Sub(s.demand.fullAt) < demandInterval-demandSpacing {
		return d
	}
	s.demand.fullAt = s.now
	d.Full = true
	for _, id := range sortedModels(s.demand.arrivals) {
		a := s.demand.arrivals[id]
		rate := ModelRate{
			Service: id.service, Model: id.model,
			Fast: int(rateUnit * a.fast.perSecond(s.now)), Slow: int(rateUnit * a.slow.perSecond(s.now)),
		}
		if max(rate.Fast, rate.Slow) < forgottenRate {
			delete(s.demand.arrivals, id)
			continue
		}
		d.Rates = append(d.Rates, rate)
	}
	for _, e := range s.sortedEndpoints() {
		d.addEndpoint(e, s.now)
	}
	return d
}

func (d *Demand) addEndpoint(e *endpoint, now time.Time) {
	if e.health.ejected(now) {
		d.Avoid = append(d.Avoid, e.ID)
	}
	withModel := 0
	for _, model := range sortedKeys(e.inFlightModels) {
		d.InFlight = append(d.InFlight, EndpointLoad{Endpoint: e.ID, Model: model, Count: e.inFlightModels[model]})
		withModel += e.inFlightModels[model]
	}
	if rest := e.inFlight - withModel; rest > 0 {
		d.InFlight = append(d.InFlight, EndpointLoad{Endpoint: e.ID, Count: rest})
	}
}

// sortedModels returns the keys of a map in their order.
func sortedModels[V any](m map[modelID]V) []modelID {
	return slices.SortedFunc(maps.Keys(m), modelID.compare)
}

func (s *State) currentNeeds() []Need {
	var needs []Need
	for _, service := range sortedKeys(s.waiting) {
		for _, r := range s.waiting[service] {
			if r.engine != nil {
				needs = addNeed(needs, Need{
					Service: r.service, Model: r.Model, Adapter: r.Adapter, Waiting: 1,
					Waited: s.now.Sub(r.arrivedAt), Rank: r.route.Rank,
				})
			}
		}
	}
	for _, id := range sortedModels(s.demand.promised) {
		made := s.demand.promised[id]
		if s.now.After(made.until) {
			delete(s.demand.promised, id)
			continue
		}
		needs = addNeed(needs, Need{Service: id.service, Model: id.model, Waiting: 1, Rank: made.rank})
	}
	return needs
}

// addNeed adds a need to those for the same model and adapter.
func addNeed(needs []Need, added Need) []Need {
	for i := range needs {
		n := &needs[i]
		if n.Service == added.Service && n.Model == added.Model && n.Adapter == added.Adapter {
			n.Waiting += added.Waiting
			n.Waited += added.Waited
			n.Rank = min(n.Rank, added.Rank)
			return needs
		}
	}
	return append(needs, added)
}

// placementReceived takes in the planner's answer.
func (s *State) placementReceived(ev PlacementReceived) {
	s.demand.asking = false
	if ev.Failed {
		s.postDemand()
	}
	if ev.Failed || !ev.Placement.Leading {
		s.holderSilent(&ev)
		return
	}
	s.holderAlive()
	p := &ev.Placement
	s.countInstances(p.Instances)
	s.demand.placementAt = ev.AskedAt
	s.demand.epoch, s.demand.seen, s.demand.listSeen = p.Epoch, p.Change, p.List.Change
	s.adoptList(&p.List, ev.AskedAt)
	s.adoptConfigVersion(p.ConfigVersion)
	s.adoptWeightLimit(p.WeightLimit)
	if p.CheckStore {
		s.readLease()
	}
	for i := range p.Engines {
		s.adoptPlacement(&p.Engines[i], ev.AskedAt)
	}
	if p.HasOthers {
		s.adoptOthers(p.Others)
	}
	s.adoptExpected(p.Expected)
	s.dispatchAll()
	if s.demand.again {
		s.demand.again = false
		s.need()
	}
}

// postDemand leaves the needs in the store where the planner has not answered for
// a while. It may still hold its lease and reach the engines and the store.
func (s *State) postDemand() {
	d := &s.demand
	if s.now.Sub(d.placementAt) < postAfter || s.now.Sub(d.postedAt) < postInterval || !s.hasNeeds() {
		return
	}
	d.postedAt = s.now
	s.emit(PostDemand{Demand: Demand{Instance: s.self.Instance, Needs: s.currentNeeds()}})
}

// adoptPlacement takes in what the planner ordered at an engine.
func (s *State) adoptPlacement(content *EngineContent, asOf time.Time) {
	e := s.endpoints[content.Endpoint]
	if e == nil || e.Incarnation != content.Incarnation {
		return
	}
	g := &e.engine
	g.sequence = content.Sequence
	for _, name := range content.Dropped {
		g.dropped[name] = s.now
	}
	held := map[string]*replica{}
	for i := range content.Models {
		placed := &content.Models[i]
		r := g.models[placed.Name]
		if r == nil {
			r = &replica{loadedAt: s.now}
		}
		r.version = placed.Version
		r.readyAt = asOf.Add(placed.ReadyIn)
		r.adapters = map[string]time.Time{}
		for name, readyIn := range placed.Adapters {
			r.adapters[name] = asOf.Add(readyIn)
			s.wakeAt(r.adapters[name])
		}
		s.wakeAt(r.readyAt)
		held[placed.Name] = r
	}
	g.models = held
}

// wakeAt looks at the waiting requests when a load should be done.
func (s *State) wakeAt(at time.Time) {
	if at.After(s.now) {
		s.at(at, (*State).dispatchAll)
	}
}

func (s *State) adoptOthers(others []EndpointLoad) {
	for _, e := range s.endpoints {
		e.others = 0
	}
	for _, load := range others {
		if e := s.endpoints[load.Endpoint]; e != nil {
			e.others += load.Count
		}
	}
}

func (s *State) adoptExpected(expected []ExpectedModel) {
	clear(s.demand.expected)
	for _, model := range expected {
		s.demand.expected[modelID{model.Service, model.Model}] = s.now.Add(model.ReadyIn)
	}
}
