package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

const (
	// demandInterval is the time after which a Demand is sent again, and the
	// time without DemandAnswer after which an instance acts itself.
	demandInterval = 250 * time.Millisecond
	// demandLife is how long a Demand of another instance counts.
	demandLife = time.Second
	// tableDownLimit is the time without the table after which waiting
	// requests are told so; conflicts and single failures are shorter.
	tableDownLimit = time.Second
	// enginesMissingLimit is the time that a demand waits for an engine to be
	// listed.
	enginesMissingLimit = 3 * time.Second
)

// heardDemand is the demand of another instance.
type heardDemand struct {
	Demand
	at time.Time
}

// demandSum is the demand for a model over the instances that this one hears
// from.
type demandSum struct {
	waiting int
	rank    rpdocument.Rank
	worth   float64
	oldest  time.Duration
	domain  FailureDomain
}

// demandReplica asks for a replica of a model, or for an adapter, that
// requests of this instance wait for. It may be called for every request;
// calls for a demand that is already known are cheap.
func (s *State) demandReplica(key ModelKey) {
	m := s.modelState(key)
	if m.demanding {
		return
	}
	m.demanding = true
	m.demandedAt = s.now
	m.unansweredSince = time.Time{}
	s.pursueDemand(m, true)
}

// pursueDemand runs while requests of this instance wait. The first call may
// come before the waiting request is counted.
func (s *State) pursueDemand(m *modelState, first bool) {
	use := s.ownUse(m.key)
	if use.Waiting == 0 && !first {
		m.demanding = false
		m.unansweredSince = time.Time{}
		return
	}
	use.Waiting = max(use.Waiting, 1)
	if home := s.demandHome(m.key); home == s.self.Instance || home == "" {
		s.evaluate(m)
	} else {
		s.askHome(m, home, use)
	}
	s.runAfter(demandInterval, func(s *State) { s.pursueDemand(m, false) })
}

// demandHome returns the instance that decides on a demand.
func (s *State) demandHome(key ModelKey) InstanceID {
	if s.policy.LoadPerInstance {
		return s.self.Instance
	}
	return s.replicaHome(key.String())
}

func (s *State) askHome(m *modelState, home InstanceID, use modelUse) {
	if !m.unansweredSince.IsZero() && s.now.Sub(m.unansweredSince) >= demandInterval {
		// The home is lost; the table arbitrates if others act too.
		s.evaluate(m)
	}
	if m.unansweredSince.IsZero() {
		m.unansweredSince = s.now
	}
	s.sendPeer(home, PeerMessage{Demand: s.demandMessage(m.key, use)})
}

func (s *State) demandMessage(key ModelKey, use modelUse) *Demand {
	d := &Demand{
		Model: key, Rank: use.Rank, Waiting: use.Waiting, Oldest: use.Oldest,
		FailureDomain: s.self.FailureDomain,
	}
	if spec, ok := s.replicaSpec(key); ok && spec.adapter() {
		d.Model, d.Adapter = spec.baseKey(), key.Name
	}
	return d
}

// demandKey returns the model or adapter that a demand is about.
func demandKey(model ModelKey, adapter string) ModelKey {
	if adapter != "" {
		model.Name = adapter
	}
	return model
}

// demandReceived takes in the demand of another instance and answers it. A
// demand without waiting requests says that the sender uses the model.
func (s *State) demandReceived(from InstanceID, d Demand) {
	m := s.modelState(demandKey(d.Model, d.Adapter))
	s.noteUse(m)
	if d.Waiting == 0 || s.draining {
		// Without an answer the sender acts itself.
		return
	}
	m.heard[from] = heardDemand{Demand: d, at: s.now}
	s.evaluate(m)
	answer := &DemandAnswer{Model: d.Model, Adapter: d.Adapter, Refusal: s.impossibleNow(m)}
	if expected, ok := s.expectedReplicaWait(m.key); ok {
		answer.Expected = expected
	}
	s.sendPeer(from, PeerMessage{DemandAnswer: answer})
}

func (s *State) demandAnswerReceived(_ InstanceID, answer DemandAnswer) {
	m := s.replicas.models[demandKey(answer.Model, answer.Adapter)]
	if m == nil || !m.demanding {
		return
	}
	m.unansweredSince = time.Time{}
	m.expectedAt = s.now.Add(answer.Expected)
	if answer.Refusal != nil {
		s.replicas.seams.impossible(s, m.key, *answer.Refusal)
	}
}

// ownUse returns the use by this instance. The requests for an adapter that
// has no base model to be loaded on wait for the base model too.
func (s *State) ownUse(key ModelKey) modelUse {
	use := s.replicas.seams.use(s, key)
	for _, adapter := range s.adaptersOf(key) {
		if s.replicas.models[adapter] != nil && len(s.serving(key)) == 0 {
			sum := s.sumDemand(adapter)
			use.Waiting += sum.waiting
			use.Oldest = max(use.Oldest, sum.oldest)
			if sum.waiting > 0 && rankBefore(sum.rank, use.Rank) {
				use.Rank = sum.rank
			}
		}
	}
	return use
}

// adaptersOf returns the adapters of a base model.
func (s *State) adaptersOf(base ModelKey) []ModelKey {
	doc := s.replicas.seams.document(s, base.Service)
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

// sumDemand sums up the demand of this instance and the recent demands of
// others.
func (s *State) sumDemand(key ModelKey) demandSum {
	use := s.ownUse(key)
	m := s.modelState(key)
	sum := demandSum{waiting: use.Waiting, rank: use.Rank, oldest: use.Oldest}
	if m.demanding {
		sum.waiting = max(sum.waiting, 1)
	}
	most := sum.waiting
	if most > 0 {
		sum.domain = s.self.FailureDomain
	}
	for _, from := range sortedKeys(m.heard) {
		heard := m.heard[from]
		if s.now.Sub(heard.at) > demandLife {
			delete(m.heard, from)
			continue
		}
		if sum.waiting == 0 || rankBefore(heard.Rank, sum.rank) {
			sum.rank = heard.Rank
		}
		sum.waiting += heard.Waiting
		sum.oldest = max(sum.oldest, heard.Oldest)
		if heard.Waiting > most {
			most, sum.domain = heard.Waiting, heard.FailureDomain
		}
	}
	sum.worth = s.worth(key.Service, sum.rank)
	return sum
}

// retryDemand evaluates a model at once where requests wait for it.
func (s *State) retryDemand(key ModelKey) {
	m := s.replicas.models[key]
	if m == nil || key == (ModelKey{}) {
		return
	}
	m.nextTry = time.Time{}
	if s.demandHome(key) == s.self.Instance || m.demanding && !m.unansweredSince.IsZero() {
		s.evaluate(m)
	}
}

// evaluateAdapters evaluates the adapters that wait for their base model.
func (s *State) evaluateAdapters(base ModelKey) {
	for _, key := range s.adaptersOf(base) {
		if s.replicas.models[key] != nil {
			s.retryDemand(key)
		}
	}
}
