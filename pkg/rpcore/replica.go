package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// homesLimit bounds the homes that are kept, since documents drop models. The
// design size has 2,300 models and adapters.
const homesLimit = 8192

// replicaView holds the replicas, their slots and the orders under way.
type replicaView struct {
	seams replicaSeams
	// served lists the endpoints that have a model or adapter loaded, ordered
	// by id. The slices are replaced and never changed in place, so callers
	// may keep one during an event.
	served  map[ModelKey][]*endpoint
	engines map[EndpointID]*engineView
	models  map[ModelKey]*modelState
	rows    map[RowKey]*knownRow
	seen    map[Nonce]slotSeen
	// loads holds the slots of this incarnation whose load orders are not
	// known to be dead in the table.
	loads    map[Nonce]*ownLoad
	releases map[Nonce]*release
	orders   map[OrderID]*order
	measured map[loadTimeKey]time.Duration
	// homes caches homeOf for the live instances of index.
	homes map[string]InstanceID
	index homeIndex
	// synced is the count of member changes that engines takes in.
	synced uint64
	// tableDown is the time of the first of the table's failures that no
	// success has followed.
	tableDown time.Time
	// tableFailedAt is the time of the last failure.
	tableFailedAt time.Time
	lastOrder     uint64
	// documentAt is the time at which the document of a service came into
	// force here.
	documentAt map[string]time.Time
	ticks      uint64
}

// modelState is what this instance keeps about a model or adapter.
type modelState struct {
	key ModelKey
	// demanding says that the demand loop of this instance runs.
	demanding bool
	// demandedAt is the time at which the loop started; unansweredSince is
	// the time of the first Demand that the home has not answered.
	demandedAt      time.Time
	unansweredSince time.Time
	// expectedAt is the time at which the home expects a replica.
	expectedAt time.Time
	heard      map[InstanceID]heardDemand
	// reservation is the one under way.
	reservation *reservation
	// nextTry bounds the rate of reservations that find nothing to do.
	nextTry time.Time
	// blockedAt is the time at which a reservation last found no room.
	blockedAt time.Time
	// failures counts the loads that failed since one succeeded; retryAt is
	// the time before which no other is started, and avoid holds the times
	// until which an engine is chosen only for want of another.
	failures int
	retryAt  time.Time
	avoid    map[EndpointID]time.Time
	// restore is the number of replicas to have again during a version
	// rollout, whether or not requests wait.
	restore int
	// lastUse and rate tell of the use that other instances announce.
	lastUse time.Time
	rate    float64
	rateAt  time.Time
}

// startReplicas prepares the view of a new incarnation, which never sends an
// order for a slot of an earlier one.
func (s *State) startReplicas() {
	s.replicas = replicaView{
		seams:      newReplicaSeams(),
		served:     make(map[ModelKey][]*endpoint),
		engines:    make(map[EndpointID]*engineView),
		models:     make(map[ModelKey]*modelState),
		rows:       make(map[RowKey]*knownRow),
		seen:       make(map[Nonce]slotSeen),
		loads:      make(map[Nonce]*ownLoad),
		releases:   make(map[Nonce]*release),
		orders:     make(map[OrderID]*order),
		measured:   make(map[loadTimeKey]time.Duration),
		homes:      make(map[string]InstanceID),
		index:      homeIndex{documents: make(map[string]*rpdocument.Document)},
		documentAt: make(map[string]time.Time),
	}
	s.tickets = ticketView{asks: make(map[Nonce]*ticketAsk), held: make(map[Nonce]*ticketLease)}
	s.runAfter(s.jitter(maintenanceInterval), (*State).maintainReplicas)
}

// modelState returns the state of a model and creates it where needed.
func (s *State) modelState(key ModelKey) *modelState {
	m := s.replicas.models[key]
	if m == nil {
		m = &modelState{
			key:   key,
			heard: make(map[InstanceID]heardDemand),
			avoid: make(map[EndpointID]time.Time),
		}
		s.replicas.models[key] = m
	}
	return m
}

// replicaHome returns the home of a key; the result is kept, since a fleet has
// many keys and many instances.
func (s *State) replicaHome(key string) InstanceID {
	s.followLive()
	home, ok := s.replicas.homes[key]
	if !ok {
		if len(s.replicas.homes) >= homesLimit {
			clear(s.replicas.homes)
		}
		home = s.homeOf(key)
		s.replicas.homes[key] = home
	}
	return home
}

func (s *State) isReplicaHome(key ModelKey) bool {
	return s.replicaHome(key.String()) == s.self.Instance
}

// replicaMembersChanged reacts to a change of the instance list or of the
// peers that can be reached.
func (s *State) replicaMembersChanged() {
	if s.replicas.synced == s.members.generation {
		return
	}
	s.replicas.synced = s.members.generation
	for _, id := range sortedKeys(s.replicas.engines) {
		s.syncEngine(id)
	}
}

// replicaDocumentChanged reacts to a new document in force.
func (s *State) replicaDocumentChanged(service string) {
	s.replicas.documentAt[service] = s.now
	s.replicas.index.modelsChanged = true
	for _, nonce := range sortedKeys(s.replicas.loads) {
		load := s.replicas.loads[nonce]
		if load.slot.Model.Service == service && !s.specCurrent(load.spec) {
			s.withdrawLoad(load)
		}
	}
	s.auditService(service)
}

// replicasReleased reports whether a planned stop may end: no order of this
// instance is under way, its tickets are released, and the table says of each
// order that was answered that it is dead. An order whose answer was lost does
// not hold up the stop: the end of this incarnation resolves it.
func (s *State) replicasReleased() bool {
	if len(s.replicas.orders) > 0 || len(s.tickets.asks) > 0 {
		return false
	}
	for _, load := range s.replicas.loads {
		if load.phase != loadMaybe && load.phase != loadAmbiguous {
			return false
		}
	}
	for _, m := range s.replicas.models {
		if m.reservation != nil {
			return false
		}
	}
	return true
}

// replicaNote writes an entry about a model on an engine.
func (s *State) replicaNote(text string, key ModelKey, id EndpointID) {
	s.emit(Note{Part: "replicas", Text: text, Model: key, Endpoint: id})
}
