package rpfront

import (
	"maps"
	"net/http"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// callerResponse writes the response to one caller. It is not safe for concurrent
// use.
type callerResponse struct {
	id           rpcore.RequestID
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	// isEventStream is set for an event stream of an engine. Each event is written
	// completely, so an error event can follow at any time.
	isEventStream bool
	headerSent    bool
	err           error
}

// sendHeader sends status and header once. A later attempt of a resumed stream
// keeps the header of the first one.
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

// write sends and flushes a part of the body. A caller that does not accept it
// within the write timeout counts as disconnected.
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

// refuse ends the request with a refusal. If the response of a plain service has
// started, it aborts the connection, because a clean end would make the response
// look complete.
func (r *callerResponse) refuse(refusal rpverdict.Refusal) {
	body := EncodeProblem(r.id, refusal)
	if r.headerSent {
		if !r.isEventStream || r.write(errorEvent(body)) != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	header := http.Header{"Content-Type": {ProblemType}}
	if value := formatRetryAfter(refusal.RetryAfter); value != "" {
		header.Set("Retry-After", value)
	}
	if r.sendHeader(refusal.Status(), header) == nil {
		_ = r.write(body)
	}
}

func errorEvent(body []byte) []byte {
	return append(append([]byte("event: error\ndata: "), body...), "\n\n"...)
}

// replay sends a recorded outcome. If its body was too large to record, it sends a
// refusal.
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
