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
	DefaultRetryRatio  = 0.2
	DefaultRetrySlack  = 50
	DefaultRetryWindow = 10 * time.Second
	DefaultHolderGap   = 3 * time.Second
	DefaultEntryGrace  = 2 * time.Second
	DefaultLeaving     = 2 * time.Second
	DefaultWeightLoads = 4
)

func (p Policy) withDefaults() Policy {
	p.RetryRatio = cmp.Or(p.RetryRatio, DefaultRetryRatio)
	p.RetrySlack = cmp.Or(p.RetrySlack, DefaultRetrySlack)
	p.RetryWindow = cmp.Or(p.RetryWindow, DefaultRetryWindow)
	p.HolderGap = cmp.Or(p.HolderGap, DefaultHolderGap)
	p.EntryGrace = cmp.Or(p.EntryGrace, DefaultEntryGrace)
	p.CPUShare = cmp.Or(p.CPUShare, usualCPU)
	p.LeavingBound = cmp.Or(p.LeavingBound, DefaultLeaving)
	p.WeightLoads = cmp.Or(p.WeightLoads, DefaultWeightLoads)
	return p
}

// State is the view of one instance. Its zero value works after a Start event.
type State struct {
	self        rpcore.Identity
	peerAddress netip.AddrPort
	policy      Policy
	rng         *rand.Rand
	now         time.Time
	out         []Effect
	alarms      rpreducer.Alarms[State]
	ready       bool
	readyReason string
	draining    bool
	counter     uint64

	config     *Config
	configAt   time.Time
	endpoints  map[rpcore.EndpointID]*endpoint
	byService  map[string][]*endpoint
	sorted     []*endpoint
	listed     bool
	listReadAt time.Time
	// joinedAt is when the last endpoint joined.
	joinedAt    time.Time
	listing     listing
	storeLostAt time.Time
	storeBackAt time.Time

	requests map[rpcore.RequestID]*request
	waiting  map[string][]*request
	budgets  map[string]*retryBudget
	services map[string]*serviceStats
	demand   demandState
	lease    leaseState
	plan     planState
}

// Reduce applies one event and returns what has to be done. The slice is valid
// until the next call.
func (s *State) Reduce(ev Event) []Effect {
	clear(s.out)
	s.out = s.out[:0]
	if at := ev.event().At; at.After(s.now) {
		s.now = at
	}
	s.apply(ev)
	s.alarms.Fire(s.now, s)
	s.emitAlarm()
	return s.out
}

func (s *State) apply(ev Event) {
	switch ev := ev.(type) {
	case Start:
		s.start(ev)
	case PolicyChanged:
		s.policy = ev.Policy.withDefaults()
	case Tick:
		s.alarms.Ticked()
	case ConfigRead:
		s.configRead(ev.Config)
	case EndpointsRead:
		s.endpointsRead(ev)
	case StoreLost:
		s.storeLost()
	case RequestArrived:
		s.requestArrived(ev.Request)
	case RequestAbandoned:
		s.requestAbandoned(ev.Request)
	case AttemptStarted:
		s.attemptStarted(ev)
	case AttemptEnded:
		s.attemptEnded(ev)
	case LeaseRead:
		s.leaseRead(ev)
	case LeaseWritten:
		s.leaseWritten(ev)
	case OrderAnswered:
		s.orderAnswered(ev)
	case EngineReported:
		s.engineReported(ev)
	case DemandReceived:
		s.demandReceived(ev)
	case DemandPosted:
		s.demandPosted(ev.Demand)
	case PlacementReceived:
		s.placementReceived(ev)
	case DrainRequested:
		s.drainRequested()
	case StopQueued:
		s.stopQueued()
	}
}

func (s *State) start(ev Start) {
	s.self = ev.Self
	s.peerAddress = ev.PeerAddress
	s.policy = ev.Policy.withDefaults()
	s.rng = rand.New(rand.NewPCG(ev.Seed, ev.Seed^0x9e3779b97f4a7c15))
	s.endpoints = map[rpcore.EndpointID]*endpoint{}
	s.requests = map[rpcore.RequestID]*request{}
	s.waiting = map[string][]*request{}
	s.budgets = map[string]*retryBudget{}
	s.services = map[string]*serviceStats{}
	s.reportReadiness()
	s.startDemand()
	s.startLease()
	s.startPlan()
}

// configRead puts a configuration in force unless it is older than the one
// that is.
func (s *State) configRead(config *Config) {
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
	s.reportReadiness()
	s.dispatchAll()
	s.planSoon()
}

// reportReadiness tells the balancer whether this instance can serve callers.
func (s *State) reportReadiness() {
	ready, reason := true, "serving"
	switch {
	case s.draining:
		ready, reason = false, "draining"
	case s.config == nil:
		ready, reason = false, "no configuration was read yet"
	case !s.listed:
		ready, reason = false, "the endpoints were not read yet"
	}
	if ready == s.ready && reason == s.readyReason {
		return
	}
	s.ready, s.readyReason = ready, reason
	s.emit(ReportReady{Ready: ready, Reason: reason})
}

func (s *State) drainRequested() {
	s.draining = true
	s.reportReadiness()
	s.releaseLease()
}

func (s *State) emit(effect Effect) { s.out = append(s.out, effect) }

func (s *State) note(part, text string, fields ...Field) {
	s.emit(Note{Part: part, Text: text, Fields: fields})
}

func (s *State) noteRequest(r *request, text string, fields ...Field) {
	s.emit(Note{Part: "requests", Text: text, Request: r.ID, Fields: fields})
}

// next returns a number that no earlier call returned.
func (s *State) next() uint64 {
	s.counter++
	return s.counter
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
