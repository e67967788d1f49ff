package rpendpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Codes in the error responses of endpoints.
const (
	codeNotLoaded = "model_not_loaded"
	codeBusy      = "busy"
	codeLeaving   = "leaving"
	codeFenced    = "fenced"
)

func newFailure(reason rpcore.AttemptReason, verdict rpverdict.Verdict, detail string) Result {
	return Result{Reason: reason, Verdict: verdict, Detail: detail}
}

// roundTripFailure returns the result of an attempt that got no response.
func roundTripFailure(ctx context.Context, tracker *requestTracker, err error) Result {
	verdict := tracker.verdict()
	if reason, ended := contextReason(ctx); ended {
		return newFailure(reason, verdict, err.Error())
	}
	if !tracker.connected() && !isLocalFailure(err) {
		return newFailure(rpcore.AttemptRefusedConnection, verdict, err.Error())
	}
	return newFailure(rpcore.AttemptBroken, verdict, err.Error())
}

// contextReason returns the reason for which this side ended the attempt, if it
// did.
func contextReason(ctx context.Context) (rpcore.AttemptReason, bool) {
	if ctx.Err() == nil {
		return "", false
	}
	if errors.Is(context.Cause(ctx), errDeadlinePassed) {
		return rpcore.AttemptTimedOut, true
	}
	return rpcore.AttemptCanceled, true
}

// isLocalFailure reports whether a connection failed because of a resource limit
// on this machine. Such a failure does not count against the endpoint.
func isLocalFailure(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// bodyFailure returns the result of an attempt whose response body could not be
// read completely.
func bodyFailure(ctx context.Context, err error) Result {
	if reason, ended := contextReason(ctx); ended {
		return newFailure(reason, rpverdict.MayHaveRun, err.Error())
	}
	return newFailure(rpcore.AttemptBroken, rpverdict.MayHaveRun, err.Error())
}

// statusFailure maps the status and the code of an error response to a result. It
// returns false if the response is to be relayed to the caller.
func statusFailure(status int, body []byte) (Result, bool) {
	code := errorCode(body)
	detail := fmt.Sprintf("the endpoint responded with status %d and code %q", status, code)
	unavailable := status == http.StatusServiceUnavailable
	switch {
	case status == http.StatusNotFound && code == codeNotLoaded:
		return newFailure(rpcore.AttemptNotLoaded, rpverdict.NotRun, detail), true
	case (unavailable || status == http.StatusTooManyRequests) && code == codeBusy:
		return newFailure(rpcore.AttemptBusy, rpverdict.NotRun, detail), true
	case unavailable && code == codeLeaving:
		return newFailure(rpcore.AttemptLeaving, rpverdict.NotRun, detail), true
	case status == http.StatusTooManyRequests:
		return newFailure(rpcore.AttemptBusy, rpverdict.MayHaveRun, detail), true
	case status >= 500 || status < 200 || status >= 300 && status < 400:
		return newFailure(rpcore.AttemptFailed, rpverdict.MayHaveRun, detail), true
	}
	return Result{}, false
}

// errorCode returns the code of an error response. It is a member of the object
// itself or of its member "error".
func errorCode(body []byte) string {
	var response struct {
		Code  json.RawMessage `json:"code"`
		Error json.RawMessage `json:"error"`
	}
	if json.Unmarshal(body, &response) != nil {
		return ""
	}
	if code := jsonString(response.Code); code != "" {
		return code
	}
	var inner struct {
		Code json.RawMessage `json:"code"`
	}
	if json.Unmarshal(response.Error, &inner) != nil {
		return ""
	}
	return jsonString(inner.Code)
}

// jsonString returns a JSON string, or "" for any other value.
func jsonString(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) != nil {
		return ""
	}
	return s
}

func readErrorBody(r io.Reader) []byte {
	body, _ := io.ReadAll(io.LimitReader(r, maxErrorBodyBytes))
	return body
}
