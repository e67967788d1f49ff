package rpfleet

import (
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

const (
	// remoteCost is the number of requests in progress that an endpoint of
	// another failure domain counts as more loaded.
	remoteCost = 2.0
	// warmingCost is that of an endpoint that has just started.
	warmingCost = 4.0
	// prefillUnit is the number of prompt tokens whose prefill costs the requests
	// of an engine about as much as one more request in progress.
	prefillUnit = 500
	// maxPrefixGain bounds the advantage of the engine that is likely to have
	// the prefix in its cache.
	maxPrefixGain = 10.0
	// queueFactor bounds the requests at a plain endpoint in its slots: it
	// runs one set and queues the rest.
	queueFactor = 3
	// urgentQueueFactor bounds the most urgent requests at an engine in its
	// slots. Engines admit them ahead of all others.
	urgentQueueFactor = 1.5
)

// candidate reports whether an endpoint can take a request now.
func (s *State) candidate(r *request, e *endpoint) bool {
	if e.Leaving || r.tried[e.ID] || !s.hasCapacity(r, e) {
		return false
	}
	if r.engine == nil {
		return true
	}
	return e.serves(r.Model, s.now) && e.hasAdapter(r.Model, r.Adapter, s.now)
}

// hasCapacity bounds the requests that an endpoint runs and queues by what is
// known of all instances.
func (s *State) hasCapacity(r *request, e *endpoint) bool {
	limit := float64(max(1, e.Slots))
	switch {
	case r.engine == nil:
		limit *= queueFactor
	case r.route.Rank == 0:
		limit *= urgentQueueFactor
	}
	return float64(e.inFlight+e.others) < limit
}

// choose returns the best endpoint for a request, or nil. Endpoints that fail
// are used only where no other one can take the request.
func (s *State) choose(r *request) *endpoint {
	var best, suspect *endpoint
	bestCost := 0.0
	preferred := s.preferredEngine(r)
	for _, e := range s.endpointsOf(r.service) {
		if !s.candidate(r, e) {
			continue
		}
		if e.health.ejected(s.now) {
			if suspect == nil || e.health.ejectedUntil.Before(suspect.health.ejectedUntil) {
				suspect = e
			}
			continue
		}
		cost := s.cost(r, e) - s.prefixGain(r, e, preferred)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return s.lastResort(r, suspect)
	}
	return best
}

// lastResort allows an ejected endpoint for requests that have nowhere else to
// go. A model may be loaded elsewhere instead, which takes longer than the
// ejection of an endpoint that is sound after all.
func (s *State) lastResort(r *request, suspect *endpoint) *endpoint {
	if suspect == nil || r.engine != nil {
		return nil
	}
	return suspect
}

// cost returns the load that a request would meet at an endpoint, in requests
// in progress. Equal endpoints are told apart by chance, so that instances do
// not all choose the same one.
func (s *State) cost(r *request, e *endpoint) float64 {
	cost := float64(e.inFlight+e.others+1) * e.health.slowness(s.stats(r.service).latency, s.now)
	if e.FailureDomain != s.self.FailureDomain {
		cost += remoteCost
	}
	if e.Warming > s.now.Sub(e.seenAt) {
		cost += warmingCost
	}
	cost += float64(e.prefill) / prefillUnit
	cost += e.health.failureRate * float64(max(1, e.Slots))
	return cost + s.rng.Float64()/2
}

// prefillTokens returns the tokens of the prompt that an engine has to read
// before the first event.
func (r *request) prefillTokens() int {
	if r.engine == nil {
		return 0
	}
	tokens := 0
	for _, part := range r.Prompt {
		tokens += part.Tokens
	}
	return max(tokens, r.PromptTokens)
}

// prefixKey names the parts of a prompt that a request shares with others. The
// last part belongs to the request alone.
func (r *request) prefixKey() (string, int) {
	if len(r.Prompt) < 2 {
		return "", 0
	}
	shared := r.Prompt[:len(r.Prompt)-1]
	tokens := 0
	for _, part := range shared {
		tokens += part.Tokens
	}
	return shared[len(shared)-1].ID, tokens
}

// preferredEngine returns the engine of this failure domain that requests with
// the same prefix go to, so that its cache keeps the prefix.
func (s *State) preferredEngine(r *request) rpcore.EndpointID {
	key, _ := r.prefixKey()
	if r.engine == nil || key == "" {
		return ""
	}
	var best rpcore.EndpointID
	var bestScore uint64
	for _, e := range s.endpointsOf(r.service) {
		if e.Leaving || e.FailureDomain != s.self.FailureDomain || !e.serves(r.Model, s.now) {
			continue
		}
		if score := rpreducer.Rendezvous(key, string(e.ID)); best == "" || score > bestScore {
			best, bestScore = e.ID, score
		}
	}
	return best
}

func (s *State) prefixGain(r *request, e *endpoint, preferred rpcore.EndpointID) float64 {
	if e.ID != preferred {
		return 0
	}
	_, tokens := r.prefixKey()
	return min(1+float64(tokens)/prefillUnit, maxPrefixGain)
}
