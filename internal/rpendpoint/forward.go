package rpendpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// ForwardRequest is a caller's request and the command for one attempt at it. The
// Forwarder passes the request on unchanged, apart from hop-by-hop headers and the
// headers that SetHeaders sets.
type ForwardRequest struct {
	Command rpfleet.StartAttempt
	Method  string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body contains the segments of the body. Each attempt sends it anew.
	Body [][]byte
}

// Forwarder forwards requests to endpoints and relays the responses. A request
// that may run only once gets its own connection, because an endpoint may close an
// idle connection just as a request is written to it.
type Forwarder struct {
	Limits Limits
	// SetHeaders sets the platform's request headers for an attempt. left is the
	// time until its deadline.
	SetHeaders func(h http.Header, cmd rpfleet.StartAttempt, left time.Duration)
	// ReadHead reads the platform's headers of a response.
	ReadHead func(*http.Response) rpfleet.ResponseHead
	// OnNotice is called before a response is relayed if the endpoint says
	// something about itself in it. It may be nil.
	OnNotice func(id rpcore.EndpointID, incarnation rpcore.Incarnation, notice rpfleet.EndpointNotice)

	// OnConnection is called for each attempt that got a connection; nil means
	// nothing.
	OnConnection func(ConnectionUse)

	once   sync.Once
	limits Limits
	// pooled reuses connections. singleUse and resetting open a connection for
	// each request; resetting also resets it when the request is given up.
	pooled, singleUse, resetting Transport
	// kept holds the connections of pooled.
	kept connRegistry
}

// ConnectionUse says on which connection an attempt ran.
type ConnectionUse string

// singleUseAckTimeout is the AckTimeout of a request that may run only once. Giving
// it up gains nothing: no other endpoint may run it, and the endpoint may go on
// after an outage of the link or of its host. The deadline of the attempt ends it
// earlier.
const singleUseAckTimeout = time.Minute

// The uses of connections.
const (
	ConnectionKept ConnectionUse = "kept"
	// ConnectionNoneKept is a new one, because no idle one was kept.
	ConnectionNoneKept ConnectionUse = "none_kept"
	// ConnectionSingleUse is a new one for a request that may run only once.
	ConnectionSingleUse ConnectionUse = "single_use"
)

func (f *Forwarder) init() {
	f.once.Do(func() {
		f.limits = f.Limits.withDefaults()
		f.pooled = newTransport(f.limits, true, nil)
		f.kept.watch(f.pooled)
		singleUse := f.limits
		singleUse.AckTimeout = singleUseAckTimeout
		f.singleUse = newTransport(singleUse, false, nil)
		f.resetting = newTransport(f.limits, false, resetOnClose)
	})
}

// CloseIdle closes the kept connections to an address, each once it is idle.
func (f *Forwarder) CloseIdle(address netip.AddrPort) {
	f.init()
	f.kept.retire(address)
}

// Close closes idle connections.
func (f *Forwarder) Close() {
	f.init()
	f.pooled.CloseIdleConnections()
	f.singleUse.CloseIdleConnections()
	f.resetting.CloseIdleConnections()
}

// ErrEndpointSilent is the cause with which the context of an attempt is canceled if
// its endpoint sent no data in time. The attempt ends with AttemptTimedOut.
var ErrEndpointSilent = errors.New("the endpoint sent no data in time")

// Reasons to end an attempt that do not come from the transport.
var (
	errUnexpectedResponse = errors.New("the response is not from the endpoint or not for this request")
	errTruncatedStream    = errors.New("the stream ended in the middle of an event")
	errNoEvents           = errors.New("the stream ended with its connection before its first event")
	errContentEncoding    = errors.New("the response has a content encoding that was not requested")
)

// Send sends a request at most once, on its own connection, and returns the
// response. The caller must call done after it has read the response.
//
// If Send fails, the verdict tells whether a byte of the request may have been
// sent. Bytes that the endpoint has not received by then are discarded, so the
// request does not arrive later.
//
// mayWrite is called just before the first byte is written. It reports whether the
// request may still be sent; nil means always.
func (f *Forwarder) Send(req *http.Request, mayWrite func() bool) (resp *http.Response, done func(), verdict rpverdict.Verdict, err error) {
	f.init()
	tracker := &requestTracker{mayWrite: mayWrite}
	resp, err = f.resetting.RoundTrip(tracker.trace(req))
	if err != nil {
		verdict = tracker.verdict()
		tracker.cancel(nil)
		return nil, nil, verdict, err
	}
	return resp, func() {
		_ = resp.Body.Close()
		tracker.cancel(nil)
	}, rpverdict.MayHaveRun, nil
}

// Run runs an attempt until it has ended. callerGone is set if the caller
// disconnected, so the response could not be passed on.
func (f *Forwarder) Run(ctx context.Context, request ForwardRequest, relay Relay) (ended rpfleet.AttemptEnded, callerGone bool) {
	f.init()
	ctx, cancelDeadline := context.WithDeadlineCause(ctx, request.Command.Deadline, errDeadlinePassed)
	defer cancelDeadline()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	attempt := &forwardAttempt{Forwarder: f, request: request, relay: relay}
	attempt.ended = rpfleet.AttemptEnded{Request: request.Command.Request, Attempt: request.Command.Attempt}
	attempt.silence.onSilence = func() { cancel(ErrEndpointSilent) }
	if relay.OnSilence != nil {
		// Unresumable changes only while the timer is stopped.
		attempt.silence.onSilence = func() { relay.OnSilence(attempt.ended.Unresumable) }
	}
	attempt.silence.reset(request.Command.FirstTimeout)
	defer attempt.silence.reset(0)
	attempt.run(ctx)
	return attempt.ended, attempt.callerGone
}

// forwardAttempt is an attempt in progress.
type forwardAttempt struct {
	*Forwarder
	request    ForwardRequest
	relay      Relay
	silence    silenceTimer
	ended      rpfleet.AttemptEnded
	callerGone bool
	// answering says that an event with data was relayed in this attempt.
	answering bool
	// reused says that the connection carried another request before.
	reused bool
	// lastWrite is how long the caller took for the last part of the response.
	lastWrite time.Duration
}

func (r *forwardAttempt) setResult(reason rpcore.AttemptReason, verdict rpverdict.Verdict, detail string) {
	r.ended.Reason, r.ended.Verdict, r.ended.Detail = reason, verdict, detail
}

// setFailure sets the result after a failed round trip or a failed read of a body.
// If the context has ended, its cause takes precedence over reason and err.
func (r *forwardAttempt) setFailure(ctx context.Context, reason rpcore.AttemptReason, verdict rpverdict.Verdict, err error) {
	if ctx.Err() != nil {
		reason = rpcore.AttemptCanceled
		cause := context.Cause(ctx)
		if errors.Is(cause, errDeadlinePassed) || errors.Is(cause, ErrEndpointSilent) {
			reason = rpcore.AttemptTimedOut
		}
		err = cause
	}
	r.setResult(reason, verdict, err.Error())
}

func (r *forwardAttempt) run(ctx context.Context) {
	req := r.newRequest(ctx)
	tracker := &requestTracker{}
	transport := r.pooled
	if !r.request.Command.Repeatable {
		transport = r.singleUse
	}
	resp, err := transport.RoundTrip(tracker.trace(req))
	defer func() { tracker.cancel(nil) }()
	if err != nil {
		reason := rpcore.AttemptBroken
		if !tracker.connected() && !isLocalFailure(err) {
			reason = rpcore.AttemptRefusedConnection
		}
		r.setFailure(ctx, reason, tracker.verdict(), err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	r.reused = tracker.reusedConn()
	r.reportConnection()
	r.handleResponse(ctx, resp)
}

func (r *forwardAttempt) reportConnection() {
	use := ConnectionNoneKept
	switch {
	case r.reused:
		use = ConnectionKept
	case !r.request.Command.Repeatable:
		use = ConnectionSingleUse
	}
	if r.OnConnection != nil {
		r.OnConnection(use)
	}
}

func (r *forwardAttempt) newRequest(ctx context.Context) *http.Request {
	a := &r.request
	header := forwardedHeader(a.Header)
	r.SetHeaders(header, a.Command, time.Until(a.Command.Deadline))
	if header.Get("User-Agent") == "" {
		// Prevents net/http from adding its own User-Agent.
		header["User-Agent"] = nil
	}
	length := 0
	for _, segment := range a.Body {
		length += len(segment)
	}
	req := &http.Request{
		Method:        a.Method,
		URL:           targetURL(a.Command.Address, a.Host, a.Target),
		Host:          a.Host,
		Header:        header,
		ContentLength: int64(length),
	}
	if length > 0 {
		req.Body = io.NopCloser(bodyReader(a.Body))
	}
	return req.WithContext(ctx)
}

// bodyReader returns a reader of the segments of a body.
func bodyReader(segments [][]byte) io.Reader {
	if len(segments) == 1 {
		// net/http writes such a body together with the header, and others in a
		// packet of their own.
		return bytes.NewReader(segments[0])
	}
	// A read consumes the list.
	body := net.Buffers(slices.Clone(segments))
	return &body
}

// handleResponse maps a response to a result from its headers, or relays it.
func (r *forwardAttempt) handleResponse(ctx context.Context, resp *http.Response) {
	head := r.ReadHead(resp)
	detail := fmt.Sprintf("the endpoint responded with status %d", resp.StatusCode)
	if head.Problem != "" {
		detail += "; " + head.Problem
	}
	if head.EndpointNotice != (rpfleet.EndpointNotice{}) && r.OnNotice != nil {
		r.OnNotice(r.request.Command.Endpoint, r.request.Command.Incarnation, head.EndpointNotice)
	}
	if !r.isForThisRequest(head) {
		r.setResult(rpcore.AttemptBroken, rpverdict.MayHaveRun, errUnexpectedResponse.Error())
		return
	}
	if head.NotRun {
		r.setNotRun(head, resp.StatusCode, detail)
		return
	}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case resp.StatusCode < 200:
		// A switch of protocols, which no request asks for.
		r.setResult(rpcore.AttemptBroken, rpverdict.MayHaveRun, errUnexpectedResponse.Error())
	case !head.Signed && success:
		r.setResult(rpcore.AttemptBroken, rpverdict.MayHaveRun, errUnexpectedResponse.Error())
	case !head.Signed:
		r.setResult(rpcore.AttemptFailed, rpverdict.MayHaveRun, detail)
	case resp.Header.Get("Content-Encoding") != "":
		r.setResult(rpcore.AttemptBroken, rpverdict.MayHaveRun, errContentEncoding.Error())
	case r.request.Command.ResponseStarted && !continuesStream(resp):
		r.setResult(rpcore.AttemptFailed, rpverdict.MayHaveRun, "the endpoint did not resume the stream: "+detail)
	case resp.StatusCode >= 500 && r.request.Command.RetryFailure:
		r.setResult(rpcore.AttemptFailed, rpverdict.MayHaveRun, detail)
	case success && r.request.Command.Kind == rpfleet.KindStream:
		r.ended.Version = head.Version
		r.relayStream(ctx, resp)
	default:
		r.relayBuffered(ctx, resp)
	}
}

// isForThisRequest reports whether a response answers this request. An endpoint may
// send a second copy of its last response late, so that it arrives on a kept
// connection after the next request was written. On such a connection, a response
// must therefore name its request.
func (r *forwardAttempt) isForThisRequest(head rpfleet.ResponseHead) bool {
	if head.Request == "" {
		return !r.reused
	}
	return head.Request == r.request.Command.Request
}

// setNotRun sets the result after a response which states that the endpoint did
// not run the request.
func (r *forwardAttempt) setNotRun(head rpfleet.ResponseHead, status int, detail string) {
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
