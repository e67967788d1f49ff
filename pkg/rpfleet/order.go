package rpfleet

import (
	"fmt"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	// conflictRetryDelay is the delay before the next order to an engine that
	// was busy with another one.
	conflictRetryDelay = 100 * time.Millisecond
	// orderAnswerTime is the usual time until an engine answers an order.
	orderAnswerTime = 10 * time.Millisecond
	// unloadConflictWindow is how long after an unload conflicts are normal, up
	// to maxUnloadConflicts of them. After that the planner asks the engine for
	// a report.
	unloadConflictWindow = 2 * time.Second
	maxUnloadConflicts   = 8
	// reservationTime is how long after the unload an engine that made room for
	// a model is preferred for it.
	reservationTime = 600 * time.Millisecond
	// usualUnloadTime is the time that most unloads take.
	usualUnloadTime = 30 * time.Millisecond
	// unknownOutcomeDelay is the delay before an engine is asked for a report
	// after an order without an answer.
	unknownOutcomeDelay = 300 * time.Millisecond
	// reportInterval is the minimum time between two report requests to one
	// engine.
	reportInterval = 300 * time.Millisecond
	// maxReportsInFlight bounds the concurrent report requests: a new planner
	// has to ask all engines and may run on a small machine.
	maxReportsInFlight = 6
	// maxReportAge is how old the content of a report may be.
	maxReportAge = 500 * time.Millisecond
	// defaultAdapterLoadTime is the assumed load time of an adapter: twice what
	// the users' deployments state, to include the time on the network.
	defaultAdapterLoadTime = 25 * time.Millisecond
	// remoteLoadTimeout is how long after its due time a load from the weight
	// store may still end. Loads share the store with all others, including
	// those that the previous planner ordered.
	remoteLoadTimeout = 15 * time.Second
	// loadMargin covers the time between the end of a load and the first
	// request that the engine accepts.
	loadMargin = 20 * time.Millisecond
)

// order is an order that was sent and not answered yet.
type order struct {
	id      rpcore.OrderID
	engine  *endpoint
	kind    OrderKind
	model   string
	adapter string
	// loadTime is the expected duration of a load.
	loadTime time.Duration
	place    rpcore.CheckpointPlace
	sentAt   time.Time
}

// startLoad sends the first order of a load: the load itself, or the unload
// that makes room for it.
func (p *servicePlan) startLoad(w wantedReplica, choice loadChoice) {
	s := p.state
	e := choice.engine
	if choice.waitTime > 0 || !s.canSendOrder(e) {
		return
	}
	e.engine.reservedFor = w.model.id.model
	o := &order{engine: e, kind: OrderLoad, model: w.model.id.model, loadTime: choice.loadTime, place: choice.place}
	if len(choice.victims) > 0 {
		o.kind, o.model = OrderUnload, choice.victims[0]
	}
	s.note("replicas", "orders an engine to load or unload a model", Field{"order", string(o.kind)}, Field{"endpoint", string(e.ID)},
		Field{"model", o.model}, Field{"for_model", w.model.id.model}, Field{"place", string(choice.place)},
		Field{"waiting", w.model.waiting}, Field{"rate", w.model.rate}, Field{"replicas", len(w.model.replicaEngines)},
		Field{"preload", w.preload}, Field{"cost", choice.cost}, Field{"entry_age", s.now.Sub(e.entrySeenAt)},
		Field{"sequence", e.engine.sequence})
	s.sendOrder(o)
	if o.kind == OrderLoad {
		e.engine.reservedFor = ""
		if o.place == rpcore.PlaceRemote {
			s.recordWeightLoad(o)
		}
	}
}

// canSendOrder reports whether this instance may send an engine an order now. An
// engine that holds off this instance gets no orders either: they are work too,
// and another engine can load the model.
func (s *State) canSendOrder(e *endpoint) bool {
	g := &e.engine
	return s.isPlanner() && !s.draining && !e.isHeldOff(s.now) && s.holderGapElapsed(e) && g.order == nil && g.verified &&
		!s.now.Before(g.retryAt)
}

// timeUntilFree returns the time until an engine can take another order.
func (e *endpoint) timeUntilFree(now time.Time) time.Duration {
	g := &e.engine
	wait := max(0, g.busyUntil.Sub(now), g.retryAt.Sub(now), e.heldOffUntil.Sub(now))
	if g.order != nil {
		wait = max(wait, orderAnswerTime)
		if g.order.kind == OrderLoad {
			wait += g.order.loadTime
		}
	}
	return wait
}

// hasReservation reports whether an engine is making room for a model, or has
// just done so. If its running requests delay the unload for longer than
// reservationTime, it competes with other engines again.
func (g *engineState) hasReservation(model string, now time.Time) bool {
	return g.reservedFor == model && (g.order != nil || now.Sub(g.unloadedAt) < reservationTime)
}

// loadingModel returns the model that an order in flight loads, or "".
func (g *engineState) loadingModel() string {
	if g.order == nil || g.order.kind != OrderLoad || g.order.adapter != "" {
		return ""
	}
	return g.order.model
}

// delayOrders sends an engine no orders for d and plans again after that.
func (s *State) delayOrders(g *engineState, d time.Duration) {
	g.retryAt = s.now.Add(d)
	s.runAt(g.retryAt, (*State).schedulePlan)
}

func (s *State) sendOrder(o *order) {
	g := &o.engine.engine
	o.id = rpcore.OrderID(fmt.Sprintf("%s-%d-%d", s.self.Instance, s.lease.row.Epoch, s.nextOrderNumber()))
	o.sentAt = s.now
	s.recordOrderTime(o.engine.ID, s.now)
	g.order = o
	s.plan.orders[o.id] = o
	s.emit(SendOrder{
		Order:       o.id,
		Endpoint:    o.engine.ID,
		Incarnation: o.engine.Incarnation,
		Address:     o.engine.Address,
		Kind:        o.kind,
		Model:       o.model,
		Adapter:     o.adapter,
		Sequence:    g.sequence,
		Fence:       s.lease.row.Epoch,
		NotAfter:    s.lease.validUntil,
	})
}

func (s *State) handleOrderAnswered(ev OrderAnswered) {
	o := s.plan.orders[ev.Order]
	if o == nil {
		return
	}
	delete(s.plan.orders, ev.Order)
	g := &o.engine.engine
	s.recordOrderTime(o.engine.ID, s.now)
	g.order = nil
	s.note("replicas", "an engine answered an order", Field{"order", string(o.kind)}, Field{"endpoint", string(o.engine.ID)},
		Field{"model", o.model}, Field{"adapter", o.adapter}, Field{"outcome", string(ev.Outcome)},
		Field{"took", s.now.Sub(o.sentAt)}, Field{"sequence", g.sequence}, Field{"detail", ev.Detail})
	switch ev.Outcome {
	case OrderAccepted:
		s.handleOrderAccepted(o)
	case OrderHolds:
		s.handleOrderHolds(o)
	case OrderConflict:
		s.handleOrderConflict(o)
	case OrderNotSent:
		s.delayOrders(g, conflictRetryDelay)
	case OrderUnknown, OrderRejected:
		// The order may still be carried out, or the content of the engine is
		// not what the planner assumed.
		g.verified = false
		s.runAfter(unknownOutcomeDelay, func(s *State) { s.requestReport(o.engine) })
	}
	if ev.Outcome == OrderConflict || ev.Outcome == OrderNotSent || ev.Outcome == OrderRejected {
		s.cancelWeightLoad(o)
	}
	s.schedulePlan()
}

// handleOrderConflict handles the answer of an engine that is busy with another
// order or has accepted a different number of orders. After an unload the first
// is normal: the engine waits for its running requests.
func (s *State) handleOrderConflict(o *order) {
	g := &o.engine.engine
	g.conflicts++
	s.delayOrders(g, conflictRetryDelay)
	if s.now.Sub(g.unloadedAt) < unloadConflictWindow && g.conflicts < maxUnloadConflicts {
		return
	}
	g.verified = false
	s.requestReport(o.engine)
}

// recordEngineChange makes the next answers to other instances contain this
// engine.
func (s *State) recordEngineChange(g *engineState) {
	s.plan.lastChange++
	g.lastChange, g.lastChangeAt = s.plan.lastChange, s.now
}

// handleOrderAccepted updates the content of an engine after it accepted an
// order.
func (s *State) handleOrderAccepted(o *order) {
	g := &o.engine.engine
	g.sequence++
	g.conflicts = 0
	g.lastAcceptedAt = s.now
	s.recordEngineChange(g)
	switch {
	case o.kind == OrderLoad && o.adapter != "":
		if adapters := g.content[o.model]; adapters != nil {
			adapters[o.adapter] = true
		}
		if r := g.models[o.model]; r != nil {
			r.adapters[o.adapter] = s.now.Add(o.loadTime)
			s.dispatchAt(s.now.Add(o.loadTime))
		}
	case o.kind == OrderLoad:
		dueAt := s.now.Add(o.loadTime + loadMargin)
		readyAt := dueAt
		if o.place == rpcore.PlaceRemote {
			readyAt = dueAt.Add(remoteLoadTimeout)
		}
		g.content[o.model] = adapterSet{}
		g.models[o.model] = &replica{adapters: map[string]time.Time{}, readyAt: readyAt, dueAt: dueAt, loadedAt: dueAt}
		g.busyUntil = dueAt
		s.dispatchAt(readyAt)
		s.runAt(dueAt, (*State).schedulePlan)
		if o.place == rpcore.PlaceRemote {
			s.runAt(dueAt, func(s *State) { s.confirmLoad(o.engine, o.model) })
		}
	case o.adapter != "":
		delete(g.content[o.model], o.adapter)
		g.recordUnload(o.model, o.adapter, s.now)
	default:
		delete(g.content, o.model)
		g.recordUnload(o.model, "", s.now)
		g.unloadedAt = s.now
		s.delayOrders(g, usualUnloadTime)
	}
}

// handleOrderHolds handles an order whose result the engine already had or
// reached at once. Of these orders, engines count only unloads as accepted.
func (s *State) handleOrderHolds(o *order) {
	if o.kind == OrderUnload {
		s.handleOrderAccepted(o)
		return
	}
	o.loadTime = 0
	sequence := o.engine.engine.sequence
	s.handleOrderAccepted(o)
	o.engine.engine.sequence = sequence
}

// requestReport asks an engine for its report if its content is not verified.
func (s *State) requestReport(e *endpoint) {
	if s.endpoints[e.ID] != e || e.engine.verified || !s.isPlanner() || s.now.Before(e.engine.nextReportAt) || e.isHeldOff(s.now) {
		return
	}
	if s.plan.reportsInFlight >= maxReportsInFlight {
		// The plan after the next report asks again.
		return
	}
	s.plan.reportsInFlight++
	e.engine.nextReportAt = s.now.Add(reportInterval)
	s.emit(ReadReport{Endpoint: e.ID, Incarnation: e.Incarnation, Address: e.Address})
}

// confirmLoad asks an engine for reports until a load from the weight store has
// ended. The list shows the end later: after the next heartbeat and the lag of
// the list.
func (s *State) confirmLoad(e *endpoint, model string) {
	r := e.engine.models[model]
	if s.endpoints[e.ID] != e || r == nil || !r.readyAt.After(s.now) || !s.isPlanner() {
		return
	}
	if !e.isHeldOff(s.now) {
		s.plan.reportsInFlight++
		s.emit(ReadReport{Endpoint: e.ID, Incarnation: e.Incarnation, Address: e.Address})
	}
	s.runAfter(reportInterval, func(s *State) { s.confirmLoad(e, model) })
}

// applyFinishedLoads marks models as ready if a report shows that their load
// has ended.
func (s *State) applyFinishedLoads(e *endpoint, models []HeldModel) {
	for i := range models {
		r := e.engine.models[models[i].Name]
		if r == nil || !r.readyAt.After(s.now) || r.dueAt.IsZero() || s.now.Before(r.dueAt) {
			continue
		}
		s.applyHeldModel(e, &models[i])
		s.recordEngineChange(&e.engine)
		s.dispatchAll()
	}
}

func (s *State) handleEngineReported(ev EngineReported) {
	s.plan.reportsInFlight = max(0, s.plan.reportsInFlight-1)
	defer s.schedulePlan()
	e := s.endpoints[ev.Endpoint]
	if e == nil {
		return
	}
	g := &e.engine
	if !ev.Failed && ev.Report.Incarnation == e.Incarnation {
		s.applyFinishedLoads(e, ev.Report.Models)
	}
	if ev.Failed {
		s.runAfter(unknownOutcomeDelay, func(s *State) { s.requestReport(e) })
		return
	}
	if ev.Report.Incarnation != "" && ev.Report.Incarnation != e.Incarnation {
		s.removeEndpoint(e, "another incarnation reports at its address")
		return
	}
	before := g.sequence
	stale := ev.Report.Sequence < before && s.now.Sub(g.lastAcceptedAt) < maxReportAge
	if g.order != nil || g.verified || stale {
		// The report may be older than the last order.
		if !g.verified {
			s.runAfter(maxReportAge, func(s *State) { s.requestReport(e) })
		}
		return
	}
	s.applyReportedContent(e, &ev.Report)
	if len(ev.Report.Cached) > 0 {
		e.Cached = ev.Report.Cached
	}
	s.applyHeldModels(e, ev.Report.Models)
	s.note("replicas", "an engine reported", Field{"endpoint", string(e.ID)}, Field{"sequence", ev.Report.Sequence},
		Field{"sequence_before", before}, Field{"busy", ev.Report.Busy}, Field{"models", len(ev.Report.Models)},
		Field{"queued", ev.Report.Queued}, Field{"active", ev.Report.Active})
}

// applyReportedContent replaces the planner's view of an engine by the engine's
// report. While the engine is busy, the report does not tell what it is
// loading, so the content stays unverified.
func (s *State) applyReportedContent(e *endpoint, report *EngineReport) {
	g := &e.engine
	g.sequence = report.Sequence
	g.conflicts = 0
	g.foreignOrder = report.Busy && s.plan.weightStore.findLoad(e.ID, "") < 0
	if report.Busy {
		g.busyUntil = maxTime(g.busyUntil, s.now.Add(reportInterval))
		s.runAfter(reportInterval, func(s *State) { s.requestReport(e) })
		return
	}
	g.verified = true
	g.content = make(map[string]adapterSet, len(report.Models))
	for _, model := range report.Models {
		adapters := adapterSet{}
		for _, name := range model.Adapters {
			adapters[name] = true
		}
		g.content[model.Name] = adapters
	}
	for _, adapter := range report.Incoming {
		if adapters := g.content[adapter.Model]; adapters != nil {
			adapters[adapter.Name] = true
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
