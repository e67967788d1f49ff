package rptimeline

import (
	"sync/atomic"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// maxPending is the number of events and effects that wait to be encoded.
// The events of requests are by far the most. Encoding many at once finds its
// code and the end of the ring in the processor's caches: with 64, recording
// took 5 to 6 % of the node loop's processor time in place of 8 % for one at a
// time, and with 256 it took 5 % (BenchmarkNodeLoop, one processor). These are
// figures from before entries were encoded by kind and without a lock.
const maxPending = 64

// pending holds events and effects that are not encoded yet. The event loop
// appends without a lock: it writes only places that are not published, and
// readers read only published ones. Locking for each event was a fifth of the
// cost of recording.
type pending struct {
	items [maxPending]any
	// clocks holds the physical clocks of items.
	clocks [maxPending]Clock
	// count counts the items. Only the event loop uses it.
	count     int
	published atomic.Int64
	// encoded counts the items that a reader has encoded. It is guarded by the
	// mutex of the recorder.
	encoded int
}

// recordEvent keeps the events of requests for later. All other events are
// encoded at once, since they may refer to what the reducer changes later.
func (r *Recorder) recordEvent(ev rpcore.Event) {
	r.eventClock = ClockAt(rpcore.TimeOf(ev))
	switch ev.(type) {
	case rpcore.RequestArrived, rpcore.AttemptFirstToken, rpcore.AttemptEnded:
		r.enqueue(ev)
	default:
		r.flushAndRun(func() { r.addEvent(ev) })
	}
}

// flushAndRun runs a function that adds records, after what was kept.
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

// flush encodes all that was kept. It runs in the event loop before a message
// is sent, so the clock of the message is later than all entries before it.
func (r *Recorder) flush() {
	p := &r.pending
	r.encodePendingUntil(p.count)
	p.published.Store(0)
	p.count, p.encoded = 0, 0
}

// encodePublishedPending encodes what was kept for a reader.
func (r *Recorder) encodePublishedPending() { r.encodePendingUntil(int(r.pending.published.Load())) }

// encodePendingUntil takes the clocks in one step: an atomic operation for each entry
// was an eighth of the cost of recording.
func (r *Recorder) encodePendingUntil(end int) {
	p := &r.pending
	r.clock.tickAll(p.clocks[p.encoded:end])
	for i := p.encoded; i < end; i++ {
		r.ring.commit(encodeItem(r.ring.reserve(), p.clocks[i], p.items[i]))
		p.items[i] = nil
	}
	p.encoded = end
}

// encodeItem writes only the fields that the kind of entry has.
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
