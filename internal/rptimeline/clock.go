package rptimeline

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Clock is a timestamp of a hybrid logical clock: Unix milliseconds in the
// upper 48 bits and a counter in the lower 16. An overflow of the counter
// carries into the milliseconds, so timestamps compare as numbers.
type Clock uint64

const counterBits = 16

// MaxAhead limits how far the timestamp of a peer may be ahead of the local
// physical time. Without the limit, one host with a wrong clock would advance
// the clocks of all instances permanently. A timestamp beyond the limit is not
// merged, so later entries may be ordered before their cause.
const MaxAhead = time.Minute

// ClockAt returns the first timestamp of the millisecond of t.
func ClockAt(t time.Time) Clock {
	return Clock(max(0, t.UnixMilli())) << counterBits
}

// Milliseconds returns the physical part in Unix milliseconds.
func (c Clock) Milliseconds() int64 { return int64(c >> counterBits) }

// Counter returns the part that orders the timestamps of one millisecond.
func (c Clock) Counter() uint16 { return uint16(c) }

// Time returns the physical part as a UTC time.
func (c Clock) Time() time.Time { return time.UnixMilli(c.Milliseconds()).UTC() }

// String returns the milliseconds and the counter, separated by a dot.
func (c Clock) String() string { return fmt.Sprintf("%d.%d", c.Milliseconds(), c.Counter()) }

// MarshalText encodes the timestamp in the form of String.
func (c Clock) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText decodes the form of MarshalText. Without a counter, the counter
// is 0.
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

// InvalidClockError reports a text that is not a timestamp of a Clock.
type InvalidClockError struct {
	Text string
}

func (e InvalidClockError) Error() string {
	return fmt.Sprintf("%q is not a clock: write milliseconds, or milliseconds.counter", e.Text)
}

// LogicalClock is the hybrid logical clock of one instance. The zero value is
// ready to use. It is safe for concurrent use.
type LogicalClock struct {
	last atomic.Uint64
}

// Tick returns a timestamp that is later than all earlier ones and at least at.
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

// tickAll replaces each physical timestamp with a logical one, in order, as a
// Tick for each would do.
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

// Merge advances the clock so that all later timestamps are later than that of
// a peer. It returns false and changes nothing if the peer is more than MaxAhead
// ahead of the physical time.
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
