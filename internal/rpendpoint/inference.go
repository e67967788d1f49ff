package rpendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Headers of the engine protocol.
const (
	headerRequestID      = "X-Request-Id"
	headerResumeAfter    = "Rattan-Resume-After"
	headerDeadline       = "Rattan-Deadline"
	headerIdempotencyKey = "Idempotency-Key"
)

const typeEventStream = "text/event-stream"

// runInference runs an attempt at an engine.
func (c *Client) runInference(ctx context.Context, a Attempt, out *relayer) Result {
	req, err := inferenceRequest(ctx, a)
	if err != nil {
		return newFailure(rpcore.AttemptFailed, rpverdict.NotRun, err.Error())
	}
	resp, done, failure := c.roundTrip(ctx, req, a.Command.Record)
	if failure != nil {
		return *failure
	}
	if resp.StatusCode != http.StatusOK {
		defer done()
		defer resp.Body.Close()
		return c.relayError(ctx, a, resp, out)
	}
	isStream := mediaType(resp.Header) == typeEventStream
	if isStream != (a.Stream != nil) {
		defer done()
		resp.Body.Close()
		return newFailure(rpcore.AttemptFailed, rpverdict.MayHaveRun, "the engine responded with an unexpected content type")
	}
	var result Result
	if isStream {
		result = c.relayStream(ctx, a, resp.Body, out)
	} else {
		result = c.relayBuffered(ctx, resp, out)
	}
	if result.Reason != rpcore.AttemptComplete || result.CallerGone {
		resp.Body.Close()
		done()
		return result
	}
	c.drainBody(resp.Body, done)
	return result
}

// roundTrip sends a request at most once. It returns the response and a function
// that must be called after the body was closed. If singleUse is set, the request
// gets its own connection.
func (c *Client) roundTrip(ctx context.Context, req *http.Request, singleUse bool) (*http.Response, func(), *Result) {
	tracker := &requestTracker{}
	req = tracker.trace(req)
	transport := c.pooled
	if singleUse {
		transport = c.singleUse
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		result := roundTripFailure(ctx, tracker, err)
		tracker.cancel(nil)
		return nil, nil, &result
	}
	return resp, func() { tracker.cancel(nil) }, nil
}

// relayError maps an error response to a result, or relays it if it concerns the
// caller.
func (c *Client) relayError(ctx context.Context, a Attempt, resp *http.Response, out *relayer) Result {
	body, err := readLimited(resp, maxErrorBodyBytes)
	if result, ok := statusFailure(resp.StatusCode, body); ok {
		return result
	}
	if err != nil {
		return bodyFailure(ctx, err)
	}
	if a.Stream != nil && a.Stream.started {
		return newFailure(rpcore.AttemptFailed, rpverdict.MayHaveRun, fmt.Sprintf("the engine refused to resume with status %d", resp.StatusCode))
	}
	return relayBody(resp, body, out)
}

// relayBuffered reads the complete response before it sends the first byte to the
// caller, so that the request can be retried if the response breaks off.
func (c *Client) relayBuffered(ctx context.Context, resp *http.Response, out *relayer) Result {
	body, err := readLimited(resp, c.limits.ResponseBytes)
	if err != nil {
		return bodyFailure(ctx, err)
	}
	if !json.Valid(body) {
		return newFailure(rpcore.AttemptBroken, rpverdict.MayHaveRun, "the response of the engine is not valid JSON")
	}
	return relayBody(resp, body, out)
}

func relayBody(resp *http.Response, body []byte, out *relayer) Result {
	header := http.Header{}
	header.Set("Content-Type", contentType(resp.Header))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	err := out.sendHeader(resp.StatusCode, header)
	if err == nil {
		err = out.write(body)
	}
	result := Result{Reason: rpcore.AttemptComplete, Verdict: rpverdict.Ran, AnswerStarted: true, Outcome: out.outcome, CallerGone: out.callerGone}
	if err != nil {
		result.Reason = rpcore.AttemptCanceled
	}
	return result
}

// readLimited reads a body and fails if it is larger than limit.
func readLimited(resp *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return body, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("the response is larger than %d bytes", limit)
	}
	return body, nil
}

func inferenceRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	body, err := inferenceBody(a)
	if err != nil {
		return nil, err
	}
	cmd := a.Command
	target := endpointURL(cmd.Address, a.Path, "")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	setAttemptHeaders(req.Header, a)
	if cmd.ResumeAfter > 0 {
		req.Header.Set(headerResumeAfter, strconv.Itoa(cmd.ResumeAfter))
	}
	return req, nil
}

func setAttemptHeaders(h http.Header, a Attempt) {
	h.Set(headerRequestID, string(a.Command.Attempt))
	if !a.Command.Deadline.IsZero() {
		h.Set(headerDeadline, a.Command.Deadline.UTC().Format(time.RFC3339Nano))
	}
	if a.IdempotencyKey != "" {
		h.Set(headerIdempotencyKey, a.IdempotencyKey)
	}
}

// inferenceBody returns the caller's body with the model name and the priority that
// the engine expects.
func inferenceBody(a Attempt) ([]byte, error) {
	fields := make(map[string]any, len(a.Fields)+2)
	for key, value := range a.Fields {
		fields[key] = value
	}
	fields["model"] = engineName(a.Command)
	fields["priority"] = enginePriority(a.Command.Rank)
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(fields); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// engineName returns the name of the model or adapter at the engine, which is
// service/model or service/adapter.
func engineName(cmd rpcore.StartAttempt) string {
	switch {
	case cmd.Adapter == "":
		return cmd.Model.String()
	case strings.Contains(cmd.Adapter, "/"):
		return cmd.Adapter
	}
	return rpcore.ModelKey{Service: cmd.Model.Service, Name: cmd.Adapter}.String()
}

// enginePriority returns the engine's priority for a rank. Engines run requests
// with a lower number first.
func enginePriority(rank rpdocument.Rank) int {
	if i := rank.Index(); i >= 0 {
		return i
	}
	return rpdocument.RankNormal.Index()
}

func mediaType(h http.Header) string {
	media, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return media
}

func contentType(h http.Header) string {
	if value := h.Get("Content-Type"); value != "" {
		return value
	}
	return "application/json"
}

// pathEscape escapes one segment of a path, including slashes.
func pathEscape(segment string) string { return url.PathEscape(segment) }
