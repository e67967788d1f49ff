package rpaccount

import (
	"math"
	"time"
)

// DefaultBound is the Bound of a Currency that states none.
const DefaultBound = 5 * time.Second

// acceptShare is the share of Bound up to which keys are accepted. The store may hold
// back changes from calls for up to a second, so a statement may be untrue for a second
// before its time: 0.2 of the bound of 5 s.
const acceptShare = 0.8

// Currency tells whether the instance's configuration is recent enough to be trusted
// with respect to withdrawn keys. A key that is not in a configuration must not be
// accepted later than Bound after the store acknowledged it. The zero value accepts
// all keys.
//
// Every statement that the configuration is the newest one is true as of some time:
// the begin of the call to the store that found no newer one. Between instances the
// age of the statement is passed on, because their clocks differ.
type Currency struct {
	// Bound is the longest time between the withdrawal of a key and its effect;
	// 0 means DefaultBound.
	Bound time.Duration
	// Strict says that keys are not accepted without a recent confirmation.
	Strict bool

	confirmed bool
	asOf      time.Time
}

// Confirm records that the configuration in force was the newest one at asOf.
func (c *Currency) Confirm(asOf time.Time) {
	if !c.confirmed || asOf.After(c.asOf) {
		c.confirmed, c.asOf = true, asOf
	}
}

// Accepts reports whether keys of the configuration in force may be accepted.
func (c *Currency) Accepts(now time.Time) bool {
	return !c.Strict || c.Age(now) < time.Duration(acceptShare*float64(c.bound()))
}

// Age returns the time since the configuration in force was last known to be the
// newest one, or the longest duration if it never was.
func (c *Currency) Age(now time.Time) time.Duration {
	if !c.confirmed {
		return math.MaxInt64
	}
	return max(0, now.Sub(c.asOf))
}

func (c *Currency) bound() time.Duration {
	if c.Bound <= 0 {
		return DefaultBound
	}
	return c.Bound
}
