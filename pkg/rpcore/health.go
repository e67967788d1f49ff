package rpcore

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ejectAfter is the number of consecutive failures that eject an
	// endpoint.
	ejectAfter = 3
	// ejectionBase and ejectionLimit bound the time of an ejection before
	// jitter.
	ejectionBase  = time.Second
	ejectionLimit = time.Minute
	// ejectionMemory is the time without a failure after which an endpoint
	// starts again with the shortest ejection.
	ejectionMemory = 5 * time.Minute
	// hangTime is the time without a first byte from which a missed deadline
	// counts as a failure of the endpoint and not as an impatient caller.
	hangTime = 5 * time.Second
)

// endpointHealth is the failure history of an endpoint, and its load.
type endpointHealth struct {
	load endpointLoad
	// failures counts consecutive failures.
	failures int
	// ejections counts ejections that followed each other.
	ejections  int
	until      time.Time
	onTrial    bool
	probe      AttemptID
	lastFailed time.Time
}

// ejected reports whether an endpoint takes no requests for now: during its
// ejection, and after it while the one request that probes it is under way.
func (h *endpointHealth) ejected(now time.Time) bool {
	return h.onTrial && (h.until.After(now) || h.probe != "")
}

// ejectedSet says which endpoints of a set count as ejected. It never covers
// more than half of the set.
type ejectedSet struct {
	now time.Time
	// spared lists ejected endpoints that are used even so.
	spared []*endpoint
	any    bool
}

func (s *State) ejectedOf(all []*endpoint) ejectedSet {
	set := ejectedSet{now: s.now}
	n := 0
	for _, e := range all {
		if e.health.ejected(s.now) {
			n++
		}
	}
	set.any = n > 0
	if excess := n - len(all)/2; excess > 0 {
		set.spare(all, excess)
	}
	return set
}

// spare takes back the ejections that end first.
func (v *ejectedSet) spare(all []*endpoint, excess int) {
	for _, e := range all {
		if e.health.ejected(v.now) {
			v.spared = append(v.spared, e)
		}
	}
	slices.SortFunc(v.spared, func(a, b *endpoint) int {
		return cmp.Or(a.health.until.Compare(b.health.until), cmp.Compare(a.id, b.id))
	})
	v.spared = v.spared[:excess]
}

func (v *ejectedSet) contains(e *endpoint) bool {
	return v.any && e.health.ejected(v.now) && !slices.Contains(v.spared, e)
}

// endpointFailed counts a failed attempt against its endpoint.
func (s *State) endpointFailed(e *endpoint, a *attempt) {
	h := &e.health
	if h.onTrial && a.startedAt.Before(h.until) {
		// The attempt started before the ejection ended, so it says nothing
		// that the ejection does not take into account.
		return
	}
	if !h.lastFailed.IsZero() && s.now.Sub(h.lastFailed) > ejectionMemory {
		h.ejections = 0
	}
	h.lastFailed = s.now
	h.failures++
	if h.onTrial || (h.failures >= ejectAfter && s.mayEject(a.request.lane, e)) {
		s.eject(e)
	}
}

// mayEject reports whether at most half of a set stays ejected with one more.
func (s *State) mayEject(l *lane, e *endpoint) bool {
	all := s.endpointsOf(l)
	n := 1
	for _, other := range all {
		if other != e && other.health.ejected(s.now) {
			n++
		}
	}
	return n <= len(all)/2
}

func (s *State) eject(e *endpoint) {
	h := &e.health
	length := doubled(ejectionBase, h.ejections, ejectionLimit)
	h.ejections++
	h.failures = 0
	h.onTrial = true
	h.probe = ""
	h.until = s.now.Add(s.jitter(length))
	s.emit(Note{Part: "requests", Text: "ejected an endpoint after failures", Endpoint: e.id})
}

// endpointWorked takes in a sign that an endpoint answers.
func (s *State) endpointWorked(e *endpoint, a *attempt) {
	h := &e.health
	h.failures = 0
	if h.onTrial && h.probe == a.id {
		h.onTrial = false
		h.probe = ""
	}
}

// startProbe makes an attempt the probe of an endpoint whose ejection has
// ended.
func (s *State) startProbe(e *endpoint, a *attempt) {
	if e.health.onTrial && !e.health.until.After(s.now) && e.health.probe == "" {
		e.health.probe = a.id
	}
}

// endProbe lets another request probe the endpoint after a probe that showed
// nothing.
func (s *State) endProbe(e *endpoint, a *attempt) {
	if e.health.probe == a.id {
		e.health.probe = ""
	}
}
