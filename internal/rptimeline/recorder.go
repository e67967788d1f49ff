package rptimeline

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Recorder keeps the time line of one instance. The zero value is ready to use.
type Recorder struct {
	// Entries and Bytes limit the size of the ring; 0 means DefaultEntries or
	// DefaultBytes. They must be set before the first event.
	Entries int
	Bytes   int

	clock LogicalClock
	// rejectedClocks counts the timestamps of peers that were more than MaxAhead
	// ahead.
	rejectedClocks atomic.Uint64

	pending pending
	// eventClock is the physical timestamp of the event that is being recorded.
	// Only the event loop uses it.
	eventClock Clock

	mu      sync.Mutex
	ring    *ring
	self    rpcore.Identity
	started Clock
	// unreachable holds, for each polled engine, whether its last poll failed.
	unreachable map[rpcore.EndpointID]bool
}

// Tick returns the timestamp to send with a message.
func (r *Recorder) Tick() Clock { return r.clock.Tick(time.Now()) }

// Merge advances the clock past the timestamp of a received message. Older
// versions send no timestamp, which is received as 0.
func (r *Recorder) Merge(peer Clock) {
	if !r.clock.Merge(peer, time.Now()) {
		r.rejectedClocks.Add(1)
	}
}

// Record records an event and its effects. It must be called before the effects
// are executed, by one goroutine at a time. It does not retain the effects
// slice.
func (r *Recorder) Record(ev rpcore.Event, effects []rpcore.Effect) {
	if r.ring == nil {
		r.allocate()
	}
	r.recordEvent(ev)
	for _, effect := range effects {
		r.recordEffect(effect)
	}
	if r.pending.count > 0 {
		r.pending.published.Store(int64(r.pending.count))
	}
}

// add stamps a record and appends it to the ring. It uses the time of the event,
// which saves a read of the system clock.
func (r *Recorder) add(rec *record) {
	rec.clock = r.clock.advance(r.eventClock)
	rec.part = kinds[rec.kind].Part
	r.ring.add(rec)
}

func (r *Recorder) allocate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Entries == 0 {
		r.Entries = DefaultEntries
	}
	if r.Bytes == 0 {
		r.Bytes = DefaultBytes
	}
	r.ring = newRing(r.Entries, r.Bytes)
}

func (r *Recorder) addStart(ev rpcore.Start) {
	r.unreachable = make(map[rpcore.EndpointID]bool)
	rec := record{kind: KindInstanceStarted, code: string(ev.Self.Incarnation), text: "failure domain " + string(ev.Self.FailureDomain)}
	r.add(&rec)
	r.self, r.started = ev.Self, rec.clock
}
