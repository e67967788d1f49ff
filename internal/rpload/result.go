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

// Codes of results that are not codes of refusals. An answer with another
// status and without a refusal has the code http_STATUS.
const (
	CodeOK = "ok"
	// CodeIncomplete is an answer that ended without [DONE], without an error
	// event, or before the length that it announced.
	CodeIncomplete = "incomplete"
	// CodeWrongTokenCount is a stream with [DONE] and another number of tokens
	// than it should have.
	CodeWrongTokenCount = "wrong_token_count"
	// CodeWrongAnswer is a complete stream with other tokens than expected.
	CodeWrongAnswer = "wrong_answer"
	// CodeMalformedAnswer is an answer that can't be read.
	CodeMalformedAnswer   = "malformed_answer"
	CodeConnectionRefused = "connection_refused"
	// CodeConnectionFailed is a connection that was not made for another
	// reason than a refusal.
	CodeConnectionFailed = "connection_failed"
	// CodeConnectionLost is a connection that broke before the answer began.
	CodeConnectionLost = "connection_lost"
	// CodeNoAnswer is a request that had not ended after its deadline and
	// Config.Patience.
	CodeNoAnswer = "no_answer"
	// CodeUnfinished is a request that was in progress at the end of the run.
	CodeUnfinished = "unfinished"
	// CodeOther stands for codes beyond the first maxResults of a phase and
	// rank.
	CodeOther = "other"
)

// Causes that end a request from the side of the generator.
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

// abortResult returns the result of a request that the generator gave up.
func abortResult(ctx context.Context) (Result, bool) {
	switch context.Cause(ctx) {
	case nil:
		return Result{}, false
	case errNoAnswer:
		return Result{CodeNoAnswer, rpverdict.MayHaveRun}, true
	}
	return Result{CodeUnfinished, rpverdict.MayHaveRun}, true
}

// noAnswerResult returns the result of a request without any answer. A
// connection that was made may have carried the request.
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

// truncatedResult returns the result of an answer that began and did not end.
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

// problem is what the generator reads of a refusal.
type problem struct {
	Code    string             `json:"code"`
	Verdict *rpverdict.Verdict `json:"verdict"`
}

// codePattern keeps texts that no instance sends out of the report.
var codePattern = regexp.MustCompile(`^[a-z][a-z0-9_]{0,63}$`)

// parseRefusal returns the result of a refusal.
func parseRefusal(body []byte) (Result, bool) {
	var p problem
	if json.Unmarshal(body, &p) != nil || p.Verdict == nil || !codePattern.MatchString(p.Code) {
		return resultMalformed, false
	}
	return Result{p.Code, *p.Verdict}, true
}

// readError fills the outcome of an answer that is not a success.
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

// canRetryElsewhere reports whether another target may run the request: nothing
// ran, and the reason lies in the one instance. Reasons that hold for the whole
// system are not retried, so that retries don't add to an overload.
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
