package rpcore

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ejectionThreshold is the number of consecutive failures that eject an
	// endpoint.
	ejectionThreshold = 3
	// ejectionBase and ejectionLimit bound the time of an ejection before
	// jitter.
	ejectionBase = time.Second
	maxEjection  = time.Minute
	// ejectionResetTime is the time without a failure after which an endpoint
	// starts again with the shortest ejection.
	ejectionResetTime = 5 * time.Minute
	// hangThreshold is the time without a first byte from which a missed deadline
	// counts as a failure of the endpoint and not as an impatient caller.
	hangThreshold = 5 * time.Second
)

// endpointHealth is the failure history of an endpoint, and its load.
type endpointHealth struct {
	load endpointLoad
	// consecutiveFailures counts consecutive failures.
	consecutiveFailures int
	// consecutiveEjections counts ejections that followed each other.
	consecutiveEjections int
	ejectedUntil         time.Time
	needsProbe           bool
	probeAttempt         AttemptID
	lastFailure          time.Time
}

// ejected reports whether an endpoint takes no requests for now: during its
// ejection, and after it while the one request that probes it is under way.
func (h *endpointHealth) ejected(now time.Time) bool {
	return h.needsProbe && (h.ejectedUntil.After(now) || h.probeAttempt != "")
}

// ejectedSet says which endpoints of a set count as ejected. It never covers
// more than half of the set.
type ejectedSet struct {
	now time.Time
	// retained lists ejected endpoints that are used even so.
	retained []*endpoint
	any      bool
}

func (s *State) ejectedAmong(all []*endpoint) ejectedSet {
	set := ejectedSet{now: s.now}
	n := 0
	for _, e := range all {
		if e.health.ejected(s.now) {
			n++
		}
	}
	set.any = n > 0
	if excess := n - len(all)/2; excess > 0 {
		set.retain(all, excess)
	}
	return set
}

// spare takes back the ejections that end first.
func (set *ejectedSet) retain(all []*endpoint, excess int) {
	for _, e := range all {
		if e.health.ejected(set.now) {
			set.retained = append(set.retained, e)
		}
	}
	slices.SortFunc(set.retained, func(a, b *endpoint) int {
		return cmp.Or(a.health.ejectedUntil.Compare(b.health.ejectedUntil), cmp.Compare(a.id, b.id))
	})
	set.retained = set.retained[:excess]
}

func (set *ejectedSet) contains(e *endpoint) bool {
	return set.any && e.health.ejected(set.now) && !slices.Contains(set.retained, e)
}

// recordEndpointFailure counts a failed attempt against its endpoint.
func (s *State) recordEndpointFailure(e *endpoint, a *attempt) {
	h := &e.health
	if h.needsProbe && a.startedAt.Before(h.ejectedUntil) {
		// The attempt started before the ejection ended, so it says nothing
		// that the ejection does not take into account.
		return
	}
	if !h.lastFailure.IsZero() && s.now.Sub(h.lastFailure) > ejectionResetTime {
		h.consecutiveEjections = 0
	}
	h.lastFailure = s.now
	h.consecutiveFailures++
	if h.needsProbe || (h.consecutiveFailures >= ejectionThreshold && s.canEject(a.request.lane, e)) {
		s.ejectEndpoint(e)
	}
}

// canEject reports whether at most half of a set stays ejected with one more.
func (s *State) canEject(l *lane, e *endpoint) bool {
	all := s.laneEndpoints(l)
	n := 1
	for _, other := range all {
		if other != e && other.health.ejected(s.now) {
			n++
		}
	}
	return n <= len(all)/2
}

func (s *State) ejectEndpoint(e *endpoint) {
	h := &e.health
	length := doubled(ejectionBase, h.consecutiveEjections, maxEjection)
	h.consecutiveEjections++
	h.consecutiveFailures = 0
	h.needsProbe = true
	h.probeAttempt = ""
	h.ejectedUntil = s.now.Add(s.jitter(length))
	s.emit(Note{Part: "requests", Text: "ejected an endpoint after failures", Endpoint: e.id})
}

// recordEndpointSuccess takes in a sign that an endpoint answers.
func (s *State) recordEndpointSuccess(e *endpoint, a *attempt) {
	h := &e.health
	h.consecutiveFailures = 0
	if h.needsProbe && h.probeAttempt == a.id {
		h.needsProbe = false
		h.probeAttempt = ""
	}
}

// startProbe makes an attempt the probe of an endpoint whose ejection has
// ended.
func (s *State) startProbe(e *endpoint, a *attempt) {
	if e.health.needsProbe && !e.health.ejectedUntil.After(s.now) && e.health.probeAttempt == "" {
		e.health.probeAttempt = a.id
	}
}

// clearProbe lets another request probe the endpoint after a probe that showed
// nothing.
func (s *State) clearProbe(e *endpoint, a *attempt) {
	if e.health.probeAttempt == a.id {
		e.health.probeAttempt = ""
	}
}
