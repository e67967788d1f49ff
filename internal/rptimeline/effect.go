package rptimeline

import (
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

func (r *Recorder) addEffect(effect rpcore.Effect) {
	switch effect := effect.(type) {
	case rpcore.SendPeer:
		r.addSentMessage(&effect)
	case rpcore.RefuseRequest:
		r.add(&record{
			kind: KindRequestRefused, request: string(effect.Request), code: string(effect.Refusal.Code),
			verdict: verdictByte(effect.Refusal.Verdict), text: effect.Refusal.Detail,
		})
	case rpcore.Note:
		r.addNote(&effect)
	default:
		r.addRareEffect(effect)
	}
}

func (r *Recorder) addNote(note *rpcore.Note) {
	rec := record{
		kind: KindNote, request: string(note.Request), service: note.Model.Service, model: note.Model.Name,
		endpoint: string(note.Endpoint), text: note.Text,
	}
	rec.part, _ = ParsePart(note.Part)
	rec.clock = r.clock.advance(r.eventClock)
	r.ring.add(&rec)
}

func (r *Recorder) addRareEffect(effect rpcore.Effect) {
	switch effect := effect.(type) {
	case rpcore.CancelAttempt:
		r.add(&record{kind: KindAttemptCanceled, attempt: string(effect.Attempt)})
	case rpcore.ReplayOutcome:
		r.addReplayedOutcome(&effect)
	case rpcore.SendOrder:
		r.add(&record{
			kind: KindOrderSent, order: string(effect.Order), service: effect.Model.Service, model: effect.Model.Name,
			endpoint: string(effect.Endpoint), code: string(effect.Kind), count: effect.Fence,
		})
	case rpcore.WriteTable:
		r.addTableWrite(&effect)
	case rpcore.AnswerSubmission:
		r.add(&record{kind: KindSubmissionAnswered, code: string(effect.Result), count: effect.Version, text: "submission " + effect.Submission})
	case rpcore.ReportReady:
		rec := record{kind: KindReadyChanged, code: CodeNotReady, text: effect.Reason}
		if effect.Ready {
			rec.code = CodeReady
		}
		r.add(&rec)
	case rpcore.ReportDrained:
		r.add(&record{kind: KindDrained})
	}
}

// addReplayedOutcome records a replayed outcome. If the outcome was too large to
// keep, the front end has no answer to replay and refuses the request, so a
// refusal is recorded.
func (r *Recorder) addReplayedOutcome(effect *rpcore.ReplayOutcome) {
	rec := record{kind: KindOutcomeReplayed, request: string(effect.Request)}
	if effect.Outcome.Truncated {
		rec.kind, rec.code, rec.verdict = KindRequestRefused, string(rpverdict.CodeOutcomeNotKept), verdictByte(rpverdict.Ran)
	}
	r.add(&rec)
}

// addTableWrite records a write with the key of its first row. The name of a
// claim row is an idempotency key of a caller and is not recorded.
func (r *Recorder) addTableWrite(write *rpcore.WriteTable) {
	rec := record{kind: KindTableWriteSent, count: uint64(len(write.Writes))}
	if len(write.Writes) > 0 {
		key := write.Writes[0].Key
		rec.code, rec.service = string(key.Kind), key.Service
		switch key.Kind {
		case rpcore.RowModel:
			rec.model = key.Name
		case rpcore.RowEngine:
			rec.endpoint = key.Name
		}
	}
	r.add(&rec)
}
