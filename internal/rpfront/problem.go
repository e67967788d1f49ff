package rpfront

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// ProblemType is the content type of a refusal.
const ProblemType = "application/problem+json"

// problem is the body of a refusal (RFC 9457).
type problem struct {
	Type      string            `json:"type"`
	Title     string            `json:"title"`
	Status    int               `json:"status"`
	Detail    string            `json:"detail"`
	Code      rpverdict.Code    `json:"code"`
	Verdict   rpverdict.Verdict `json:"verdict"`
	RequestID rpcore.RequestID  `json:"request_id"`
	// Error repeats the refusal in the place where OpenAI clients expect it. They
	// treat an event in a stream as a chunk unless it has this member.
	Error problemError `json:"error"`
}

type problemError struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Code    rpverdict.Code `json:"code"`
}

// EncodeProblem returns the problem+json body of a refusal.
func EncodeProblem(id rpcore.RequestID, refusal rpverdict.Refusal) []byte {
	// Marshal fails only for an invalid verdict. That is reported as MayHaveRun,
	// the conservative choice.
	if refusal.Verdict < rpverdict.NotRun || refusal.Verdict > rpverdict.Ran {
		refusal.Verdict = rpverdict.MayHaveRun
	}
	body, _ := json.Marshal(problem{
		Type:      "urn:rattanpaddle:refusal:" + string(refusal.Code),
		Title:     refusal.Title(),
		Status:    refusal.Status(),
		Detail:    refusal.Detail,
		Code:      refusal.Code,
		Verdict:   refusal.Verdict,
		RequestID: id,
		Error:     problemError{Message: refusal.Detail, Type: refusal.Verdict.String(), Code: refusal.Code},
	})
	return body
}

// formatRetryAfter formats a duration in seconds, rounded up, or returns "" for 0.
func formatRetryAfter(d time.Duration) string {
	if d <= 0 {
		return ""
	}
	return strconv.FormatInt(int64(math.Ceil(d.Seconds())), 10)
}

func refuse(code rpverdict.Code, detail string) *rpverdict.Refusal {
	refusal := rpverdict.Refuse(code, detail)
	return &refusal
}
