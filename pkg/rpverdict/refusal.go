package rpverdict

import (
	"fmt"
	"net/http"
	"time"
)

// Code is the reason of a refusal. Codes are stable: callers may depend on
// them.
type Code string

// The codes of refusals. docs/messages.md describes them.
const (
	CodeMalformedRequest       Code = "malformed_request"
	CodeBodyTooLarge           Code = "body_too_large"
	CodeUnknownModel           Code = "unknown_model"
	CodeUnknownService         Code = "unknown_service"
	CodeUnknownRoute           Code = "unknown_route"
	CodeCallerNotAllowed       Code = "caller_not_allowed"
	CodeIdempotencyKeyRequired Code = "idempotency_key_required"
	CodeIdempotencyKeyReused   Code = "idempotency_key_reused"
	CodeInvalidHeader          Code = "invalid_header"
	CodeNoDocument             Code = "no_document"
	CodeDraining               Code = "draining"
	CodeQueueFull              Code = "queue_full"
	CodeDeadlineUnreachable    Code = "deadline_unreachable"
	CodeDeadlineExceeded       Code = "deadline_exceeded"
	CodeNoReplica              Code = "no_replica"
	CodeAcceleratorHoursUsed   Code = "accelerator_hours_used"
	CodeNoEndpoint             Code = "no_endpoint"
	CodeTableUnavailable       Code = "table_unavailable"
	CodeAttemptFailed          Code = "attempt_failed"
	CodeStreamBroken           Code = "stream_broken"
	CodeEarlierAttemptUnknown  Code = "earlier_attempt_unknown"
	CodeOutcomeNotKept         Code = "outcome_not_kept"
	CodeTooManyStreams         Code = "too_many_streams"
	CodePromptQuarantined      Code = "prompt_quarantined"
	CodeQuarantineUnknown      Code = "quarantine_unknown"
	CodeUnknownKey             Code = "unknown_key"
	CodeAccountsUnconfirmed    Code = "accounts_unconfirmed"
	CodeQuotaExceeded          Code = "quota_exceeded"
	CodeMemoryShort            Code = "memory_short"
)

type codeInfo struct {
	status int
	title  string
}

var codes = map[Code]codeInfo{
	CodeMalformedRequest:       {http.StatusBadRequest, "The request can't be read."},
	CodeBodyTooLarge:           {http.StatusRequestEntityTooLarge, "The body is larger than the limit."},
	CodeUnknownModel:           {http.StatusNotFound, "No accepted document declares this model or adapter."},
	CodeUnknownService:         {http.StatusNotFound, "No accepted document declares this service."},
	CodeUnknownRoute:           {http.StatusNotFound, "The document of the service declares no route for this path and method."},
	CodeCallerNotAllowed:       {http.StatusForbidden, "The credential is not allowed to call this service."},
	CodeIdempotencyKeyRequired: {http.StatusBadRequest, "This request may run only once and needs the header Idempotency-Key."},
	CodeIdempotencyKeyReused:   {http.StatusUnprocessableEntity, "The idempotency key was used before with another request."},
	CodeInvalidHeader:          {http.StatusBadRequest, "A request header has a value that is not allowed."},
	CodeNoDocument:             {http.StatusServiceUnavailable, "This instance has not received the service document yet."},
	CodeDraining:               {http.StatusServiceUnavailable, "This instance is stopping. Another instance can serve the request."},
	CodeQueueFull:              {http.StatusTooManyRequests, "The queue of this rank is full."},
	CodeDeadlineUnreachable:    {http.StatusServiceUnavailable, "The predicted wait is longer than the deadline allows."},
	CodeDeadlineExceeded:       {http.StatusGatewayTimeout, "The deadline passed before the answer was complete."},
	CodeNoReplica:              {http.StatusServiceUnavailable, "No replica of the model is loaded and none can be loaded now."},
	CodeAcceleratorHoursUsed:   {http.StatusServiceUnavailable, "The service has used its accelerator hours of this day, and no replica of the model is loaded."},
	CodeNoEndpoint:             {http.StatusServiceUnavailable, "No endpoint of the service is available."},
	CodeTableUnavailable:       {http.StatusServiceUnavailable, "The table service is unavailable, so a request that may run only once can't be started."},
	CodeAttemptFailed:          {http.StatusBadGateway, "The endpoint failed to answer."},
	CodeStreamBroken:           {http.StatusBadGateway, "The stream broke and could not be resumed."},
	CodeEarlierAttemptUnknown:  {http.StatusConflict, "An earlier request with this idempotency key may have run. Its outcome is not known."},
	CodeOutcomeNotKept:         {http.StatusConflict, "An earlier request with this idempotency key ran. Its answer was too large to keep."},
	CodeTooManyStreams:         {http.StatusServiceUnavailable, "This instance has reached its limit of requests in progress."},
	CodePromptQuarantined:      {http.StatusServiceUnavailable, "Engines crashed on a part of the prompt, so the request is kept away from them."},
	CodeQuarantineUnknown:      {http.StatusServiceUnavailable, "This instance has just started and does not know yet which prompts crash engines."},
	CodeUnknownKey:             {http.StatusUnauthorized, "The request has no key of a client account."},
	CodeAccountsUnconfirmed:    {http.StatusServiceUnavailable, "This instance can't confirm that the key was not withdrawn."},
	CodeQuotaExceeded:          {http.StatusTooManyRequests, "The client account has used its quota."},
	CodeMemoryShort:            {http.StatusServiceUnavailable, "The memory of this instance for requests is used up. Another instance can serve the request."},
}

// CodeCount returns the number of codes.
func CodeCount() int { return len(codes) }

// Refusal tells a caller why a request is not served and whether it may have
// run.
type Refusal struct {
	Code    Code    `json:"code" cbor:"code"`
	Verdict Verdict `json:"verdict" cbor:"verdict"`
	// Detail is one sentence about this request.
	Detail string `json:"detail" cbor:"detail"`
	// RetryAfter is the time after which a retry makes sense, or 0 if it is not
	// known.
	RetryAfter time.Duration `json:"-" cbor:"retry_after"`
}

// Refuse returns a refusal with the verdict NotRun.
func Refuse(code Code, detail string) Refusal {
	return Refusal{Code: code, Detail: detail}
}

func (r Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Verdict, r.Detail)
}

// Status returns the HTTP status of the refusal.
func (r Refusal) Status() int {
	info, ok := codes[r.Code]
	if !ok {
		return http.StatusInternalServerError
	}
	return info.status
}

// Title returns a sentence that describes the code.
func (r Refusal) Title() string {
	return codes[r.Code].title
}
