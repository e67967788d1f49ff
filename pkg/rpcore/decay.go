package rpcore

import (
	"math"
	"time"
)

// recentWindow is the time constant of "recent" in retry budgets and
// dispatch rates.
const recentWindow = 10 * time.Second

// decayingCount counts events with an exponential decay; all calls for one
// count name the same window.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c *decayingCount) add(now time.Time, window time.Duration) {
	c.value = c.get(now, window) + 1
	c.at = now
}

func (c *decayingCount) get(now time.Time, window time.Duration) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * decay(now.Sub(c.at), window)
}

func decay(elapsed, window time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}

// doubled returns base doubled n times, at most limit.
func doubled(base time.Duration, n int, limit time.Duration) time.Duration {
	for range n {
		base *= 2
		if base >= limit {
			return limit
		}
	}
	return base
}

// meanDurationWeight is the weight of a new sample.
const meanDurationWeight = 0.1

// meanDuration is an exponentially weighted mean; zero means no sample.
type meanDuration time.Duration

func (m *meanDuration) add(sample time.Duration) {
	if *m == 0 {
		*m = meanDuration(sample)
		return
	}
	*m += meanDuration(meanDurationWeight * float64(sample-time.Duration(*m)))
}
