package rpoperator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

func (s *Server) inForce(service string) (InForce, bool) {
	if s.Document == nil {
		return InForce{}, false
	}
	return s.Document(service)
}

func (s *Server) getDocument(w http.ResponseWriter, r *http.Request) {
	service := mux.Vars(r)["service"]
	current, ok := s.inForce(service)
	if !ok {
		writeRefusal(w, unknownService(service))
		return
	}
	w.Header().Set("ETag", formatVersion(current.Row.Version))
	if strings.Contains(r.Header.Get("Accept"), jsonContentType) {
		writeJSON(w, http.StatusOK, DocumentResponse{Document: current.Row, Body: string(current.Body)})
		return
	}
	w.Header().Set("Content-Type", tomlContentType)
	_, _ = w.Write(current.Body)
}

func (s *Server) putDocument(w http.ResponseWriter, r *http.Request) {
	submitted, refusal := s.readSubmission(w, r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	response, refusal := s.submitAndWait(r, submitted)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

// submission is a document that an authorized operator submits.
type submission struct {
	service  string
	version  uint64
	editor   string
	body     []byte
	document *rpdocument.Document
	// current is the document that was edited, or nil for a new service.
	current *rpdocument.Document
}

// readSubmission checks and reads a PUT request. It checks the authorization first,
// so that an unauthorized client learns nothing and its body is not read.
func (s *Server) readSubmission(w http.ResponseWriter, r *http.Request) (*submission, *Refusal) {
	sub := &submission{service: mux.Vars(r)["service"], editor: credentialSum(r)}
	if !rpdocument.ValidName(sub.service) {
		return nil, &Refusal{Status: http.StatusNotFound, Code: CodeUnknownService, Detail: "The path has no valid name of a service."}
	}
	if sub.editor == "" {
		return nil, credentialMissing()
	}
	current, exists := s.inForce(sub.service)
	if refusal := s.checkEditRight(sub.editor, current, exists); refusal != nil {
		return nil, refusal
	}
	if refusal := sub.checkEditedVersion(r, current, exists); refusal != nil {
		return nil, refusal
	}
	sub.current = current.Document
	if refusal := sub.readBody(w, r); refusal != nil {
		return nil, refusal
	}
	if !exists && !containsSum(sub.editor, sub.document.Editors) {
		return nil, credentialNotAllowed("The document does not list the credential in its own editors.")
	}
	return sub, nil
}

func (s *Server) checkEditRight(editor string, current InForce, exists bool) *Refusal {
	if !exists {
		if containsSum(editor, s.BootstrapEditors) {
			return nil
		}
		return credentialNotAllowed("The credential may not accept the first document of a service. " +
			"It does not stand in operators.bootstrap_editors of the instance's settings.")
	}
	if current.Document != nil && containsSum(editor, current.Document.Editors) {
		return nil
	}
	return credentialNotAllowed("The credential does not stand in editors of the document in force.")
}

func credentialNotAllowed(detail string) *Refusal {
	return &Refusal{Status: http.StatusForbidden, Code: CodeCredentialNotAllowed, Detail: detail}
}

// checkEditedVersion parses If-Match. The edited version must be the version in
// force on this instance, because the authorization was checked against it.
func (sub *submission) checkEditedVersion(r *http.Request, current InForce, exists bool) *Refusal {
	header := r.Header.Get("If-Match")
	if header == "" {
		return &Refusal{
			Status: http.StatusPreconditionRequired, Code: CodeEditedVersionMissing,
			Detail: "Send the version that you edited in the header If-Match, or 0 for a new service.",
		}
	}
	version, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	if err != nil {
		return &Refusal{
			Status: http.StatusBadRequest, Code: CodeEditedVersionInvalid,
			Detail: "The header If-Match is not a version. Send a whole number.",
		}
	}
	sub.version = version
	inForce := uint64(0)
	if exists {
		inForce = current.Row.Version
	}
	switch {
	case version < inForce:
		return versionConflict(sub, &current.Row)
	case version > inForce:
		return instanceBehind(inForce, version)
	}
	return nil
}

func (sub *submission) readBody(w http.ResponseWriter, r *http.Request) *Refusal {
	body, refusal := readLimited(w, r)
	if refusal != nil {
		return refusal
	}
	document, problems := rpdocument.Parse(body)
	if document != nil && document.Service != sub.service {
		problems = append(problems, rpdocument.Problem{
			Code: rptoml.CodeServiceMismatch,
			Key:  "service", Wrong: fmt.Sprintf("The document is of service %s, but it was sent for service %s.", document.Service, sub.service),
			Fix: "Send it to the path of its service.",
		})
	}
	if len(problems) > 0 {
		return documentInvalid(problems)
	}
	sub.body, sub.document = body, document
	return nil
}

// submitAndWait posts a submission to the reducer and waits for the result.
func (s *Server) submitAndWait(r *http.Request, sub *submission) (*AcceptResponse, *Refusal) {
	if s.Post == nil {
		return nil, platformUnavailable()
	}
	id := uuid.NewString()
	waiting, ok := s.submissions.register(id)
	if !ok {
		return nil, &Refusal{
			Status: http.StatusServiceUnavailable, Code: CodeTooManySubmissions, RetryAfter: retryAfterTooMany,
			Detail: "Too many submissions wait for their outcome. The document was not accepted.",
		}
	}
	defer s.submissions.remove(id)
	s.Post(rpcore.DocumentSubmitted{
		Stamp: rpcore.Stamp{At: time.Now()}, Submission: id, Service: sub.service, EditedVersion: sub.version,
		Editor: sub.editor, Hash: rpdocument.Hash(sub.body), Body: sub.body,
	})
	timeout := s.AnswerTimeout
	if timeout <= 0 {
		timeout = DefaultAnswerTimeout
	}
	answer := waitForAnswer(r.Context(), waiting, timeout)
	s.logSubmission(sub, answer)
	return sub.outcome(answer)
}

func (s *Server) logSubmission(sub *submission, answer rpcore.AnswerSubmission) {
	if s.Submitted != nil {
		s.Submitted(answer.Result)
	}
	s.Log.Info().Str("service", sub.service).Uint64("edited_version", sub.version).
		Str("editor", ShortEditor(sub.editor)).Str("result", string(answer.Result)).
		Uint64("version", answer.Version).Msg("A document was submitted.")
}

func displayName(name string) string {
	if rpdocument.ValidName(name) {
		return name
	}
	return "with this name"
}

func formatVersion(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }
