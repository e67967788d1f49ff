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

// reader reads a request; the attempt is the part that all attempts share.
type reader func(w http.ResponseWriter, r *http.Request) (rpcore.Request, rpendpoint.Attempt, *rpverdict.Refusal)

const tooManyStreamsRetry = time.Second

// accept returns the handler of the requests that reach the reducer.
func (f *Front) accept(read reader) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a := f.newAnswer(w, r)
		defer f.streams.Add(-1)
		if f.streams.Add(1) > int64(f.limits.Streams) {
			refusal := rpverdict.Refuse(rpverdict.CodeTooManyStreams, "This instance holds as many requests as it may.")
			refusal.RetryAfter = tooManyStreamsRetry
			f.reject(a, refusal)
			return
		}
		request, attempt, refusal := read(w, r)
		if refusal != nil {
			f.reject(a, *refusal)
			return
		}
		request.ID = a.id
		a.events = attempt.Stream != nil
		f.serve(r.Context(), request, attempt, a)
	}
}

func (f *Front) newAnswer(w http.ResponseWriter, r *http.Request) *answer {
	id := newRequestID(r.Header)
	w.Header().Set(headerRequestID, string(id))
	return &answer{id: id, w: w, control: http.NewResponseController(w), timeout: f.limits.WriteTimeout}
}

func (f *Front) serveUnknown(w http.ResponseWriter, r *http.Request) {
	f.reject(f.newAnswer(w, r), rpverdict.Refuse(rpverdict.CodeUnknownRoute, "There is nothing at this path for this method."))
}

// reject refuses a request that the reducer does not know, and tells it for
// the time line and the counts. Only the id and the refusal go there: what
// could not be read may hold anything.
func (f *Front) reject(a *answer, refusal rpverdict.Refusal) {
	f.post(rpcore.RequestRejected{Stamp: stamp(), Request: a.id, Refusal: refusal})
	a.refuse(refusal)
}

// exchange is one request on its way through the reducer.
type exchange struct {
	front   *Front
	call    *call
	attempt rpendpoint.Attempt
	answer  *answer
	once    sync.Once
}

// serve carries out the reducer's commands until one ends the request or the
// caller is gone.
func (f *Front) serve(ctx context.Context, request rpcore.Request, attempt rpendpoint.Attempt, a *answer) {
	x := &exchange{front: f, call: f.calls.add(request.ID), attempt: attempt, answer: a}
	defer func() { f.postDropped(f.calls.remove(x.call)) }()
	f.post(rpcore.RequestArrived{Stamp: stamp(), Request: request})
	stop := context.AfterFunc(ctx, x.abandon)
	defer stop()
	for !x.step(ctx) {
		select {
		case <-x.call.wake:
		case <-ctx.Done():
			x.abandon()
			return
		}
	}
}

// abandon posts that the caller is gone, once. It returns when the event is
// posted, so that the end of an attempt can't overtake it.
func (x *exchange) abandon() {
	x.once.Do(func() {
		x.front.post(rpcore.RequestAbandoned{Stamp: stamp(), Request: x.call.id})
	})
}

// step carries out the commands in the queue and reports whether the request
// is over.
func (x *exchange) step(ctx context.Context) bool {
	for {
		// An attempt that is recorded outlives its caller; run ends the
		// others with ctx.
		attemptCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
		effect := x.front.calls.take(x.call, cancel)
		over := false
		switch effect := effect.(type) {
		case rpcore.StartAttempt:
			over = x.run(ctx, attemptCtx, cancel, effect)
		case rpcore.RefuseRequest:
			x.answer.refuse(effect.Refusal)
			over = true
		case rpcore.ReplayOutcome:
			x.answer.replay(effect.Outcome)
			over = true
		}
		cancel(nil)
		if over || effect == nil {
			return over
		}
	}
}

// run runs one attempt and reports whether the request is over.
func (x *exchange) run(callerCtx, ctx context.Context, cancel context.CancelCauseFunc, cmd rpcore.StartAttempt) bool {
	if !cmd.Record {
		stop := context.AfterFunc(callerCtx, func() { cancel(context.Cause(callerCtx)) })
		defer stop()
	}
	attempt := x.attempt
	attempt.Command = cmd
	result := x.front.RunAttempt(ctx, attempt, rpendpoint.Relay{
		Begin: x.answer.begin,
		Write: x.answer.write,
		First: func() {
			x.front.post(rpcore.AttemptFirstToken{Stamp: stamp(), Attempt: cmd.Attempt, Request: cmd.Request})
		},
	})
	x.front.calls.ended(x.call)
	gone := result.CallerGone || callerCtx.Err() != nil
	if gone && result.Reason != rpcore.AttemptComplete || result.CallerGone {
		x.abandon()
	}
	x.front.logEnd(cmd, result)
	x.front.post(rpcore.AttemptEnded{
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

func (f *Front) logEnd(cmd rpcore.StartAttempt, result rpendpoint.Result) {
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
