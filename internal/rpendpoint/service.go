package rpendpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// hopHeaders are the headers that belong to one connection and are not forwarded
// (RFC 9110, section 7.6.1). net/http sets its own where needed.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// maxBufferedResponseBytes is the size up to which a response of known length is read
// completely before its first byte is sent to the caller, so that the request can
// be retried if the response breaks off.
const maxBufferedResponseBytes = 64 << 10

const relayBufferBytes = 32 << 10

// runService forwards a request to a plain service.
func (c *Client) runService(ctx context.Context, a Attempt, out *relayer) Result {
	req, err := serviceRequest(ctx, a)
	if err != nil {
		return newFailure(rpcore.AttemptFailed, rpverdict.NotRun, err.Error())
	}
	resp, done, failure := c.roundTrip(ctx, req, a.Command.Record)
	if failure != nil {
		return *failure
	}
	defer done()
	defer resp.Body.Close()
	if result, ok := serviceFailure(resp); ok {
		return result
	}
	return c.relayService(ctx, resp, out)
}

func serviceRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	target := endpointURL(a.Command.Address, a.Path, a.Query)
	var body io.Reader
	if len(a.Body) > 0 {
		body = bytes.NewReader(a.Body)
	}
	req, err := http.NewRequestWithContext(ctx, a.Method, target.String(), body)
	if err != nil {
		return nil, err
	}
	req.Header = forwardedHeader(a.Header)
	if req.Header.Get("User-Agent") == "" {
		// Prevents net/http from adding its own User-Agent.
		req.Header["User-Agent"] = nil
	}
	setAttemptHeaders(req.Header, a)
	return req, nil
}

// forwardedHeader returns a copy of the end-to-end headers.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// serviceFailure maps a response which states that the service could not serve the
// request: 502, 503, 504, and 429 with the code busy. A response with any other
// status, including 500, comes from the service itself.
func serviceFailure(resp *http.Response) (Result, bool) {
	switch resp.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return statusFailure(resp.StatusCode, readErrorBody(resp.Body))
	case http.StatusTooManyRequests:
		body := readErrorBody(resp.Body)
		if errorCode(body) == codeBusy {
			return statusFailure(resp.StatusCode, body)
		}
		resp.Body = prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), resp.Body), Closer: resp.Body}
	}
	return Result{}, false
}

// prefixedBody is a body of which a part was read and put back.
type prefixedBody struct {
	io.Reader
	io.Closer
}

func (c *Client) relayService(ctx context.Context, resp *http.Response, out *relayer) Result {
	if resp.ContentLength > c.limits.ServiceResponseBytes {
		return newFailure(rpcore.AttemptFailed, rpverdict.MayHaveRun, fmt.Sprintf("the response is larger than %d bytes", c.limits.ServiceResponseBytes))
	}
	started, err := c.copyResponse(resp, out)
	result := Result{Reason: rpcore.AttemptComplete, Verdict: rpverdict.Ran, Outcome: out.outcome}
	switch {
	case errors.Is(err, errCallerGone):
		result = newFailure(rpcore.AttemptCanceled, rpverdict.MayHaveRun, err.Error())
	case err != nil:
		result = bodyFailure(ctx, err)
	}
	result.AnswerStarted = started
	result.CallerGone = out.callerGone
	return result
}

// copyResponse relays a response and reports whether it has started to send it to
// the caller.
func (c *Client) copyResponse(resp *http.Response, out *relayer) (bool, error) {
	buf := make([]byte, relayBufferBytes)
	if resp.ContentLength > 0 && resp.ContentLength <= maxBufferedResponseBytes && resp.Request.Method != http.MethodHead {
		buf = make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, buf); err != nil {
			return false, err
		}
		if err := out.sendHeader(resp.StatusCode, responseHeader(resp)); err != nil {
			return true, err
		}
		return true, out.write(buf)
	}
	n, err := resp.Body.Read(buf)
	if err != nil && err != io.EOF {
		return false, err
	}
	if beginErr := out.sendHeader(resp.StatusCode, responseHeader(resp)); beginErr != nil {
		return true, beginErr
	}
	return true, c.copyBody(resp.Body, out, buf, n, err)
}

func (c *Client) copyBody(body io.Reader, out *relayer, buf []byte, n int, err error) error {
	total := int64(0)
	for {
		total += int64(n)
		if total > c.limits.ServiceResponseBytes {
			return fmt.Errorf("the response is larger than %d bytes", c.limits.ServiceResponseBytes)
		}
		if n > 0 || err == io.EOF {
			if writeErr := out.write(buf[:n]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		n, err = body.Read(buf)
	}
}

// responseHeader returns the end-to-end headers of a response. net/http removes
// Content-Length only from chunked responses, so a caller can detect that a body of
// known length was cut off.
func responseHeader(resp *http.Response) http.Header {
	header := forwardedHeader(resp.Header)
	header.Del(headerRequestID)
	return header
}
