package rpcore

import "time"

const (
	retryDelayBase = 50 * time.Millisecond
	maxRetryDelay  = 2 * time.Second
)

// retryDelay returns the exponential delay before the given retry, counted
// from 1.
func retryDelay(retry int) time.Duration {
	delay := retryDelayBase
	for range retry - 1 {
		delay *= 2
		if delay >= maxRetryDelay {
			return maxRetryDelay
		}
	}
	return delay
}

// jitter spreads a delay over 0.5 to 1.5 of itself, so that instances that
// failed together do not retry together.
func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + s.rng.Float64()) * float64(d))
}
