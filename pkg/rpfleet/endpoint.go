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

	ID rpcore.EndpointID
	// Revision is that of the entry in the store, or 0 where it is not known.
	Revision      uint64
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
	for _, removed := range ev.Removed {
		s.entryRemoved(removed)
	}
	if ev.Complete {
		s.removeUnlisted(ev.Entries, ev.AsOf)
	}
	s.reportReadiness()
	s.endpointsChanged()
}

// entryRemoved removes an endpoint unless a newer entry of it is known.
func (s *State) entryRemoved(removed RemovedEntry) {
	if e := s.endpoints[removed.ID]; e != nil && (removed.Revision == 0 || e.Revision <= removed.Revision) {
		s.endpointMissing(e, removed.Revision)
	}
}

func (s *State) removeUnlisted(entries []Endpoint, asOf uint64) {
	listed := make(map[rpcore.EndpointID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, e := range s.sortedEndpoints() {
		if !listed[e.ID] {
			s.entryRemoved(RemovedEntry{ID: e.ID, Revision: asOf})
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
func (s *State) endpointMissing(e *endpoint, revision uint64) {
	e.Revision = max(e.Revision, revision)
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
	s.listGone(e)
	s.note("members", "an endpoint is gone", Field{"endpoint", string(e.ID)}, Field{"service", e.Service},
		Field{"reason", why}, Field{"entry_age", s.now.Sub(e.seenAt)})
}

func (s *State) endpointSeen(entry Endpoint) {
	if s.outdated(&entry) {
		return
	}
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
