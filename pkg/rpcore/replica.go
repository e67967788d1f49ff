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
	deps replicaDeps
	// loadedOn lists the endpoints that have a model or adapter loaded, ordered
	// by id. The slices are replaced and never changed in place, so callers
	// may keep one during an event.
	loadedOn map[ModelKey][]*endpoint
	engines  map[EndpointID]*engineView
	models   map[ModelKey]*modelState
	rows     map[RowKey]*cachedRow
	observed map[Nonce]slotObservation
	// loads holds the slots of this incarnation whose load orders are not
	// known to be dead in the table.
	loads     map[Nonce]*ownLoad
	releases  map[Nonce]*slotRelease
	orders    map[OrderID]*pendingOrder
	loadTimes map[loadTimeKey]time.Duration
	// homeCache caches homeOf for the live instances of index.
	homeCache map[string]InstanceID
	homeIndex homeIndex
	// syncedChanges is the count of member changes that engines takes in.
	syncedChanges uint64
	// tableDownSince is the time of the first of the table's failures that no
	// success has followed.
	tableDownSince time.Time
	// tableFailedAt is the time of the last failure.
	tableFailedAt time.Time
	lastOrder     uint64
	// documentChangedAt is the time at which the document of a service came into
	// force here.
	documentChangedAt map[string]time.Time
	maintenanceRounds uint64
}

// modelState is what this instance keeps about a model or adapter.
type modelState struct {
	key ModelKey
	// demandActive says that the demand loop of this instance runs.
	demandActive bool
	// demandStartedAt is the time at which the loop started; unansweredSince is
	// the time of the first Demand that the home has not answered.
	demandStartedAt       time.Time
	demandUnansweredSince time.Time
	// expectedAt is the time at which the home expects a replica.
	expectedAt  time.Time
	peerDemands map[InstanceID]peerDemand
	// reservation is the one under way.
	reservation *reservation
	// nextReservationAt bounds the rate of reservations that find nothing to do.
	nextReservationAt time.Time
	// noRoomAt is the time at which a reservation last found no room.
	noRoomAt time.Time
	// loadFailures counts the loads that failed since one succeeded; retryAt is
	// the time before which no other is started, and avoid holds the times
	// until which an engine is chosen only for want of another.
	loadFailures int
	nextLoadAt   time.Time
	avoidUntil   map[EndpointID]time.Time
	// rolloutReplicas is the number of replicas to have again during a version
	// rollout, whether or not requests wait.
	rolloutReplicas int
	// peerUsedAt and rate tell of the use that other instances announce.
	peerUsedAt    time.Time
	peerUseRate   float64
	peerUseRateAt time.Time
}

// startReplicas prepares the view of a new incarnation, which never sends an
// order for a slot of an earlier one.
func (s *State) startReplicas() {
	s.replicas = replicaView{
		deps:              newReplicaDeps(),
		loadedOn:          make(map[ModelKey][]*endpoint),
		engines:           make(map[EndpointID]*engineView),
		models:            make(map[ModelKey]*modelState),
		rows:              make(map[RowKey]*cachedRow),
		observed:          make(map[Nonce]slotObservation),
		loads:             make(map[Nonce]*ownLoad),
		releases:          make(map[Nonce]*slotRelease),
		orders:            make(map[OrderID]*pendingOrder),
		loadTimes:         make(map[loadTimeKey]time.Duration),
		homeCache:         make(map[string]InstanceID),
		homeIndex:         homeIndex{documents: make(map[string]*rpdocument.Document)},
		documentChangedAt: make(map[string]time.Time),
	}
	s.tickets = ticketView{ownTickets: make(map[Nonce]*ownTicket), leases: make(map[Nonce]*ticketLease)}
	s.runAfter(s.jitter(maintenanceInterval), (*State).maintainReplicas)
}

// ensureModelState returns the state of a model and creates it where needed.
func (s *State) ensureModelState(key ModelKey) *modelState {
	m := s.replicas.models[key]
	if m == nil {
		m = &modelState{
			key:         key,
			peerDemands: make(map[InstanceID]peerDemand),
			avoidUntil:  make(map[EndpointID]time.Time),
		}
		s.replicas.models[key] = m
	}
	return m
}

// replicaHome returns the home of a key; the result is kept, since a fleet has
// many keys and many instances.
func (s *State) replicaHome(key string) InstanceID {
	s.updateHomes()
	home, ok := s.replicas.homeCache[key]
	if !ok {
		if len(s.replicas.homeCache) >= homesLimit {
			clear(s.replicas.homeCache)
		}
		home = s.homeOf(key)
		s.replicas.homeCache[key] = home
	}
	return home
}

func (s *State) isReplicaHome(key ModelKey) bool {
	return s.replicaHome(key.String()) == s.self.Instance
}

// syncEngineViews reacts to a change of the instance list or of the
// peers that can be reached.
func (s *State) syncEngineViews() {
	if s.replicas.syncedChanges == s.members.generation {
		return
	}
	s.replicas.syncedChanges = s.members.generation
	for _, id := range sortedKeys(s.replicas.engines) {
		s.dropStaleEngineView(id)
	}
}

// applyReplicaDocument reacts to a new document in force.
func (s *State) applyReplicaDocument(service string) {
	s.replicas.documentChangedAt[service] = s.now
	s.replicas.homeIndex.modelsStale = true
	for _, nonce := range sortedKeys(s.replicas.loads) {
		load := s.replicas.loads[nonce]
		if load.slot.Model.Service == service && !s.isSpecCurrent(load.spec) {
			s.withdrawLoad(load)
		}
	}
	s.auditServiceModels(service)
}

// replicasDrained reports whether a planned stop may end: no order of this
// instance is under way, its tickets are released, and the table says of each
// order that was answered that it is dead. An order whose answer was lost does
// not hold up the stop: the end of this incarnation resolves it.
func (s *State) replicasDrained() bool {
	if len(s.replicas.orders) > 0 || len(s.tickets.ownTickets) > 0 {
		return false
	}
	for _, load := range s.replicas.loads {
		if load.phase != loadUnconfirmed && load.phase != loadAmbiguous {
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

// emitReplicaNote writes an entry about a model on an engine.
func (s *State) emitReplicaNote(text string, key ModelKey, id EndpointID) {
	s.emit(Note{Part: "replicas", Text: text, Model: key, Endpoint: id})
}
