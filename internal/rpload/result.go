package rpload

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"syscall"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Codes of results that are not refusals. An answer that has a status other
// than 2xx and is not a refusal has the code http_STATUS, such as http_500.
const (
	CodeOK = "ok"
	// CodeIncomplete is an answer that ended before its end: a stream without
	// [DONE] or an error event, or a body shorter than its announced length.
	CodeIncomplete = "incomplete"
	// CodeWrongTokenCount is a stream that ended with [DONE] but does not have
	// the requested number of tokens.
	CodeWrongTokenCount = "wrong_token_count"
	// CodeWrongAnswer is a complete stream whose tokens are not the expected
	// ones.
	CodeWrongAnswer = "wrong_answer"
	// CodeMalformedAnswer is an answer that can't be parsed.
	CodeMalformedAnswer   = "malformed_answer"
	CodeConnectionRefused = "connection_refused"
	// CodeConnectionFailed is a connection that could not be established for a
	// reason other than ECONNREFUSED.
	CodeConnectionFailed = "connection_failed"
	// CodeConnectionLost is a connection that broke before the answer began.
	CodeConnectionLost = "connection_lost"
	// CodeNoAnswer is a request whose answer had not ended Config.Patience after
	// its deadline.
	CodeNoAnswer = "no_answer"
	// CodeUnfinished is a request that was still in progress when the run ended.
	CodeUnfinished = "unfinished"
	// CodeOther stands for all further codes once a phase and rank has
	// maxNamedResults different results.
	CodeOther = "other"
)

// Causes with which the generator cancels the context of a request.
var (
	errNoAnswer   = errors.New("the request had no answer in time")
	errUnfinished = errors.New("the run ended")
)

// Result is how a request ended.
type Result struct {
	Code    string            `json:"code"`
	Verdict rpverdict.Verdict `json:"verdict"`
}

var (
	resultOK         = Result{CodeOK, rpverdict.Ran}
	resultIncomplete = Result{CodeIncomplete, rpverdict.MayHaveRun}
	resultMalformed  = Result{CodeMalformedAnswer, rpverdict.MayHaveRun}
)

// abortResult returns the result of a request that the generator cancelled. It
// returns false if the context has not ended.
func abortResult(ctx context.Context) (Result, bool) {
	switch context.Cause(ctx) {
	case nil:
		return Result{}, false
	case errNoAnswer:
		return Result{CodeNoAnswer, rpverdict.MayHaveRun}, true
	}
	return Result{CodeUnfinished, rpverdict.MayHaveRun}, true
}

// noAnswerResult returns the result of a request without any answer. Once a
// connection was established, the request may have run.
func noAnswerResult(ctx context.Context, err error) Result {
	if result, ok := abortResult(ctx); ok {
		return result
	}
	var op *net.OpError
	switch {
	case !errors.As(err, &op) || op.Op != "dial":
		return Result{CodeConnectionLost, rpverdict.MayHaveRun}
	case errors.Is(err, syscall.ECONNREFUSED):
		return Result{CodeConnectionRefused, rpverdict.NotRun}
	}
	return Result{CodeConnectionFailed, rpverdict.NotRun}
}

// truncatedResult returns the result of an answer that began but did not end.
func truncatedResult(ctx context.Context) Result {
	if result, ok := abortResult(ctx); ok {
		return result
	}
	return resultIncomplete
}

const (
	problemContentType = "application/problem+json"
	maxProblemBytes    = 64 << 10
)

// problem holds the fields of a refusal that the generator uses.
type problem struct {
	Code    string             `json:"code"`
	Verdict *rpverdict.Verdict `json:"verdict"`
}

// codePattern matches valid codes. Other text must not get into the report.
var codePattern = regexp.MustCompile(`^[a-z][a-z0-9_]{0,63}$`)

// parseRefusal returns the result of a refusal, or resultMalformed and false if it
// can't be parsed.
func parseRefusal(body []byte) (Result, bool) {
	var p problem
	if json.Unmarshal(body, &p) != nil || p.Verdict == nil || !codePattern.MatchString(p.Code) {
		return resultMalformed, false
	}
	return Result{p.Code, *p.Verdict}, true
}

// readError reads an answer with a status other than 2xx into the outcome.
func (o *outcome) readError(ctx context.Context, res *http.Response) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxProblemBytes))
	switch {
	case err != nil:
		o.result = truncatedResult(ctx)
	case strings.HasPrefix(res.Header.Get("Content-Type"), problemContentType):
		o.result, o.refused = parseRefusal(body)
		o.retryAfter = res.Header.Get("Retry-After") != ""
	default:
		o.result = Result{fmt.Sprintf("http_%d", res.StatusCode), rpverdict.MayHaveRun}
	}
}

// canRetryElsewhere reports whether another target may be able to run the request:
// the request did not run, and the reason applies only to this instance. Requests
// refused for reasons that apply to the whole system are not retried, so that
// retries don't add to an overload.
func (r Result) canRetryElsewhere() bool {
	if r.Verdict != rpverdict.NotRun {
		return false
	}
	switch r.Code {
	case CodeConnectionRefused, CodeConnectionFailed, string(rpverdict.CodeDraining),
		string(rpverdict.CodeNoDocument), string(rpverdict.CodeTooManyStreams):
		return true
	}
	return false
}
