package rptimeline

import (
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Codes of entries that are not defined by another package.
const (
	CodeDone        = "done"
	CodeUnavailable = "unavailable"
	CodeRefused     = "refused"
	CodeReady       = "ready"
	CodeNotReady    = "not_ready"
)

func verdictByte(verdict rpverdict.Verdict) uint8 { return uint8(verdict) + 1 }

// addEvent records the events that are encoded immediately. recordEvent
// enqueues the others.
func (r *Recorder) addEvent(ev rpcore.Event) {
	switch ev := ev.(type) {
	case rpcore.RequestAbandoned:
		r.add(&record{kind: KindRequestAbandoned, request: string(ev.Request)})
	case rpcore.RequestRejected:
		r.add(&record{
			kind: KindRequestRejected, request: string(ev.Request), code: string(ev.Refusal.Code),
			verdict: verdictByte(ev.Refusal.Verdict), text: ev.Refusal.Detail,
		})
	case rpcore.PeerReceived:
		r.addReceivedMessage(&ev)
	case rpcore.Start:
		r.addStart(ev)
	case rpcore.OrderAnswered:
		r.add(&record{kind: KindOrderAnswered, order: string(ev.Order), endpoint: string(ev.Endpoint), code: string(ev.Result), text: ev.Detail})
	case rpcore.EngineReported:
		r.addPollResult(false, ev.Report.Endpoint, &record{kind: KindEngineReachable, endpoint: string(ev.Report.Endpoint)})
	case rpcore.EngineUnreachable:
		rec := record{kind: KindEngineUnreachable, endpoint: string(ev.Endpoint)}
		if ev.Refused {
			rec.code = CodeRefused
		}
		r.addPollResult(true, ev.Endpoint, &rec)
	case rpcore.ListUnavailable:
		r.add(&record{kind: KindListUnavailable})
	case rpcore.TableReadDone:
		if ev.Unavailable {
			r.add(&record{kind: KindTableReadFailed})
		}
	case rpcore.TableWriteDone:
		r.add(&record{kind: KindTableWriteDone, code: string(ev.Outcome)})
	case rpcore.DocumentLoaded:
		r.addDocumentLoaded(ev)
	case rpcore.DocumentSubmitted:
		r.add(&record{kind: KindDocumentSubmitted, service: ev.Service, count: ev.EditedVersion + 1, text: "submission " + ev.Submission})
	case rpcore.PeerLost:
		r.add(&record{kind: KindPeerLost, peer: string(ev.Peer)})
	case rpcore.DrainRequested:
		r.add(&record{kind: KindDrainRequested})
	}
}

// addPollResult records a poll only if its result differs from that of the
// previous poll, because every engine is polled several times a second.
func (r *Recorder) addPollResult(failed bool, id rpcore.EndpointID, rec *record) {
	before, known := r.unreachable[id]
	if r.unreachable == nil || known && before == failed {
		return
	}
	r.unreachable[id] = failed
	r.add(rec)
}

func (r *Recorder) addDocumentLoaded(ev rpcore.DocumentLoaded) {
	rec := record{kind: KindDocumentLoaded, service: ev.Service, count: ev.Version, code: CodeDone}
	if ev.Unavailable {
		rec.code = CodeUnavailable
	}
	r.add(&rec)
}
