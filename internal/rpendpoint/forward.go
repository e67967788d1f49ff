package rpendpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// ForwardRequest is one attempt to pass a caller's request on as it came.
type ForwardRequest struct {
	Command rpfleet.StartAttempt
	Method  string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Forwarder passes requests on to endpoints and relays their answers. Requests
// that may run only once get a connection of their own, because an endpoint may
// close a kept one just as a request is written to it.
type Forwarder struct {
	Limits Limits
	// SetHeaders sets the headers of an attempt, with the time until its deadline.
	SetHeaders func(h http.Header, cmd rpfleet.StartAttempt, left time.Duration)
	// ReadHead reads the head of an answer.
	ReadHead func(*http.Response) rpfleet.AnswerHead

	once   sync.Once
	limits Limits
	// pooled keeps connections, single has one for each request, and recalled
	// resets its connection when a request is given up.
	pooled, singleUse, resetting *http.Transport
}

func (f *Forwarder) init() {
	f.once.Do(func() {
		f.limits = f.Limits.withDefaults()
		f.pooled = newTransport(f.limits, true, nil)
		f.singleUse = newTransport(f.limits, false, nil)
		f.resetting = newTransport(f.limits, false, resetOnClose)
	})
}

// Close closes unused connections.
func (f *Forwarder) Close() {
	f.init()
	f.pooled.CloseIdleConnections()
	f.singleUse.CloseIdleConnections()
	f.resetting.CloseIdleConnections()
}

// Causes of the end of an attempt from this side.
var (
	errEndpointTimeout    = errors.New("the endpoint gave no sign in time")
	errUnexpectedResponse = errors.New("the answer is not one of the endpoint to this request")
	errTruncatedStream    = errors.New("the stream ended in the middle of an event")
	errContentEncoding    = errors.New("the answer has a content encoding that was not asked for")
)

// Send sends a request once, on a connection of its own, and returns its
// answer. After an error the verdict says whether a byte of it may have left;
// what is still on its way then is discarded, so that it does not arrive later.
// allowed is asked just before the first byte leaves; nil allows it. done must be
// called after the answer was read.
func (f *Forwarder) Send(req *http.Request, allowed func() bool) (resp *http.Response, done func(), verdict rpverdict.Verdict, err error) {
	f.init()
	x := &requestTracker{mayWrite: allowed}
	resp, err = f.resetting.RoundTrip(x.trace(req))
	if err != nil {
		verdict = x.verdict()
		x.cancel(nil)
		return nil, nil, verdict, err
	}
	return resp, func() {
		_ = resp.Body.Close()
		x.cancel(nil)
	}, rpverdict.MayHaveRun, nil
}

// Run runs an attempt to its end. callerGone says that the answer could not be
// passed on.
func (f *Forwarder) Run(ctx context.Context, a ForwardRequest, relay Relay) (ended rpfleet.AttemptEnded, callerGone bool) {
	f.init()
	ctx, cancelDeadline := context.WithDeadlineCause(ctx, a.Command.Deadline, errDeadlinePassed)
	defer cancelDeadline()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	run := &forwardAttempt{Forwarder: f, request: a, relay: relay, cancel: cancel}
	run.ended = rpfleet.AttemptEnded{Request: a.Command.Request, Attempt: a.Command.Attempt}
	run.resetTimeout(a.Command.FirstTimeout)
	defer run.resetTimeout(0)
	run.run(ctx)
	return run.ended, run.callerGone
}

// forwardAttempt is one attempt under way.
type forwardAttempt struct {
	*Forwarder
	request    ForwardRequest
	relay      Relay
	cancel     context.CancelCauseFunc
	timer      *time.Timer
	ended      rpfleet.AttemptEnded
	callerGone bool
}

// watch ends the attempt unless the endpoint gives a sign within d; 0 ends the
// watch.
func (r *forwardAttempt) resetTimeout(d time.Duration) {
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
	if d > 0 {
		r.timer = time.AfterFunc(d, func() { r.cancel(errEndpointTimeout) })
	}
}

func (r *forwardAttempt) setResult(reason rpcore.AttemptReason, verdict rpverdict.Verdict, detail string) {
	r.ended.Reason, r.ended.Verdict, r.ended.Detail = reason, verdict, detail
}

// fail ends the attempt with the failure of an exchange or of a body.
func (r *forwardAttempt) setFailure(ctx context.Context, reason rpcore.AttemptReason, verdict rpverdict.Verdict, err error) {
	if ctx.Err() != nil {
		reason = rpcore.AttemptCanceled
		cause := context.Cause(ctx)
		if errors.Is(cause, errDeadlinePassed) || errors.Is(cause, errEndpointTimeout) {
			reason = rpcore.AttemptTimedOut
		}
		err = cause
	}
	r.setResult(reason, verdict, err.Error())
}

func (r *forwardAttempt) run(ctx context.Context) {
	req := r.newRequest(ctx)
	x := &requestTracker{}
	transport := r.pooled
	if !r.request.Command.Repeatable {
		transport = r.singleUse
	}
	resp, err := transport.RoundTrip(x.trace(req))
	defer func() { x.cancel(nil) }()
	if err != nil {
		reason := rpcore.AttemptBroken
		if !x.connected() && !isLocalFailure(err) {
			reason = rpcore.AttemptRefusedConnection
		}
		r.setFailure(ctx, reason, x.verdict(), err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	r.handleResponse(ctx, resp)
}

func (r *forwardAttempt) newRequest(ctx context.Context) *http.Request {
	a := &r.request
	header := forwardedHeader(a.Header)
	r.SetHeaders(header, a.Command, time.Until(a.Command.Deadline))
	if header.Get("User-Agent") == "" {
		// An absent header would be replaced by that of net/http.
		header["User-Agent"] = nil
	}
	req := &http.Request{
		Method:        a.Method,
		URL:           &url.URL{Scheme: "http", Host: a.Command.Address.String(), Opaque: a.Target},
		Host:          a.Host,
		Header:        header,
		ContentLength: int64(len(a.Body)),
	}
	if len(a.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(a.Body))
	}
	return req.WithContext(ctx)
}

// answer maps the head of an answer and relays the rest.
func (r *forwardAttempt) handleResponse(ctx context.Context, resp *http.Response) {
	head := r.ReadHead(resp)
	detail := fmt.Sprintf("the endpoint answered with status %d", resp.StatusCode)
	if head.Request != "" && head.Request != r.request.Command.Request {
		r.setResult(rpcore.AttemptBroken, rpverdict.MayHaveRun, errUnexpectedResponse.Error())
		return
	}
	if head.NotRun {
		r.setNotRun(head, resp.StatusCode, detail)
		return
	}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case !head.Signed && success:
		r.setResult(rpcore.AttemptBroken, rpverdict.MayHaveRun, errUnexpectedResponse.Error())
	case !head.Signed:
		r.setResult(rpcore.AttemptFailed, rpverdict.MayHaveRun, detail)
	case resp.Header.Get("Content-Encoding") != "":
		r.setResult(rpcore.AttemptBroken, rpverdict.MayHaveRun, errContentEncoding.Error())
	case resp.StatusCode >= 500 && r.request.Command.FirstTimeout > 0:
		r.setResult(rpcore.AttemptFailed, rpverdict.MayHaveRun, detail)
	case success && r.request.Command.Kind == rpfleet.KindStream:
		r.ended.Version = head.Version
		r.relayStream(ctx, resp)
	default:
		r.relayBuffered(ctx, resp)
	}
}

// notRun maps an answer which says that the endpoint did not run the request.
func (r *forwardAttempt) setNotRun(head rpfleet.AnswerHead, status int, detail string) {
	reason := rpcore.AttemptBusy
	if head.Misdirected {
		reason = rpcore.AttemptNotLoaded
		if head.Endpoint != "" && head.Endpoint != r.request.Command.Endpoint {
			reason = rpcore.AttemptLeaving
		}
	} else if status == http.StatusBadRequest {
		reason = rpcore.AttemptFailed
	}
	r.setResult(reason, rpverdict.NotRun, detail)
}

// whole reads the whole answer before the caller gets its first byte, so that a
// broken one can be repeated.
func (r *forwardAttempt) relayBuffered(ctx context.Context, resp *http.Response) {
	body, err := readLimited(resp, r.limits.ServiceResponseBytes)
	if err != nil {
		r.setFailure(ctx, rpcore.AttemptBroken, rpverdict.MayHaveRun, err)
		return
	}
	if r.ended.LastEvent != "" || r.request.Command.ResumeAfter != "" && r.request.Command.Version != "" {
		r.setResult(rpcore.AttemptFailed, rpverdict.MayHaveRun, fmt.Sprintf("the endpoint did not resume the stream: status %d", resp.StatusCode))
		return
	}
	r.resetTimeout(0)
	err = r.relay.SendHeader(resp.StatusCode, forwardedHeader(resp.Header))
	if err == nil && len(body) > 0 {
		err = r.relay.Write(body)
	}
	r.ended.AnswerStarted = true
	r.finish(err)
}

// finish ends an attempt whose answer is complete.
func (r *forwardAttempt) finish(relayErr error) {
	if relayErr != nil {
		r.callerGone = true
		r.setResult(rpcore.AttemptCanceled, rpverdict.MayHaveRun, relayErr.Error())
		return
	}
	r.setResult(rpcore.AttemptComplete, rpverdict.Ran, "")
}

// stream relays whole events as they arrive.
func (r *forwardAttempt) relayStream(ctx context.Context, resp *http.Response) {
	events := newRawEvents(resp.Body, r.limits.LineBytes)
	started := false
	last := time.Now()
	for {
		part, lastID, err := events.next()
		if len(part) > 0 {
			now := time.Now()
			if started {
				r.ended.LongestPause = max(r.ended.LongestPause, now.Sub(last))
			}
			last = now
			r.resetTimeout(r.request.Command.EventTimeout)
			if relayErr := r.relayEvents(resp, part, lastID, &started); relayErr != nil {
				r.finish(relayErr)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			r.finishStream(resp, &started)
			return
		}
		if err != nil {
			r.setFailure(ctx, rpcore.AttemptBroken, rpverdict.MayHaveRun, err)
			return
		}
	}
}

func (r *forwardAttempt) relayEvents(resp *http.Response, part []byte, lastID string, started *bool) error {
	if !*started {
		if err := r.relay.SendHeader(resp.StatusCode, forwardedHeader(resp.Header)); err != nil {
			return err
		}
	}
	if err := r.relay.Write(part); err != nil {
		return err
	}
	r.ended.AnswerStarted = true
	if lastID != "" {
		r.ended.LastEvent = lastID
	}
	if !*started {
		*started = true
		r.relay.OnFirstWrite()
	}
	return nil
}

// endOfStream ends a stream that the endpoint ended whole.
func (r *forwardAttempt) finishStream(resp *http.Response, started *bool) {
	if *started {
		r.finish(nil)
		return
	}
	err := r.relay.SendHeader(resp.StatusCode, forwardedHeader(resp.Header))
	r.ended.AnswerStarted = true
	r.finish(err)
}
