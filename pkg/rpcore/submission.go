package rpcore

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// submission is a document that an operator submitted and that is not answered
// yet.
type submission struct {
	DocumentSubmitted
	// previous is the row that the submission replaces, or nil for a new
	// document.
	previous *DocumentRow
	// writing is set once the write of the row has been started.
	writing bool
}

// documentSubmitted validates the document, stores its body and then writes its
// row by compare-and-set. In this order, no row refers to a missing body. A
// repeated submission is ignored while the first one is in progress.
func (s *State) documentSubmitted(ev DocumentSubmitted) {
	if s.documents.submissions[ev.Submission] != nil {
		return
	}
	document, problems := rpdocument.Parse(ev.Body)
	if len(problems) == 0 && document.Service != ev.Service {
		problems = append(problems, rpdocument.Problem{
			Code:  rptoml.CodeServiceMismatch,
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
	current := findDocumentRow(read.Rows, key)
	switch {
	case read.Unavailable:
		s.answerSubmission(id, AnswerSubmission{Result: SubmissionUnavailable})
	case current.hasSubmission(id):
		s.submissionAccepted(id, current)
	case rowVersion(read.Rows, key) != sub.EditedVersion:
		s.answerSubmission(id, AnswerSubmission{Result: SubmissionConflict, Current: current})
	default:
		sub.previous = current
		s.emit(StoreDocument{Submission: id, Hash: sub.Hash, Body: sub.Body})
	}
}

func (s *State) documentStored(ev DocumentStored) {
	sub := s.documents.submissions[ev.Submission]
	if sub == nil || sub.writing {
		return
	}
	if ev.Unavailable {
		s.answerSubmission(ev.Submission, AnswerSubmission{Result: SubmissionUnavailable})
		return
	}
	sub.writing = true
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

// row returns the document row that makes the submission the accepted version.
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
		row.History = slices.Concat([]AcceptedVersion{sub.previous.Accepted()}, sub.previous.History)
		row.History = row.History[:min(len(row.History), DocumentHistoryLimit)]
	}
	return row
}

// Accepted returns the version that the row accepts, in the form in which the
// history of later rows lists it.
func (r *DocumentRow) Accepted() AcceptedVersion {
	return AcceptedVersion{r.Version, r.Hash, r.Editor, r.AcceptedAt, r.Submission}
}

// submissionWritten answers a submission after the write of its row. The row
// lists the submission of each version. It therefore shows the result even if
// the answer to the write was lost and other versions followed.
func (s *State) submissionWritten(id string, row DocumentRow, outcome WriteOutcome, rows []Row) {
	current := findDocumentRow(rows, RowKey{Kind: RowDocument, Service: row.Service})
	if outcome == WriteApplied && current == nil {
		current = &row
	}
	switch {
	case current.hasSubmission(id):
		s.submissionAccepted(id, current)
	case outcome == WriteConflict || current.recordsVersion(row.Version):
		s.answerSubmission(id, AnswerSubmission{Result: SubmissionConflict, Current: current})
	case outcome == WriteUnavailable:
		s.answerSubmission(id, AnswerSubmission{Result: SubmissionUnavailable})
	default:
		s.answerSubmission(id, AnswerSubmission{Result: SubmissionUnknown})
	}
	if current != nil {
		s.fetchDocumentIfNewer(*current, "")
	}
}

// submissionAccepted answers a submission that the row lists as accepted. If it
// is the current version, its body is put in force. Otherwise the current
// version is fetched.
func (s *State) submissionAccepted(id string, current *DocumentRow) {
	sub := s.documents.submissions[id]
	if current.Submission == id {
		s.activateDocument(*current, sub.Body, "")
	} else {
		s.fetchDocumentIfNewer(*current, "")
	}
	s.answerSubmission(id, AnswerSubmission{Result: SubmissionAccepted, Version: current.submissionVersion(id), Current: current})
}

// submissionVersion returns the version as which a submission was accepted, or
// 0.
func (r *DocumentRow) submissionVersion(id string) uint64 {
	if r == nil {
		return 0
	}
	if r.Submission == id {
		return r.Version
	}
	for i := range r.History {
		if r.History[i].Submission == id {
			return r.History[i].Version
		}
	}
	return 0
}

// recordsVersion reports whether the row shows which submission was accepted as
// a version.
func (r *DocumentRow) recordsVersion(version uint64) bool {
	if r == nil {
		return false
	}
	return r.Version == version || slices.ContainsFunc(r.History, func(v AcceptedVersion) bool { return v.Version == version })
}

// hasSubmission reports whether a submission was accepted as the current
// version or an earlier one.
func (r *DocumentRow) hasSubmission(id string) bool { return r.submissionVersion(id) > 0 }

func (s *State) answerSubmission(id string, answer AnswerSubmission) {
	delete(s.documents.submissions, id)
	answer.Submission = id
	s.emit(answer)
}

func findDocumentRow(rows []Row, key RowKey) *DocumentRow {
	if row := findRow(rows, key); row != nil {
		return row.Document
	}
	return nil
}
