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

// writeTimeout limits one write to a caller that reads slowly. Engines cut a response
// that is not read after some seconds. The caller must be disconnected before that,
// so that its failure is not taken for one of the engine.
const writeTimeout = 3 * time.Second

// callerResponse writes the response to one caller. It is not safe for
// concurrent use.
type callerResponse struct {
	w          http.ResponseWriter
	control    *http.ResponseController
	headerSent bool
	// http10 says that the caller speaks HTTP/1.0, where the end of the
	// connection ends a response of unknown length.
	http10 bool
}

// abort breaks the connection off so that the response does not look complete.
func (r *callerResponse) abort() {
	if r.http10 {
		// Only a reset shows an HTTP/1.0 caller that the response is cut.
		if conn, _, err := r.control.Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(int) error }); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// sendHeader sends status and header once. A later attempt of a resumed stream
// keeps the header of the first endpoint.
func (r *callerResponse) sendHeader(status int, header http.Header) error {
	if r.headerSent {
		return nil
	}
	r.headerSent = true
	maps.Copy(r.w.Header(), header)
	r.w.WriteHeader(status)
	return nil
}

// write sends and flushes a part of the body.
func (r *callerResponse) write(p []byte) error {
	if _, err := r.w.Write(p); err != nil {
		return err
	}
	return r.control.Flush()
}

// refuse ends the request with a refusal. If the header was already sent, it
// aborts the connection, because a clean end would make the response look
// complete.
func (r *callerResponse) refuse(id rpcore.RequestID, refusal rpverdict.Refusal) {
	if r.headerSent {
		r.abort()
	}
	header := http.Header{"Content-Type": {rpfront.ProblemType}}
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", formatRetryAfter(refusal.RetryAfter))
	}
	if refusal.Status() == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	body := rpfront.EncodeProblem(id, refusal)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if r.sendHeader(refusal.Status(), header) == nil {
		// The error is ignored: the caller has disconnected.
		_ = r.write(body)
	}
}

// formatRetryAfter formats a duration in seconds, rounded up to hundredths.
func formatRetryAfter(d time.Duration) string {
	const hundredths = 100
	return strconv.FormatFloat(math.Ceil(d.Seconds()*hundredths)/hundredths, 'f', -1, 64)
}
