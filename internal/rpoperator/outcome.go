package rpoperator

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// Values of Retry-After. An accepted document is in force on all instances within
// 3 s.
const (
	retryAfterBehind      = 3 * time.Second
	retryAfterUnavailable = 10 * time.Second
	retryAfterTooMany     = time.Second
)

// outcome converts the reducer's answer to the response of the PUT.
func (sub *submission) outcome(answer rpcore.AnswerSubmission) (*AcceptResponse, *Refusal) {
	switch answer.Result {
	case rpcore.SubmissionAccepted:
		changes := rpdocument.Diff(sub.current, sub.document)
		return &AcceptResponse{
			Result: answer.Result, Service: sub.service, Version: answer.Version, Editor: sub.editor,
			Changes: append([]rpdocument.Change{}, changes...),
		}, nil
	case rpcore.SubmissionConflict:
		return nil, versionConflict(sub, answer.Current)
	case rpcore.SubmissionInvalid:
		return nil, documentInvalid(answer.Problems)
	case rpcore.SubmissionUnavailable:
		return nil, platformUnavailable()
	}
	return nil, &Refusal{
		Status: http.StatusGatewayTimeout, Code: CodeOutcomeUnknown, Current: answer.Current,
		Detail: "The platform gave no answer in time. The document may have been accepted, or may be accepted later. " +
			"Look at the version in force before you try again.",
	}
}

func versionConflict(sub *submission, current *rpcore.DocumentRow) *Refusal {
	detail := fmt.Sprintf("Another version than %d is accepted. Your document was not accepted.", sub.version)
	if current != nil {
		detail = fmt.Sprintf("Version %d is accepted, by editor %s at %s. You edited version %d. Your document was not accepted.",
			current.Version, ShortEditor(current.Editor), current.AcceptedAt.UTC().Format(time.RFC3339), sub.version)
	}
	return &Refusal{Status: http.StatusPreconditionFailed, Code: CodeVersionConflict, Detail: detail, Current: current}
}

func documentInvalid(problems []rpdocument.Problem) *Refusal {
	return &Refusal{
		Status: http.StatusUnprocessableEntity, Code: CodeDocumentInvalid, Problems: problems,
		Detail: fmt.Sprintf("The document was not accepted. Number of problems: %d.", len(problems)),
	}
}

func platformUnavailable() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Code: CodePlatformUnavailable, RetryAfter: retryAfterUnavailable,
		Detail: "The platform's service is not available. The document was not accepted.",
	}
}

func unknownService(service string) *Refusal {
	return &Refusal{
		Status: http.StatusNotFound, Code: CodeUnknownService,
		Detail: fmt.Sprintf("This instance has no document of service %s.", displayName(service)),
	}
}

func credentialMissing() *Refusal {
	return &Refusal{
		Status: http.StatusUnauthorized, Code: CodeCredentialMissing,
		Detail: "The request has no credential. Send the header Authorization: Bearer CREDENTIAL.",
	}
}

// instanceBehind is the refusal of a request for a version that is newer than the
// version in force on this instance.
func instanceBehind(inForce, version uint64) *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Code: CodeInstanceBehind, RetryAfter: retryAfterBehind,
		Detail: fmt.Sprintf("This instance has version %d in force. Wait until it has version %d, or ask another instance.", inForce, version),
	}
}

// readLimited reads a request body up to the maximum size of a document.
func readLimited(w http.ResponseWriter, r *http.Request) ([]byte, *Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, rpdocument.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &Refusal{
			Status: http.StatusRequestEntityTooLarge, Code: CodeBodyTooLarge,
			Detail: fmt.Sprintf("The document has more than %d bytes.", rpdocument.MaxBodyBytes),
		}
	}
	return nil, &Refusal{Status: http.StatusBadRequest, Code: CodeBodyUnreadable, Detail: "The body ended early. The document was not accepted."}
}
