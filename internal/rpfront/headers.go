package rpfront

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Request headers of callers.
const (
	headerRank           = "Rattan-Rank"
	headerTimeout        = "Rattan-Timeout"
	headerSession        = "Rattan-Session"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	headerAuthorization  = "Authorization"
)

const (
	// maxTokenLength limits an idempotency key and a session.
	maxTokenLength = 255
	// maxRequestIDLength limits the part of a request id that the caller chooses.
	maxRequestIDLength = 128
)

// callerHeaders contains the decoded headers of a request.
type callerHeaders struct {
	rank           rpdocument.Rank
	timeout        time.Duration
	idempotencyKey string
	session        string
	credential     string
}

// parseHeaders decodes the headers of a caller. It refuses a header that appears
// twice, because proxies differ in which of the two they keep.
func parseHeaders(h http.Header, limits Limits) (callerHeaders, *rpverdict.Refusal) {
	var out callerHeaders
	if size := headerSize(h); size > limits.HeaderBytes {
		return out, refuse(rpverdict.CodeInvalidHeader, fmt.Sprintf("The headers are larger than %d bytes.", limits.HeaderBytes))
	}
	for _, field := range []struct {
		name string
		set  func(value string) string
	}{
		{headerRank, out.setRank},
		{headerTimeout, func(value string) string { return out.setTimeout(value, limits.RequestTimeout) }},
		{headerIdempotencyKey, func(value string) string { return setToken(&out.idempotencyKey, value) }},
		{headerSession, func(value string) string { return setToken(&out.session, value) }},
		{headerAuthorization, out.setCredential},
	} {
		values := h.Values(field.name)
		if len(values) == 0 {
			continue
		}
		wrong := "appears more than once"
		if len(values) == 1 {
			wrong = field.set(values[0])
		}
		if wrong != "" {
			return callerHeaders{}, refuse(rpverdict.CodeInvalidHeader, fmt.Sprintf("The header %s %s.", field.name, wrong))
		}
	}
	return out, nil
}

func headerSize(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

func (c *callerHeaders) setRank(value string) string {
	rank, err := rpdocument.ParseRank(value)
	if err != nil {
		return "is not urgent, normal or background"
	}
	c.rank = rank
	return ""
}

func (c *callerHeaders) setTimeout(value string, limit time.Duration) string {
	timeout, err := time.ParseDuration(value)
	if err != nil {
		return "is not a duration such as 30s"
	}
	if timeout <= 0 || timeout > limit {
		return fmt.Sprintf("is not between 0 and %s", limit)
	}
	c.timeout = timeout
	return ""
}

// setCredential stores only the hash of the credential, so that the credential
// itself can't end up in a log.
func (c *callerHeaders) setCredential(value string) string {
	scheme, token, ok := strings.Cut(value, " ")
	token = strings.TrimSpace(token)
	if !ok || !strings.EqualFold(scheme, "Bearer") || !isPrintable(token) {
		return "is not Bearer with a credential"
	}
	sum := sha256.Sum256([]byte(token))
	c.credential = hex.EncodeToString(sum[:])
	return ""
}

func setToken(field *string, value string) string {
	if len(value) > maxTokenLength || !isPrintable(value) {
		return fmt.Sprintf("is not 1 to %d printable ASCII characters", maxTokenLength)
	}
	*field = value
	return ""
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return s != ""
}

// newRequestID returns a unique id. If the caller sent a valid id, the new id
// starts with it.
func newRequestID(h http.Header) rpcore.RequestID {
	id := uuid.NewString()
	values := h.Values(headerRequestID)
	if len(values) == 1 && isRequestID(values[0]) {
		id = values[0] + "." + id
	}
	return rpcore.RequestID(id)
}

func isRequestID(s string) bool {
	const others = "-_.:"
	for i := range len(s) {
		c := s[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !letter && (c < '0' || c > '9') && strings.IndexByte(others, c) < 0 {
			return false
		}
	}
	return s != "" && len(s) <= maxRequestIDLength
}
