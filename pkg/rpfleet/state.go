package rpfleet

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// Policy holds the bounds that the settings set. A zero field stands for its
// default.
type Policy struct {
	// RetryRatio and RetrySlack bound the attempts beyond the first of each
	// request: in any RetryWindow, the attempts of all instances at a service
	// are at most RetryRatio times its requests plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// HolderGap is the least time between orders of two holders to one
	// engine.
	HolderGap time.Duration
	// EntryGrace is the time that the entry of a live endpoint may be missing
	// after an outage of the store.
	EntryGrace time.Duration
	// LeavingBound is the time after which an endpoint that leaves must get no
	// new work.
	LeavingBound time.Duration
	// CPUShare is the part of a core that this instance has.
	CPUShare float64
	// WeightLoads is the number of loads from the weight store at once, until
	// their times have shown how many run at full speed.
	WeightLoads int
}

// Defaults of Policy. The users' deployments state all of them but the
// EntryGrace, which their documents give as about two seconds.
const (
	DefaultRetryRatio   = 0.2
	DefaultRetrySlack   = 50
	DefaultRetryWindow  = 10 * time.Second
	DefaultHolderGap    = 3 * time.Second
	DefaultEntryGrace   = 2 * time.Second
	DefaultLeavingBound = 2 * time.Second
	DefaultWeightLoads  = 4
)

func (p Policy) withDefaults() Policy {
	p.RetryRatio = cmp.Or(p.RetryRatio, DefaultRetryRatio)
	p.RetrySlack = cmp.Or(p.RetrySlack, DefaultRetrySlack)
	p.RetryWindow = cmp.Or(p.RetryWindow, DefaultRetryWindow)
	p.HolderGap = cmp.Or(p.HolderGap, DefaultHolderGap)
	p.EntryGrace = cmp.Or(p.EntryGrace, DefaultEntryGrace)
	p.CPUShare = cmp.Or(p.CPUShare, minPlannerCPUShare)
	p.LeavingBound = cmp.Or(p.LeavingBound, DefaultLeavingBound)
	p.WeightLoads = cmp.Or(p.WeightLoads, DefaultWeightLoads)
	return p
}

// State is the view of one instance. Its zero value works after a Start event.
type State struct {
	self            rpcore.Identity
	peerAddress     netip.AddrPort
	policy          Policy
	rng             *rand.Rand
	now             time.Time
	effects         []Effect
	alarms          rpreducer.Alarms[State]
	ready           bool
	readyReason     string
	draining        bool
	lastOrderNumber uint64

	config             *Config
	configAt           time.Time
	endpoints          map[rpcore.EndpointID]*endpoint
	endpointsByService map[string][]*endpoint
	endpointsByID      []*endpoint
	endpointsKnown     bool
	listReadAt         time.Time
	// lastJoinAt is when the last endpoint joined.
	lastJoinAt      time.Time
	listChanges     listChanges
	storeLostAt     time.Time
	storeRestoredAt time.Time

	requests       map[rpcore.RequestID]*request
	queues         map[string][]*request
	budgets        map[string]*retryBudget
	statsByService map[string]*serviceStats
	demand         demandState
	lease          leaseState
	plan           planState
}

// Reduce applies one event and returns what has to be done. The slice is valid
// until the next call.
func (s *State) Reduce(ev Event) []Effect {
	clear(s.effects)
	s.effects = s.effects[:0]
	if at := ev.event().At; at.After(s.now) {
		s.now = at
	}
	s.handleEvent(ev)
	s.alarms.Fire(s.now, s)
	s.announceNextAlarm()
	return s.effects
}

func (s *State) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case Start:
		s.handleStart(ev)
	case PolicyChanged:
		s.policy = ev.Policy.withDefaults()
	case Tick:
		s.alarms.ClearAnnounced()
	case ConfigRead:
		s.handleConfigRead(ev.Config)
	case EndpointsRead:
		s.handleEndpointsRead(ev)
	case StoreLost:
		s.handleStoreLost()
	case RequestArrived:
		s.handleRequestArrived(ev.Request)
	case RequestAbandoned:
		s.handleRequestAbandoned(ev.Request)
	case AttemptStarted:
		s.handleAttemptStarted(ev)
	case AttemptEnded:
		s.handleAttemptEnded(ev)
	case LeaseRead:
		s.handleLeaseRead(ev)
	case LeaseWritten:
		s.handleLeaseWritten(ev)
	case OrderAnswered:
		s.handleOrderAnswered(ev)
	case EngineReported:
		s.handleEngineReported(ev)
	case DemandReceived:
		s.handleDemandReceived(ev)
	case DemandPosted:
		s.handleDemandPosted(ev.Demand)
	case PlacementReceived:
		s.handlePlacementReceived(ev)
	case DrainRequested:
		s.handleDrainRequested()
	case DrainTimeoutNear:
		s.refuseAllWaiting()
	}
}

func (s *State) handleStart(ev Start) {
	s.self = ev.Self
	s.peerAddress = ev.PeerAddress
	s.policy = ev.Policy.withDefaults()
	s.rng = rand.New(rand.NewPCG(ev.Seed, ev.Seed^0x9e3779b97f4a7c15))
	s.endpoints = map[rpcore.EndpointID]*endpoint{}
	s.requests = map[rpcore.RequestID]*request{}
	s.queues = map[string][]*request{}
	s.budgets = map[string]*retryBudget{}
	s.statsByService = map[string]*serviceStats{}
	s.updateReadiness()
	s.initDemand()
	s.initLease()
	s.initPlan()
}

// handleConfigRead puts a configuration in force unless it is older than the one
// that is.
func (s *State) handleConfigRead(config *Config) {
	if s.config != nil && config.Version <= s.config.Version {
		return
	}
	before := uint64(0)
	if s.config != nil {
		before = s.config.Version
	}
	s.config = config
	s.configAt = s.now
	s.note("documents", "a configuration is in force", Field{"config_version", config.Version},
		Field{"version_before", before}, Field{"routes", len(config.Routes)}, Field{"services", len(config.Services)})
	s.updateReadiness()
	s.dispatchAll()
	s.schedulePlan()
}

// updateReadiness tells the balancer whether this instance can serve callers.
func (s *State) updateReadiness() {
	ready, reason := true, "serving"
	switch {
	case s.draining:
		ready, reason = false, "draining"
	case s.config == nil:
		ready, reason = false, "no configuration was read yet"
	case !s.endpointsKnown:
		ready, reason = false, "the endpoints were not read yet"
	}
	if ready == s.ready && reason == s.readyReason {
		return
	}
	s.ready, s.readyReason = ready, reason
	s.emit(ReportReady{Ready: ready, Reason: reason})
}

func (s *State) handleDrainRequested() {
	s.draining = true
	s.updateReadiness()
	s.releaseLease()
}

func (s *State) emit(effect Effect) { s.effects = append(s.effects, effect) }

func (s *State) note(part, text string, fields ...Field) {
	s.emit(Note{Part: part, Text: text, Fields: fields})
}

func (s *State) noteRequest(r *request, text string, fields ...Field) {
	s.emit(Note{Part: "requests", Text: text, Request: r.ID, Fields: fields})
}

// nextOrderNumber returns a number that no earlier call returned.
func (s *State) nextOrderNumber() uint64 {
	s.lastOrderNumber++
	return s.lastOrderNumber
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
