package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

const (
	// reportLifetime is the age above which a report is no longer used to
	// estimate the load that other instances put on an engine.
	reportLifetime = 5 * time.Second
	// affinitySlackDivisor divides the concurrency of an engine. The quotient
	// is the number of requests by which the affinity endpoint may be busier
	// than the alternative.
	affinitySlackDivisor = 4
)

// routeBuffer holds the slices of a routing decision, which are reused to avoid
// allocations.
type routeBuffer struct {
	sameDomain  []*endpoint
	otherDomain []*endpoint
	free        []*endpoint
}

// endpointLoad is an estimate of the requests that other instances run at an
// endpoint, and the number of urgent attempts of this instance that wait there.
type endpointLoad struct {
	// incarnation is the incarnation of the endpoint that all fields of
	// endpointHealth refer to.
	incarnation Incarnation
	// reportSequence is the sequence of the report from which othersInFlight
	// was estimated. ownPeak is the highest in-flight count of this instance
	// since that report.
	reportSequence uint64
	othersInFlight int
	ownPeak        int
	// urgentUnanswered is the number of urgent attempts of this instance
	// without a first token.
	urgentUnanswered int
	// busyUntil is the time until which no requests are sent to an endpoint
	// that declined one because it was busy.
	busyUntil time.Time
}

// laneEndpoints returns the endpoints that serve a lane, ordered by id.
func (s *State) laneEndpoints(l *lane) []*endpoint {
	if l.isPlainService() {
		return s.requests.deps.serviceEndpoints(s, l.key.Service)
	}
	return s.requests.deps.servingEndpoints(s, l.key)
}

// refreshLoad updates the load estimate of an endpoint after a new report, and
// resets its state after a change of incarnation. A report includes the
// requests of this instance, so ownPeak, the highest in-flight count since the
// previous report, is subtracted.
func (s *State) refreshLoad(e *endpoint) {
	load := &e.health.load
	if load.incarnation != e.Incarnation {
		e.health = endpointHealth{load: endpointLoad{incarnation: e.Incarnation}}
		e.cache = prefixCacheView{}
		e.inFlight = 0
	}
	if e.report.Sequence != load.reportSequence {
		load.reportSequence = e.report.Sequence
		load.othersInFlight = max(0, e.report.Running+e.report.Waiting-load.ownPeak)
		load.ownPeak = e.inFlight
	}
}

// reportExpired reports whether the newest report is too old to estimate the
// load.
func (e *endpoint) reportExpired(now time.Time) bool { return now.Sub(e.reportedAt) > reportLifetime }

// knownLoad returns the known number of requests at an endpoint: the requests
// of this instance and, while the report is recent, the requests of other
// instances.
func (s *State) knownLoad(e *endpoint) int {
	if e.reportExpired(s.now) {
		return e.inFlight
	}
	return e.inFlight + e.health.load.othersInFlight
}

// hasCapacity reports whether another request may be sent to an endpoint. An
// instance without requests at the endpoint may always send one. Otherwise
// instances that use freed capacity at once could starve an instance with
// little work.
func (s *State) hasCapacity(e *endpoint) bool {
	s.refreshLoad(e)
	if e.leaving || e.health.load.busyUntil.After(s.now) {
		return false
	}
	return e.inFlight == 0 || s.knownLoad(e) < s.limits.EngineConcurrency
}

// freeEndpoint returns an endpoint of a lane that has capacity, or nil.
func (s *State) freeEndpoint(l *lane) *endpoint {
	all := s.laneEndpoints(l)
	ejected := s.ejectedAmong(all)
	for _, e := range all {
		if !ejected.contains(e) && s.hasCapacity(e) {
			return e
		}
	}
	return nil
}

// canRoute reports whether an endpoint could start the request now.
func (s *State) canRoute(r *request) bool {
	_, free := s.routeCandidates(r)
	return len(free) > 0
}

// routeRequest chooses the endpoint for a request. It returns nil if no
// eligible endpoint has capacity.
func (s *State) routeRequest(r *request) *endpoint {
	candidates, free := s.routeCandidates(r)
	if len(free) == 0 {
		return nil
	}
	if s.policy.RandomRouting {
		return free[s.rng.IntN(len(free))]
	}
	chosen := s.lessLoadedOfTwo(free)
	affine := s.affinityEndpoint(r, candidates, free)
	if affine != nil && s.knownLoad(affine) <= s.knownLoad(chosen)+s.affinitySlack() {
		return affine
	}
	return chosen
}

func (s *State) affinitySlack() int {
	return max(1, s.limits.EngineConcurrency/affinitySlackDivisor)
}

// lessLoadedOfTwo picks two endpoints at random and returns the less loaded
// one.
func (s *State) lessLoadedOfTwo(free []*endpoint) *endpoint {
	if len(free) == 1 {
		return free[0]
	}
	i := s.rng.IntN(len(free))
	j := s.rng.IntN(len(free) - 1)
	if j >= i {
		j++
	}
	if s.knownLoad(free[j]) < s.knownLoad(free[i]) {
		return free[j]
	}
	return free[i]
}

// routeCandidates returns the endpoints that a request may go to, and the
// subset that has capacity. The candidates are in this instance's failure
// domain. If none of them has capacity, they are in the other failure domains.
func (s *State) routeCandidates(r *request) (candidates, free []*endpoint) {
	buffer := &s.requests.routeBuffer
	buffer.sameDomain, buffer.otherDomain = buffer.sameDomain[:0], buffer.otherDomain[:0]
	all := s.laneEndpoints(r.lane)
	ejected := s.ejectedAmong(all)
	hasAlternative := s.hasAlternativeEndpoint(all, &ejected, r)
	hasReporting := s.hasReportingEndpoint(all, &ejected, r)
	for _, e := range all {
		if ejected.contains(e) || (hasReporting && e.isSilent(s.now)) || (hasAlternative && e.id == r.lastFailedEndpoint) || !r.canResumeAt(e) {
			continue
		}
		if e.FailureDomain == s.self.FailureDomain || s.policy.RandomRouting {
			buffer.sameDomain = append(buffer.sameDomain, e)
		} else {
			buffer.otherDomain = append(buffer.otherDomain, e)
		}
	}
	if free := s.filterByCapacity(buffer.sameDomain); len(free) > 0 {
		return buffer.sameDomain, free
	}
	return buffer.otherDomain, s.filterByCapacity(buffer.otherDomain)
}

// hasAlternativeEndpoint reports whether a request whose attempt failed can go
// to another endpoint than the one where it failed.
func (s *State) hasAlternativeEndpoint(all []*endpoint, ejected *ejectedSet, r *request) bool {
	if r.lastFailedEndpoint == "" {
		return false
	}
	for _, e := range all {
		if e.id != r.lastFailedEndpoint && r.canRunAt(e, ejected) {
			return true
		}
	}
	return false
}

// canRunAt reports whether a request may be sent to an endpoint, regardless of
// the endpoint's capacity.
func (r *request) canRunAt(e *endpoint, ejected *ejectedSet) bool {
	return !e.leaving && !ejected.contains(e) && r.canResumeAt(e)
}

// canResumeAt reports whether an endpoint can continue the answer of a request.
// If tokens were relayed, it needs the model version that produced them, since
// another version may continue with a different text. Without relayed tokens,
// any endpoint can run the request.
func (r *request) canResumeAt(e *endpoint) bool {
	return r.relayedTokens == 0 || r.lane.isPlainService() || e.loaded[r.key].Version == r.relayedVersion
}

func (s *State) filterByCapacity(endpoints []*endpoint) []*endpoint {
	free := s.requests.routeBuffer.free[:0]
	for _, e := range endpoints {
		if s.hasCapacity(e) {
			free = append(free, e)
		}
	}
	s.requests.routeBuffer.free = free
	return free
}

// affinityEndpoint returns the endpoint that most likely has the prompt prefix
// of a request in its cache: the one with the longest known match, or else the
// one that the session hashes to. It returns nil if that endpoint has no
// capacity.
func (s *State) affinityEndpoint(r *request, candidates, free []*endpoint) *endpoint {
	if e := s.longestPrefixEndpoint(r, free); e != nil {
		return e
	}
	if r.Session == "" {
		return nil
	}
	e := sessionEndpoint(r.Session, candidates)
	if e == nil || !s.hasCapacity(e) {
		return nil
	}
	return e
}

// sessionEndpoint returns the endpoint that a session hashes to (rendezvous
// hashing). It considers endpoints without capacity too, so that a session
// returns to its endpoint once that has capacity again.
func sessionEndpoint(session string, candidates []*endpoint) *endpoint {
	var best *endpoint
	var bestScore uint64
	for _, e := range candidates {
		score := rpreducer.Rendezvous(session, string(e.id))
		if best == nil || score > bestScore || (score == bestScore && e.id < best.id) {
			best = e
			bestScore = score
		}
	}
	return best
}

func (s *State) longestPrefixEndpoint(r *request, free []*endpoint) *endpoint {
	var best *endpoint
	longest := 0
	for _, e := range free {
		n := e.cache.matchingBlocks(r.PrefixHashes)
		if n == 0 || n < longest || (n == longest && s.knownLoad(e) >= s.knownLoad(best)) {
			continue
		}
		best = e
		longest = n
	}
	return best
}
