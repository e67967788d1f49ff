package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

const (
	// reportLifetime is the age from which a report says nothing about the
	// load that other instances put on an engine.
	reportLifetime = 5 * time.Second
	// affinitySlackDivisor is the part of an endpoint's concurrency by which a
	// favoured endpoint may be busier than the alternative.
	affinitySlackDivisor = 4
)

// routeBuffer holds the slices of a routing decision between events.
type routeBuffer struct {
	sameDomain  []*endpoint
	otherDomain []*endpoint
	free        []*endpoint
}

// endpointLoad estimates what other instances run at an endpoint, and counts
// the urgent attempts of this instance that wait there.
type endpointLoad struct {
	// incarnation is the incarnation that all own figures of the endpoint are about.
	incarnation Incarnation
	// reportSequence is that of the report that others comes from, peak the highest
	// own in-flight count since then.
	reportSequence uint64
	othersInFlight int
	ownPeak        int
	// urgentUnanswered counts the own urgent attempts without a first token.
	urgentUnanswered int
	// busyUntil is the time until which the endpoint said that it takes no
	// more work.
	busyUntil time.Time
}

// laneEndpoints returns the endpoints that requests of a lane may go to.
func (s *State) laneEndpoints(l *lane) []*endpoint {
	if l.isPlainService() {
		return s.requests.deps.serviceEndpoints(s, l.key.Service)
	}
	return s.requests.deps.serving(s, l.key)
}

// refreshLoad brings the figures of an endpoint up to date with its incarnation
// and its newest report. The report includes what this instance ran when it
// was taken, so the highest own count since the report before is taken off.
func (s *State) refreshLoad(e *endpoint) {
	load := &e.health.load
	if load.incarnation != e.Incarnation {
		e.health = endpointHealth{load: endpointLoad{incarnation: e.Incarnation}}
		e.cache = cacheView{}
		e.inFlight = 0
	}
	if e.report.Sequence != load.reportSequence {
		load.reportSequence = e.report.Sequence
		load.othersInFlight = max(0, e.report.Running+e.report.Waiting-load.ownPeak)
		load.ownPeak = e.inFlight
	}
}

// reportExpired reports whether the newest report is too old to say anything
// about load.
func (e *endpoint) reportExpired(now time.Time) bool { return now.Sub(e.reportedAt) > reportLifetime }

// knownLoad returns the requests at an endpoint, as far as they are known.
func (s *State) knownLoad(e *endpoint) int {
	if e.reportExpired(s.now) {
		return e.inFlight
	}
	return e.inFlight + e.health.load.othersInFlight
}

// hasCapacity reports whether an endpoint takes another request. One request
// of this instance is always let through, since busy instances that refill
// every free place at once would keep an idle instance out for ever.
func (s *State) hasCapacity(e *endpoint) bool {
	s.refreshLoad(e)
	if e.leaving || e.health.load.busyUntil.After(s.now) {
		return false
	}
	return e.inFlight == 0 || s.knownLoad(e) < s.limits.EngineConcurrency
}

// freeEndpoint returns an endpoint that can start some request of a lane, or
// nil.
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

// canRoute reports whether a request could start now.
func (s *State) canRoute(r *request) bool {
	_, free := s.routeCandidates(r)
	return len(free) > 0
}

// routeRequest chooses the endpoint for a request, or returns nil where none that it
// may go to has capacity.
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

// lessLoadedOfTwo returns the less loaded one of two random endpoints.
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

// routeCandidates returns the endpoints of one failure domain that a request
// may go to, and those of them with capacity. Another failure domain than the
// own one is taken only where nothing in the own one can start the request.
func (s *State) routeCandidates(r *request) (candidates, free []*endpoint) {
	buffer := &s.requests.routeBuffer
	buffer.sameDomain, buffer.otherDomain = buffer.sameDomain[:0], buffer.otherDomain[:0]
	all := s.laneEndpoints(r.lane)
	ejected := s.ejectedAmong(all)
	hasAlternative := s.hasAlternative(all, &ejected, r)
	hasReporting := s.hasReporting(all, &ejected, r)
	for _, e := range all {
		if ejected.contains(e) || (hasReporting && e.silent(s.now)) || (hasAlternative && e.id == r.lastFailedEndpoint) || !r.canResumeAt(e) {
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

// hasAlternative reports whether a request can go elsewhere than to the endpoint
// where it failed.
func (s *State) hasAlternative(all []*endpoint, ejected *ejectedSet, r *request) bool {
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

// canRunAt reports whether a request can be sent to an endpoint, apart from its
// capacity.
func (r *request) canRunAt(e *endpoint, ejected *ejectedSet) bool {
	return !e.leaving && !ejected.contains(e) && r.canResumeAt(e)
}

// canResumeAt reports whether an endpoint has the version of the model that
// the first part of an answer came from. Another version could go on with
// another text.
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

// affinityEndpoint returns the endpoint that most likely has the prompt prefix of a
// request in its cache: the one with the longest known match, or else the one
// that the session always prefers. It returns nil where there is none with
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

// sessionEndpoint chooses among all candidates, so that a session returns to
// its endpoint after that was full for a while.
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
		n := e.cache.match(r.PrefixHashes)
		if n == 0 || n < longest || (n == longest && s.knownLoad(e) >= s.knownLoad(best)) {
			continue
		}
		best = e
		longest = n
	}
	return best
}
