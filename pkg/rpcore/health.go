package rpcore

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ejectionThreshold is the number of consecutive failures after which an
	// endpoint is ejected.
	ejectionThreshold = 3
	// ejectionBase and maxEjection are the shortest and longest duration of an
	// ejection before jitter.
	ejectionBase = time.Second
	maxEjection  = time.Minute
	// ejectionResetTime is the time without failures after which the next
	// ejection of an endpoint has the shortest duration again.
	ejectionResetTime = 5 * time.Minute
	// hangThreshold is the time without a first token or byte from which a
	// missed deadline counts as a failure of the endpoint. Below it, the
	// deadline may just have been too short.
	hangThreshold = 5 * time.Second
)

// endpointHealth is the load of an endpoint and its failure history.
type endpointHealth struct {
	load endpointLoad
	// consecutiveFailures is the number of failures since the last success or
	// ejection.
	consecutiveFailures int
	// consecutiveEjections is the number of ejections since the last reset. It
	// determines the duration of the next ejection.
	consecutiveEjections int
	// ejectedUntil is the end of the last ejection.
	ejectedUntil time.Time
	// needsProbe is set from an ejection until a probe succeeds. probeAttempt
	// is the probe in progress, or empty.
	needsProbe   bool
	probeAttempt AttemptID
	lastFailure  time.Time
}

// isEjected reports whether an endpoint gets no requests: during its ejection,
// and afterwards while a single probe request is in progress.
func (h *endpointHealth) isEjected(now time.Time) bool {
	return h.needsProbe && (h.ejectedUntil.After(now) || h.probeAttempt != "")
}

// ejectedSet determines which endpoints of a set are treated as ejected. It
// never contains more than half of the set.
type ejectedSet struct {
	now time.Time
	// retained lists the ejected endpoints that still get requests, so that no
	// more than half of the set is treated as ejected.
	retained []*endpoint
	any      bool
}

func (s *State) ejectedAmong(all []*endpoint) ejectedSet {
	set := ejectedSet{now: s.now}
	n := 0
	for _, e := range all {
		if e.health.isEjected(s.now) {
			n++
		}
	}
	set.any = n > 0
	if excess := n - len(all)/2; excess > 0 {
		set.retain(all, excess)
	}
	return set
}

// retain adds ejected endpoints to retained: the excess endpoints whose
// ejections end first.
func (set *ejectedSet) retain(all []*endpoint, excess int) {
	for _, e := range all {
		if e.health.isEjected(set.now) {
			set.retained = append(set.retained, e)
		}
	}
	slices.SortFunc(set.retained, func(a, b *endpoint) int {
		return cmp.Or(a.health.ejectedUntil.Compare(b.health.ejectedUntil), cmp.Compare(a.id, b.id))
	})
	set.retained = set.retained[:excess]
}

func (set *ejectedSet) contains(e *endpoint) bool {
	return set.any && e.health.isEjected(set.now) && !slices.Contains(set.retained, e)
}

// recordEndpointFailure records a failed attempt at an endpoint and ejects the
// endpoint if it failed too often or failed its probe.
func (s *State) recordEndpointFailure(e *endpoint, a *attempt) {
	h := &e.health
	if h.needsProbe && a.startedAt.Before(h.ejectedUntil) {
		// The attempt started before the ejection ended. The ejection already
		// accounts for its failure.
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

// canEject reports whether at most half of the lane's endpoints are ejected if
// e is ejected too.
func (s *State) canEject(l *lane, e *endpoint) bool {
	all := s.laneEndpoints(l)
	n := 1
	for _, other := range all {
		if other != e && other.health.isEjected(s.now) {
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
	s.emit(Note{Part: "requests", Text: "ejected an endpoint after repeated failures", Endpoint: e.id})
}

// recordEndpointSuccess records that an endpoint answered an attempt. If the
// attempt was the probe, the endpoint is no longer ejected.
func (s *State) recordEndpointSuccess(e *endpoint, a *attempt) {
	h := &e.health
	h.consecutiveFailures = 0
	if h.needsProbe && h.probeAttempt == a.id {
		h.needsProbe = false
		h.probeAttempt = ""
	}
}

// startProbe makes an attempt the probe of an endpoint whose ejection has
// expired and that has no probe yet.
func (s *State) startProbe(e *endpoint, a *attempt) {
	if e.health.needsProbe && !e.health.ejectedUntil.After(s.now) && e.health.probeAttempt == "" {
		e.health.probeAttempt = a.id
	}
}

// clearProbe lets another request probe the endpoint if the probe ended without
// success or failure, such as by cancellation.
func (s *State) clearProbe(e *endpoint, a *attempt) {
	if e.health.probeAttempt == a.id {
		e.health.probeAttempt = ""
	}
}
