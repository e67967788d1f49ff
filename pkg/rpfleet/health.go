package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpestimate"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

const (
	// failureWeight is the weight of one attempt in the failure rate of an
	// endpoint. The rate thus reflects about the last five attempts.
	failureWeight = 0.2
	// ejectionFailureExcess is how far the failure rate of an endpoint must
	// exceed the failure rate of its service before the endpoint is ejected.
	ejectionFailureExcess = 0.35
	// ejectionFailures is the number of failures in a row that ejects an
	// endpoint in any case.
	ejectionFailures = 2
	// minEjectionTime is the duration of the first ejection. It doubles with
	// each ejection without a success in between, up to maxEjectionTime.
	minEjectionTime = 700 * time.Millisecond
	maxEjectionTime = 6 * time.Second
	// latencyWeight is the weight of one attempt in the latency of an endpoint.
	latencyWeight = 0.3
	// latencyDecayTime is the time constant with which an old latency loses its
	// effect, so that a slow endpoint is tried again.
	latencyDecayTime = 4 * time.Second
	// maxSlowness bounds the result of slownessFactor.
	maxSlowness = 10.0
)

// health is what this instance's attempts showed about an endpoint.
type health struct {
	consecutiveFailures  int
	failureRate          float64
	consecutiveEjections int
	ejectedUntil         time.Time
	latency              time.Duration
	latencyAt            time.Time
}

// isEjected reports whether an endpoint gets no new work now.
func (h *health) isEjected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// recordSuccess records an attempt with a complete response.
func (h *health) recordSuccess() {
	h.consecutiveFailures = 0
	h.consecutiveEjections = 0
	h.failureRate *= 1 - failureWeight
}

// recordLatency records the time to the first byte of a response.
func (h *health) recordLatency(d time.Duration, now time.Time) {
	if h.latency == 0 {
		h.latency = d
	} else {
		h.latency += time.Duration(latencyWeight * float64(d-h.latency))
	}
	h.latencyAt = now
}

// slownessFactor returns how many times slower than usual an endpoint is, at
// least 1.
func (h *health) slownessFactor(usual time.Duration, now time.Time) float64 {
	if h.latency == 0 || usual == 0 {
		return 1
	}
	factor := float64(h.latency) / float64(usual)
	kept := rpreducer.Decay(now.Sub(h.latencyAt), latencyDecayTime)
	return min(max(1, 1+(factor-1)*kept), maxSlowness)
}

// recordEndpointFailure records a failed attempt and ejects the endpoint if it
// fails more than the service as a whole. A hard failure means that nothing
// listens there, so a single one ejects the endpoint.
func (s *State) recordEndpointFailure(e *endpoint, hard bool, reason string) {
	h := &e.health
	h.consecutiveFailures++
	h.failureRate += failureWeight * (1 - h.failureRate)
	usual := s.serviceStats(e.Service).failureRate
	if !hard && h.consecutiveFailures < ejectionFailures && h.failureRate < usual+ejectionFailureExcess {
		return
	}
	if h.isEjected(s.now) {
		return
	}
	length := min(minEjectionTime<<min(h.consecutiveEjections, 8), maxEjectionTime)
	length += time.Duration(s.rng.Int64N(int64(length) / 4))
	h.consecutiveEjections++
	h.consecutiveFailures = 0
	h.ejectedUntil = s.now.Add(length)
	s.note("members", "an endpoint was ejected after failures", Field{"endpoint", string(e.ID)}, Field{"reason", reason},
		Field{"failure_rate", h.failureRate}, Field{"for", length}, Field{"entry_age", s.now.Sub(e.entrySeenAt)})
	s.runAt(h.ejectedUntil, (*State).dispatchAll)
}

// serviceStats is what the attempts at all endpoints of a service showed.
type serviceStats struct {
	failureRate float64
	latency     time.Duration
	// attemptEnds is the rate of attempts that end, per second.
	attemptEnds decayingRate
	// times is what the attempts at engines showed.
	times rpestimate.Times
}

func (s *State) serviceStats(service string) *serviceStats {
	stats := s.statsByService[service]
	if stats == nil {
		stats = &serviceStats{attemptEnds: decayingRate{window: attemptEndWindow}}
		s.statsByService[service] = stats
	}
	return stats
}

// serviceStatsWeight is the weight of one attempt in serviceStats.
const serviceStatsWeight = 0.05

func (v *serviceStats) recordOutcome(failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	v.failureRate += serviceStatsWeight * (outcome - v.failureRate)
}

// recordLatency follows lower latencies quickly and higher ones slowly, so that
// one slow endpoint does not raise what counts as usual.
func (v *serviceStats) recordLatency(d time.Duration) {
	if v.latency == 0 {
		v.latency = d
		return
	}
	weight := serviceStatsWeight
	if d > v.latency {
		weight = serviceStatsWeight / 4
	}
	v.latency += time.Duration(weight * float64(d-v.latency))
}
