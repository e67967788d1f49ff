package rpfleet

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// HeldModel is a model that an engine holds, with the adapters of it.
type HeldModel struct {
	_ struct{} `cbor:",toarray"`

	Name     string
	Version  string
	Adapters []string
}

// IncomingAdapter is an adapter that an engine is loading.
type IncomingAdapter struct {
	Model string
	Name  string
}

// Endpoint is an entry of the platform's list.
type Endpoint struct {
	_ struct{} `cbor:",toarray"`

	ID            rpcore.EndpointID
	Service       string
	Address       netip.AddrPort
	FailureDomain rpcore.FailureDomain
	// Incarnation names the lifetime: an endpoint may start again under its
	// id and then holds nothing of before.
	Incarnation rpcore.Incarnation
	// Slots is the number of requests that the endpoint runs at once.
	Slots   int
	Leaving bool
	// Warming is how much longer the endpoint is slow after its start.
	Warming time.Duration
	// Models and Cached are what an engine held at its last heartbeat.
	Models []HeldModel
	Cached map[string]rpcore.CheckpointPlace
}

// EngineReport is the state of an engine as it tells it when asked.
type EngineReport struct {
	Incarnation rpcore.Incarnation
	Busy        bool
	// Sequence counts the orders that the engine has accepted.
	Sequence uint64
	Models   []HeldModel
	// Incoming are the adapters on their way to the engine.
	Incoming []IncomingAdapter
	Cached   map[string]rpcore.CheckpointPlace
	Queued   int
	Active   int
}

// endpoint is what this instance believes of an endpoint.
type endpoint struct {
	Endpoint
	seenAt time.Time
	// listChange is the number of the last change of the entry.
	listChange    uint64
	listChangedAt time.Time
	// missingSince is set while the list lacks the endpoint after an outage of
	// the store.
	missingSince time.Time
	// inFlight counts own attempts, and others those of the other instances
	// as the planner told them.
	inFlight int
	others   int
	// prefill counts the prompt tokens of own attempts without a first event.
	prefill int
	// inFlightModels counts own attempts by model.
	inFlightModels map[string]int

	health health
	engine engineState
}

// replica is a model on an engine.
type replica struct {
	version  string
	adapters map[string]time.Time
	// readyAt is in the future while the model is being loaded, and dueAt is when
	// the load should be done. A load from the weight store can take longer than
	// that, so its readyAt comes with the entry of the list that shows it.
	readyAt time.Time
	dueAt   time.Time
	// loadedAt is when this instance first saw the replica.
	loadedAt time.Time
	usedAt   time.Time
}

// adapterSet holds the adapters of a model that an engine has or is loading.
type adapterSet map[string]bool

// engineState is what is believed of the content of an engine. Requests go by
// models, which follows the list of endpoints and may be wrong for a moment.
// Orders go by content, which must not be: it comes from the engine's own
// report and the orders that it accepted since.
type engineState struct {
	// sequence is the number of orders that the engine has accepted as far as
	// is known.
	sequence uint64
	models   map[string]*replica
	// dropped holds when models and adapters were unloaded, by their names as
	// in droppedName.
	dropped map[string]time.Time
	// verified says that content is what the engine holds after it accepted
	// sequence orders. Only the planner verifies.
	verified bool
	content  map[string]adapterSet
	// order is the order in progress; only the planner has one.
	order *order
	// busyUntil is when the last accepted order should be done.
	busyUntil time.Time
	// orderedAt is the time of the last accepted order, reportAt the earliest
	// one of the next question.
	orderedAt time.Time
	// sentAt is when the last order of this instance may have been sent at the
	// latest.
	sentAt time.Time
	// change is the number of the planner's last change of the engine.
	change     uint64
	unloadedAt time.Time
	reportAt   time.Time
	// retryAt is the earliest time of the next order after a conflict.
	retryAt   time.Time
	conflicts int
	// plannedLoad is the model that room is being made for.
	plannedLoad string
}

// endpointsRead takes in entries of the list.
func (s *State) endpointsRead(ev EndpointsRead) {
	if !s.storeLostAt.IsZero() {
		s.note("members", "the list of endpoints can be read again", Field{"lost_for", s.now.Sub(s.storeLostAt)})
		s.storeLostAt = time.Time{}
		s.storeBackAt = s.now
	}
	s.listed = true
	s.listReadAt = s.now
	for i := range ev.Entries {
		s.endpointSeen(ev.Entries[i])
	}
	for _, id := range ev.Removed {
		if e := s.endpoints[id]; e != nil {
			s.endpointMissing(e)
		}
	}
	if ev.Complete {
		s.removeUnlisted(ev.Entries)
	}
	s.reportReadiness()
	s.endpointsChanged()
}

func (s *State) removeUnlisted(entries []Endpoint) {
	listed := make(map[rpcore.EndpointID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, e := range s.sortedEndpoints() {
		if !listed[e.ID] {
			s.endpointMissing(e)
		}
	}
}

func (s *State) storeLost() {
	if s.storeLostAt.IsZero() {
		s.storeLostAt = s.now
		s.note("members", "the list of endpoints can't be read; the last reading stays in use")
	}
}

// endpointMissing removes an endpoint that the list lacks. After an outage of
// the store the entries of live endpoints may be missing for a short time, in
// which the endpoint stays in use.
func (s *State) endpointMissing(e *endpoint) {
	if e.Leaving || s.storeBackAt.IsZero() || s.now.Sub(s.storeBackAt) >= s.policy.EntryGrace {
		s.endpointGone(e, "its entry is gone from the list")
		return
	}
	if e.missingSince.IsZero() {
		e.missingSince = s.now
		s.note("members", "an endpoint is missing after an outage of the store",
			Field{"endpoint", string(e.ID)}, Field{"grace", s.policy.EntryGrace})
		s.at(s.storeBackAt.Add(s.policy.EntryGrace), (*State).removeMissing)
	}
}

func (s *State) removeMissing() {
	for _, e := range s.sortedEndpoints() {
		if !e.missingSince.IsZero() {
			s.endpointGone(e, "its entry did not return after an outage of the store")
		}
	}
}

func (s *State) endpointGone(e *endpoint, why string) {
	delete(s.endpoints, e.ID)
	s.byService, s.sorted = nil, nil
	s.listGone(e.ID)
	s.note("members", "an endpoint is gone", Field{"endpoint", string(e.ID)}, Field{"service", e.Service},
		Field{"reason", why}, Field{"entry_age", s.now.Sub(e.seenAt)})
}

func (s *State) endpointSeen(entry Endpoint) {
	e := s.endpoints[entry.ID]
	if e != nil && e.Incarnation != entry.Incarnation {
		s.endpointGone(e, "another incarnation took its id")
		e = nil
	}
	if e == nil {
		s.endpointAdded(entry)
		return
	}
	if entry.Leaving && !e.Leaving {
		s.note("members", "an endpoint is leaving", Field{"endpoint", string(e.ID)}, Field{"service", e.Service},
			Field{"entry_age", s.now.Sub(e.seenAt)})
	}
	if !sameEntry(&e.Endpoint, &entry) {
		e.listChange, e.listChangedAt = s.nextListChange(), s.now
	}
	moved := e.Address != entry.Address || e.Service != entry.Service
	wasLeaving := e.Leaving
	e.Endpoint = entry
	// An incarnation that has begun to leave never returns to service.
	e.Leaving = entry.Leaving || wasLeaving
	e.seenAt = s.now
	e.missingSince = time.Time{}
	if moved {
		s.byService = nil
	}
	s.adoptContent(e, entry.Models)
}

func (s *State) endpointAdded(entry Endpoint) {
	e := &endpoint{Endpoint: entry, seenAt: s.now, listChange: s.nextListChange(), listChangedAt: s.now, inFlightModels: map[string]int{}}
	e.engine.models = map[string]*replica{}
	e.engine.dropped = map[string]time.Time{}
	s.endpoints[entry.ID] = e
	s.joinedAt = s.now
	s.byService, s.sorted = nil, nil
	s.note("members", "an endpoint joined", Field{"endpoint", string(e.ID)}, Field{"service", e.Service},
		Field{"address", e.Address.String()}, Field{"failure_domain", string(e.FailureDomain)},
		Field{"leaving", e.Leaving}, Field{"models", len(entry.Models)}, Field{"cached", len(entry.Cached)})
	s.adoptContent(e, entry.Models)
}

// contentLag covers the time between a change at an engine and the entry of the
// list that shows it: a heartbeat, the lag of the list and the interval at which
// it is read. Within it an entry may be older than the change.
const contentLag = 3 * time.Second

func droppedName(model, adapter string) string { return model + "/" + adapter }

// drop takes in that an engine no longer has a model, or an adapter of it.
func (g *engineState) drop(model, adapter string, now time.Time) {
	g.dropped[droppedName(model, adapter)] = now
	if adapter == "" {
		delete(g.models, model)
		return
	}
	if r := g.models[model]; r != nil {
		delete(r.adapters, adapter)
	}
}

// droppedLately reports whether news that an engine has a model or adapter may
// be from before it was unloaded.
func (g *engineState) droppedLately(model, adapter string, now time.Time) bool {
	at, ok := g.dropped[droppedName(model, adapter)]
	if ok && now.Sub(at) >= contentLag {
		delete(g.dropped, droppedName(model, adapter))
		return false
	}
	return ok
}

// adoptContent takes in what an engine says that it holds. What was ordered
// lately goes before it.
func (s *State) adoptContent(e *endpoint, models []HeldModel) {
	g := &e.engine
	held := make(map[string]bool, len(models))
	for i := range models {
		held[models[i].Name] = true
		s.adoptModel(g, &models[i])
	}
	for _, name := range sortedKeys(g.models) {
		if !held[name] && !s.now.Before(g.models[name].readyAt.Add(contentLag)) {
			delete(g.models, name)
		}
	}
}

func (s *State) adoptModel(g *engineState, held *HeldModel) {
	r := g.models[held.Name]
	if r == nil {
		if g.droppedLately(held.Name, "", s.now) {
			return
		}
		r = &replica{adapters: map[string]time.Time{}, loadedAt: s.now}
		g.models[held.Name] = r
	}
	r.version = held.Version
	if r.readyAt.After(s.now) {
		r.readyAt = s.now
		g.busyUntil = s.now
	}
	for name, readyAt := range r.adapters {
		if !slices.Contains(held.Adapters, name) && !s.now.Before(readyAt.Add(contentLag)) {
			delete(r.adapters, name)
		}
	}
	for _, name := range held.Adapters {
		readyAt, ok := r.adapters[name]
		if ok && !readyAt.After(s.now) || !ok && g.droppedLately(held.Name, name, s.now) {
			continue
		}
		r.adapters[name] = s.now
	}
}

// endpointsOf returns the endpoints of a service in the order of their ids.
func (s *State) endpointsOf(service string) []*endpoint {
	if s.byService == nil {
		s.byService = map[string][]*endpoint{}
		for _, e := range s.sortedEndpoints() {
			s.byService[e.Service] = append(s.byService[e.Service], e)
		}
	}
	return s.byService[service]
}

// sortedEndpoints returns all endpoints in the order of their ids. The slice is
// kept until an endpoint joins or goes, so it must not be changed.
func (s *State) sortedEndpoints() []*endpoint {
	if s.sorted == nil {
		s.sorted = slices.SortedFunc(maps.Values(s.endpoints), func(a, b *endpoint) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
	}
	return s.sorted
}

// serves reports whether an engine can run a model now.
func (e *endpoint) serves(model string, now time.Time) bool {
	r := e.engine.models[model]
	return r != nil && !r.readyAt.After(now)
}

// hasAdapter reports whether an engine has an adapter of a model now.
func (e *endpoint) hasAdapter(model, adapter string, now time.Time) bool {
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

// AnswerHead is what the head of an endpoint's answer says.
type AnswerHead struct {
	// Request is the request that the answer belongs to.
	Request rpcore.RequestID
	// Signed says that an endpoint made the answer.
	Signed bool
	// NotRun says that the endpoint did not run the request.
	NotRun bool
	// Misdirected says that another endpoint has the address or that the
	// engine does not hold the model; Endpoint names the one that answered.
	Misdirected bool
	Endpoint    rpcore.EndpointID
	Version     string
}
