package rpgateway

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// clock is the Go runtime's monotonic clock plus the time that the machine was
// suspended. The runtime's clock stops during a suspension, so a lease measured
// with it would be held too long.
type clock struct {
	// Suspended returns the total suspended time since boot. If it is nil, no
	// suspensions are counted. If it fails, the last successful value is kept.
	Suspended func() (time.Duration, error)

	mu        sync.Mutex
	checkedAt time.Time
	// initial is the first result of Suspended; valid if hasInitial is set.
	initial    time.Duration
	hasInitial bool
	suspended  time.Duration
}

// suspensionCheckInterval is the minimum time between two calls of Suspended, each
// of which makes two system calls.
const suspensionCheckInterval = 10 * time.Millisecond

// Now returns the current time, including suspensions.
func (c *clock) Now() time.Time {
	now := time.Now()
	if c.Suspended == nil {
		return now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checkedAt.IsZero() || now.Sub(c.checkedAt) >= suspensionCheckInterval {
		c.updateSuspended(now)
	}
	return now.Add(c.suspended)
}

// ExactNow returns the current time like Now, but counts a suspension that has just
// ended, too. Callers' requests that were sent during a suspension are read in the
// first milliseconds after it.
func (c *clock) ExactNow() time.Time {
	now := time.Now()
	if c.Suspended == nil {
		return now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateSuspended(now)
	return now.Add(c.suspended)
}

func (c *clock) updateSuspended(now time.Time) {
	since, err := c.Suspended()
	switch {
	case err != nil:
		// The instance logs this error when it starts.
	case !c.hasInitial:
		c.initial, c.hasInitial = since, true
	default:
		c.suspended = max(c.suspended, since-c.initial)
	}
	c.checkedAt = now
}

// runtimeTime converts a time of this clock into a time of the runtime's clock.
func (c *clock) runtimeTime(at time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at.Add(-c.suspended)
}

// suspendedTime returns the total suspended time since boot: the difference
// between the clock that counts suspensions and the one that doesn't.
func suspendedTime() (time.Duration, error) {
	var boot, steady unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}
