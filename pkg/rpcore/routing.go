package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

const (
	// reportLifetime is the age from which a report says nothing about the
	// load that other instances put on an engine.
	reportLifetime = 5 * time.Second
	// affinitySlackShare is the part of an endpoint's concurrency by which a
	// favoured endpoint may be busier than the alternative.
	affinitySlackShare = 4
)

// routeBuffer holds the slices of a routing decision between events.
type routeBuffer struct {
	near []*endpoint
	far  []*endpoint
	free []*endpoint
}

// endpointLoad estimates what other instances run at an endpoint, and counts
// the urgent attempts of this instance that wait there.
type endpointLoad struct {
	// life is the incarnation that all own figures of the endpoint are about.
	life Incarnation
	// sequence is that of the report that others comes from, peak the highest
	// own in-flight count since then.
	sequence uint64
	others   int
	peak     int
	// unanswered counts the own urgent attempts without a first token.
	unanswered int
	// busyUntil is the time until which the endpoint said that it takes no
	// more work.
	busyUntil time.Time
}

// endpointsOf returns the endpoints that requests of a lane may go to.
func (s *State) endpointsOf(l *lane) []*endpoint {
	if l.plain() {
		return s.requests.deps.serviceEndpoints(s, l.key.Service)
	}
	return s.requests.deps.serving(s, l.key)
}

// refresh brings the figures of an endpoint up to date with its incarnation
// and its newest report. The report includes what this instance ran when it
// was taken, so the highest own count since the report before is taken off.
func (s *State) refresh(e *endpoint) {
	load := &e.health.load
	if load.life != e.Incarnation {
		e.health = endpointHealth{load: endpointLoad{life: e.Incarnation}}
		e.cache = cacheView{}
		e.inFlight = 0
	}
	if e.report.Sequence != load.sequence {
		load.sequence = e.report.Sequence
		load.others = max(0, e.report.Running+e.report.Waiting-load.peak)
		load.peak = e.inFlight
	}
}

// reportExpired reports whether the newest report is too old to say anything
// about load.
func (e *endpoint) reportExpired(now time.Time) bool { return now.Sub(e.reportedAt) > reportLifetime }

// loadOf returns the requests at an endpoint, as far as they are known.
func (s *State) loadOf(e *endpoint) int {
	if e.reportExpired(s.now) {
		return e.inFlight
	}
	return e.inFlight + e.health.load.others
}

// hasCapacity reports whether an endpoint takes another request. One request
// of this instance is always let through, since busy instances that refill
// every free place at once would keep an idle instance out for ever.
func (s *State) hasCapacity(e *endpoint) bool {
	s.refresh(e)
	if e.leaving || e.health.load.busyUntil.After(s.now) {
		return false
	}
	return e.inFlight == 0 || s.loadOf(e) < s.limits.EngineConcurrency
}

// freeEndpoint returns an endpoint that can start some request of a lane, or
// nil.
func (s *State) freeEndpoint(l *lane) *endpoint {
	all := s.endpointsOf(l)
	ejected := s.ejectedOf(all)
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

// route chooses the endpoint for a request, or returns nil where none that it
// may go to has capacity.
func (s *State) route(r *request) *endpoint {
	near, free := s.routeCandidates(r)
	if len(free) == 0 {
		return nil
	}
	if s.policy.RandomRouting {
		return free[s.rng.IntN(len(free))]
	}
	chosen := s.lessLoaded(free)
	favoured := s.favoured(r, near, free)
	if favoured != nil && s.loadOf(favoured) <= s.loadOf(chosen)+s.affinitySlack() {
		return favoured
	}
	return chosen
}

func (s *State) affinitySlack() int {
	return max(1, s.limits.EngineConcurrency/affinitySlackShare)
}

// lessLoaded returns the less loaded one of two random endpoints.
func (s *State) lessLoaded(free []*endpoint) *endpoint {
	if len(free) == 1 {
		return free[0]
	}
	i := s.rng.IntN(len(free))
	j := s.rng.IntN(len(free) - 1)
	if j >= i {
		j++
	}
	if s.loadOf(free[j]) < s.loadOf(free[i]) {
		return free[j]
	}
	return free[i]
}

// routeCandidates returns the endpoints of one failure domain that a request
// may go to, and those of them with capacity. Another failure domain than the
// own one is taken only where nothing in the own one can start the request.
func (s *State) routeCandidates(r *request) (candidates, free []*endpoint) {
	buffer := &s.requests.routeBuffer
	buffer.near, buffer.far = buffer.near[:0], buffer.far[:0]
	all := s.endpointsOf(r.lane)
	ejected := s.ejectedOf(all)
	others := s.hasOther(all, &ejected, r)
	heard := s.hasHeard(all, &ejected, r)
	for _, e := range all {
		if ejected.contains(e) || (heard && e.silent(s.now)) || (others && e.id == r.failedAt) || !r.canResumeAt(e) {
			continue
		}
		if e.FailureDomain == s.self.FailureDomain || s.policy.RandomRouting {
			buffer.near = append(buffer.near, e)
		} else {
			buffer.far = append(buffer.far, e)
		}
	}
	if free := s.withCapacity(buffer.near); len(free) > 0 {
		return buffer.near, free
	}
	return buffer.far, s.withCapacity(buffer.far)
}

// hasOther reports whether a request can go elsewhere than to the endpoint
// where it failed.
func (s *State) hasOther(all []*endpoint, ejected *ejectedSet, r *request) bool {
	if r.failedAt == "" {
		return false
	}
	for _, e := range all {
		if e.id != r.failedAt && r.mayGoTo(e, ejected) {
			return true
		}
	}
	return false
}

// mayGoTo reports whether a request can be sent to an endpoint, apart from its
// capacity.
func (r *request) mayGoTo(e *endpoint, ejected *ejectedSet) bool {
	return !e.leaving && !ejected.contains(e) && r.canResumeAt(e)
}

// canResumeAt reports whether an endpoint has the version of the model that
// the first part of an answer came from. Another version could go on with
// another text.
func (r *request) canResumeAt(e *endpoint) bool {
	return r.tokens == 0 || r.lane.plain() || e.loaded[r.key].Version == r.tokensVersion
}

func (s *State) withCapacity(endpoints []*endpoint) []*endpoint {
	free := s.requests.routeBuffer.free[:0]
	for _, e := range endpoints {
		if s.hasCapacity(e) {
			free = append(free, e)
		}
	}
	s.requests.routeBuffer.free = free
	return free
}

// favoured returns the endpoint that most likely has the prompt prefix of a
// request in its cache: the one with the longest known match, or else the one
// that the session always prefers. It returns nil where there is none with
// capacity.
func (s *State) favoured(r *request, candidates, free []*endpoint) *endpoint {
	if e := s.longestPrefix(r, free); e != nil {
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

func (s *State) longestPrefix(r *request, free []*endpoint) *endpoint {
	var best *endpoint
	longest := 0
	for _, e := range free {
		n := e.cache.match(r.PrefixHashes)
		if n == 0 || n < longest || (n == longest && s.loadOf(e) >= s.loadOf(best)) {
			continue
		}
		best = e
		longest = n
	}
	return best
}
