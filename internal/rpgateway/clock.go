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
	// nil stands for none.
	Suspended func() time.Duration

	mu        sync.Mutex
	checkedAt time.Time
	first     time.Duration
	suspended time.Duration
}

// suspensionCheck is the time between two questions for the suspensions, each
// of which costs two system calls.
const suspensionCheck = 10 * time.Millisecond

// Now returns the time of an event.
func (c *clock) Now() time.Time {
	now := time.Now()
	if c.Suspended == nil {
		return now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checkedAt.IsZero() {
		c.first = c.Suspended()
		c.checkedAt = now
	} else if now.Sub(c.checkedAt) >= suspensionCheck {
		c.suspended = max(c.suspended, c.Suspended()-c.first)
		c.checkedAt = now
	}
	return now.Add(c.suspended)
}

// local converts a time of Now into one of the runtime's clock.
func (c *clock) local(at time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at.Add(-c.suspended)
}

// suspendedTime compares the clock that counts suspensions with the one that
// does not.
func suspendedTime() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		// Both clocks exist on every kernel that the program runs on. Without
		// them a lease may be held for too long after a suspension.
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
