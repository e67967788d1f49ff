package rpcore

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// submission is a document that an operator wants to have accepted.
type submission struct {
	DocumentSubmitted
	previous *DocumentRow
}

// documentSubmitted checks the document, stores its body and then writes its
// row by compare-and-set, so that a row never names a body that is missing.
func (s *State) documentSubmitted(ev DocumentSubmitted) {
	document, problems := rpdocument.Parse(ev.Body)
	if len(problems) == 0 && document.Service != ev.Service {
		problems = append(problems, rpdocument.Problem{
			Key:   "service",
			Wrong: "The document names the service " + document.Service + ".",
			Fix:   "Write " + ev.Service + " or submit it for the other service.",
		})
	}
	if len(problems) > 0 {
		s.emit(AnswerSubmission{Submission: ev.Submission, Result: SubmissionInvalid, Problems: problems})
		return
	}
	ev.Hash = rpdocument.Hash(ev.Body)
	s.documents.submissions[ev.Submission] = &submission{DocumentSubmitted: ev}
	key := RowKey{Kind: RowDocument, Service: ev.Service}
	s.readTable([]RowKey{key}, func(s *State, read TableReadDone) { s.submissionRead(ev.Submission, key, read) })
}

func (s *State) submissionRead(id string, key RowKey, read TableReadDone) {
	sub := s.documents.submissions[id]
	switch {
	case read.Unavailable:
		s.answerSubmission(id, AnswerSubmission{Result: SubmissionUnavailable})
	case rowVersion(read.Rows, key) != sub.EditedVersion:
		s.answerSubmission(id, AnswerSubmission{Result: SubmissionConflict, Current: documentRowOf(read.Rows, key)})
	default:
		sub.previous = documentRowOf(read.Rows, key)
		s.emit(StoreDocument{Submission: id, Hash: sub.Hash, Body: sub.Body})
	}
}

func (s *State) documentStored(ev DocumentStored) {
	sub := s.documents.submissions[ev.Submission]
	if sub == nil {
		return
	}
	if ev.Unavailable {
		s.answerSubmission(ev.Submission, AnswerSubmission{Result: SubmissionUnavailable})
		return
	}
	row := sub.row(s.now)
	write := RowWrite{
		Key:           RowKey{Kind: RowDocument, Service: sub.Service},
		ExpectVersion: sub.EditedVersion,
		Nonce:         s.newNonce(),
		RowBody:       RowBody{Document: &row},
	}
	s.writeTable([]RowWrite{write}, func(s *State, outcome WriteOutcome, rows []Row) {
		s.submissionWritten(ev.Submission, row, outcome, rows)
	})
}

// row returns the row that accepts the submission.
func (sub *submission) row(now time.Time) DocumentRow {
	row := DocumentRow{
		Service:    sub.Service,
		Version:    sub.EditedVersion + 1,
		Hash:       sub.Hash,
		Editor:     sub.Editor,
		AcceptedAt: now,
		Submission: sub.Submission,
	}
	if sub.previous != nil {
		row.History = slices.Concat([]AcceptedVersion{sub.previous.accepted()}, sub.previous.History)
		row.History = row.History[:min(len(row.History), DocumentHistoryLimit)]
	}
	return row
}

func (r *DocumentRow) accepted() AcceptedVersion {
	return AcceptedVersion{r.Version, r.Hash, r.Editor, r.AcceptedAt, r.Submission}
}

func (s *State) submissionWritten(id string, row DocumentRow, outcome WriteOutcome, rows []Row) {
	sub := s.documents.submissions[id]
	current := documentRowOf(rows, RowKey{Kind: RowDocument, Service: row.Service})
	switch {
	case outcome == WriteApplied || current.hasSubmission(id):
		s.adoptDocument(row, sub.Body, "")
		s.answerSubmission(id, AnswerSubmission{Result: SubmissionAccepted, Version: row.Version, Current: current})
	case outcome == WriteConflict:
		s.answerSubmission(id, AnswerSubmission{Result: SubmissionConflict, Current: current})
	case outcome == WriteUnavailable:
		s.answerSubmission(id, AnswerSubmission{Result: SubmissionUnavailable})
	default:
		s.answerSubmission(id, AnswerSubmission{Result: SubmissionUnknown})
	}
	if current != nil {
		s.wantDocument(*current, "")
	}
}

// hasSubmission reports whether a submission was accepted, now or earlier.
func (r *DocumentRow) hasSubmission(id string) bool {
	if r == nil {
		return false
	}
	if r.Submission == id {
		return true
	}
	return slices.ContainsFunc(r.History, func(v AcceptedVersion) bool { return v.Submission == id })
}

func (s *State) answerSubmission(id string, answer AnswerSubmission) {
	delete(s.documents.submissions, id)
	answer.Submission = id
	s.emit(answer)
}

func documentRowOf(rows []Row, key RowKey) *DocumentRow {
	if row := findRow(rows, key); row != nil {
		return row.Document
	}
	return nil
}
