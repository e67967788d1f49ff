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
func (f *Server) handleRequests(read requestReader) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a := f.newResponse(w, r)
		defer f.requestCount.Add(-1)
		if f.requestCount.Add(1) > int64(f.limits.RequestsInProgress) {
			refusal := rpverdict.Refuse(rpverdict.CodeTooManyStreams, "This instance holds as many requests as it may.")
			refusal.RetryAfter = tooManyStreamsRetryAfter
			f.reject(a, refusal)
			return
		}
		request, attempt, refusal := read(w, r)
		if refusal != nil {
			f.reject(a, *refusal)
			return
		}
		request.ID = a.id
		a.isEventStream = attempt.Stream != nil
		f.serveRequest(r.Context(), request, attempt, a)
	}
}

func (f *Server) newResponse(w http.ResponseWriter, r *http.Request) *callerResponse {
	id := newRequestID(r.Header)
	w.Header().Set(headerRequestID, string(id))
	return &callerResponse{id: id, w: w, control: http.NewResponseController(w), writeTimeout: f.limits.WriteTimeout}
}

func (f *Server) serveUnknownRoute(w http.ResponseWriter, r *http.Request) {
	f.reject(f.newResponse(w, r), rpverdict.Refuse(rpverdict.CodeUnknownRoute, "There is nothing at this path for this method."))
}

// reject refuses a request that the reducer does not know, and tells it for
// the time line and the counts. Only the id and the refusal go there: what
// could not be read may hold anything.
func (f *Server) reject(a *callerResponse, refusal rpverdict.Refusal) {
	f.post(rpcore.RequestRejected{Stamp: stamp(), Request: a.id, Refusal: refusal})
	a.refuse(refusal)
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
func (f *Server) serveRequest(ctx context.Context, request rpcore.Request, attempt rpendpoint.Attempt, a *callerResponse) {
	x := &exchange{server: f, active: f.inProgress.add(request.ID), attempt: attempt, response: a}
	defer func() { f.postDroppedAttempts(f.inProgress.remove(x.active)) }()
	f.post(rpcore.RequestArrived{Stamp: stamp(), Request: request})
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
		over := false
		switch effect := effect.(type) {
		case rpcore.StartAttempt:
			over = x.runAttempt(ctx, attemptCtx, cancel, effect)
		case rpcore.RefuseRequest:
			x.response.refuse(effect.Refusal)
			over = true
		case rpcore.ReplayOutcome:
			x.response.replay(effect.Outcome)
			over = true
		}
		cancel(nil)
		if over || effect == nil {
			return over
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
	gone := result.CallerGone || callerCtx.Err() != nil
	if gone && result.Reason != rpcore.AttemptComplete || result.CallerGone {
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
	return gone || result.Reason == rpcore.AttemptComplete
}

func (f *Server) logAttemptEnded(cmd rpcore.StartAttempt, result rpendpoint.Result) {
	if result.Reason == rpcore.AttemptComplete {
		return
	}
	f.Log.Debug().
		Str("request", string(cmd.Request)).
		Str("attempt", string(cmd.Attempt)).
		Str("endpoint", string(cmd.Endpoint)).
		Str("reason", string(result.Reason)).
		Stringer("verdict", result.Verdict).
		Msg("front: attempt ended: " + result.Detail)
}
