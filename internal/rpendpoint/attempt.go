package rpendpoint

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Attempt is one try to run a request at an endpoint.
type Attempt struct {
	Command rpcore.StartAttempt
	// Path is escaped; for a plain service it is relative to the service and
	// Method and Query are set.
	Method string
	Path   string
	Query  string
	// Header is the caller's header, without what belongs to this system.
	Header http.Header
	// Body is the body for a plain service.
	Body []byte
	// Fields is the caller's body of an inference request, by top-level key.
	Fields map[string]json.RawMessage
	// IdempotencyKey is passed on where the caller sent one.
	IdempotencyKey string
	// Stream is set for a streamed inference answer and shared by all
	// attempts of the request.
	Stream *StreamState
}

// Relay passes an answer on to the caller. The functions are called by the
// goroutine that runs the attempt. An error means that the caller is gone.
type Relay struct {
	// SendHeader sends status and header. It is called again for each later
	// attempt of a stream and must then do nothing.
	SendHeader func(status int, header http.Header) error
	// Write sends a part of the answer at once.
	Write func(p []byte) error
	// OnFirstWrite is called when the first part of an attempt was sent.
	OnFirstWrite func()
}

// Result says how an attempt ended.
type Result struct {
	Reason        rpcore.AttemptReason
	Verdict       rpverdict.Verdict
	TokensRelayed int
	AnswerStarted bool
	Outcome       *rpcore.Outcome
	// CallerGone says that the answer could not be passed on.
	CallerGone bool
	// Detail is for the log.
	Detail string
}

var errDeadlinePassed = errors.New("the deadline of the attempt passed")

// Run runs an attempt to its end.
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

// endedByClient reports whether the endpoint may still be working on the attempt.
func (r *Result) endedByClient() bool {
	return r.CallerGone || r.Reason == rpcore.AttemptCanceled || r.Reason == rpcore.AttemptTimedOut
}

// cancelAtEngine asks an engine to stop a request, in the background and
// without a promise.
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
			c.Log.Debug().Err(err).Str("attempt", string(cmd.Attempt)).Msg("endpoint: cancellation was not delivered")
			return
		}
		resp.Body.Close()
	})
}
