package rpcore

import "time"

// recentWindow is the time constant of the decaying sums behind retry budgets
// and dispatch rates.
const recentWindow = 10 * time.Second

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

// meanDuration is an exponentially weighted mean. Zero means that there is no
// sample yet.
type meanDuration time.Duration

func (m *meanDuration) add(sample time.Duration) {
	if *m == 0 {
		*m = meanDuration(sample)
		return
	}
	*m += meanDuration(meanDurationWeight * float64(sample-time.Duration(*m)))
}
