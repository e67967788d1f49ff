package rpoperator

import (
	"fmt"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// InForce is a document that is in force on this instance, with its row in the
// table and its TOML body.
type InForce struct {
	Row      rpcore.DocumentRow
	Document *rpdocument.Document
	Body     []byte
}

// DocumentList is the response to GET /operator/v1/documents.
type DocumentList struct {
	Documents []rpcore.DocumentRow `json:"documents"`
}

// DocumentResponse is the JSON response to GET /operator/v1/documents/{service}.
type DocumentResponse struct {
	Document rpcore.DocumentRow `json:"document"`
	// Body is the TOML text.
	Body string `json:"body"`
}

// AcceptResponse is the response to a PUT whose document was accepted.
type AcceptResponse struct {
	Result  rpcore.SubmissionResult `json:"result"`
	Service string                  `json:"service"`
	Version uint64                  `json:"version"`
	Editor  string                  `json:"editor"`
	Changes []rpdocument.Change     `json:"changes"`
}

// Code is the machine-readable reason of a refusal. Codes are stable.
type Code string

// Codes of refusals.
const (
	CodeNotFound             Code = "not_found"
	CodeMethodNotAllowed     Code = "method_not_allowed"
	CodeUnknownService       Code = "unknown_service"
	CodeCredentialMissing    Code = "credential_missing"
	CodeCredentialNotAllowed Code = "credential_not_allowed"
	CodeEditedVersionMissing Code = "edited_version_missing"
	CodeEditedVersionInvalid Code = "edited_version_invalid"
	CodeBodyTooLarge         Code = "body_too_large"
	CodeBodyUnreadable       Code = "body_unreadable"
	CodeDocumentInvalid      Code = "document_invalid"
	CodeVersionConflict      Code = "version_conflict"
	CodeInstanceBehind       Code = "instance_behind"
	CodeTooManySubmissions   Code = "too_many_submissions"
	CodePlatformUnavailable  Code = "platform_unavailable"
	CodeOutcomeUnknown       Code = "outcome_unknown"
	CodeNotReady             Code = "not_ready"
	CodeNotHealthy           Code = "not_healthy"
	CodeQueryInvalid         Code = "query_invalid"
	CodeVersionNotKept       Code = "version_not_kept"
	CodePlatformUnreadable   Code = "platform_unreadable"
)

// Media types of the interface.
const (
	problemContentType = "application/problem+json"
	tomlContentType    = "application/toml"
	jsonContentType    = "application/json"
	linesContentType   = "application/x-ndjson"
)

// Refusal is the application/problem+json response (RFC 9457) to a request that
// was refused or failed.
type Refusal struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Code   Code   `json:"code"`
	// Problems lists the problems of an invalid document.
	Problems []rpdocument.Problem `json:"problems,omitempty"`
	// Current is the accepted document row of the service, if known.
	Current *rpcore.DocumentRow `json:"current,omitempty"`
	// RetryAfter is sent as the Retry-After header; 0 means no header.
	RetryAfter time.Duration `json:"-"`
}

func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Detail) }

// ShortEditor returns the prefix of a credential's SHA-256 sum that identifies an
// editor in messages and logs.
func ShortEditor(sum string) string {
	const shown = 12
	return sum[:min(len(sum), shown)]
}
