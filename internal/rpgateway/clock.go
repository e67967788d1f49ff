package rpgateway

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// clock is the runtime's clock plus the time for which the machine was
// suspended. A lease must not outlast a suspension, which the runtime's clock
// does not count.
type clock struct {
	// Suspended returns the time of all suspensions since the machine started;
	// nil stands for none. Where it fails, the time it returned last counts.
	Suspended func() (time.Duration, error)

	mu        sync.Mutex
	checkedAt time.Time
	// initial is the first answer of Suspended, where answered says that there
	// was one.
	initial    time.Duration
	hasInitial bool
	suspended  time.Duration
}

// suspensionCheckInterval is the time between two questions for the suspensions, each
// of which costs two system calls.
const suspensionCheckInterval = 10 * time.Millisecond

// Now returns the time of an event.
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

func (c *clock) updateSuspended(now time.Time) {
	since, err := c.Suspended()
	switch {
	case err != nil:
		// The start of the instance logs that the clocks can't be read.
	case !c.hasInitial:
		c.initial, c.hasInitial = since, true
	default:
		c.suspended = max(c.suspended, since-c.initial)
	}
	c.checkedAt = now
}

// runtimeTime converts a time of Now into one of the runtime's clock.
func (c *clock) runtimeTime(at time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at.Add(-c.suspended)
}

// suspendedTime compares the clock that counts suspensions with the one that
// does not.
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
