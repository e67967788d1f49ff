package rptimeline

import (
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

func (r *Recorder) effect(effect rpcore.Effect) {
	switch effect := effect.(type) {
	case rpcore.SendPeer:
		r.sent(&effect)
	case rpcore.RefuseRequest:
		r.follow(&record{
			kind: KindRequestRefused, request: string(effect.Request), code: string(effect.Refusal.Code),
			verdict: verdictByte(effect.Refusal.Verdict), text: effect.Refusal.Detail,
		})
	case rpcore.Note:
		r.note(&effect)
	default:
		r.rareEffect(effect)
	}
}

func (r *Recorder) note(note *rpcore.Note) {
	rec := record{
		kind: KindNote, request: string(note.Request), service: note.Model.Service, model: note.Model.Name,
		endpoint: string(note.Endpoint), text: note.Text,
	}
	rec.part, _ = ParsePart(note.Part)
	rec.clock = r.clock.Tick(r.at)
	r.ring.add(&rec)
}

func (r *Recorder) rareEffect(effect rpcore.Effect) {
	switch effect := effect.(type) {
	case rpcore.CancelAttempt:
		r.follow(&record{kind: KindAttemptCanceled, attempt: string(effect.Attempt)})
	case rpcore.ReplayOutcome:
		r.follow(&record{kind: KindOutcomeReplayed, request: string(effect.Request)})
	case rpcore.SendOrder:
		r.follow(&record{
			kind: KindOrderSent, order: string(effect.Order), service: effect.Model.Service, model: effect.Model.Name,
			endpoint: string(effect.Endpoint), code: string(effect.Kind), count: effect.Fence,
		})
	case rpcore.WriteTable:
		r.writeSent(&effect)
	case rpcore.AnswerSubmission:
		r.follow(&record{kind: KindSubmissionAnswered, code: string(effect.Result), count: effect.Version, text: "submission " + effect.Submission})
	case rpcore.ReportReady:
		rec := record{kind: KindReadyChanged, code: CodeNotReady, text: effect.Reason}
		if effect.Ready {
			rec.code = CodeReady
		}
		r.follow(&rec)
	case rpcore.ReportDrained:
		r.follow(&record{kind: KindDrained})
	}
}

// writeSent names the first row of a write. The name of a claim row is an
// idempotency key of a caller and is not recorded.
func (r *Recorder) writeSent(write *rpcore.WriteTable) {
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
	r.follow(&rec)
}
