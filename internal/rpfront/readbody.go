package rpfront

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// readBody reads a body up to limit bytes. The read deadline was set when the
// request arrived; readBody clears it.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *rpverdict.Refusal) {
	tooLarge := refuse(rpverdict.CodeBodyTooLarge, fmt.Sprintf("The body is larger than %d bytes.", limit))
	if r.ContentLength > limit {
		return nil, tooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var maxBytes *http.MaxBytesError
	if errors.As(err, &maxBytes) {
		return nil, tooLarge
	}
	if err != nil {
		return nil, refuse(rpverdict.CodeMalformedRequest, "The body did not arrive whole and in time.")
	}
	// Clears the deadline because net/http detects a closed connection with a
	// background read, which would time out and end the request.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

func (s *Server) checkURL(r *http.Request) *rpverdict.Refusal {
	if len(r.RequestURI) > s.limits.URLBytes {
		return refuse(rpverdict.CodeMalformedRequest, fmt.Sprintf("The URL is longer than %d bytes.", s.limits.URLBytes))
	}
	return nil
}

// fingerprint returns a hash that tells whether two requests with the same
// idempotency key are identical.
func fingerprint(method, uri string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00", method, uri)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
