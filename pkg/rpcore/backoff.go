package rpcore

import "time"

const (
	retryDelayBase = 50 * time.Millisecond
	maxRetryDelay  = 2 * time.Second
)

// retryDelay returns the exponential delay before a retry. Retries are numbered
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

// jitter returns a random duration between 0.5 and 1.5 times d, so that
// instances that fail at the same time don't retry at the same time.
func (s *State) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + s.rng.Float64()) * float64(d))
}
