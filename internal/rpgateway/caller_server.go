package rpgateway

import (
	"context"
	"errors"
	"io"
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
	// idleTimeout keeps connections of callers open for longer than the idle
	// limit of any configuration, up to which callers reuse them.
	idleTimeout = 90 * time.Second
	// bodyTimeout bounds the time in which a body arrives.
	bodyTimeout = 15 * time.Second
	// headerTimeout and headerBytes apply until a configuration is in force,
	// and above those of the configuration.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// maxBodyBytes applies until a configuration is in force.
	maxBodyBytes = 4 << 20
)

// callerServer is the interface for callers.
type callerServer struct {
	loop      *loop
	forwarder *rpendpoint.Forwarder
	log       zerolog.Logger
	observer  *observer

	inProgress requestRegistry
	limits     atomic.Pointer[rpfleet.CallerLimits]
	draining   atomic.Bool
	server     *http.Server
}

func (c *callerServer) init() {
	c.server = &http.Server{
		Handler:           c,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(c.log, "", 0),
	}
}

func (c *callerServer) serve(listener net.Listener) error { return c.server.Serve(listener) }

// ServeHTTP passes one request on.
func (c *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := c.loop.clock.Now()
	response := &callerResponse{w: w, control: http.NewResponseController(w)}
	if c.draining.Load() {
		// The caller's next request goes to another instance.
		w.Header().Set("Connection", "close")
	}
	request, err := rpwire.ReadRequest(r, at)
	if err != nil {
		c.reject(response, request.ID, rpverdict.Refuse(rpverdict.CodeInvalidHeader, err.Error()))
		return
	}
	body, refusal := c.readBody(w, r)
	if refusal != nil {
		c.reject(response, request.ID, *refusal)
		return
	}
	call := c.inProgress.add(request.ID)
	if call == nil {
		c.reject(response, request.ID, rpverdict.Refuse(rpverdict.CodeMalformedRequest, "Another request in progress has the same id."))
		return
	}
	defer c.inProgress.remove(request.ID)
	x := &exchange{callerServer: c, call: call, response: response, arrivedAt: at, request: request, forward: rpendpoint.Forward{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
	}}
	x.run(r.Context())
}

// reject refuses a request that the reducer is not told of.
func (c *callerServer) reject(response *callerResponse, id rpcore.RequestID, refusal rpverdict.Refusal) {
	c.log.Info().Str("request_id", string(id)).Str("refusal", string(refusal.Code)).Str("detail", refusal.Detail).
		Msg("rejected a request that can't be read")
	c.observer.requestEnded(0, string(refusal.Code))
	response.refuse(id, refusal)
}

func (c *callerServer) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *rpverdict.Refusal) {
	limit := int64(maxBodyBytes)
	if limits := c.limits.Load(); limits != nil && limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		c.log.Debug().Err(err).Msg("the time for a body can't be bounded")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refusal := rpverdict.Refuse(rpverdict.CodeBodyTooLarge, "The body is larger than the limit of the configuration.")
		return nil, &refusal
	}
	if err != nil {
		refusal := rpverdict.Refuse(rpverdict.CodeMalformedRequest, "The body did not arrive whole and in time.")
		return nil, &refusal
	}
	// net/http watches for the end of the connection with a read, which the
	// deadline would end.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		c.log.Debug().Err(err).Msg("the bound of the time for a body can't be removed")
	}
	return body, nil
}

// exchange is one request on its way through the reducer.
type exchange struct {
	*callerServer
	call      *requestCommands
	response  *callerResponse
	arrivedAt time.Time
	request   rpfleet.Request
	forward   rpendpoint.Forward
	firstAt   time.Time
}

// run carries out the reducer's commands until one ends the request or the
// caller is gone.
func (x *exchange) run(ctx context.Context) {
	x.loop.apply(rpfleet.RequestArrived{Stamp: x.loop.stamp(), Request: x.request})
	for {
		select {
		case <-ctx.Done():
			x.abandon()
			return
		case command := <-x.call.commands:
			if x.runCommand(ctx, command) {
				return
			}
		}
	}
}

func (x *exchange) abandon() {
	x.observer.requestEnded(0, rpmetric.CodeAbandoned)
	x.loop.apply(rpfleet.RequestAbandoned{Stamp: x.loop.stamp(), Request: x.request.ID})
}

// runCommand carries out one command and reports whether the request is over.
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
	ended, callerGone := x.callerServer.forwarder.Run(ctx, x.forward, rpendpoint.Relay{
		Begin: x.response.sendHeader,
		Write: x.response.write,
		First: func() {
			x.loop.apply(rpfleet.AttemptStarted{Stamp: x.loop.stamp(), Request: cmd.Request, Attempt: cmd.Attempt})
			x.observer.firstEvent(cmd.Rank, x.loop.clock.Now().Sub(x.arrivedAt))
		},
	})
	x.observer.attemptEnded(ended.Reason)
	if callerGone || ctx.Err() != nil && ended.Reason != rpcore.AttemptComplete {
		x.abandon()
		// The connection is of no use: a slow reader may still hold it.
		panic(http.ErrAbortHandler)
	}
	ended.Stamp = x.loop.stamp()
	x.loop.apply(ended)
	if ended.Reason == rpcore.AttemptComplete {
		x.observer.requestEnded(x.loop.clock.Now().Sub(x.arrivedAt), rpmetric.CodeOK)
		return true
	}
	return false
}
