package rpfleet

import (
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

const (
	// crossDomainCost is added for an endpoint of another failure domain, in
	// requests in progress, as are all costs here.
	crossDomainCost = 2.0
	// warmingCost is added for an endpoint that has just started.
	warmingCost = 4.0
	// prefillTokensPerRequest is the number of prompt tokens whose prefill
	// slows down an engine about as much as one more request in progress.
	prefillTokensPerRequest = 500
	// minSpeedPrompt is the number of prompt tokens above which the speed of an engine
	// counts. An engine of usual speed needs 57 ms for them, a slow one 100 ms.
	minSpeedPrompt = 2000
	// maxPrefixCacheGain bounds the advantage of the engine that probably has
	// the prefix of the prompt in its cache.
	maxPrefixCacheGain = 10.0
	// plainQueueFactor is the limit of requests at a plain endpoint, as a
	// multiple of its slots. An endpoint runs as many as it has slots and
	// queues the rest.
	plainQueueFactor = 3
	// urgentQueueFactor is the limit of requests at an engine for requests of
	// rank 0 and starved ones, as a multiple of its slots. Engines admit these
	// ahead of all others.
	urgentQueueFactor = 1.5
)

// canServe reports whether an endpoint can take a request now. It doesn't
// consider ejections.
func (s *State) canServe(r *request, e *endpoint) bool {
	if e.Leaving || e.isHeldOff(s.now) || r.excludedEndpoints[e.ID] || !s.hasCapacity(r, e) {
		return false
	}
	if r.engineSpec == nil {
		return true
	}
	return e.modelReady(r.Model, s.now) && e.adapterReady(r.Model, r.Adapter, s.now)
}

// hasCapacity reports whether an endpoint has room for one more request, given
// the requests of all instances at it.
func (s *State) hasCapacity(r *request, e *endpoint) bool { return s.freeCapacity(r, e) > 0 }

// freeCapacity returns how many more requests an endpoint may get. A part of one
// counts as room for one.
func (s *State) freeCapacity(r *request, e *endpoint) float64 {
	limit := float64(max(1, e.Slots))
	switch {
	case r.engineSpec == nil:
		limit *= plainQueueFactor
	case r.route.Rank == 0 || s.goesFirst(r):
		limit *= urgentQueueFactor
	}
	return limit - s.load(e)
}

// chooseEndpoint returns the endpoint with the lowest cost for a request, or one of
// the cheaper ones at random (see spreads), or nil if the request has to wait. Ejected
// endpoints are used only if no other one can take the request; see ejectedFallback.
func (s *State) chooseEndpoint(r *request) *endpoint {
	var best, ejected *endpoint
	bestCost, totalWeight := 0.0, 0.0
	spreads := s.spreads(r)
	preferred, only := s.prefixCacheEngine(r), s.longPromptEngine(r)
	for _, e := range s.endpointsOf(r.service) {
		if only != nil && e != only || !s.canServe(r, e) {
			continue
		}
		if e.health.isEjected(s.now) {
			if ejected == nil || e.health.ejectedUntil.Before(ejected.health.ejectedUntil) {
				ejected = e
			}
			continue
		}
		cost := s.routingCost(r, e) - s.prefixCacheGain(r, e, preferred)
		if spreads {
			weight := spreadWeight(cost, e)
			totalWeight += weight
			if s.rng.Float64()*totalWeight < weight {
				best = e
			}
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return s.ejectedFallback(r, ejected)
	}
	return best
}

// ejectedFallback allows an ejected endpoint for a request to a plain service. A
// request for a model waits instead: if the endpoint is healthy, its ejection
// ends before the model could be loaded elsewhere.
func (s *State) ejectedFallback(r *request, ejected *endpoint) *endpoint {
	if ejected == nil || r.engineSpec != nil {
		return nil
	}
	return ejected
}

// routingCost returns the load that a request would meet at an endpoint, in
// requests in progress. A random part keeps instances from all choosing the
// same one of several equal endpoints.
func (s *State) routingCost(r *request, e *endpoint) float64 {
	cost := (s.load(e) + 1) * e.health.slownessFactor(s.serviceStats(r.service).latency, s.now)
	if e.FailureDomain != s.self.FailureDomain {
		cost += crossDomainCost
	}
	if e.Warming > s.now.Sub(e.entrySeenAt) {
		cost += warmingCost
	}
	cost += s.prefillCost(r, e)
	cost += e.health.failureRate * float64(max(1, e.Slots))
	return cost + s.rng.Float64()/2
}

// prefillCost returns the cost of the prompts that an engine has to read before the
// first event of a request. A long prompt also costs what a slow engine takes longer to
// read it than one as fast as its service. Short prompts don't: their time to the first
// event hardly depends on the speed, and many of them would make the fast engines slow.
func (s *State) prefillCost(r *request, e *endpoint) float64 {
	tokens, speed := r.prefillTokens(), 0.0
	if tokens > minSpeedPrompt {
		speed = e.speed.Speed(s.now)
	}
	if speed == 0 {
		return float64(e.pendingPrefill) / prefillTokensPerRequest
	}
	return (float64(e.pendingPrefill+tokens)/speed - float64(tokens)) / prefillTokensPerRequest
}

// prefillTokens returns the number of prompt tokens that an engine has to read
// before the first event; 0 for plain services.
func (r *request) prefillTokens() int {
	if r.engineSpec == nil {
		return 0
	}
	tokens := 0
	for _, part := range r.Prompt {
		tokens += part.Tokens
	}
	return max(tokens, r.PromptTokens)
}

// sharedParts returns the ids of the parts of the prompt that other requests may
// have too. The last part belongs to one request alone.
func (r *request) sharedParts() []string {
	if r.engineSpec == nil || len(r.Prompt) < 2 {
		return nil
	}
	ids := make([]string, len(r.Prompt)-1)
	for i := range ids {
		ids[i] = r.Prompt[i].ID
	}
	return ids
}

// sharedPrefix returns a key for the part of the prompt that other requests may
// share, and its number of tokens. The last part of a prompt belongs to one
// request alone.
func (r *request) sharedPrefix() (string, int) {
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

// prefixCacheEngine returns the engine of this failure domain that gets the
// requests with the same prefix, so that its cache keeps the prefix. It returns
// "" if there is none.
func (s *State) prefixCacheEngine(r *request) rpcore.EndpointID {
	key, _ := r.sharedPrefix()
	if r.engineSpec == nil || key == "" {
		return ""
	}
	var best rpcore.EndpointID
	var bestScore uint64
	for _, e := range s.endpointsOf(r.service) {
		if e.Leaving || e.FailureDomain != s.self.FailureDomain || !e.modelReady(r.Model, s.now) {
			continue
		}
		if score := rpreducer.Rendezvous(key, string(e.ID)); best == "" || score > bestScore {
			best, bestScore = e.ID, score
		}
	}
	return best
}

// prefixCacheGain returns the cost that the cached prefix saves at an endpoint.
func (s *State) prefixCacheGain(r *request, e *endpoint, preferred rpcore.EndpointID) float64 {
	if e.ID != preferred {
		return 0
	}
	_, tokens := r.sharedPrefix()
	return min(1+float64(tokens)/prefillTokensPerRequest, maxPrefixCacheGain)
}
