package rpfleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// rateUnit converts requests per second into the unit of ModelRate.
const rateUnit = 1000

const (
	// demandInterval is the time between two regular demands, and thus the age
	// of the planner's view of the load.
	demandInterval = 500 * time.Millisecond
	// minDemandInterval is the minimum time between two demands when new needs
	// arise.
	minDemandInterval = 20 * time.Millisecond
	// waitingDemandInterval is the time between two demands while requests
	// wait.
	waitingDemandInterval = 150 * time.Millisecond
	// These bound the demands per second of all instances together: regular
	// ones, those while requests wait, and those for a new need. One demand
	// costs the planner about a millisecond on a small machine.
	maxDemandsPerSecond        = 100.0
	maxWaitingDemandsPerSecond = 200.0
	maxNewNeedDemandsPerSecond = 1000.0
	// postDemandAfter is how long the planner must not have answered before
	// needs are written to the store, and postDemandInterval the time between
	// two such writes.
	postDemandAfter    = time.Second
	postDemandInterval = time.Second
	// demandTTL is how long the last demand of an instance counts if no other
	// one follows.
	demandTTL = 3 * time.Second
	// fastRateWindow and slowRateWindow are the time constants of the arrival
	// rates. The fast rate finds models whose demand begins, the slow one keeps
	// the replicas of models with rare requests.
	fastRateWindow = 3 * time.Second
	slowRateWindow = 20 * time.Second
	// minReportedRate is the rate, in requests per 1000 seconds, below which a
	// model is not reported.
	minReportedRate = 5
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

// arrivalRates are the arrival rates of the requests for a model.
type arrivalRates struct {
	fast decayingRate
	slow decayingRate
}

// demandState is this instance's demand and the planner's last answer.
type demandState struct {
	arrivalRates map[modelID]*arrivalRates
	// sending says that a demand is not answered yet, and resend that another
	// one must follow.
	sending bool
	resend  bool
	sentAt  time.Time
	// postedAt is when a demand was last written to the store.
	postedAt time.Time
	// fullSentAt is when the last full demand was sent.
	fullSentAt time.Time
	// observationTurn is the index of the engine with which the next report begins.
	observationTurn int
	// seenEpoch, seenChange and seenListChange come from the last placement.
	seenEpoch      uint64
	seenChange     uint64
	seenListChange uint64
	// leaseReadAt is when the store last answered a read of the lease.
	leaseReadAt time.Time
	// expectedReadyAt is when models will be loaded, as the planner expects.
	expectedReadyAt map[modelID]time.Time
	// placementAsOf is when the call of the last placement began. instanceCount
	// is the number of instances that the planner knows, set at
	// instanceCountAt.
	placementAsOf time.Time
	// otherLoadAt is when the load of the other instances was last received.
	otherLoadAt     time.Time
	instanceCount   int
	instanceCountAt time.Time
	// instanceCountProvisionalUntil is when the number of instances is complete,
	// and instanceCountFromLease says that the lease row had one at the start.
	instanceCountProvisionalUntil time.Time
	instanceCountFromLease        bool
	// expectedRetries holds the models whose refused requests are expected back
	// because they got a Retry-After.
	expectedRetries map[modelID]expectedRetry
}

// expectedRetry keeps up the demand for a model until the refused callers come
// back. rank is the most urgent rank of their requests.
type expectedRetry struct {
	rank  int
	until time.Time
}

// keepDemandForRetry keeps up the demand for a model whose request is refused
// with a Retry-After, so that the model is loaded when the caller comes back.
func (s *State) keepDemandForRetry(r *request, retryAfter time.Duration) {
	if r.engineSpec == nil || retryAfter <= 0 {
		return
	}
	id := modelID{r.service, r.Model}
	retry, ok := s.demand.expectedRetries[id]
	if !ok {
		retry.rank = r.route.Rank
	}
	retry.rank = min(retry.rank, r.route.Rank)
	retry.until = maxTime(retry.until, s.now.Add(min(retryAfter, maxExpectedRetry)))
	s.demand.expectedRetries[id] = retry
}

// maxExpectedRetry bounds how long a refused request counts as a waiting one.
// Callers come back within a third of the time that they have left.
const maxExpectedRetry = 5 * time.Second

// scaleInterval returns an interval that is at least the given one and keeps
// all instances together within calls per second.
func (s *State) scaleInterval(least time.Duration, calls float64) time.Duration {
	return max(least, time.Duration(float64(s.demand.instanceCount)/calls*float64(time.Second)))
}

func (s *State) initDemand() {
	s.demand.arrivalRates = map[modelID]*arrivalRates{}
	s.demand.expectedReadyAt = map[modelID]time.Time{}
	s.demand.expectedRetries = map[modelID]expectedRetry{}
	s.runAfter(demandInterval, (*State).sendPeriodicDemand)
}

func (s *State) recordModelArrival(r *request) {
	if r.engineSpec == nil {
		return
	}
	id := modelID{r.service, r.Model}
	a := s.demand.arrivalRates[id]
	if a == nil {
		a = &arrivalRates{fast: decayingRate{window: fastRateWindow}, slow: decayingRate{window: slowRateWindow}}
		s.demand.arrivalRates[id] = a
	}
	a.fast.add(s.now, 1)
	a.slow.add(s.now, 1)
}

// expectedReadyAt returns when the model of a request will be loaded, if the
// planner has reported it.
func (s *State) expectedReadyAt(r *request) (time.Time, bool) {
	at, ok := s.demand.expectedReadyAt[modelID{r.service, r.Model}]
	return at, ok
}

// reportNeed sends a demand soon because a request waits.
func (s *State) reportNeed() {
	if s.demand.sending {
		s.demand.resend = true
		return
	}
	due := s.demand.sentAt.Add(s.scaleInterval(minDemandInterval, maxNewNeedDemandsPerSecond))
	if !s.now.Before(due) {
		s.sendDemand()
		return
	}
	if !s.demand.resend {
		s.demand.resend = true
		s.runAt(due, (*State).resendDemand)
	}
}

func (s *State) resendDemand() {
	if s.demand.resend && !s.demand.sending {
		s.sendDemand()
	}
}

// sendPeriodicDemand sends the demand at regular times, more often while
// requests wait.
func (s *State) sendPeriodicDemand() {
	interval := s.scaleInterval(demandInterval, maxDemandsPerSecond)
	if s.hasNeeds() || s.watchesNewParts() {
		interval = s.scaleInterval(waitingDemandInterval, maxWaitingDemandsPerSecond)
	}
	s.runAfter(interval, (*State).sendPeriodicDemand)
	if !s.demand.sending && s.now.Sub(s.demand.sentAt) >= interval-minDemandInterval {
		s.sendDemand()
	}
}

// hasNeeds reports whether requests wait for an engine or refused ones are
// expected back.
func (s *State) hasNeeds() bool {
	if len(s.demand.expectedRetries) > 0 {
		return true
	}
	for _, queue := range s.queues {
		for _, r := range queue {
			if r.engineSpec != nil {
				return true
			}
		}
	}
	return false
}

// sendDemand sends the demand to the planner. If this instance is the planner,
// it uses the demand directly.
func (s *State) sendDemand() {
	s.demand.resend = false
	s.demand.sentAt = s.now
	if s.isPlanner() {
		demand := s.currentDemand()
		s.recordDemand(demand)
		s.applyOwnUse(&demand)
		s.learnPooledSpeeds()
		s.runOrSchedulePlan()
		s.applyExpectedModels(s.expectedModels(demand.Needs))
		s.updateInstanceCount(len(s.plan.demands))
		s.demand.placementAsOf = s.now
		s.recordOtherLoad(s.inFlightOfOthers(s.self.Instance))
		s.dispatchAll()
		return
	}
	if s.poolsLoad() {
		s.storeDemand(s.currentDemand())
		s.recordOtherLoad(s.inFlightOfOthers(s.self.Instance))
		return
	}
	if holder := s.lease.row.Holder; holder == "" || holder == s.self.Instance || !s.lease.row.Address.IsValid() {
		return
	}
	s.demand.sending = true
	s.emit(SendDemand{Address: s.lease.row.Address, Demand: s.currentDemand()})
}

// currentDemand returns the needs and, if the last full demand is old enough, a
// full demand.
func (s *State) currentDemand() Demand {
	d := Demand{
		Instance: s.self.Instance, Epoch: s.demand.seenEpoch, SeenChange: s.demand.seenChange, SeenListChange: s.demand.seenListChange, Needs: s.currentNeeds(),
		StoreAge: s.now.Sub(maxTime(s.listReadAt, s.demand.leaseReadAt)),
		Evidence: s.ownEvidence(), Full: s.now.Sub(s.demand.fullSentAt) >= demandInterval-minDemandInterval,
	}
	d.Load = s.loadReport(d.Full)
	if !d.Full {
		return d
	}
	s.demand.fullSentAt = s.now
	d.Extension.Leaving = s.leavingReports()
	for _, id := range sortedModels(s.demand.arrivalRates) {
		a := s.demand.arrivalRates[id]
		rate := ModelRate{
			Service: id.service, Model: id.model,
			Fast: int(rateUnit * a.fast.perSecond(s.now)), Slow: int(rateUnit * a.slow.perSecond(s.now)),
		}
		if max(rate.Fast, rate.Slow) < minReportedRate {
			delete(s.demand.arrivalRates, id)
			continue
		}
		d.Rates = append(d.Rates, rate)
	}
	for _, e := range s.sortedEndpoints() {
		d.addEndpointLoad(e, s.now)
		if s.outlastsLoad(e) {
			d.Extension.HeldOff = append(d.Extension.HeldOff, e.ID)
		}
	}
	return d
}

func (d *Demand) addEndpointLoad(e *endpoint, now time.Time) {
	if e.health.isEjected(now) {
		d.Ejected = append(d.Ejected, e.ID)
	}
	withModel := 0
	for _, weights := range sortedKeys(e.inFlightModels) {
		d.InFlight = append(d.InFlight, EndpointLoad{Endpoint: e.ID, Weights: weights, Count: e.inFlightModels[weights]})
		withModel += e.inFlightModels[weights]
	}
	if rest := e.inFlight - withModel; rest > 0 {
		d.InFlight = append(d.InFlight, EndpointLoad{Endpoint: e.ID, Count: rest})
	}
}

// sortedModels returns the keys of a map in sorted order.
func sortedModels[V any](m map[modelID]V) []modelID {
	return slices.SortedFunc(maps.Keys(m), modelID.compare)
}

func (s *State) currentNeeds() []Need {
	var needs []Need
	for _, service := range sortedKeys(s.queues) {
		for _, r := range s.queues[service] {
			if r.engineSpec != nil {
				needs = mergeNeed(needs, Need{
					Service: r.service, Model: r.Model, Adapter: r.Adapter, Waiting: 1,
					Waited: s.now.Sub(r.arrivedAt), Rank: r.route.Rank,
				})
			}
		}
	}
	for _, id := range sortedModels(s.demand.expectedRetries) {
		retry := s.demand.expectedRetries[id]
		if s.now.After(retry.until) {
			delete(s.demand.expectedRetries, id)
			continue
		}
		needs = mergeNeed(needs, Need{Service: id.service, Model: id.model, Waiting: 1, Rank: retry.rank})
	}
	return needs
}

// mergeNeed merges a need with one for the same model and adapter.
func mergeNeed(needs []Need, added Need) []Need {
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

// handlePlacementReceived applies the planner's answer to a demand.
func (s *State) handlePlacementReceived(ev PlacementReceived) {
	s.demand.sending = false
	if ev.Failed {
		s.postDemand()
		s.postUse()
	}
	if !ev.Failed && !ev.Placement.IsPlanner {
		s.applyPooledLoad(&ev.Placement)
	}
	if ev.Failed || !ev.Placement.IsPlanner {
		s.recordHolderUnavailable(&ev)
		s.postEvidence()
		return
	}
	s.recordHolderAnswer()
	p := &ev.Placement
	s.updateInstanceCount(p.Instances)
	s.demand.placementAsOf = ev.AskedAt
	newPlanner := p.Epoch != s.demand.seenEpoch
	s.demand.seenEpoch, s.demand.seenChange, s.demand.seenListChange = p.Epoch, p.Change, p.List.Change
	era := s.applyStoreState(p.Store)
	s.applyListChanges(&p.List, era, ev.AskedAt, newPlanner)
	s.checkConfigVersion(p.config(), ev.AskedAt)
	s.applyLoadSummary(p, ev.AskedAt)
	s.applyWeightLimit(p.WeightLimit)
	if p.CheckStore {
		s.readLease()
	}
	for i := range p.Engines {
		s.applyEngineContent(&p.Engines[i], ev.AskedAt)
	}
	if p.HasOtherLoad {
		s.recordOtherLoad(p.OtherLoad)
	}
	s.applyExpectedModels(p.Expected)
	s.quarantine.plannerLacksQuarantine = p.Quarantine == nil
	if p.Quarantine != nil {
		s.applyQuarantine(p.Quarantine, ev.AskedAt)
	} else {
		s.postEvidence()
	}
	s.dispatchAll()
	if s.demand.resend {
		s.demand.resend = false
		s.reportNeed()
	}
}

// postDemand writes the needs to the store if the planner has not answered for
// a while. The planner may still hold its lease and reach the engines and the
// store.
func (s *State) postDemand() {
	d := &s.demand
	if s.now.Sub(d.placementAsOf) < postDemandAfter || s.now.Sub(d.postedAt) < postDemandInterval || !s.hasNeeds() {
		return
	}
	d.postedAt = s.now
	s.emit(PostDemand{Demand: Demand{Instance: s.self.Instance, Needs: s.currentNeeds()}})
}

// applyEngineContent replaces the view of an engine by what the planner ordered
// there.
func (s *State) applyEngineContent(content *EngineContent, asOf time.Time) {
	e := s.endpoints[content.Endpoint]
	if e == nil || e.Incarnation != content.Incarnation {
		return
	}
	g := &e.engine
	g.sequence = content.Sequence
	for _, name := range content.Unloaded {
		g.recentUnloads[name] = s.now
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
			s.dispatchAt(r.adapters[name])
		}
		s.dispatchAt(r.readyAt)
		held[placed.Name] = r
	}
	g.models = held
}

// dispatchAt tries to start the waiting requests when a load should be
// complete.
func (s *State) dispatchAt(at time.Time) {
	if at.After(s.now) {
		s.runAt(at, (*State).dispatchAll)
	}
}

func (s *State) applyExpectedModels(expected []ExpectedModel) {
	clear(s.demand.expectedReadyAt)
	for _, model := range expected {
		s.demand.expectedReadyAt[modelID{model.Service, model.Model}] = s.now.Add(model.ReadyIn)
	}
}
