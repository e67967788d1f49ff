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

// requestReader reads a request; the attempt is the part that all attempts share.
type requestReader func(w http.ResponseWriter, r *http.Request) (rpcore.Request, rpendpoint.Attempt, *rpverdict.Refusal)

const tooManyStreamsRetryAfter = time.Second

// accept returns the handler of the requests that reach the reducer.
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

// reject refuses a request that the reducer does not know, and tells it for
// the time line and the counts. Only the id and the refusal go there: what
// could not be read may hold anything.
func (s *Server) reject(response *callerResponse, refusal rpverdict.Refusal) {
	s.post(rpcore.RequestRejected{Stamp: stamp(), Request: response.id, Refusal: refusal})
	response.refuse(refusal)
}

// exchange is one request on its way through the reducer.
type exchange struct {
	server      *Server
	active      *activeRequest
	attempt     rpendpoint.Attempt
	response    *callerResponse
	abandonOnce sync.Once
}

// serve carries out the reducer's commands until one ends the request or the
// caller is gone.
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

// abandon posts that the caller is gone, once. It returns when the event is
// posted, so that the end of an attempt can't overtake it.
func (x *exchange) abandon() {
	x.abandonOnce.Do(func() {
		x.server.post(rpcore.RequestAbandoned{Stamp: stamp(), Request: x.active.id})
	})
}

// runQueued carries out the commands in the queue and reports whether the request
// is over.
func (x *exchange) runQueued(ctx context.Context) bool {
	for {
		// An attempt that is recorded outlives its caller; run ends the
		// others with ctx.
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

// runAttempt runs one attempt and reports whether the request is over.
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
		// The connection is of no use: a slow reader may still hold it.
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
		Msg("front: attempt ended: " + result.Detail)
}
