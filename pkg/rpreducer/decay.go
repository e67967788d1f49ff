package rpreducer

import (
	"math"
	"time"
)

// DecayingSum is a sum whose parts decay exponentially. The window is the time
// constant; all calls for one sum must pass the same window. The zero value is
// an empty sum.
type DecayingSum struct {
	value float64
	at    time.Time
}

// Add adds n at the time now.
func (c *DecayingSum) Add(now time.Time, window time.Duration, n float64) {
	c.value = c.Get(now, window) + n
	c.at = now
}

// Get returns the sum at the time now.
func (c *DecayingSum) Get(now time.Time, window time.Duration) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * Decay(now.Sub(c.at), window)
}

// Decay returns the fraction that is left after the elapsed time of exponential
// decay. The window is the time constant.
func Decay(elapsed, window time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}
