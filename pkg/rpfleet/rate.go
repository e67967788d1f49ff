package rpfleet

import (
	"math"
	"time"
)

// departureWindow is the time constant of the departures of a service.
const departureWindow = 2 * time.Second

// decayingRate is the rate of occurrences a second with exponential decay.
type decayingRate struct {
	window time.Duration
	sum    float64
	at     time.Time
}

func (r *decayingRate) add(now time.Time, n float64) {
	r.decay(now)
	r.sum += n
}

func (r *decayingRate) decay(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.sum *= math.Exp(-float64(elapsed) / float64(r.window))
		r.at = now
	}
}

// perSecond returns the rate now.
func (r *decayingRate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / r.window.Seconds()
}
