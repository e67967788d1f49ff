package rptimeline

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Clock is a time of a hybrid logical clock: milliseconds since 1970 in the
// upper 48 bits and a counter in the lower 16. An overflow of the counter
// goes into the milliseconds, so clocks compare as numbers.
type Clock uint64

const counterBits = 16

// MaxAhead bounds how far the clock of a peer may be ahead of the physical
// time. A host with a wrong clock would otherwise move the clocks of all
// instances for good. Entries after a message with such a clock may be in the
// wrong order.
const MaxAhead = time.Minute

// ClockAt returns the first clock of a millisecond.
func ClockAt(t time.Time) Clock {
	return Clock(max(0, t.UnixMilli())) << counterBits
}

// Milliseconds returns the milliseconds since 1970.
func (c Clock) Milliseconds() int64 { return int64(c >> counterBits) }

// Counter tells the clocks of one millisecond apart.
func (c Clock) Counter() uint16 { return uint16(c) }

// Time returns the physical part.
func (c Clock) Time() time.Time { return time.UnixMilli(c.Milliseconds()).UTC() }

// String returns milliseconds and counter with a dot between them.
func (c Clock) String() string { return fmt.Sprintf("%d.%d", c.Milliseconds(), c.Counter()) }

// MarshalText encodes the clock as String does.
func (c Clock) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText decodes what MarshalText returns. The counter may be left
// out.
func (c *Clock) UnmarshalText(text []byte) error {
	physical, count, _ := strings.Cut(string(text), ".")
	ms, err := strconv.ParseUint(physical, 10, 64-counterBits)
	if err != nil {
		return InvalidClockError{Text: string(text)}
	}
	counter := uint64(0)
	if count != "" {
		if counter, err = strconv.ParseUint(count, 10, counterBits); err != nil {
			return InvalidClockError{Text: string(text)}
		}
	}
	*c = Clock(ms<<counterBits | counter)
	return nil
}

// InvalidClockError reports a text that is not a clock.
type InvalidClockError struct {
	Text string
}

func (e InvalidClockError) Error() string {
	return fmt.Sprintf("%q is not a clock: write milliseconds, or milliseconds.counter", e.Text)
}

// LogicalClock is the hybrid logical clock of one instance. Its zero value
// works. It is safe for concurrent use.
type LogicalClock struct {
	last atomic.Uint64
}

// Tick returns a clock that is later than all earlier ones.
func (l *LogicalClock) Tick(at time.Time) Clock { return l.advance(ClockAt(at)) }

func (l *LogicalClock) advance(physical Clock) Clock {
	for {
		last := l.last.Load()
		next := max(last+1, uint64(physical))
		if l.last.CompareAndSwap(last, next) {
			return Clock(next)
		}
	}
}

// tickAll replaces physical clocks by clocks that are later than all earlier
// ones and each other, as a Tick for each would do.
func (l *LogicalClock) tickAll(clocks []Clock) {
	if len(clocks) == 0 {
		return
	}
	for {
		last := l.last.Load()
		next := last
		for _, physical := range clocks {
			next = max(next+1, uint64(physical))
		}
		if l.last.CompareAndSwap(last, next) {
			assignClocks(clocks, Clock(last))
			return
		}
	}
}

func assignClocks(clocks []Clock, last Clock) {
	for i, physical := range clocks {
		last = max(last+1, physical)
		clocks[i] = last
	}
}

// Merge makes all later clocks later than that of a peer. It reports whether
// the clock was within MaxAhead of the physical time.
func (l *LogicalClock) Merge(peer Clock, at time.Time) bool {
	if peer > ClockAt(at.Add(MaxAhead)) {
		return false
	}
	for {
		last := l.last.Load()
		if uint64(peer) <= last || l.last.CompareAndSwap(last, uint64(peer)) {
			return true
		}
	}
}
