package rpgateway

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/internal/rpmetric"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

const (
	// idleTimeout exceeds the idle timeout of every configuration. Callers reuse
	// a connection up to that timeout, so it must still be open then.
	idleTimeout = 90 * time.Second
	// bodyTimeout limits the time to read a request body.
	bodyTimeout = 15 * time.Second
	// headerTimeout and maxHeaderBytes apply until a configuration is in force.
	// They are at least as large as the limits of the configuration.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// maxBodyBytes applies until a configuration is in force.
	maxBodyBytes = 4 << 20
)

// callerServer is the HTTP server for callers.
type callerServer struct {
	loop      *loop
	forwarder *rpendpoint.Forwarder
	log       zerolog.Logger
	observer  *observer

	inProgress requestRegistry
	limits     atomic.Pointer[rpfleet.CallerLimits]
	draining   atomic.Bool
	server     *http.Server
	conns      callerConns
	// attempts ends when cancelAttempts cancels all attempts.
	attempts       context.Context
	cancelAttempts context.CancelCauseFunc
}

// errStopping is the cause of the cancellation of attempts at the end of a planned
// stop.
var errStopping = errors.New("the instance is stopping")

func (c *callerServer) init() {
	c.attempts, c.cancelAttempts = context.WithCancelCause(context.Background())
	c.server = &http.Server{
		Handler:           c,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(c.log, "", 0),
		ConnState:         c.conns.onState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	c.conns.headerLimits = c.headerLimits
}

func (c *callerServer) serve(listener net.Listener) error {
	return c.server.Serve(callerListener{Listener: listener, conns: &c.conns})
}

// shutdown closes the idle connections and the listener, and waits for the requests
// in progress.
func (c *callerServer) shutdown(ctx context.Context) error {
	closed, incomplete := c.conns.retireIdle(ctx)
	c.log.Info().Int("closed", closed).Int("incomplete_headers", incomplete).Msg("closed the idle connections of callers")
	err := c.server.Shutdown(ctx)
	if err != nil {
		c.warnInProgress("the end of the planned stop cuts off a request in progress")
	}
	return err
}

// warnInProgress logs a warning for each request in progress.
func (c *callerServer) warnInProgress(text string) {
	for _, id := range c.inProgress.ids() {
		c.log.Warn().Str("request_id", string(id)).Msg(text)
	}
}

// awaitRefusals waits until the canceled requests have their responses, at most
// lastRefusalTimeout. The connections that are still open then are closed as they are.
func (c *callerServer) awaitRefusals() {
	ctx, cancel := context.WithTimeout(context.Background(), lastRefusalTimeout)
	defer cancel()
	if err := c.server.Shutdown(ctx); err != nil {
		c.warnInProgress("a request in progress was not refused in time")
	}
}

// ServeHTTP forwards one request of a caller to an endpoint.
func (c *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := c.loop.clock.Now()
	response := &callerResponse{w: w, control: http.NewResponseController(w), http10: !r.ProtoAtLeast(1, 1)}
	if c.draining.Load() {
		// The caller opens a new connection for its next request, which the
		// balancer sends to another instance.
		w.Header().Set("Connection", "close")
	}
	request, err := rpwire.ReadRequest(r, at)
	if err != nil {
		if r.ContentLength != 0 {
			c.abandonBody(w)
		}
		c.reject(response, request.ID, rpverdict.Refuse(rpverdict.CodeInvalidHeader, err.Error()))
		return
	}
	hold := c.holdOf(r)
	defer hold.Release()
	body, refusal := c.readBody(w, r, hold)
	if refusal != nil {
		c.abandonBody(w)
		c.reject(response, request.ID, *refusal)
		return
	}
	queue := c.inProgress.add(request.ID)
	if queue == nil {
		c.reject(response, request.ID, rpverdict.Refuse(rpverdict.CodeMalformedRequest, "Another request in progress has the same id."))
		return
	}
	defer c.inProgress.remove(request.ID)
	x := &exchange{callerServer: c, queue: queue, response: response, arrivedAt: at, request: request, forward: rpendpoint.ForwardRequest{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
	}}
	x.run(r.Context())
}

// reject refuses a request that is invalid or that did not arrive, which the reducer
// never sees.
func (c *callerServer) reject(response *callerResponse, id rpcore.RequestID, refusal rpverdict.Refusal) {
	// A request that was refused for lack of memory is not invalid. watchUsage logs
	// how many there are.
	if refusal.Code != rpverdict.CodeMemoryShort {
		c.log.Info().Str("request_id", string(id)).Str("refusal", string(refusal.Code)).Str("detail", refusal.Detail).
			Msg("rejected an invalid request")
	}
	c.observer.requestEnded(0, string(refusal.Code))
	response.refuse(id, refusal)
}

// exchange runs one request until its response is complete, it is refused or
// the caller disconnects.
type exchange struct {
	*callerServer
	queue     *commandQueue
	response  *callerResponse
	arrivedAt time.Time
	request   rpfleet.Request
	forward   rpendpoint.ForwardRequest
	firstAt   time.Time
}

// run executes the reducer's commands for the request until one of them ends it
// or the caller disconnects.
func (x *exchange) run(ctx context.Context) {
	// The exact time decides whether the caller's key may still be accepted.
	arrived := rpfleet.Stamp{At: x.loop.clock.ExactNow()}
	x.loop.apply(rpfleet.RequestArrived{Stamp: arrived, Request: x.request})
	for {
		select {
		case <-ctx.Done():
			x.abandon(false)
			return
		case command := <-x.queue.commands:
			if x.runCommand(ctx, command) {
				return
			}
		}
	}
}

// abandon reports that the caller disconnected. notRun says that the attempt in progress
// has not run.
func (x *exchange) abandon(notRun bool) {
	x.observer.requestEnded(0, rpmetric.CodeAbandoned)
	x.loop.apply(rpfleet.RequestAbandoned{Stamp: x.loop.stamp(), Request: x.request.ID, NotRun: notRun})
}

// runCommand executes one command and reports whether the request has ended.
func (x *exchange) runCommand(ctx context.Context, command rpfleet.Effect) bool {
	switch command := command.(type) {
	case rpfleet.StartAttempt:
		return x.runAttempt(ctx, command)
	case rpfleet.RefuseRequest:
		x.observer.requestEnded(x.loop.clock.Now().Sub(x.arrivedAt), string(command.Refusal.Code))
		x.response.refuse(x.request.ID, command.Refusal)
		return true
	}
	return false
}

func (x *exchange) runAttempt(ctx context.Context, cmd rpfleet.StartAttempt) bool {
	x.forward.Command = cmd
	x.forward.Command.Deadline = x.loop.clock.runtimeTime(cmd.Deadline)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer context.AfterFunc(x.attempts, func() { cancel(errStopping) })()
	sentAt := x.loop.clock.Now()
	x.queue.attemptStarted(cmd.Attempt, func() { cancel(rpendpoint.ErrEndpointSilent) })
	ended, callerGone := x.callerServer.forwarder.Run(attemptCtx, x.forward, rpendpoint.Relay{
		SendHeader: x.response.sendHeader,
		Write:      x.response.write,
		OnFirstWrite: func() {
			x.loop.apply(rpfleet.AttemptStarted{Stamp: x.loop.stamp(), Request: cmd.Request, Attempt: cmd.Attempt})
			now := x.loop.clock.Now()
			x.observer.firstEvent(cmd.Rank, now.Sub(x.arrivedAt))
			x.observer.firstEventEstimated(cmd.Estimate, now.Sub(sentAt))
		},
		OnSilence: func(unresumable bool) {
			x.loop.apply(rpfleet.AttemptStalled{Stamp: x.loop.stamp(), Request: cmd.Request, Attempt: cmd.Attempt, Unresumable: unresumable})
		},
	})
	x.queue.attemptEnded()
	cancel(nil)
	x.observer.attemptEnded(ended.Reason)
	if callerGone || ctx.Err() != nil && ended.Reason != rpcore.AttemptComplete {
		// A caller that is gone while it gets the response leaves the verdict open.
		x.abandon(!callerGone && ended.Verdict == rpverdict.NotRun)
		// A slow reader may still keep the connection open.
		x.response.abort()
	}
	ended.Stamp = x.loop.stamp()
	x.loop.apply(ended)
	if ended.Reason == rpcore.AttemptComplete {
		x.observer.requestEnded(x.loop.clock.Now().Sub(x.arrivedAt), rpmetric.CodeOK)
		return true
	}
	return false
}
