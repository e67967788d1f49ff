package rptimeline

import (
	"sync/atomic"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// maxPending limits the events and effects that wait to be encoded. Events of
// requests are by far the most frequent. Encoding them in batches is cheaper
// than one by one, because the encoder's code and the end of the ring stay in the
// processor's caches. Batches of more than 64 gain little (BenchmarkNodeLoop).
const maxPending = 64

// pending holds events and effects that are not encoded yet. The event loop
// appends without a lock, which saves a fifth of the cost of recording: it
// writes only to slots that are not published, and readers read only published
// slots.
type pending struct {
	items [maxPending]any
	// clocks holds the physical timestamp of each item.
	clocks [maxPending]Clock
	// count is the number of items. Only the event loop uses it.
	count int
	// published is the number of items that readers may access.
	published atomic.Int64
	// encoded is the number of items that a reader has already encoded. It is
	// guarded by the mutex of the recorder.
	encoded int
}

// recordEvent enqueues the events of requests. All other events are encoded
// immediately, because they may refer to data that the reducer changes later.
func (r *Recorder) recordEvent(ev rpcore.Event) {
	r.eventClock = ClockAt(rpcore.TimeOf(ev))
	switch ev.(type) {
	case rpcore.RequestArrived, rpcore.AttemptFirstToken, rpcore.AttemptEnded:
		r.enqueue(ev)
	default:
		r.flushAndRun(func() { r.addEvent(ev) })
	}
}

// flushAndRun encodes the pending items and then runs add, which adds records
// after them. It holds the mutex.
func (r *Recorder) flushAndRun(add func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flush()
	add()
}

func (r *Recorder) recordEffect(effect rpcore.Effect) {
	switch effect.(type) {
	case rpcore.StartAttempt:
		r.enqueue(effect)
	case rpcore.SetAlarm:
	default:
		r.flushAndRun(func() { r.addEffect(effect) })
	}
}

func (r *Recorder) enqueue(item any) {
	p := &r.pending
	if p.count == maxPending {
		r.flushAndRun(func() {})
	}
	p.items[p.count], p.clocks[p.count] = item, r.eventClock
	p.count++
}

// flush encodes all pending items. It runs in the event loop before a message
// is sent, so the timestamp of the message is later than all earlier entries.
func (r *Recorder) flush() {
	p := &r.pending
	r.encodePendingUntil(p.count)
	p.published.Store(0)
	p.count, p.encoded = 0, 0
}

// encodePublishedPending encodes the published items on behalf of a reader.
func (r *Recorder) encodePublishedPending() { r.encodePendingUntil(int(r.pending.published.Load())) }

// encodePendingUntil encodes the items before end. It assigns all timestamps in
// one step, because an atomic operation for each entry is an eighth of the cost
// of recording.
func (r *Recorder) encodePendingUntil(end int) {
	p := &r.pending
	r.clock.tickAll(p.clocks[p.encoded:end])
	for i := p.encoded; i < end; i++ {
		r.ring.commit(encodeItem(r.ring.reserve(), p.clocks[i], p.items[i]))
		p.items[i] = nil
	}
	p.encoded = end
}

// encodeItem encodes an item and returns the length of the record. It writes
// only the fields that this kind of entry has.
func encodeItem(to []byte, clock Clock, item any) int {
	switch item := item.(type) {
	case rpcore.RequestArrived:
		return encodeArrived(to, clock, &item.Request)
	case rpcore.StartAttempt:
		return encodeStarted(to, clock, &item)
	case rpcore.AttemptFirstToken:
		e := encodeHeader(to, clock, 0, KindFirstToken, PartRequests, 0)
		e.put(fieldAttempt, string(item.Attempt))
		return e.finish()
	case rpcore.AttemptEnded:
		return encodeEnded(to, clock, &item)
	}
	return 0
}

func encodeArrived(to []byte, clock Clock, request *rpcore.Request) int {
	e := encodeHeader(to, clock, 0, KindRequestArrived, PartRequests, 0)
	e.put(fieldRequest, string(request.ID))
	e.put(fieldService, request.Service)
	e.put(fieldModel, request.ModelName)
	e.put(fieldCode, request.Rank.String())
	return e.finish()
}

func encodeStarted(to []byte, clock Clock, effect *rpcore.StartAttempt) int {
	e := encodeHeader(to, clock, uint64(max(0, effect.ResumeAfter)), KindAttemptStarted, PartRequests, 0)
	e.put(fieldRequest, string(effect.Request))
	e.put(fieldAttempt, string(effect.Attempt))
	e.put(fieldEndpoint, string(effect.Endpoint))
	e.put(fieldCode, effect.Rank.String())
	return e.finish()
}

func encodeEnded(to []byte, clock Clock, ev *rpcore.AttemptEnded) int {
	e := encodeHeader(to, clock, uint64(max(0, ev.TokensRelayed)), KindAttemptEnded, PartRequests, verdictByte(ev.Verdict))
	e.put(fieldRequest, string(ev.Request))
	e.put(fieldAttempt, string(ev.Attempt))
	e.put(fieldCode, string(ev.Reason))
	return e.finish()
}
