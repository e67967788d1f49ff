package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

const (
	// demandInterval is the time between two Demand messages to the home. It is
	// also the time without a DemandAnswer after which an instance evaluates
	// the model itself.
	demandInterval = 250 * time.Millisecond
	// demandLifetime is how long a Demand of another instance counts.
	demandLifetime = time.Second
	// tableDownLimit is the time without the table after which waiting requests
	// are refused. Conflicts and single failures take less time.
	tableDownLimit = time.Second
	// enginesMissingLimit is how long a demand waits for an engine to be
	// listed.
	enginesMissingLimit = 3 * time.Second
)

// peerDemand is the demand of another instance.
type peerDemand struct {
	Demand
	receivedAt time.Time
}

// demandTotal is the demand for a model, summed over this instance and the
// instances that sent it a Demand.
type demandTotal struct {
	waiting    int
	rank       rpdocument.Rank
	worth      float64
	oldestWait time.Duration
	domain     FailureDomain
}

// demandReplica starts the demand loop for a model or adapter that requests of
// this instance wait for. It may be called for every request: calls while the
// loop runs are cheap.
func (s *State) demandReplica(key ModelKey) {
	m := s.ensureModelState(key)
	if m.demandActive {
		return
	}
	m.demandActive = true
	m.demandStartedAt = s.now
	m.demandUnansweredSince = time.Time{}
	s.runDemandLoop(m, true)
}

// runDemandLoop repeats while requests of this instance wait. The first call
// may come before the waiting request is counted.
func (s *State) runDemandLoop(m *modelState, first bool) {
	use := s.ownUse(m.key)
	if use.Waiting == 0 && !first {
		m.demandActive = false
		m.demandUnansweredSince = time.Time{}
		return
	}
	use.Waiting = max(use.Waiting, 1)
	if home := s.demandHome(m.key); home == s.self.Instance || home == "" {
		s.evaluateReplicas(m)
	} else {
		s.sendDemandToHome(m, home, use)
	}
	s.runAfter(demandInterval, func(s *State) { s.runDemandLoop(m, false) })
}

// demandHome returns the instance that decides on a demand.
func (s *State) demandHome(key ModelKey) InstanceID {
	if s.policy.LoadPerInstance {
		return s.self.Instance
	}
	return s.cachedHomeOf(key.String())
}

func (s *State) sendDemandToHome(m *modelState, home InstanceID, use modelUse) {
	if !m.demandUnansweredSince.IsZero() && s.now.Sub(m.demandUnansweredSince) >= demandInterval {
		// The home is lost. Several instances may evaluate the model now. Their
		// transactions on the table decide which reservation succeeds.
		s.evaluateReplicas(m)
	}
	if m.demandUnansweredSince.IsZero() {
		m.demandUnansweredSince = s.now
	}
	s.sendPeer(home, PeerMessage{Demand: s.newDemandMessage(m.key, use)})
}

func (s *State) newDemandMessage(key ModelKey, use modelUse) *Demand {
	d := &Demand{
		Model: key, Rank: use.Rank, Waiting: use.Waiting, Oldest: use.Oldest,
		FailureDomain: s.self.FailureDomain,
	}
	if spec, ok := s.lookupReplicaSpec(key); ok && spec.isAdapter() {
		d.Model, d.Adapter = spec.baseKey(), key.Name
	}
	return d
}

// demandKey returns the model or adapter that a Demand is about.
func demandKey(model ModelKey, adapter string) ModelKey {
	if adapter != "" {
		model.Name = adapter
	}
	return model
}

// demandReceived handles the Demand of another instance and answers it. A
// Demand without waiting requests only announces that the sender uses the
// model.
func (s *State) demandReceived(from InstanceID, d Demand) {
	m := s.ensureModelState(demandKey(d.Model, d.Adapter))
	s.recordPeerUse(m)
	if d.Waiting == 0 || s.draining {
		// Without an answer, the sender evaluates the model itself.
		return
	}
	m.peerDemands[from] = peerDemand{Demand: d, receivedAt: s.now}
	s.evaluateReplicas(m)
	answer := &DemandAnswer{Model: d.Model, Adapter: d.Adapter, Refusal: s.replicaRefusal(m)}
	if expected, ok := s.expectedReplicaWait(m.key); ok {
		answer.Expected = expected
	}
	s.sendPeer(from, PeerMessage{DemandAnswer: answer})
}

func (s *State) demandAnswerReceived(_ InstanceID, answer DemandAnswer) {
	m := s.replicas.models[demandKey(answer.Model, answer.Adapter)]
	if m == nil || !m.demandActive {
		return
	}
	m.demandUnansweredSince = time.Time{}
	m.expectedAt = s.now.Add(answer.Expected)
	if answer.Refusal != nil {
		s.replicas.deps.replicaRefused(s, m.key, *answer.Refusal)
	}
}

// ownUse returns the use by this instance. Requests for an adapter whose base
// model is not loaded anywhere count as waiting for the base model too.
func (s *State) ownUse(key ModelKey) modelUse {
	use := s.replicas.deps.modelUse(s, key)
	for _, adapter := range s.adaptersOf(key) {
		if s.replicas.models[adapter] != nil && len(s.servingEndpoints(key)) == 0 {
			sum := s.totalDemand(adapter)
			use.Waiting += sum.waiting
			use.Oldest = max(use.Oldest, sum.oldestWait)
			if sum.waiting > 0 && isMoreUrgent(sum.rank, use.Rank) {
				use.Rank = sum.rank
			}
		}
	}
	return use
}

// adaptersOf returns the declared adapters of a base model.
func (s *State) adaptersOf(base ModelKey) []ModelKey {
	doc := s.replicas.deps.document(s, base.Service)
	if doc == nil {
		return nil
	}
	var keys []ModelKey
	for i := range doc.Adapters {
		if doc.Adapters[i].BaseModel == base.Name {
			keys = append(keys, ModelKey{Service: base.Service, Name: doc.Adapters[i].Name})
		}
	}
	return keys
}

// totalDemand sums up the demand of this instance and the recent demands of
// others.
func (s *State) totalDemand(key ModelKey) demandTotal {
	use := s.ownUse(key)
	m := s.ensureModelState(key)
	sum := demandTotal{waiting: use.Waiting, rank: use.Rank, oldestWait: use.Oldest}
	if m.demandActive {
		sum.waiting = max(sum.waiting, 1)
	}
	mostWaiting := sum.waiting
	if mostWaiting > 0 {
		sum.domain = s.self.FailureDomain
	}
	for _, from := range sortedKeys(m.peerDemands) {
		other := m.peerDemands[from]
		if s.now.Sub(other.receivedAt) > demandLifetime {
			delete(m.peerDemands, from)
			continue
		}
		if sum.waiting == 0 || isMoreUrgent(other.Rank, sum.rank) {
			sum.rank = other.Rank
		}
		sum.waiting += other.Waiting
		sum.oldestWait = max(sum.oldestWait, other.Oldest)
		if other.Waiting > mostWaiting {
			mostWaiting, sum.domain = other.Waiting, other.FailureDomain
		}
	}
	sum.worth = s.rankWorth(key.Service, sum.rank)
	return sum
}

// reevaluateReplicas evaluates a model at once, without the delay between
// reservations.
func (s *State) reevaluateReplicas(key ModelKey) {
	m := s.replicas.models[key]
	if m == nil || key == (ModelKey{}) {
		return
	}
	m.nextReservationAt = time.Time{}
	if s.demandHome(key) == s.self.Instance || m.demandActive && !m.demandUnansweredSince.IsZero() {
		s.evaluateReplicas(m)
	}
}

// evaluateAdapters evaluates the adapters that wait for their base model.
func (s *State) evaluateAdapters(base ModelKey) {
	for _, key := range s.adaptersOf(base) {
		if s.replicas.models[key] != nil {
			s.reevaluateReplicas(key)
		}
	}
}
