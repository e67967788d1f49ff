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
func (r *callerResponse) sendHeader(status int, header http.Header) error {
	if r.headerSent || r.err != nil {
		return r.err
	}
	r.headerSent = true
	id := r.w.Header().Get(headerRequestID)
	maps.Copy(r.w.Header(), header)
	r.w.Header().Set(headerRequestID, id)
	r.w.WriteHeader(status)
	return nil
}

// write sends a part of the answer at once. A caller who reads so slowly that
// a part does not leave within the write timeout is gone.
func (r *callerResponse) write(p []byte) error {
	for len(p) > 0 && r.err == nil {
		part := p[:min(len(p), maxWriteBytes)]
		p = p[len(part):]
		r.extendWriteDeadline()
		_, r.err = r.w.Write(part)
	}
	if r.err == nil {
		r.extendWriteDeadline()
		r.err = r.control.Flush()
	}
	return r.err
}

func (r *callerResponse) extendWriteDeadline() {
	_ = r.control.SetWriteDeadline(time.Now().Add(r.writeTimeout))
}

// refuse ends the request without an answer. A plain answer that has begun is
// cut off, because a clean end would make it look whole.
func (r *callerResponse) refuse(refusal rpverdict.Refusal) {
	body := EncodeProblem(r.id, refusal)
	if r.headerSent {
		if !r.isEventStream || r.write(errorEvent(body)) != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	header := http.Header{"Content-Type": {ProblemType}}
	if value := retryAfter(refusal.RetryAfter); value != "" {
		header.Set("Retry-After", value)
	}
	if r.sendHeader(refusal.Status(), header) == nil {
		_ = r.write(body)
	}
}

func errorEvent(body []byte) []byte {
	return append(append([]byte("event: error\ndata: "), body...), "\n\n"...)
}

// replay sends a recorded outcome.
func (r *callerResponse) replay(outcome rpcore.Outcome) {
	if outcome.Truncated {
		refusal := rpverdict.Refuse(rpverdict.CodeOutcomeNotKept, "The answer of the earlier request was too large to keep.")
		refusal.Verdict = rpverdict.Ran
		r.refuse(refusal)
		return
	}
	header := http.Header{"Idempotent-Replayed": {"true"}}
	if outcome.ContentType != "" {
		header.Set("Content-Type", outcome.ContentType)
	}
	if outcome.Status < 200 || outcome.Status > 599 {
		outcome.Status = http.StatusOK
	}
	if r.sendHeader(outcome.Status, header) == nil {
		_ = r.write(outcome.Body)
	}
}
