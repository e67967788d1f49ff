package rpendpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// slowWrite is the time for one part of a response from which on the caller reads too
// slowly. An engine cuts a response that is not read after some seconds, so a
// failure right after such a write is not one of the engine.
const slowWrite = time.Second

var errSlowCaller = errors.New("the response broke off because the caller read it too slowly")

// write passes a part of the response on to the caller.
func (r *forwardAttempt) write(p []byte) error {
	begin := time.Now()
	err := r.relay.Write(p)
	r.lastWrite = time.Since(begin)
	return err
}

// endRelay sets the result after the rest of a response could not be read.
func (r *forwardAttempt) endRelay(ctx context.Context, err error) {
	if r.lastWrite >= slowWrite {
		r.finish(errSlowCaller)
		return
	}
	r.setFailure(ctx, rpcore.AttemptBroken, rpverdict.MayHaveRun, err)
}

// relayBuffered reads up to BufferedBytes of the response before it sends the first
// byte to the caller, so that the request can be retried if the response breaks off
// early. The rest of a longer response is relayed as it arrives, because buffering
// it whole could take all memory of the instance.
func (r *forwardAttempt) relayBuffered(ctx context.Context, resp *http.Response) {
	buf := make([]byte, 0, min(r.limits.BufferedBytes, max(minBufferBytes, int(min(resp.ContentLength, int64(r.limits.BufferedBytes))))))
	buf, err := readUpTo(resp.Body, buf, r.limits.BufferedBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		r.setFailure(ctx, rpcore.AttemptBroken, rpverdict.MayHaveRun, err)
		return
	}
	r.silence.reset(0)
	if err == nil && ctx.Err() != nil {
		// The rest could not be read, and a response that has started can't be
		// retried or refused.
		r.setFailure(ctx, rpcore.AttemptBroken, rpverdict.MayHaveRun, ctx.Err())
		return
	}
	relayErr := r.relay.SendHeader(resp.StatusCode, forwardedHeader(resp.Header))
	r.ended.ResponseStarted = true
	if relayErr == nil && len(buf) > 0 {
		relayErr = r.write(buf)
	}
	if relayErr != nil || errors.Is(err, io.EOF) {
		r.finish(relayErr)
		return
	}
	r.relayRest(ctx, resp, buf)
}

// relayRest relays the rest of a response that is longer than the buffer, which
// already was sent. The total length stays within ServiceResponseBytes.
func (r *forwardAttempt) relayRest(ctx context.Context, resp *http.Response, buf []byte) {
	total := int64(len(buf))
	for {
		n, err := resp.Body.Read(buf[:cap(buf)])
		total += int64(n)
		if total > r.limits.ServiceResponseBytes {
			r.setResult(rpcore.AttemptBroken, rpverdict.MayHaveRun, fmt.Sprintf("the response is larger than %d bytes", r.limits.ServiceResponseBytes))
			return
		}
		if n > 0 {
			if relayErr := r.write(buf[:n]); relayErr != nil {
				r.finish(relayErr)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			r.finish(nil)
			return
		case err != nil:
			r.endRelay(ctx, err)
			return
		}
	}
}

// finish sets the result after a complete response. relayErr is the error of
// passing it on.
func (r *forwardAttempt) finish(relayErr error) {
	if relayErr != nil {
		r.callerGone = true
		r.setResult(rpcore.AttemptCanceled, rpverdict.MayHaveRun, relayErr.Error())
		return
	}
	r.setResult(rpcore.AttemptComplete, rpverdict.Ran, "")
}
