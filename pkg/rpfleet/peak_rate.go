package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// peakHoldTime is the time constant with which the highest rate of a model decays.
// Demand rises and falls within 10 to 20 s. A replica that is evicted in a trough is
// missing at the next peak, before which an engine with the checkpoint may be busy.
const peakHoldTime = 20 * time.Second

// peakRate is the highest recent arrival rate of a model, as of at.
type peakRate struct {
	perSecond float64
	at        time.Time
}

// current returns the peak now, without later arrivals.
func (p peakRate) current(now time.Time) float64 {
	return p.perSecond * rpreducer.Decay(now.Sub(p.at), peakHoldTime)
}

// holdPeaks sets the peak rate of each model with demand.
func (p *servicePlan) holdPeaks() {
	s := p.state
	for _, m := range p.models {
		known, ok := s.plan.peakRates[m.id]
		m.peak = max(m.rate, known.current(s.now))
		switch {
		case m.rate > 0 && m.rate >= m.peak:
			s.plan.peakRates[m.id] = peakRate{perSecond: m.rate, at: s.now}
		case ok && m.peak < minPeakRate:
			delete(s.plan.peakRates, m.id)
			m.peak = m.rate
		}
	}
}

// minPeakRate is the rate, in requests per second, below which a peak is forgotten.
const minPeakRate = 0.1
