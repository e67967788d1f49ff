package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// attemptEndWindow is the time constant of serviceStats.attemptEnds.
const attemptEndWindow = 2 * time.Second

// decayingRate is a rate of events per second with exponential decay.
type decayingRate struct {
	rpreducer.DecayingSum
	window time.Duration
}

func (r *decayingRate) add(now time.Time, n float64) { r.Add(now, r.window, n) }

// perSecond returns the rate now.
func (r *decayingRate) perSecond(now time.Time) float64 {
	return r.Get(now, r.window) / r.window.Seconds()
}
