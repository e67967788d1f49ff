package rpendpoint

import (
	"errors"
	"net/http"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

var errCallerGone = errors.New("the caller disconnected")

// relayer passes a response on to the caller, and records it if the command asks
// for that. A recorded response is read to its end even if the caller has
// disconnected, because a later request with the same idempotency key needs it.
type relayer struct {
	relay       Relay
	outcome     *rpcore.Outcome
	bodyStarted bool
	callerGone  bool
}

func newRelayer(relay Relay, record bool) *relayer {
	r := &relayer{relay: relay}
	if record {
		r.outcome = &rpcore.Outcome{}
	}
	return r
}

func (r *relayer) sendHeader(status int, header http.Header) error {
	if r.outcome != nil {
		r.outcome.Status = status
		r.outcome.ContentType = header.Get("Content-Type")
	}
	if r.callerGone {
		return nil
	}
	return r.checkRelayError(r.relay.SendHeader(status, header))
}

func (r *relayer) write(p []byte) error {
	r.recordBody(p)
	if r.callerGone {
		return nil
	}
	err := r.relay.Write(p)
	if err == nil && !r.bodyStarted {
		r.bodyStarted = true
		r.relay.OnFirstWrite()
	}
	return r.checkRelayError(err)
}

// checkRelayError converts an error of the caller's connection into errCallerGone,
// or into nil for a recorded response.
func (r *relayer) checkRelayError(err error) error {
	if err == nil {
		return nil
	}
	r.callerGone = true
	if r.outcome != nil {
		return nil
	}
	return errCallerGone
}

// recordBody appends to the recorded outcome. A body above the limit is dropped
// completely.
func (r *relayer) recordBody(p []byte) {
	if r.outcome == nil || r.outcome.Truncated {
		return
	}
	if len(r.outcome.Body)+len(p) > rpcore.OutcomeBodyLimit {
		r.outcome.Body = nil
		r.outcome.Truncated = true
		return
	}
	r.outcome.Body = append(r.outcome.Body, p...)
}
