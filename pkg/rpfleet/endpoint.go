package rpfleet

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpestimate"
)

// HeldModel is a model that an engine holds, with its adapters.
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

// Endpoint is an entry of the platform's list of endpoints.
type Endpoint struct {
	_ struct{} `cbor:",toarray"`

	ID rpcore.EndpointID
	// Revision is the store's revision of the entry, or 0 if it is not known.
	Revision      Revision
	Service       string
	Address       netip.AddrPort
	FailureDomain rpcore.FailureDomain
	// Incarnation identifies one run of the endpoint's process. After a restart
	// under the same id the endpoint holds nothing of before.
	Incarnation rpcore.Incarnation
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots   int
	Leaving bool
	// Warming is how much longer the endpoint is slow after its start.
	Warming time.Duration
	// Models and Cached are the models that an engine held and the places of
	// its checkpoints at its last heartbeat.
	Models []HeldModel
	Cached map[string]rpcore.CheckpointPlace
}

// EngineReport is an engine's answer when it is asked for its state.
type EngineReport struct {
	Incarnation rpcore.Incarnation
	Busy        bool
	// Sequence counts the orders that the engine has accepted.
	Sequence uint64
	Models   []HeldModel
	// Incoming are the adapters that the engine is loading.
	Incoming []IncomingAdapter
	Cached   map[string]rpcore.CheckpointPlace
	Queued   int
	Active   int
}

// endpoint is this instance's view of an endpoint.
type endpoint struct {
	Endpoint
	entrySeenAt time.Time
	// listChange is the number of the last change of the entry; see
	// listChanges.
	listChange    uint64
	listChangedAt time.Time
	// leavingNoticed says that a response of the endpoint said that it is
	// leaving, and leavingListed that the list or the planner did.
	leavingNoticed bool
	leavingListed  bool
	// heldOffUntil is the end of the time for which the endpoint wants no
	// requests from this instance.
	heldOffUntil time.Time
	// missingSince is set while the list lacks the endpoint after an outage of
	// the store.
	missingSince time.Time
	// inFlight counts this instance's attempts. inFlightElsewhere counts those
	// of all other instances, as reported by the planner.
	inFlight          int
	inFlightElsewhere int
	// loadElsewhere is inFlightElsewhere, smoothed over the last reports.
	loadElsewhere float64
	// pendingPrefill counts the prompt tokens of this instance's attempts that
	// have no first event yet.
	pendingPrefill int
	// inFlightModels counts this instance's attempts by weightsName.
	inFlightModels map[string]int

	// joinedAt is when this incarnation was first seen in the list.
	joinedAt time.Time
	// speed is what this instance knows of the speed of an engine, and pooledSpeed
	// what it pools as the planner.
	speed       rpestimate.Engine
	pooledSpeed rpestimate.Pooled

	health health
	engine engineState
}

// handleEndpointsRead applies a read of the list or of its changes.
func (s *State) handleEndpointsRead(ev EndpointsRead) {
	if !s.storeLostAt.IsZero() {
		s.note("members", "the list of endpoints can be read again", Field{"lost_for", s.now.Sub(s.storeLostAt)})
		s.storeLostAt = time.Time{}
		s.storeRestoredAt = s.now
	}
	s.endpointsKnown = true
	s.listReadAt = s.now
	s.listChanges.ownReadBeganAt = ev.AskedAt
	for i := range ev.Entries {
		s.updateEndpoint(ev.Entries[i])
	}
	for _, removed := range ev.Removed {
		s.handleEntryRemoved(removed)
	}
	if ev.Complete {
		s.removeUnlistedEndpoints(ev.Entries, ev.AsOf)
	}
	s.recordListOfEra(ev.AsOf.Era())
	s.updateReadiness()
	s.dispatchAndSchedulePlan()
}

// handleEntryRemoved removes an endpoint unless a newer entry is known.
func (s *State) handleEntryRemoved(removed RemovedEntry) {
	if e := s.endpoints[removed.ID]; e != nil && (removed.Revision == 0 || e.Revision <= removed.Revision) {
		s.handleMissingEndpoint(e, removed.Revision)
	}
}

func (s *State) removeUnlistedEndpoints(entries []Endpoint, asOf Revision) {
	listed := make(map[rpcore.EndpointID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, e := range s.sortedEndpoints() {
		if !listed[e.ID] {
			s.handleEntryRemoved(RemovedEntry{ID: e.ID, Revision: asOf})
		}
	}
}

func (s *State) handleStoreLost() {
	if s.storeLostAt.IsZero() {
		s.storeLostAt = s.now
		s.note("members", "the list of endpoints can't be read; the last read stays in use")
	}
}

// handleMissingEndpoint removes an endpoint that the list lacks. After an
// outage of the store the list may lack live endpoints for a short time. They
// stay in use for Policy.EntryGrace.
func (s *State) handleMissingEndpoint(e *endpoint, revision Revision) {
	e.Revision = max(e.Revision, revision)
	if e.Leaving || s.storeRestoredAt.IsZero() || s.now.Sub(s.storeRestoredAt) >= s.policy.EntryGrace {
		s.removeEndpoint(e, "its entry was removed from the list")
		return
	}
	if e.missingSince.IsZero() {
		e.missingSince = s.now
		s.note("members", "an endpoint is missing after an outage of the store",
			Field{"endpoint", string(e.ID)}, Field{"grace", s.policy.EntryGrace})
		s.runAt(s.storeRestoredAt.Add(s.policy.EntryGrace), (*State).removeMissingEndpoints)
	}
}

func (s *State) removeMissingEndpoints() {
	for _, e := range s.sortedEndpoints() {
		if !e.missingSince.IsZero() {
			s.removeEndpoint(e, "its entry did not return after an outage of the store")
		}
	}
}

func (s *State) removeEndpoint(e *endpoint, reason string) {
	delete(s.endpoints, e.ID)
	if e.Leaving {
		s.rememberDeparture(e.ID, e.Incarnation)
	}
	s.emit(CloseIdleConnections{Address: e.Address})
	s.endpointsByService, s.endpointsByID = nil, nil
	s.recordListRemoval(e)
	s.note("members", "an endpoint was removed", Field{"endpoint", string(e.ID)}, Field{"service", e.Service},
		Field{"reason", reason}, Field{"entry_age", s.now.Sub(e.entrySeenAt)})
}

// updateEndpoint adds an endpoint or updates its entry, unless the entry is
// older than the known one.
func (s *State) updateEndpoint(entry Endpoint) {
	e := s.endpoints[entry.ID]
	if e != nil && e.Incarnation == entry.Incarnation && entry.Leaving {
		// This holds even if the entry is otherwise older than the known one.
		e.leavingListed = true
		s.markLeaving(e, "its entry says so")
	}
	if s.isOutdatedEntry(&entry) {
		return
	}
	if e != nil && e.Incarnation != entry.Incarnation {
		s.removeEndpoint(e, "another incarnation joined under its id")
		e = nil
	}
	if e == nil {
		s.addEndpoint(entry)
		return
	}
	// An entry that was written before the endpoint began to leave.
	entry.Leaving = entry.Leaving || e.Leaving
	if !sameRoutingEntry(&e.Endpoint, &entry) {
		e.listChange, e.listChangedAt = s.nextListChange(), s.now
	}
	moved := e.Address != entry.Address || e.Service != entry.Service
	e.Endpoint = entry
	e.entrySeenAt = s.now
	e.missingSince = time.Time{}
	if moved {
		s.endpointsByService = nil
	}
	s.applyHeldModels(e, entry.Models)
}

func (s *State) addEndpoint(entry Endpoint) {
	e := &endpoint{Endpoint: entry, entrySeenAt: s.now, joinedAt: s.now, listChange: s.nextListChange(), listChangedAt: s.now, inFlightModels: map[string]int{}}
	if s.hasDeparted(e.ID, e.Incarnation) {
		e.Leaving = true
	}
	e.engine.models = map[string]*replica{}
	e.engine.recentUnloads = map[string]time.Time{}
	s.endpoints[entry.ID] = e
	s.lastJoinAt = s.now
	s.endpointsByService, s.endpointsByID = nil, nil
	s.note("members", "an endpoint joined", Field{"endpoint", string(e.ID)}, Field{"service", e.Service},
		Field{"address", e.Address.String()}, Field{"failure_domain", string(e.FailureDomain)},
		Field{"leaving", e.Leaving}, Field{"models", len(entry.Models)}, Field{"cached", len(entry.Cached)})
	s.applyHeldModels(e, entry.Models)
}

// endpointsOf returns the endpoints of a service, sorted by id.
func (s *State) endpointsOf(service string) []*endpoint {
	if s.endpointsByService == nil {
		s.endpointsByService = map[string][]*endpoint{}
		for _, e := range s.sortedEndpoints() {
			s.endpointsByService[e.Service] = append(s.endpointsByService[e.Service], e)
		}
	}
	return s.endpointsByService[service]
}

// sortedEndpoints returns all endpoints, sorted by id. The slice is cached, so
// callers must not change it.
func (s *State) sortedEndpoints() []*endpoint {
	if s.endpointsByID == nil {
		s.endpointsByID = slices.SortedFunc(maps.Values(s.endpoints), func(a, b *endpoint) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
	}
	return s.endpointsByID
}
