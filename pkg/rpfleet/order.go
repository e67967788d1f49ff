package rpfleet

import (
	"fmt"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	// conflictPause is the time after which an engine that was busy with
	// another order is asked again.
	conflictPause = 100 * time.Millisecond
	// orderAnswerTime is the time in which an engine usually answers an order.
	orderAnswerTime = 10 * time.Millisecond
	// unloadPatience is how long an engine may be busy with an unload before it
	// is asked, after maxConflicts conflicts at the most.
	unloadPatience = 2 * time.Second
	maxConflicts   = 8
	// roomPatience is how long an engine that made room for a model is preferred
	// for it.
	roomPatience = 600 * time.Millisecond
	// unloadPause is the time that most unloads take.
	unloadPause = 30 * time.Millisecond
	// unknownPause is the time after which an engine is asked what became of
	// an order without an answer.
	unknownPause = 300 * time.Millisecond
	// reportPause is the time between two questions to one engine.
	reportPause = 300 * time.Millisecond
	// maxReports bounds the questions in flight, since a new planner has to ask
	// all engines and may run on a small machine.
	maxReports = 6
	// reportLag is the age that a report may have.
	reportLag = 500 * time.Millisecond
	// assumedAdapterLoad is the time in which an adapter is loaded: twice what
	// the users' deployments state, for the time on the way.
	assumedAdapterLoad = 25 * time.Millisecond
	// remotePatience is how long after its time a load from the weight store is
	// waited for. Loads share the store, also with those of the planner before.
	remotePatience = 15 * time.Second
	// loadMargin covers the time between the end of a load and the first
	// request that the engine takes.
	loadMargin = 20 * time.Millisecond
)

// order is an order in flight.
type order struct {
	id      rpcore.OrderID
	engine  *endpoint
	kind    OrderKind
	model   string
	adapter string
	load    time.Duration
	place   rpcore.CheckpointPlace
	sentAt  time.Time
}

// carryOut sends the first order of a load: the load itself, or the unload
// that makes room for it.
func (p *servicePlan) carryOut(w wanted, choice loadChoice) {
	s := p.state
	e := choice.engine
	if choice.wait > 0 || !s.mayOrder(e) {
		return
	}
	e.engine.plannedLoad = w.model.id.model
	o := &order{engine: e, kind: OrderLoad, model: w.model.id.model, load: choice.load, place: choice.place}
	if choice.victim != "" {
		o.kind, o.model = OrderUnload, choice.victim
	}
	s.note("replicas", "orders a change of an engine", Field{"order", string(o.kind)}, Field{"endpoint", string(e.ID)},
		Field{"model", o.model}, Field{"for_model", w.model.id.model}, Field{"place", string(choice.place)},
		Field{"waiting", w.model.waiting}, Field{"rate", w.model.rate}, Field{"replicas", len(w.model.holders)},
		Field{"preload", w.preload}, Field{"cost", choice.cost}, Field{"entry_age", s.now.Sub(e.seenAt)},
		Field{"sequence", e.engine.sequence})
	s.sendOrder(o)
	if o.kind == OrderLoad {
		e.engine.plannedLoad = ""
		if o.place == rpcore.PlaceRemote {
			s.weightLoadBegan(o)
		}
	}
}

// mayOrder reports whether an engine can get an order from this instance now.
func (s *State) mayOrder(e *endpoint) bool {
	g := &e.engine
	return s.leading() && !s.draining && s.holderApart(e) && g.order == nil && g.verified && !s.now.Before(g.retryAt)
}

// wait returns the time until an engine can take another order.
func (g *engineState) wait(now time.Time) time.Duration {
	wait := max(0, g.busyUntil.Sub(now), g.retryAt.Sub(now))
	if g.order != nil {
		wait = max(wait, orderAnswerTime)
		if g.order.kind == OrderLoad {
			wait += g.order.load
		}
	}
	return wait
}

// makesRoomFor reports whether an engine is unloading a model, or has just done
// so, to make room for another one. One whose requests keep the unload waiting
// competes with other engines again after a while.
func (g *engineState) makesRoomFor(model string, now time.Time) bool {
	return g.plannedLoad == model && (g.order != nil || now.Sub(g.unloadedAt) < roomPatience)
}

// loading returns the model that an order in flight loads, or "".
func (g *engineState) loading() string {
	if g.order == nil || g.order.kind != OrderLoad || g.order.adapter != "" {
		return ""
	}
	return g.order.model
}

// retryOrder keeps an engine from orders for a time and plans again after it.
func (s *State) retryOrder(g *engineState, d time.Duration) {
	g.retryAt = s.now.Add(d)
	s.at(g.retryAt, (*State).planSoon)
}

func (s *State) sendOrder(o *order) {
	g := &o.engine.engine
	o.id = rpcore.OrderID(fmt.Sprintf("%s-%d-%d", s.self.Instance, s.lease.row.Epoch, s.next()))
	o.sentAt = s.now
	g.sentAt = s.now
	g.order = o
	s.plan.orders[o.id] = o
	s.emit(SendOrder{
		Order:    o.id,
		Endpoint: o.engine.ID,
		Address:  o.engine.Address,
		Kind:     o.kind,
		Model:    o.model,
		Adapter:  o.adapter,
		Sequence: g.sequence,
		Fence:    s.lease.row.Epoch,
		NotAfter: s.lease.validUntil,
	})
}

func (s *State) orderAnswered(ev OrderAnswered) {
	o := s.plan.orders[ev.Order]
	if o == nil {
		return
	}
	delete(s.plan.orders, ev.Order)
	g := &o.engine.engine
	g.sentAt = s.now
	g.order = nil
	s.note("replicas", "an engine answered an order", Field{"order", string(o.kind)}, Field{"endpoint", string(o.engine.ID)},
		Field{"model", o.model}, Field{"adapter", o.adapter}, Field{"outcome", string(ev.Outcome)},
		Field{"took", s.now.Sub(o.sentAt)}, Field{"sequence", g.sequence}, Field{"detail", ev.Detail})
	switch ev.Outcome {
	case OrderAccepted:
		s.orderAccepted(o)
	case OrderHolds:
		s.orderHolds(o)
	case OrderConflict:
		s.orderConflict(o)
	case OrderNotSent:
		s.retryOrder(g, conflictPause)
	case OrderUnknown, OrderRejected:
		// The order may be carried out later, or the engine is not what it was
		// thought to be.
		g.verified = false
		s.after(unknownPause, func(s *State) { s.askReport(o.engine) })
	}
	if ev.Outcome == OrderConflict || ev.Outcome == OrderNotSent || ev.Outcome == OrderRejected {
		s.weightLoadFailed(o)
	}
	s.planSoon()
}

// orderConflict takes in that an engine is busy with another order or has
// accepted another number of them. Behind an unload the first is normal: the
// engine waits for the requests that run.
func (s *State) orderConflict(o *order) {
	g := &o.engine.engine
	g.conflicts++
	s.retryOrder(g, conflictPause)
	if s.now.Sub(g.unloadedAt) < unloadPatience && g.conflicts < maxConflicts {
		return
	}
	g.verified = false
	s.askReport(o.engine)
}

// changed makes other instances hear of a change of an engine.
func (s *State) changed(g *engineState) {
	s.plan.change++
	g.change, g.changedAt = s.plan.change, s.now
}

func (s *State) orderAccepted(o *order) {
	g := &o.engine.engine
	g.sequence++
	g.conflicts = 0
	g.orderedAt = s.now
	s.changed(g)
	switch {
	case o.kind == OrderLoad && o.adapter != "":
		if adapters := g.content[o.model]; adapters != nil {
			adapters[o.adapter] = true
		}
		if r := g.models[o.model]; r != nil {
			r.adapters[o.adapter] = s.now.Add(o.load)
			s.wakeAt(s.now.Add(o.load))
		}
	case o.kind == OrderLoad:
		dueAt := s.now.Add(o.load + loadMargin)
		readyAt := dueAt
		if o.place == rpcore.PlaceRemote {
			readyAt = dueAt.Add(remotePatience)
		}
		g.content[o.model] = adapterSet{}
		g.models[o.model] = &replica{adapters: map[string]time.Time{}, readyAt: readyAt, dueAt: dueAt, loadedAt: dueAt}
		g.busyUntil = dueAt
		s.wakeAt(readyAt)
		s.at(dueAt, (*State).planSoon)
		if o.place == rpcore.PlaceRemote {
			s.at(dueAt, func(s *State) { s.confirmLoad(o.engine, o.model) })
		}
	case o.adapter != "":
		delete(g.content[o.model], o.adapter)
		g.drop(o.model, o.adapter, s.now)
	default:
		delete(g.content, o.model)
		g.drop(o.model, "", s.now)
		g.unloadedAt = s.now
		s.retryOrder(g, unloadPause)
	}
}

// orderHolds takes in an order that was done at once or that held already. An
// engine counts an unload that was done at once.
func (s *State) orderHolds(o *order) {
	if o.kind == OrderUnload {
		s.orderAccepted(o)
		return
	}
	o.load = 0
	sequence := o.engine.engine.sequence
	s.orderAccepted(o)
	o.engine.engine.sequence = sequence
}

// askReport asks an engine what it holds, where the answer to an order leaves
// that open.
func (s *State) askReport(e *endpoint) {
	if s.endpoints[e.ID] != e || e.engine.verified || !s.leading() || s.now.Before(e.engine.reportAt) {
		return
	}
	if s.plan.reports >= maxReports {
		// The plan after the next answer asks again.
		return
	}
	s.plan.reports++
	e.engine.reportAt = s.now.Add(reportPause)
	s.emit(ReadReport{Endpoint: e.ID, Address: e.Address})
}

// confirmLoad asks an engine whether a load from the weight store is done. The
// entry of the list shows it a heartbeat and the lag of the list later.
func (s *State) confirmLoad(e *endpoint, model string) {
	r := e.engine.models[model]
	if s.endpoints[e.ID] != e || r == nil || !r.readyAt.After(s.now) || !s.leading() {
		return
	}
	s.plan.reports++
	s.emit(ReadReport{Endpoint: e.ID, Address: e.Address})
	s.after(reportPause, func(s *State) { s.confirmLoad(e, model) })
}

// loadsReported takes in the loads that are done by an engine's report.
func (s *State) loadsReported(e *endpoint, models []HeldModel) {
	for i := range models {
		r := e.engine.models[models[i].Name]
		if r == nil || !r.readyAt.After(s.now) || r.dueAt.IsZero() || s.now.Before(r.dueAt) {
			continue
		}
		s.adoptModel(e, &models[i])
		s.changed(&e.engine)
		s.dispatchAll()
	}
}

func (s *State) engineReported(ev EngineReported) {
	s.plan.reports = max(0, s.plan.reports-1)
	defer s.planSoon()
	e := s.endpoints[ev.Endpoint]
	if e == nil {
		return
	}
	g := &e.engine
	if !ev.Failed && ev.Report.Incarnation == e.Incarnation {
		s.loadsReported(e, ev.Report.Models)
	}
	if ev.Failed {
		s.after(unknownPause, func(s *State) { s.askReport(e) })
		return
	}
	if ev.Report.Incarnation != "" && ev.Report.Incarnation != e.Incarnation {
		s.endpointGone(e, "another incarnation reports at its address")
		return
	}
	before := g.sequence
	stale := ev.Report.Sequence < before && s.now.Sub(g.orderedAt) < reportLag
	if g.order != nil || g.verified || stale {
		// The report may be older than the last order.
		if !g.verified {
			s.after(reportLag, func(s *State) { s.askReport(e) })
		}
		return
	}
	s.verifyContent(e, &ev.Report)
	if len(ev.Report.Cached) > 0 {
		e.Cached = ev.Report.Cached
	}
	s.adoptContent(e, ev.Report.Models)
	s.note("replicas", "an engine reported", Field{"endpoint", string(e.ID)}, Field{"sequence", ev.Report.Sequence},
		Field{"sequence_before", before}, Field{"busy", ev.Report.Busy}, Field{"models", len(ev.Report.Models)},
		Field{"queued", ev.Report.Queued}, Field{"active", ev.Report.Active})
}

// verifyContent takes in what an engine holds according to itself. While it is
// busy, what it is loading is not known.
func (s *State) verifyContent(e *endpoint, report *EngineReport) {
	g := &e.engine
	g.sequence = report.Sequence
	g.conflicts = 0
	g.foreignOrder = report.Busy && s.plan.weights.index(e.ID, "") < 0
	if report.Busy {
		g.busyUntil = maxTime(g.busyUntil, s.now.Add(reportPause))
		s.after(reportPause, func(s *State) { s.askReport(e) })
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
