package rpfleet

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// Policy holds the limits that come from the settings. A zero field stands for
// its default.
type Policy struct {
	// RetryRatio and RetrySlack bound the retries of a service: in any
	// RetryWindow, all instances together retry at most RetryRatio times the
	// number of its requests plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// HolderGap is the minimum time between two orders to one engine that come
	// from different holders of the planner's lease. Engines need it to tell
	// their orders apart.
	HolderGap time.Duration
	// FirstStart says that the whole system starts for the first time, so that no
	// planner was before. Otherwise a store with eras that has no row of the lease has
	// lost it.
	FirstStart bool
	// EntryGrace is how long the list may lack the entry of a live endpoint
	// after an outage of the store.
	EntryGrace time.Duration
	// LeavingBound is the time after which an endpoint that is leaving must get
	// no new work.
	LeavingBound time.Duration
	// ConfigBound is the time after which a new configuration must be in force.
	ConfigBound time.Duration
	// CPUShare is the number of CPU cores that this instance may use; it can be
	// below 1.
	CPUShare float64
	// WeightLoads is the initial limit of concurrent loads from the weight
	// store. The planner then learns from load times how many run at full
	// speed.
	WeightLoads int
	// StrictWithdrawal says that keys of accounts are accepted only while the
	// configuration is confirmed. WithdrawalBound is the time after which a withdrawn
	// key must not be accepted.
	StrictWithdrawal bool
	WithdrawalBound  time.Duration
	// In any QuotaWindow, an account may use (rate x window + burst) x (1 +
	// QuotaOverage) + QuotaSlack, which is in tokens.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
}

// Defaults of Policy. The users' deployments state all of these values except
// EntryGrace, which their documents give as about two seconds.
const (
	DefaultRetryRatio   = 0.2
	DefaultRetrySlack   = 50
	DefaultRetryWindow  = 10 * time.Second
	DefaultHolderGap    = 3 * time.Second
	DefaultEntryGrace   = 2 * time.Second
	DefaultLeavingBound = 2 * time.Second
	DefaultConfigBound  = 2 * time.Second
	DefaultWeightLoads  = 4

	DefaultWithdrawalBound = rpaccount.DefaultBound
	DefaultQuotaWindow     = 8 * time.Second
	DefaultQuotaOverage    = 0.1
)

func (p Policy) withDefaults() Policy {
	p.RetryRatio = cmp.Or(p.RetryRatio, DefaultRetryRatio)
	p.RetrySlack = cmp.Or(p.RetrySlack, DefaultRetrySlack)
	p.RetryWindow = cmp.Or(p.RetryWindow, DefaultRetryWindow)
	p.HolderGap = cmp.Or(p.HolderGap, DefaultHolderGap)
	p.EntryGrace = cmp.Or(p.EntryGrace, DefaultEntryGrace)
	p.CPUShare = cmp.Or(p.CPUShare, defaultCPUShare)
	p.LeavingBound = cmp.Or(p.LeavingBound, DefaultLeavingBound)
	p.ConfigBound = cmp.Or(p.ConfigBound, DefaultConfigBound)
	p.WeightLoads = cmp.Or(p.WeightLoads, DefaultWeightLoads)
	p.WithdrawalBound = cmp.Or(p.WithdrawalBound, DefaultWithdrawalBound)
	p.QuotaWindow = cmp.Or(p.QuotaWindow, DefaultQuotaWindow)
	p.QuotaOverage = cmp.Or(p.QuotaOverage, DefaultQuotaOverage)
	return p
}

// State is one instance's view of the fleet. Call Reduce with a Start event
// before any other event.
type State struct {
	self rpcore.Identity
	// process identifies this process in load reports.
	process     uint64
	peerAddress netip.AddrPort
	policy      Policy
	rng         *rand.Rand
	// now is the time of the latest event.
	now time.Time
	// effects collects what the current event returns.
	effects []Effect
	alarms  rpreducer.Alarms[State]
	// ready and readyReason are the values last reported to the balancer.
	ready       bool
	readyReason string
	draining    bool
	// drainTimeoutNear says that a planned stop has no time left for requests to
	// wait in a queue, and drainTimeoutPassed that it has none left for attempts.
	drainTimeoutNear   bool
	drainTimeoutPassed bool
	lastOrderNumber    uint64

	config   *Config
	configAt time.Time
	// configConfirmedAt is when the configuration was last known to be the newest
	// one. configReadScheduled says that an alarm will read a newer one.
	configConfirmedAt   time.Time
	configReadScheduled bool
	// currency tells as of when the configuration was the newest one. configAskedAt is
	// the begin of the last call for it that the store answered. configUndecoded says
	// that a newer version can't be decoded.
	currency        rpaccount.Currency
	configAskedAt   time.Time
	configUndecoded bool
	// configLowered says that the last version in the store is lower than the one in
	// force. configSeen is the revision of the last row that was read, and configNamed
	// the one that the planner last named.
	configLowered           bool
	configSeen, configNamed Revision
	// keysRefusedSince is when this instance began to refuse keys, or zero.
	keysRefusedSince time.Time
	endpoints        map[rpcore.EndpointID]*endpoint
	// endpointsByService and endpointsByID are sorted by id. They are caches,
	// nil after a change of the endpoints.
	endpointsByService map[string][]*endpoint
	endpointsByID      []*endpoint
	// endpointsKnown says that the list of endpoints was read at least once.
	endpointsKnown bool
	listReadAt     time.Time
	// lastJoinAt is when an endpoint last appeared in the list.
	lastJoinAt  time.Time
	listChanges listChanges
	departed    []departedEndpoint
	// storeLostAt is when the list could no longer be read, or zero.
	// storeRestoredAt is the end of the last outage.
	storeLostAt     time.Time
	storeRestoredAt time.Time
	era             storeEra

	requests map[rpcore.RequestID]*request
	// queues holds the waiting requests of each service, most urgent first, and
	// orders what the order of a service depends on.
	queues  map[string][]*request
	orders  map[string]*serviceOrder
	budgets map[string]*retryBudget
	// movingRequests is the number of requests of each service that leave a silent
	// endpoint and whose attempt has not ended yet.
	movingRequests map[string]int
	statsByService map[string]*serviceStats
	demand         demandState
	lease          leaseState
	quarantine     quarantineState
	quota          quotaState
	plan           planState
}

// Reduce applies one event and returns the effects that the runtime must carry
// out. The slice is valid until the next call.
func (s *State) Reduce(ev Event) []Effect {
	clear(s.effects)
	s.effects = s.effects[:0]
	if at := ev.event().At; at.After(s.now) {
		s.now = at
	}
	s.handleEvent(ev)
	s.alarms.Fire(s.now, s)
	if s.drainTimeoutNear {
		s.refuseWaitingRequests()
	}
	s.announceNextAlarm()
	return s.effects
}

func (s *State) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case Start:
		s.handleStart(ev)
	case PolicyChanged:
		s.policy = ev.Policy.withDefaults()
		s.applyCurrencyPolicy()
		s.applyQuotaPolicy()
	case Tick:
		s.alarms.ClearAnnounced()
	case ConfigRead:
		s.handleConfigRead(ev.Config)
	case ConfigChecked:
		s.handleConfigChecked(ev)
	case EndpointsRead:
		s.handleEndpointsRead(ev)
	case StoreLost:
		s.handleStoreLost()
	case RequestArrived:
		s.handleRequestArrived(ev.Request)
	case RequestAbandoned:
		s.handleRequestAbandoned(ev)
	case AttemptStarted:
		s.handleAttemptStarted(ev)
	case AttemptStalled:
		s.handleAttemptStalled(ev)
	case AttemptEnded:
		s.handleAttemptEnded(ev)
	case EndpointNoticed:
		s.handleEndpointNotice(ev)
	case StoreEraBegan:
		s.handleStoreEraBegan(ev)
	case LeaseRead:
		s.handleLeaseRead(ev)
	case LeaseWritten:
		s.handleLeaseWritten(ev)
	case OrderAnswered:
		s.handleOrderAnswered(ev)
	case EngineReported:
		s.handleEngineReported(ev)
	case EngineChecked:
		s.handleEngineChecked(ev)
	case EvidenceRead:
		s.handleEvidenceRead(ev)
	case DemandReceived:
		s.handleDemandReceived(ev)
	case DemandPosted:
		s.handleDemandPosted(ev.Demand)
	case UsePosted:
		s.handleUsePosted(ev)
	case PlacementReceived:
		s.handlePlacementReceived(ev)
	case DrainRequested:
		s.handleDrainRequested()
	case DrainTimeoutNear:
		s.drainTimeoutNear = true
	case DrainTimeoutPassed:
		s.handleDrainTimeoutPassed()
	}
}

func (s *State) handleStart(ev Start) {
	s.self = ev.Self
	s.process = ev.Seed ^ uint64(ev.At.UnixNano())
	s.peerAddress = ev.PeerAddress
	s.policy = ev.Policy.withDefaults()
	s.applyCurrencyPolicy()
	s.applyQuotaPolicy()
	s.rng = rand.New(rand.NewPCG(ev.Seed, ev.Seed^0x9e3779b97f4a7c15))
	s.endpoints = map[rpcore.EndpointID]*endpoint{}
	s.requests = map[rpcore.RequestID]*request{}
	s.queues = map[string][]*request{}
	s.budgets = map[string]*retryBudget{}
	s.movingRequests = map[string]int{}
	s.statsByService = map[string]*serviceStats{}
	s.updateReadiness()
	s.initQuarantine()
	s.initDemand()
	s.initLease()
	s.initPlan()
}

// handleConfigRead puts a configuration in force unless a newer one already is.
func (s *State) handleConfigRead(config *Config) {
	replaces := s.replacesConfig(config)
	s.configSeen = max(s.configSeen, config.Revision)
	s.configLowered = !replaces && config.Version < s.config.Version
	if !s.configLowered {
		s.recordConfigOfEra(config.Revision.Era())
	}
	if !replaces {
		if !s.configLowered && config.Revision.Era() > 0 {
			s.config.Revision = max(s.config.Revision, config.Revision)
		}
		return
	}
	before, old := s.configVersion(), s.config
	s.config = config
	s.configAt = s.now
	s.note("documents", "a new configuration is in force", Field{"config_version", config.Version},
		Field{"version_before", before}, Field{"routes", len(config.Routes)}, Field{"services", len(config.Services)})
	s.updateReadiness()
	s.applyQuotaDirectory()
	s.noteLoweredQuotas(old)
	s.identifyWaiting()
	s.dispatchAll()
	s.schedulePlan()
}

// updateReadiness reports to the balancer whether this instance can serve
// callers, if that has changed.
func (s *State) updateReadiness() {
	ready, reason := true, "serving"
	switch {
	case s.draining:
		ready, reason = false, "draining"
	case s.config == nil:
		ready, reason = false, "no configuration was read yet"
	case !s.endpointsKnown:
		ready, reason = false, "the endpoints were not read yet"
	case !s.lease.answered:
		// The row says how many instances share the retry budget.
		ready, reason = false, "the planner's lease was not read yet"
	case !s.quarantine.known:
		ready, reason = false, "the quarantine of prompt parts was not read yet"
	}
	if ready == s.ready && reason == s.readyReason {
		return
	}
	s.ready, s.readyReason = ready, reason
	s.emit(ReportReady{Ready: ready, Reason: reason})
}

func (s *State) emit(effect Effect) { s.effects = append(s.effects, effect) }

func (s *State) note(part, text string, fields ...Field) {
	s.emit(Note{Part: part, Text: text, Fields: fields})
}

func (s *State) noteRequest(r *request, text string, fields ...Field) {
	s.emit(Note{Part: "requests", Text: text, Request: r.ID, Fields: fields})
}

// nextOrderNumber returns a number that is unique within this process.
func (s *State) nextOrderNumber() uint64 {
	s.lastOrderNumber++
	return s.lastOrderNumber
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
