package rpoperator

import (
	"fmt"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// InForce is a document that is in force at an instance.
type InForce struct {
	Row      rpcore.DocumentRow
	Document *rpdocument.Document
	Body     []byte
}

// DocumentList answers GET /operator/v1/documents.
type DocumentList struct {
	Documents []rpcore.DocumentRow `json:"documents"`
}

// DocumentAnswer answers GET /operator/v1/documents/{service} as JSON.
type DocumentAnswer struct {
	Document rpcore.DocumentRow `json:"document"`
	// Body is the TOML text.
	Body string `json:"body"`
}

// AcceptAnswer answers a PUT that was accepted.
type AcceptAnswer struct {
	Result  rpcore.SubmissionResult `json:"result"`
	Service string                  `json:"service"`
	Version uint64                  `json:"version"`
	Editor  string                  `json:"editor"`
	Changes []rpdocument.Change     `json:"changes"`
}

// Code names the reason of a refusal. Codes are stable.
type Code string

// The codes.
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

// Refusal is the application/problem+json answer (RFC 9457) to a request that
// is not carried out.
type Refusal struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Code   Code   `json:"code"`
	// Problems lists what is wrong with a document.
	Problems []rpdocument.Problem `json:"problems,omitempty"`
	// Current is the accepted row of the service, where it is known.
	Current *rpcore.DocumentRow `json:"current,omitempty"`
	// RetryAfter is sent as a header; 0 means that no time is known.
	RetryAfter time.Duration `json:"-"`
}

func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Detail) }

// ShortEditor returns the part of a credential's sum that names an editor in
// messages and logs.
func ShortEditor(sum string) string {
	const shown = 12
	return sum[:min(len(sum), shown)]
}
