package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

const (
	// failureWeight is the weight of one attempt in the failure rate of an
	// endpoint: the rate follows the last five or so.
	failureWeight = 0.2
	// ejectionRate is the failure rate above that of the service's other
	// endpoints at which an endpoint gets no work for a time.
	ejectionRate = 0.35
	// failuresInRow ejects an endpoint that fails every attempt.
	failuresInRow = 2
	// ejectionTime is the first time without work; it doubles with each
	// ejection in a row, up to maxEjectionTime.
	ejectionTime    = 700 * time.Millisecond
	maxEjectionTime = 6 * time.Second
	// latencyWeight is the weight of one attempt in the latency of an
	// endpoint.
	latencyWeight = 0.3
	// latencyMemory is the time constant with which a latency that is not
	// observed any more loses its effect, so that the endpoint is tried again.
	latencyMemory = 4 * time.Second
	// maxSlowness bounds the factor by which a slow endpoint counts as loaded.
	maxSlowness = 10.0
)

// health is what the attempts of this instance showed of an endpoint.
type health struct {
	inRow        int
	failureRate  float64
	ejections    int
	ejectedUntil time.Time
	latency      time.Duration
	latencyAt    time.Time
}

// ejected reports whether an endpoint gets no work now.
func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// succeeded takes in an attempt that got its answer.
func (h *health) succeeded() {
	h.inRow = 0
	h.ejections = 0
	h.failureRate *= 1 - failureWeight
}

// observeLatency takes in the time to the first byte of an answer.
func (h *health) observeLatency(d time.Duration, now time.Time) {
	if h.latency == 0 {
		h.latency = d
	} else {
		h.latency += time.Duration(latencyWeight * float64(d-h.latency))
	}
	h.latencyAt = now
}

// slowness returns the factor by which an endpoint is slower than usual.
func (h *health) slowness(usual time.Duration, now time.Time) float64 {
	if h.latency == 0 || usual == 0 {
		return 1
	}
	factor := float64(h.latency) / float64(usual)
	kept := rpreducer.Decay(now.Sub(h.latencyAt), latencyMemory)
	return min(max(1, 1+(factor-1)*kept), maxSlowness)
}

// endpointFailed takes in an attempt without an answer and ejects the endpoint
// where it fails more than the others. Hard failures show that nothing listens
// there, so one is enough.
func (s *State) endpointFailed(e *endpoint, hard bool, why string) {
	h := &e.health
	h.inRow++
	h.failureRate += failureWeight * (1 - h.failureRate)
	usual := s.stats(e.Service).failureRate
	if !hard && h.inRow < failuresInRow && h.failureRate < usual+ejectionRate {
		return
	}
	if h.ejected(s.now) {
		return
	}
	length := min(ejectionTime<<min(h.ejections, 8), maxEjectionTime)
	length += time.Duration(s.rng.Int64N(int64(length) / 4))
	h.ejections++
	h.inRow = 0
	h.ejectedUntil = s.now.Add(length)
	s.note("members", "an endpoint gets no work for a time", Field{"endpoint", string(e.ID)}, Field{"reason", why},
		Field{"failure_rate", h.failureRate}, Field{"for", length}, Field{"entry_age", s.now.Sub(e.seenAt)})
	s.at(h.ejectedUntil, (*State).dispatchAll)
}

// serviceStats is what the attempts showed of a service as a whole.
type serviceStats struct {
	failureRate float64
	latency     time.Duration
	// departures is the rate of the attempts that end, a second.
	departures decayingRate
}

func (s *State) stats(service string) *serviceStats {
	stats := s.services[service]
	if stats == nil {
		stats = &serviceStats{departures: decayingRate{window: departureWindow}}
		s.services[service] = stats
	}
	return stats
}

// serviceWeight is the weight of one attempt in the figures of a service.
const serviceWeight = 0.05

func (v *serviceStats) observe(failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	v.failureRate += serviceWeight * (outcome - v.failureRate)
}

// observeLatency follows the lower latencies closely and the higher ones
// slowly, so that one slow endpoint does not make the others look fast.
func (v *serviceStats) observeLatency(d time.Duration) {
	if v.latency == 0 {
		v.latency = d
		return
	}
	weight := serviceWeight
	if d > v.latency {
		weight = serviceWeight / 4
	}
	v.latency += time.Duration(weight * float64(d-v.latency))
}
