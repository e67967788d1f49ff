package rpfleet

import (
	"slices"
	"time"
)

// replica is a model that an engine holds or is loading.
type replica struct {
	version  string
	adapters map[string]time.Time
	// readyAt is in the future while the model is being loaded, and dueAt is
	// when the load should end. A load from the weight store can take longer,
	// so its readyAt is later than dueAt until an entry of the list or a report
	// shows the model.
	readyAt time.Time
	dueAt   time.Time
	// loadedAt is when this instance first saw the replica.
	loadedAt time.Time
	usedAt   time.Time
}

// adapterSet holds the adapters of a model that an engine has or is loading.
type adapterSet map[string]bool

// engineState is this instance's view of an engine. Requests are routed by
// models, which follows the list of endpoints and may be wrong for a short
// time. Orders are decided by content, which must be right: it comes from the
// engine's own report and the orders that it accepted since.
type engineState struct {
	// sequence is the number of orders that the engine has accepted, as far as
	// is known.
	sequence uint64
	models   map[string]*replica
	// recentUnloads is when models and adapters were unloaded, by unloadKey.
	recentUnloads map[string]time.Time
	// verified says that content is what the engine holds after it accepted
	// sequence orders. Only the planner verifies engines.
	verified bool
	content  map[string]adapterSet
	// adapterUsedAt is when requests for adapters were last in progress, by
	// weightsName. Only the planner knows it.
	adapterUsedAt map[string]time.Time
	// order is the order in flight, or nil. Only the planner has one.
	order *order
	// foreignOrder says that the engine reported an order in progress that this
	// instance did not send.
	foreignOrder bool
	// busyUntil is when the last accepted order should be complete.
	busyUntil time.Time
	// lastAcceptedAt is when the engine last accepted an order, and
	// nextReportAt the earliest time of the next report request.
	lastAcceptedAt time.Time
	// lastChange is the number of the planner's last change of the engine, made
	// at lastChangeAt.
	lastChange   uint64
	lastChangeAt time.Time
	unloadedAt   time.Time
	nextReportAt time.Time
	// retryAt is the earliest time of the next order, and conflicts the number
	// of conflicts since the last accepted one.
	retryAt   time.Time
	conflicts int
	// reservedFor is the model for which room is being made, or "".
	reservedFor string
}

// listUpdateLag covers the time between a change at an engine and the entry of
// the list that shows it: a heartbeat, the lag of the list and the interval of
// reads. An entry read within this time may be older than the change.
const listUpdateLag = 3 * time.Second

// unloadKey is the key of recentUnloads; adapter is "" for the model itself.
func unloadKey(model, adapter string) string { return model + "/" + adapter }

// recordUnload removes a model from an engine, or one adapter of it.
func (g *engineState) recordUnload(model, adapter string, now time.Time) {
	g.recentUnloads[unloadKey(model, adapter)] = now
	if adapter == "" {
		delete(g.models, model)
		return
	}
	if r := g.models[model]; r != nil {
		delete(r.adapters, adapter)
	}
}

// recentlyUnloaded reports whether an entry with a model or adapter may be
// older than its unload.
func (g *engineState) recentlyUnloaded(model, adapter string, now time.Time) bool {
	at, ok := g.recentUnloads[unloadKey(model, adapter)]
	if ok && now.Sub(at) >= listUpdateLag {
		delete(g.recentUnloads, unloadKey(model, adapter))
		return false
	}
	return ok
}

// applyHeldModels applies the models of an entry or a report. Recent orders
// have precedence, since the entry may be older.
func (s *State) applyHeldModels(e *endpoint, models []HeldModel) {
	g := &e.engine
	held := make(map[string]bool, len(models))
	for i := range models {
		held[models[i].Name] = true
		s.applyHeldModel(e, &models[i])
	}
	for _, name := range sortedKeys(g.models) {
		if !held[name] && !s.now.Before(g.models[name].readyAt.Add(listUpdateLag)) {
			delete(g.models, name)
		}
	}
}

func (s *State) applyHeldModel(e *endpoint, held *HeldModel) {
	g := &e.engine
	r := g.models[held.Name]
	if r == nil {
		if g.recentlyUnloaded(held.Name, "", s.now) {
			return
		}
		r = &replica{adapters: map[string]time.Time{}, loadedAt: s.now}
		g.models[held.Name] = r
	}
	r.version = held.Version
	if r.readyAt.After(s.now) {
		if s.now.Before(r.dueAt) && g.recentlyUnloaded(held.Name, "", s.now) {
			// The entry is older than the unload that preceded this load.
			return
		}
		if s.isPlanner() && !r.dueAt.IsZero() {
			s.note("replicas", "a load is complete", Field{"endpoint", string(e.ID)}, Field{"model", held.Name},
				Field{"after_due", s.now.Sub(r.dueAt)})
			s.finishWeightLoad(e.ID, held.Name)
		}
		r.readyAt = s.now
		g.busyUntil = s.now
	}
	for name, readyAt := range r.adapters {
		if !slices.Contains(held.Adapters, name) && !s.now.Before(readyAt.Add(listUpdateLag)) {
			delete(r.adapters, name)
		}
	}
	for _, name := range held.Adapters {
		readyAt, ok := r.adapters[name]
		if ok && !readyAt.After(s.now) || !ok && g.recentlyUnloaded(held.Name, name, s.now) {
			continue
		}
		r.adapters[name] = s.now
	}
}

// modelReady reports whether an engine can run a model now.
func (e *endpoint) modelReady(model string, now time.Time) bool {
	r := e.engine.models[model]
	return r != nil && !r.readyAt.After(now)
}

// adapterReady reports whether an engine has an adapter of a model now.
func (e *endpoint) adapterReady(model, adapter string, now time.Time) bool {
	if adapter == "" {
		return true
	}
	r := e.engine.models[model]
	if r == nil {
		return false
	}
	readyAt, ok := r.adapters[adapter]
	return ok && !readyAt.After(now)
}
