package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

const (
	// failureWeight is the weight of one attempt in the failure rate of an
	// endpoint: the rate follows the last five or so.
	failureWeight = 0.2
	// ejectionFailureExcess is the failure rate above that of the service's other
	// endpoints at which an endpoint gets no work for a time.
	ejectionFailureExcess = 0.35
	// ejectionFailures ejects an endpoint that fails every attempt.
	ejectionFailures = 2
	// minEjectionTime is the first time without work; it doubles with each
	// ejection in a row, up to maxEjectionTime.
	minEjectionTime = 700 * time.Millisecond
	maxEjectionTime = 6 * time.Second
	// latencyWeight is the weight of one attempt in the latency of an
	// endpoint.
	latencyWeight = 0.3
	// latencyDecayTime is the time constant with which a latency that is not
	// observed any more loses its effect, so that the endpoint is tried again.
	latencyDecayTime = 4 * time.Second
	// maxSlowness bounds the factor by which a slow endpoint counts as loaded.
	maxSlowness = 10.0
)

// health is what the attempts of this instance showed of an endpoint.
type health struct {
	consecutiveFailures  int
	failureRate          float64
	consecutiveEjections int
	ejectedUntil         time.Time
	latency              time.Duration
	latencyAt            time.Time
}

// isEjected reports whether an endpoint gets no work now.
func (h *health) isEjected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// recordSuccess takes in an attempt that got its answer.
func (h *health) recordSuccess() {
	h.consecutiveFailures = 0
	h.consecutiveEjections = 0
	h.failureRate *= 1 - failureWeight
}

// recordLatency takes in the time to the first byte of an answer.
func (h *health) recordLatency(d time.Duration, now time.Time) {
	if h.latency == 0 {
		h.latency = d
	} else {
		h.latency += time.Duration(latencyWeight * float64(d-h.latency))
	}
	h.latencyAt = now
}

// slownessFactor returns the factor by which an endpoint is slower than usual.
func (h *health) slownessFactor(usual time.Duration, now time.Time) float64 {
	if h.latency == 0 || usual == 0 {
		return 1
	}
	factor := float64(h.latency) / float64(usual)
	kept := rpreducer.Decay(now.Sub(h.latencyAt), latencyDecayTime)
	return min(max(1, 1+(factor-1)*kept), maxSlowness)
}

// recordEndpointFailure takes in an attempt without an answer and ejects the endpoint
// where it fails more than the others. Hard failures show that nothing listens
// there, so one is enough.
func (s *State) recordEndpointFailure(e *endpoint, hard bool, why string) {
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
	s.note("members", "an endpoint gets no work for a time", Field{"endpoint", string(e.ID)}, Field{"reason", why},
		Field{"failure_rate", h.failureRate}, Field{"for", length}, Field{"entry_age", s.now.Sub(e.entrySeenAt)})
	s.runAt(h.ejectedUntil, (*State).dispatchAll)
}

// serviceStats is what the attempts showed of a service as a whole.
type serviceStats struct {
	failureRate float64
	latency     time.Duration
	// attemptEnds is the rate of the attempts that end, a second.
	attemptEnds decayingRate
}

func (s *State) serviceStats(service string) *serviceStats {
	stats := s.statsByService[service]
	if stats == nil {
		stats = &serviceStats{attemptEnds: decayingRate{window: attemptEndWindow}}
		s.statsByService[service] = stats
	}
	return stats
}

// serviceStatsWeight is the weight of one attempt in the figures of a service.
const serviceStatsWeight = 0.05

func (v *serviceStats) recordOutcome(failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	v.failureRate += serviceStatsWeight * (outcome - v.failureRate)
}

// recordLatency follows the lower latencies closely and the higher ones
// slowly, so that one slow endpoint does not make the others look fast.
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
