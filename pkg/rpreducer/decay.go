package rpreducer

import (
	"math"
	"time"
)

// DecayingSum is a sum whose parts lose their weight exponentially. All calls for
// one sum name the same time constant. Its zero value is an empty sum.
type DecayingSum struct {
	value float64
	at    time.Time
}

// Add adds n.
func (c *DecayingSum) Add(now time.Time, window time.Duration, n float64) {
	c.value = c.Get(now, window) + n
	c.at = now
}

// Get returns the sum now.
func (c *DecayingSum) Get(now time.Time, window time.Duration) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * Decay(now.Sub(c.at), window)
}

// Decay returns the part that is left of a weight of 1 after a time.
func Decay(elapsed, window time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}
