package rpendpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// continuesStream reports whether a response consists of events, which may follow those
// that the caller already has. Any other response would end the stream as if it were
// complete.
func continuesStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && mediaType(resp.Header) == typeEventStream
}

// relayStream relays complete events as they arrive.
func (r *forwardAttempt) relayStream(ctx context.Context, resp *http.Response) {
	events := newRawEvents(resp.Body, r.limits.LineBytes)
	started := false
	last := time.Now()
	for {
		part, lastID, err := events.next()
		if !r.answering && r.repeatsEvents(part) {
			r.setResult(rpcore.AttemptFailed, rpverdict.MayHaveRun, "the endpoint did not resume the stream: it sent event "+firstEventID(part)+" again")
			return
		}
		if len(part) > 0 {
			if started {
				pause := time.Since(last)
				r.ended.LongestPause = max(r.ended.LongestPause, pause)
				r.ended.EventSpan += pause
			}
			r.ended.Events++
			// An endpoint that only sends comments does not work on the request.
			working := hasData(part)
			if working {
				// The time in which the caller does not read is not silence of
				// the endpoint.
				r.silence.reset(0)
			}
			if relayErr := r.relayEvents(resp, part, lastID, &started); relayErr != nil {
				r.finish(relayErr)
				return
			}
			// A caller that reads slowly is not a pause of the endpoint.
			last = time.Now()
			if working {
				r.noteAnswering()
				r.ended.Unresumable = r.ended.LastEvent == ""
				r.silence.reset(r.request.Command.EventTimeout)
			}
		}
		if errors.Is(err, io.EOF) {
			r.finishStream(resp, &started)
			return
		}
		if err != nil {
			r.ended.StoppedAtStart = !r.answering && ctx.Err() == nil
			r.endRelay(ctx, err)
			return
		}
	}
}

// repeatsEvents reports whether the caller has the first of the events from an earlier
// attempt. Only numeric ids can be compared.
func (r *forwardAttempt) repeatsEvents(events []byte) bool {
	if !r.request.Command.ResponseStarted {
		return false
	}
	last, err := strconv.ParseUint(r.request.Command.ResumeAfter, 10, 64)
	if err != nil {
		return false
	}
	first, err := strconv.ParseUint(firstEventID(events), 10, 64)
	return err == nil && first <= last
}

func (r *forwardAttempt) relayEvents(resp *http.Response, part []byte, lastID string, started *bool) error {
	if !*started {
		if err := r.relay.SendHeader(resp.StatusCode, forwardedHeader(resp.Header)); err != nil {
			return err
		}
	}
	if err := r.write(part); err != nil {
		return err
	}
	r.ended.ResponseStarted = true
	if lastID != "" {
		r.ended.LastEvent = lastID
	}
	*started = true
	return nil
}

// noteAnswering is called after each event with data.
func (r *forwardAttempt) noteAnswering() {
	if !r.answering {
		r.answering = true
		r.relay.OnFirstWrite()
	}
}

// isUnframed reports whether a response has neither a length nor chunks, so that only
// the end of its connection ends it.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// finishStream ends a stream that did not break off within an event. A stream
// without events still gets its header sent to the caller, unless only the end of the
// connection ended it: the engine may have crashed.
func (r *forwardAttempt) finishStream(resp *http.Response, started *bool) {
	if isUnframed(resp) && !r.answering {
		r.ended.StoppedAtStart = true
		r.setResult(rpcore.AttemptBroken, rpverdict.MayHaveRun, errNoEvents.Error())
		return
	}
	if *started {
		r.finish(nil)
		return
	}
	err := r.relay.SendHeader(resp.StatusCode, forwardedHeader(resp.Header))
	r.ended.ResponseStarted = true
	r.finish(err)
}
