package rpload

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// outcome is what was measured of one request.
type outcome struct {
	result Result
	// sent is the time at which the request was sent, end the time at which its
	// answer ended.
	sent, end time.Time
	// firstToken is the time of the first token, or of the first byte of the
	// answer of a plain service. It is zero if there was none.
	firstToken time.Time
	tokens     int
	refused    bool
	retryAfter bool
	retries    int
}

// maxAnswerBytes is the size at which an answer is cut off.
const maxAnswerBytes = 64 << 20

// send sends a request. With Config.RetryNotRun it sends the request once more, to
// the next target, if only the first target was unable to run it.
func (r *runner) send(parent context.Context, a Arrival) outcome {
	req := r.cfg.newRequest(a)
	sent := time.Now()
	ctx, cancel := parent, context.CancelFunc(func() {})
	timeout := r.cfg.Timeouts[a.Rank]
	if timeout > 0 {
		ctx, cancel = context.WithDeadlineCause(parent, sent.Add(timeout+r.cfg.Patience), errNoAnswer)
	}
	defer cancel()
	o := r.attempt(ctx, req, r.target(a.Seq), timeout)
	left := timeout - time.Since(sent)
	if r.cfg.RetryNotRun && o.result.canRetryElsewhere() && (timeout == 0 || left > 0) {
		r.cfg.Log.Debug().Str("request", req.ID).Str("code", o.result.Code).Msg("Retrying the request at the next target.")
		if timeout == 0 {
			left = 0
		}
		o = r.attempt(ctx, req, r.target(a.Seq+1), left)
		o.retries = 1
	}
	o.sent = sent
	return o
}

func (r *runner) target(n uint64) netip.AddrPort {
	return r.cfg.Targets[n%uint64(len(r.cfg.Targets))]
}

func (r *runner) attempt(ctx context.Context, req Request, target netip.AddrPort, timeout time.Duration) (o outcome) {
	defer func() {
		if o.end.IsZero() {
			o.end = time.Now()
		}
	}()
	httpRequest, err := r.cfg.httpRequest(ctx, req, target, timeout)
	if err != nil {
		o.result = resultMalformed
		return o
	}
	res, err := r.client.Do(httpRequest)
	if err != nil {
		o.result = noAnswerResult(ctx, err)
		return o
	}
	defer func() { _ = res.Body.Close() }()
	res.Body = limitedBody{io.LimitReader(res.Body, maxAnswerBytes), res.Body}
	switch {
	case res.StatusCode < 200 || res.StatusCode > 299:
		o.readError(ctx, res)
	case req.Kind.Route != "":
		o.readServiceAnswer(ctx, res)
	default:
		r.readStream(ctx, req, res, &o)
	}
	return o
}

// limitedBody is a response body whose Reader is limited in size.
type limitedBody struct {
	io.Reader
	io.Closer
}

func (r *runner) readStream(ctx context.Context, req Request, res *http.Response, o *outcome) {
	s := streamReader{request: req}
	if r.cfg.Expect != nil {
		s.expected = r.cfg.Expect(req)
	}
	cell := r.recorder.cell(req.Arrival)
	s.onToken = func(previous, at time.Time) { cell.addBetweenTokens(at.Sub(previous)) }
	s.read(ctx, res, o)
}

// readServiceAnswer reads and discards the answer of a plain service.
func (o *outcome) readServiceAnswer(ctx context.Context, res *http.Response) {
	buffer := make([]byte, 4096)
	for {
		n, err := res.Body.Read(buffer)
		if n > 0 && o.firstToken.IsZero() {
			o.firstToken = time.Now()
		}
		if errors.Is(err, io.EOF) {
			o.result = resultOK
			return
		}
		if err != nil {
			o.result = truncatedResult(ctx)
			return
		}
	}
}
