package rpgateway

import (
	"maps"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpfront"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// writeTimeout bounds one write to a caller that reads slowly.
const writeTimeout = 10 * time.Second

// callerResponse is the response to one caller. One goroutine uses it.
type callerResponse struct {
	w          http.ResponseWriter
	control    *http.ResponseController
	headerSent bool
}

// begin sends status and header. It does nothing for a later attempt of a
// stream, which keeps the head of its first endpoint.
func (r *callerResponse) sendHeader(status int, header http.Header) error {
	if r.headerSent {
		return nil
	}
	r.headerSent = true
	maps.Copy(r.w.Header(), header)
	r.w.WriteHeader(status)
	return nil
}

// write sends a part of the answer at once.
func (r *callerResponse) write(p []byte) error {
	if err := r.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := r.w.Write(p); err != nil {
		return err
	}
	return r.control.Flush()
}

// refuse ends the request without an answer. One that has begun is cut off,
// because a clean end would make it look whole.
func (r *callerResponse) refuse(id rpcore.RequestID, refusal rpverdict.Refusal) {
	if r.headerSent {
		panic(http.ErrAbortHandler)
	}
	header := http.Header{"Content-Type": {rpfront.ProblemType}}
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", retryAfter(refusal.RetryAfter))
	}
	body := rpfront.EncodeProblem(id, refusal)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if r.sendHeader(refusal.Status(), header) == nil {
		// A caller that is gone needs no refusal.
		_ = r.write(body)
	}
}

// retryAfter returns seconds with hundredths, rounded up.
func retryAfter(d time.Duration) string {
	const hundredths = 100
	return strconv.FormatFloat(math.Ceil(d.Seconds()*hundredths)/hundredths, 'f', -1, 64)
}
