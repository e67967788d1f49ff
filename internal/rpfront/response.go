package rpfront

import (
	"maps"
	"net/http"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// callerResponse is the response to one caller. One goroutine uses it.
type callerResponse struct {
	id           rpcore.RequestID
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	// isEventStream says that the answer is a stream of events of an engine, each of
	// which is written whole.
	isEventStream bool
	headerSent    bool
	err           error
}

// begin sends status and header. It does nothing for a later attempt of a
// stream.
func (a *callerResponse) sendHeader(status int, header http.Header) error {
	if a.headerSent || a.err != nil {
		return a.err
	}
	a.headerSent = true
	id := a.w.Header().Get(headerRequestID)
	maps.Copy(a.w.Header(), header)
	a.w.Header().Set(headerRequestID, id)
	a.w.WriteHeader(status)
	return nil
}

// write sends a part of the answer at once. A caller who reads so slowly that
// a part does not leave within the write timeout is gone.
func (a *callerResponse) write(p []byte) error {
	for len(p) > 0 && a.err == nil {
		part := p[:min(len(p), maxWriteBytes)]
		p = p[len(part):]
		a.extendWriteDeadline()
		_, a.err = a.w.Write(part)
	}
	if a.err == nil {
		a.extendWriteDeadline()
		a.err = a.control.Flush()
	}
	return a.err
}

func (a *callerResponse) extendWriteDeadline() {
	_ = a.control.SetWriteDeadline(time.Now().Add(a.writeTimeout))
}

// refuse ends the request without an answer. A plain answer that has begun is
// cut off, because a clean end would make it look whole.
func (a *callerResponse) refuse(refusal rpverdict.Refusal) {
	body := EncodeProblem(a.id, refusal)
	if a.headerSent {
		if !a.isEventStream || a.write(errorEvent(body)) != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	header := http.Header{"Content-Type": {ProblemType}}
	if value := retryAfter(refusal.RetryAfter); value != "" {
		header.Set("Retry-After", value)
	}
	if a.sendHeader(refusal.Status(), header) == nil {
		_ = a.write(body)
	}
}

func errorEvent(body []byte) []byte {
	return append(append([]byte("event: error\ndata: "), body...), "\n\n"...)
}

// replay sends a recorded outcome.
func (a *callerResponse) replay(outcome rpcore.Outcome) {
	if outcome.Truncated {
		refusal := rpverdict.Refuse(rpverdict.CodeOutcomeNotKept, "The answer of the earlier request was too large to keep.")
		refusal.Verdict = rpverdict.Ran
		a.refuse(refusal)
		return
	}
	header := http.Header{"Idempotent-Replayed": {"true"}}
	if outcome.ContentType != "" {
		header.Set("Content-Type", outcome.ContentType)
	}
	if outcome.Status < 200 || outcome.Status > 599 {
		outcome.Status = http.StatusOK
	}
	if a.sendHeader(outcome.Status, header) == nil {
		_ = a.write(outcome.Body)
	}
}
