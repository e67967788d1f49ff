package rpfront

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// requestReader reads and checks a request. The returned Attempt contains the
// fields that all attempts of the request share.
type requestReader func(w http.ResponseWriter, r *http.Request) (rpcore.Request, rpendpoint.Attempt, *rpverdict.Refusal)

const tooManyStreamsRetryAfter = time.Second

// handleRequests returns the handler for requests that read decodes. It passes
// valid requests to the reducer.
func (s *Server) handleRequests(read requestReader) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		response := s.newResponse(w, r)
		defer s.requestCount.Add(-1)
		if s.requestCount.Add(1) > int64(s.limits.RequestsInProgress) {
			refusal := rpverdict.Refuse(rpverdict.CodeTooManyStreams, "This instance holds as many requests as it may.")
			refusal.RetryAfter = tooManyStreamsRetryAfter
			s.reject(response, refusal)
			return
		}
		request, attempt, refusal := read(w, r)
		if refusal != nil {
			s.reject(response, *refusal)
			return
		}
		request.ID = response.id
		response.isEventStream = attempt.Stream != nil
		s.serveRequest(r.Context(), request, attempt, response)
	}
}

func (s *Server) newResponse(w http.ResponseWriter, r *http.Request) *callerResponse {
	id := newRequestID(r.Header)
	w.Header().Set(headerRequestID, string(id))
	return &callerResponse{id: id, w: w, control: http.NewResponseController(w), writeTimeout: s.limits.WriteTimeout}
}

func (s *Server) serveUnknownRoute(w http.ResponseWriter, r *http.Request) {
	s.reject(s.newResponse(w, r), rpverdict.Refuse(rpverdict.CodeUnknownRoute, "There is nothing at this path for this method."))
}

// reject refuses a request before it reaches the reducer, and posts RequestRejected
// for the timeline and the metrics. The event contains only the id and the refusal,
// because an invalid request may contain arbitrary data.
func (s *Server) reject(response *callerResponse, refusal rpverdict.Refusal) {
	s.post(rpcore.RequestRejected{Stamp: stamp(), Request: response.id, Refusal: refusal})
	response.refuse(refusal)
}

// exchange runs one request until its response is complete, it is refused or
// the caller disconnects.
type exchange struct {
	server      *Server
	active      *activeRequest
	attempt     rpendpoint.Attempt
	response    *callerResponse
	abandonOnce sync.Once
}

// serveRequest executes the reducer's commands for a request until one of them ends
// it or the caller disconnects.
func (s *Server) serveRequest(ctx context.Context, request rpcore.Request, attempt rpendpoint.Attempt, response *callerResponse) {
	x := &exchange{server: s, active: s.inProgress.add(request.ID), attempt: attempt, response: response}
	defer func() { s.postDroppedAttempts(s.inProgress.remove(x.active)) }()
	s.post(rpcore.RequestArrived{Stamp: stamp(), Request: request})
	stop := context.AfterFunc(ctx, x.abandon)
	defer stop()
	for !x.runQueued(ctx) {
		select {
		case <-x.active.wake:
		case <-ctx.Done():
			x.abandon()
			return
		}
	}
}

// abandon posts RequestAbandoned once. It returns after the event was posted, so
// that AttemptEnded can't be posted before it.
func (x *exchange) abandon() {
	x.abandonOnce.Do(func() {
		x.server.post(rpcore.RequestAbandoned{Stamp: stamp(), Request: x.active.id})
	})
}

// runQueued executes the queued commands and reports whether the request has ended.
func (x *exchange) runQueued(ctx context.Context) bool {
	for {
		// A recorded attempt continues after the caller has disconnected.
		// runAttempt cancels all others when ctx ends.
		attemptCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
		effect := x.server.inProgress.next(x.active, cancel)
		ended := false
		switch effect := effect.(type) {
		case rpcore.StartAttempt:
			ended = x.runAttempt(ctx, attemptCtx, cancel, effect)
		case rpcore.RefuseRequest:
			x.response.refuse(effect.Refusal)
			ended = true
		case rpcore.ReplayOutcome:
			x.response.replay(effect.Outcome)
			ended = true
		}
		cancel(nil)
		if ended || effect == nil {
			return ended
		}
	}
}

// runAttempt runs one attempt and reports whether the request has ended.
func (x *exchange) runAttempt(callerCtx, ctx context.Context, cancel context.CancelCauseFunc, cmd rpcore.StartAttempt) bool {
	if !cmd.Record {
		stop := context.AfterFunc(callerCtx, func() { cancel(context.Cause(callerCtx)) })
		defer stop()
	}
	attempt := x.attempt
	attempt.Command = cmd
	result := x.server.RunAttempt(ctx, attempt, rpendpoint.Relay{
		SendHeader: x.response.sendHeader,
		Write:      x.response.write,
		OnFirstWrite: func() {
			x.server.post(rpcore.AttemptFirstToken{Stamp: stamp(), Attempt: cmd.Attempt, Request: cmd.Request})
		},
	})
	x.server.inProgress.clearRunning(x.active)
	callerGone := result.CallerGone || callerCtx.Err() != nil
	if callerGone && result.Reason != rpcore.AttemptComplete || result.CallerGone {
		x.abandon()
	}
	x.server.logAttemptEnded(cmd, result)
	x.server.post(rpcore.AttemptEnded{
		Stamp:         stamp(),
		Attempt:       cmd.Attempt,
		Request:       cmd.Request,
		Reason:        result.Reason,
		Verdict:       result.Verdict,
		TokensRelayed: result.TokensRelayed,
		AnswerStarted: result.AnswerStarted,
		Outcome:       result.Outcome,
	})
	if result.CallerGone {
		// Aborts the connection, which a slow reader may still keep open.
		panic(http.ErrAbortHandler)
	}
	return callerGone || result.Reason == rpcore.AttemptComplete
}

func (s *Server) logAttemptEnded(cmd rpcore.StartAttempt, result rpendpoint.Result) {
	if result.Reason == rpcore.AttemptComplete {
		return
	}
	s.Log.Debug().
		Str("request", string(cmd.Request)).
		Str("attempt", string(cmd.Attempt)).
		Str("endpoint", string(cmd.Endpoint)).
		Str("reason", string(result.Reason)).
		Stringer("verdict", result.Verdict).
		Msg("attempt ended: " + result.Detail)
}
