package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// homesLimit limits the cache of home instances, which keeps entries of models
// that documents no longer declare. The design size has 2,300 models and
// adapters.
const homesLimit = 8192

// replicaView is this instance's view of the replicas: the slots that reserve
// them, and its loads, unloads and pending orders.
type replicaView struct {
	deps replicaDeps
	// loadedOn lists the endpoints that have a model or adapter loaded, ordered
	// by id. The slices are replaced and never changed in place, so a caller
	// may keep one for the duration of an event.
	loadedOn map[ModelKey][]*endpoint
	engines  map[EndpointID]*engineView
	models   map[ModelKey]*modelState
	rows     map[RowKey]*cachedRow
	observed map[Nonce]slotObservation
	// loads holds the loads of this incarnation by the nonce of their slot. An
	// entry is kept until the table records that its load order can't take
	// effect any more.
	loads         map[Nonce]*ownLoad
	releases      map[Nonce]*slotRelease
	pendingOrders map[OrderID]*pendingOrder
	loadTimes     map[loadTimeKey]time.Duration
	// homeCache holds results of homeOf, valid for homeIndex.liveInstances.
	homeCache map[string]InstanceID
	homeIndex homeIndex
	// memberGeneration is the value of members.generation up to which engines
	// is current.
	memberGeneration uint64
	// tableDownSince is the time of the first failure of the table since its
	// last success, or zero.
	tableDownSince time.Time
	// tableFailedAt is the time of the last failure of the table.
	tableFailedAt   time.Time
	lastOrderNumber uint64
	// documentChangedAt is the time at which the current document of a service
	// came into force on this instance.
	documentChangedAt map[string]time.Time
	maintenanceRounds uint64
}

// modelState is what this instance knows about a model or adapter.
type modelState struct {
	key ModelKey
	// demandActive is set while the demand loop of this instance runs.
	demandActive bool
	// demandStartedAt is the time at which the demand loop started.
	// demandUnansweredSince is the time of the first Demand message that the
	// home has not answered, or zero.
	demandStartedAt       time.Time
	demandUnansweredSince time.Time
	// expectedAt is the time at which the home expects a replica to serve.
	expectedAt  time.Time
	peerDemands map[InstanceID]peerDemand
	// reservation is the running reservation, or nil.
	reservation *reservation
	// nextReservationAt is the earliest time of the next reservation. It limits
	// the rate of reservations that find nothing to do.
	nextReservationAt time.Time
	// noRoomAt is the time at which a reservation last found no room.
	noRoomAt time.Time
	// loadFailures counts the failed loads since the last success. No load
	// starts before nextLoadAt. avoidUntil holds the times until which
	// placement penalizes an engine that failed a load of this model.
	loadFailures int
	nextLoadAt   time.Time
	avoidUntil   map[EndpointID]time.Time
	// rolloutReplicas is the number of replicas to restore during a version
	// rollout, even if no requests wait. It is zero outside a rollout.
	rolloutReplicas int
	// peerUsedAt is the time of the last use that another instance announced.
	// peerUseRate is the decaying rate of such announcements, as of
	// peerUseRateAt.
	peerUsedAt    time.Time
	peerUseRate   float64
	peerUseRateAt time.Time
}

// startReplicas resets the view for a new incarnation, which never sends an
// order for a slot of an earlier one.
func (s *State) startReplicas() {
	s.replicas = replicaView{
		deps:              defaultReplicaDeps(),
		loadedOn:          make(map[ModelKey][]*endpoint),
		engines:           make(map[EndpointID]*engineView),
		models:            make(map[ModelKey]*modelState),
		rows:              make(map[RowKey]*cachedRow),
		observed:          make(map[Nonce]slotObservation),
		loads:             make(map[Nonce]*ownLoad),
		releases:          make(map[Nonce]*slotRelease),
		pendingOrders:     make(map[OrderID]*pendingOrder),
		loadTimes:         make(map[loadTimeKey]time.Duration),
		homeCache:         make(map[string]InstanceID),
		homeIndex:         homeIndex{documents: make(map[string]*rpdocument.Document)},
		documentChangedAt: make(map[string]time.Time),
	}
	s.tickets = ticketView{ownTickets: make(map[Nonce]*ownTicket), leases: make(map[Nonce]*ticketLease)}
	s.runAfter(s.jitter(maintenanceInterval), (*State).maintainReplicas)
}

// ensureModelState returns the state of a model, and creates it if needed.
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

// cachedHomeOf returns the home instance of a key. The result is cached, since
// a fleet has many keys and many instances.
func (s *State) cachedHomeOf(key string) InstanceID {
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

func (s *State) isHomeOfModel(key ModelKey) bool {
	return s.cachedHomeOf(key.String()) == s.self.Instance
}

// syncEngineViews drops the views of engines that the instance list no longer
// shows in the same incarnation.
func (s *State) syncEngineViews() {
	if s.replicas.memberGeneration == s.members.generation {
		return
	}
	s.replicas.memberGeneration = s.members.generation
	for _, id := range sortedKeys(s.replicas.engines) {
		s.dropStaleEngineView(id)
	}
}

// applyDocumentToReplicas applies a new document of a service: it withdraws
// loads that the document no longer allows and audits the models of the
// service.
func (s *State) applyDocumentToReplicas(service string) {
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

// replicasDrained reports whether the replica part allows a planned stop to
// end: this instance has no pending order, ticket or reservation, and the table
// records every answered order as dead. An order whose answer was lost does not
// delay the stop: the end of this incarnation resolves it.
func (s *State) replicasDrained() bool {
	if len(s.replicas.pendingOrders) > 0 || len(s.tickets.ownTickets) > 0 {
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

// emitReplicaNote logs a note about a model on an engine.
func (s *State) emitReplicaNote(text string, key ModelKey, id EndpointID) {
	s.emit(Note{Part: "replicas", Text: text, Model: key, Endpoint: id})
}
