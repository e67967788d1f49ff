package rptimeline

import (
	"sync/atomic"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// pendingLimit is the number of events and effects that wait to be encoded.
// The events of requests are by far the most. Encoding many at once finds its
// code and the end of the ring in the processor's caches: with 64, recording
// took 5 to 6 % of the node loop's processor time in place of 8 % for one at a
// time, and with 256 it took 5 % (BenchmarkNodeLoop, one processor). These are
// figures from before entries were encoded by kind and without a lock.
const pendingLimit = 64

// pending holds events and effects that are not encoded yet. The event loop
// appends without a lock: it writes only places that are not published, and
// readers read only published ones. Locking for each event was a fifth of the
// cost of recording.
type pending struct {
	items [pendingLimit]any
	// clocks holds the physical clocks of items.
	clocks [pendingLimit]Clock
	// kept counts the items. Only the event loop uses it.
	kept      int
	published atomic.Int64
	// encoded counts the items that a reader has encoded. It is guarded by the
	// mutex of the recorder.
	encoded int
}

// recordEvent keeps the events of requests for later. All other events are
// encoded at once, since they may refer to what the reducer changes later.
func (r *Recorder) recordEvent(ev rpcore.Event) {
	switch event := ev.(type) {
	case rpcore.RequestArrived:
		r.at = event.At
	case rpcore.AttemptFirstToken:
		r.at = event.At
	case rpcore.AttemptEnded:
		r.at = event.At
	default:
		r.at = unrecordedAt(ev, r.at)
		r.locked(func() { r.event(ev) })
		return
	}
	r.postpone(ev)
}

// locked runs a function that adds records, after what was kept.
func (r *Recorder) locked(add func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flush()
	add()
}

// unrecordedAt returns the time of an event that need not have an entry. Its
// effects are stamped with it.
func unrecordedAt(ev rpcore.Event, before time.Time) time.Time {
	switch ev := ev.(type) {
	case rpcore.Tick:
		return ev.At
	case rpcore.MembersListed:
		return ev.At
	case rpcore.EngineReported:
		return ev.At
	case rpcore.EngineUnreachable:
		return ev.At
	case rpcore.CacheEventsReceived:
		return ev.At
	case rpcore.TableReadDone:
		return ev.At
	case rpcore.DocumentStored:
		return ev.At
	case rpcore.PeerReceived:
		return ev.At
	}
	return before
}

func (r *Recorder) recordEffect(effect rpcore.Effect) {
	switch effect.(type) {
	case rpcore.StartAttempt:
		r.postpone(effect)
	case rpcore.SetAlarm:
	default:
		r.locked(func() { r.effect(effect) })
	}
}

func (r *Recorder) postpone(item any) {
	p := &r.pending
	if p.kept == pendingLimit {
		r.locked(func() {})
	}
	p.items[p.kept], p.clocks[p.kept] = item, ClockAt(r.at)
	p.kept++
}

// flush encodes all that was kept. It runs in the event loop before a message
// is sent, so the clock of the message is later than all entries before it.
func (r *Recorder) flush() {
	p := &r.pending
	r.encodeUntil(p.kept)
	p.published.Store(0)
	p.kept, p.encoded = 0, 0
}

// encodePublished encodes what was kept for a reader.
func (r *Recorder) encodePublished() { r.encodeUntil(int(r.pending.published.Load())) }

// encodeUntil takes the clocks in one step: an atomic operation for each entry
// was an eighth of the cost of recording.
func (r *Recorder) encodeUntil(end int) {
	p := &r.pending
	r.clock.tickAll(p.clocks[p.encoded:end])
	for i := p.encoded; i < end; i++ {
		r.ring.commit(encodePending(r.ring.reserve(), p.clocks[i], p.items[i]))
		p.items[i] = nil
	}
	p.encoded = end
}

// encodePending writes only the fields that the kind of entry has.
func encodePending(to []byte, clock Clock, item any) int {
	switch item := item.(type) {
	case rpcore.RequestArrived:
		return encodeArrived(to, clock, &item.Request)
	case rpcore.StartAttempt:
		return encodeStarted(to, clock, &item)
	case rpcore.AttemptFirstToken:
		e := encodeHead(to, clock, 0, KindFirstToken, PartRequests, 0)
		e.put(fieldAttempt, string(item.Attempt))
		return e.end()
	case rpcore.AttemptEnded:
		return encodeEnded(to, clock, &item)
	}
	return 0
}

func encodeArrived(to []byte, clock Clock, request *rpcore.Request) int {
	e := encodeHead(to, clock, 0, KindRequestArrived, PartRequests, 0)
	e.put(fieldRequest, string(request.ID))
	e.put(fieldService, request.Service)
	e.put(fieldModel, request.ModelName)
	e.put(fieldCode, request.Rank.String())
	return e.end()
}

func encodeStarted(to []byte, clock Clock, effect *rpcore.StartAttempt) int {
	e := encodeHead(to, clock, uint64(max(0, effect.ResumeAfter)), KindAttemptStarted, PartRequests, 0)
	e.put(fieldRequest, string(effect.Request))
	e.put(fieldAttempt, string(effect.Attempt))
	e.put(fieldEndpoint, string(effect.Endpoint))
	e.put(fieldCode, effect.Rank.String())
	return e.end()
}

func encodeEnded(to []byte, clock Clock, ev *rpcore.AttemptEnded) int {
	e := encodeHead(to, clock, uint64(max(0, ev.TokensRelayed)), KindAttemptEnded, PartRequests, verdictByte(ev.Verdict))
	e.put(fieldRequest, string(ev.Request))
	e.put(fieldAttempt, string(ev.Attempt))
	e.put(fieldCode, string(ev.Reason))
	return e.end()
}
