package rpendpoint

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Attempt is one attempt to run a request at an endpoint.
type Attempt struct {
	Command rpcore.StartAttempt
	// Method and Query are used for plain services only. Path is escaped; for a
	// plain service it is relative to the service.
	Method string
	Path   string
	Query  string
	// Header is the caller's header for a plain service, without the headers that
	// are meant for this system.
	Header http.Header
	// Body is the body of a request to a plain service.
	Body []byte
	// Fields is the body of an inference request, by top-level key.
	Fields map[string]json.RawMessage
	// IdempotencyKey is the caller's key, or empty if it sent none.
	IdempotencyKey string
	// Stream is set for a streamed inference response. All attempts of the request
	// share it.
	Stream *StreamState
}

// Relay passes a response on to the caller. Its functions other than OnSilence are
// called by the goroutine that runs the attempt. An error means that the caller has
// disconnected.
type Relay struct {
	// SendHeader sends status and header. It is called again for each later
	// attempt of a stream and must then do nothing.
	SendHeader func(status int, header http.Header) error
	// Write sends and flushes a part of the body.
	Write func(p []byte) error
	// OnFirstWrite is called after the first part of an attempt's response was
	// sent; a Forwarder calls it after the first event with data.
	OnFirstWrite func()
	// OnSilence is called by a Forwarder when the endpoint has sent no data for
	// the command's FirstTimeout or EventTimeout, and again after each further
	// timeout without data; unresumable is that of rpfleet.AttemptEnded. To end
	// the attempt, it cancels the context of the attempt with ErrEndpointSilent.
	// nil ends the attempt at the first timeout. Data that arrives meanwhile is
	// passed on only after OnSilence has returned, and Run returns only after
	// that, so OnSilence must not block.
	OnSilence func(unresumable bool)
}

// Result is the result of an attempt.
type Result struct {
	Reason        rpcore.AttemptReason
	Verdict       rpverdict.Verdict
	TokensRelayed int
	AnswerStarted bool
	Outcome       *rpcore.Outcome
	// CallerGone is set if the caller disconnected, so the response could not be
	// passed on.
	CallerGone bool
	// Detail describes a failure in the log.
	Detail string
}

var errDeadlinePassed = errors.New("the deadline of the attempt passed")

// Run runs an attempt until it has ended and returns its result.
func (c *Client) Run(ctx context.Context, a Attempt, relay Relay) Result {
	c.init()
	cancel := context.CancelFunc(func() {})
	if !a.Command.Deadline.IsZero() {
		ctx, cancel = context.WithDeadlineCause(ctx, a.Command.Deadline, errDeadlinePassed)
	}
	defer cancel()
	out := newRelayer(relay, a.Command.Record)
	if a.Command.Model == (rpcore.ModelKey{}) {
		return c.runService(ctx, a, out)
	}
	result := c.runInference(ctx, a, out)
	if result.endedByClient() && result.Verdict != rpverdict.NotRun {
		c.cancelAtEngine(a.Command)
	}
	return result
}

// endedByClient reports whether this side ended the attempt, so the endpoint may
// still be working on it.
func (r *Result) endedByClient() bool {
	return r.CallerGone || r.Reason == rpcore.AttemptCanceled || r.Reason == rpcore.AttemptTimedOut
}

// cancelAtEngine asks an engine in the background to cancel a request. A failure
// is only logged.
func (c *Client) cancelAtEngine(cmd rpcore.StartAttempt) {
	c.startBackground(func() {
		ctx, cancel := context.WithTimeout(c.ctx, c.limits.CancelTimeout)
		defer cancel()
		target := endpointURL(cmd.Address, "/v1/requests/"+pathEscape(string(cmd.Attempt)), "")
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, target.String(), nil)
		if err != nil {
			return
		}
		resp, err := c.pooled.RoundTrip(req)
		if err != nil {
			c.Log.Debug().Err(err).Str("attempt", string(cmd.Attempt)).Msg("failed to cancel a request at an engine")
			return
		}
		resp.Body.Close()
	})
}
