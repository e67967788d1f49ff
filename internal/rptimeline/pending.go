package rptimeline

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// pendingLimit is the number of events and effects that wait to be encoded.
// The events of requests are by far the most. Encoding many at once finds its
// code and the end of the ring in the processor's caches: recording then took
// 5 to 6 % of the node loop's processor time in place of 8 % for one at a time
// (BenchmarkNodeLoop, one processor). 256 gave 5 %.
const pendingLimit = 64

// recordEvent keeps the events of requests for later. All other events are
// encoded at once, since they may refer to what the reducer changes later.
func (r *Recorder) recordEvent(ev rpcore.Event) {
	switch ev.(type) {
	case rpcore.RequestArrived, rpcore.AttemptFirstToken, rpcore.AttemptEnded:
		r.postpone(ev)
	default:
		r.flush()
		r.at = unrecordedAt(ev, r.at)
		r.event(ev)
	}
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
		r.flush()
		r.effect(effect)
	}
}

func (r *Recorder) postpone(item any) {
	r.pending = append(r.pending, item)
	if len(r.pending) == pendingLimit {
		r.flush()
	}
}

// flush encodes what was kept. It runs before a message is sent, so the clock
// of the message is later than all entries before it.
func (r *Recorder) flush() {
	for i, item := range r.pending {
		switch item := item.(type) {
		case rpcore.RequestArrived:
			r.requestArrived(&item)
		case rpcore.StartAttempt:
			r.attemptStarted(&item)
		case rpcore.AttemptFirstToken:
			r.firstToken(&item)
		case rpcore.AttemptEnded:
			r.attemptEnded(&item)
		}
		r.pending[i] = nil
	}
	r.pending = r.pending[:0]
}
