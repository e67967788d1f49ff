package rpcore

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// State is the complete state of the reducer, as seen by one instance. The zero
// value is ready for a Start event.
type State struct {
	self Identity
	// operatorsAddress is the address at which this instance serves operators.
	operatorsAddress netip.AddrPort
	limits           Limits
	policy           Policy
	rng              *rand.Rand
	now              time.Time
	draining         bool
	effects          []Effect

	alarms    rpreducer.Alarms[State]
	table     tableOps
	members   memberView
	documents documentView
	replicas  replicaView
	tickets   ticketView
	requests  requestView
	claims    claimView
}

// Reduce applies one event and returns the effects to carry out. The slice is
// valid until the next call.
func (s *State) Reduce(ev Event) []Effect {
	clear(s.effects)
	s.effects = s.effects[:0]
	if at := ev.event().At; at.After(s.now) {
		s.now = at
	}
	s.apply(ev)
	s.alarms.Fire(s.now, s)
	s.emitAlarm()
	return s.effects
}

// apply calls the handler of an event. Handlers are named after their event.
func (s *State) apply(ev Event) {
	switch ev := ev.(type) {
	case Start:
		s.start(ev)
	case Tick:
		s.alarms.ClearAnnounced()
	case RequestArrived:
		s.requestArrived(ev.Request)
	case RequestRejected:
		s.countRefusal(ev.Refusal.Code)
	case RequestAbandoned:
		s.requestAbandoned(ev.Request)
	case AttemptFirstToken:
		s.attemptFirstToken(ev)
	case AttemptEnded:
		s.attemptEnded(ev)
	case MembersListed:
		s.membersListed(ev.Members)
	case ListUnavailable:
		s.listUnavailable()
	case EngineReported:
		s.engineReported(ev.Report, true)
	case EngineUnreachable:
		s.engineUnreachable(ev)
	case CacheEventsReceived:
		s.cacheEventsReceived(ev)
	case OrderAnswered:
		s.orderAnswered(ev)
	case TableReadDone:
		s.tableReadDone(ev)
	case TableWriteDone:
		s.tableWriteDone(ev)
	case DocumentLoaded:
		s.documentLoaded(ev)
	case DocumentSubmitted:
		s.documentSubmitted(ev)
	case DocumentStored:
		s.documentStored(ev)
	case PeerReceived:
		s.peerReceived(ev)
	case PeerLost:
		s.peerLost(ev.Peer)
	case DrainRequested:
		s.drainRequested()
	}
}

func (s *State) start(ev Start) {
	s.self = ev.Self
	s.operatorsAddress = ev.Operators
	s.limits = ev.Limits.withDefaults()
	s.policy = ev.Policy
	s.rng = rand.New(rand.NewPCG(ev.Seed, ev.Seed^0x9e3779b97f4a7c15))
	s.startMembers()
	s.startDocuments()
	s.startReplicas()
	s.startRequests()
}

func (s *State) emit(effect Effect) {
	s.effects = append(s.effects, effect)
}

// note adds an entry to the log and the timeline.
func (s *State) note(part, text string) {
	s.emit(Note{Part: part, Text: text})
}

// newNonce returns a nonce that is unique over all instances and incarnations.
func (s *State) newNonce() Nonce {
	s.table.nonceCount++
	return Nonce(formatNonce(s.self, s.table.nonceCount))
}

func (l Limits) withDefaults() Limits {
	l.WeightLoads = cmp.Or(l.WeightLoads, DefaultWeightLoads)
	l.WeightLoadsPerSecond = cmp.Or(l.WeightLoadsPerSecond, DefaultWeightLoadsPerSecond)
	l.AdapterLoads = cmp.Or(l.AdapterLoads, DefaultAdapterLoads)
	l.EngineConcurrency = cmp.Or(l.EngineConcurrency, DefaultEngineConcurrency)
	l.RequestsInProgress = cmp.Or(l.RequestsInProgress, DefaultRequestsInProgress)
	l.DrainTimeout = cmp.Or(l.DrainTimeout, DefaultDrainTimeout)
	l.ListLag = cmp.Or(l.ListLag, DefaultListLag)
	l.ColdStartEstimate = cmp.Or(l.ColdStartEstimate, DefaultColdStartEstimate)
	return l
}
