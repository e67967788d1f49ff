package rpcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// CredentialVariable is the environment variable that holds the credential of an
// editor.
const CredentialVariable = "RATTANPADDLE_CREDENTIAL"

// acceptReport is the output of "document accept".
type acceptReport struct {
	Result rpcore.SubmissionResult `json:"result"`
	// Service, Version and Editor identify the version that is accepted now.
	// Version is 0 if it is unknown.
	Service string `json:"service"`
	Version uint64 `json:"version,omitempty"`
	Editor  string `json:"editor,omitempty"`
	// Changes lists the differences between the previous version and the
	// submitted document. After a conflict it compares with the accepted
	// version instead.
	Changes []rpdocument.Change `json:"changes"`
	Detail  string              `json:"detail,omitempty"`
}

// acceptRun holds the state of one run of "document accept".
type acceptRun struct {
	program *Program
	args    *documentAcceptArgs
	client  *rpoperator.Client
	doc     *rpdocument.Document
	body    []byte
}

func documentAccept(ctx context.Context, p *Program, args *documentAcceptArgs) error {
	client, err := args.client()
	if err != nil {
		return err
	}
	doc, body, err := p.readValidDocument(args.File, args.Output)
	if err != nil {
		return err
	}
	if client.Credential, err = readCredential(args.CredentialFile); err != nil {
		return err
	}
	a := acceptRun{program: p, args: args, client: client, doc: doc, body: body}
	answer, err := client.Accept(ctx, doc.Service, args.EditedVersion, body)
	if err != nil {
		return a.handleError(ctx, err)
	}
	return a.reportAccepted(acceptReport{
		Result: answer.Result, Service: answer.Service, Version: answer.Version, Editor: answer.Editor, Changes: answer.Changes,
	}, "is accepted")
}

// readCredential returns the credential from the file, or from the environment
// variable if file is empty. No flag takes the credential itself, because other
// users of the machine can read the arguments of a process.
func readCredential(file string) (string, error) {
	credential := os.Getenv(CredentialVariable)
	if file != "" {
		body, err := readCredentialFile(file)
		if err != nil {
			return "", err
		}
		credential = string(body)
	}
	if credential = strings.TrimSpace(credential); credential == "" {
		return "", usageError("the credential is missing. Set the variable %s or use --credential-file", CredentialVariable)
	}
	if strings.ContainsAny(credential, "\r\n") {
		return "", usageError("the credential has more than one line")
	}
	return credential, nil
}

const maxCredentialBytes = 4096

func readCredentialFile(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, maxCredentialBytes))
}

func (a acceptRun) reportAccepted(report acceptReport, what string) error {
	report.Changes = append([]rpdocument.Change{}, report.Changes...)
	text := fmt.Sprintf("Version %d of service %s %s, by editor %s.\n%s",
		report.Version, report.Service, what, rpoperator.ShortEditor(report.Editor), changesText(report.Changes))
	return a.program.report(a.args.Output, report, text)
}

// handleError handles a failed submission. After a version conflict or an unknown
// outcome, it looks up which version is accepted now.
func (a acceptRun) handleError(ctx context.Context, err error) error {
	var refusal *rpoperator.Refusal
	if errors.As(err, &refusal) {
		switch refusal.Code {
		case rpoperator.CodeVersionConflict:
			return a.reportConflict(ctx, refusal)
		case rpoperator.CodeOutcomeUnknown:
			return a.reportUnknown(ctx, err)
		}
		return err
	}
	var unreachable *rpoperator.UnreachableError
	if errors.As(err, &unreachable) && !unreachable.NotSent {
		return a.reportUnknown(ctx, err)
	}
	return err
}

// reportConflict reports which version was accepted first, and what the submitted
// document would change in it. If the accepted version is the submitted document,
// an earlier attempt was accepted but its answer was lost, and the command
// succeeds.
func (a acceptRun) reportConflict(ctx context.Context, refusal *rpoperator.Refusal) error {
	current := refusal.Current
	if current != nil && a.matchesSubmission(*current) {
		return a.reportAccepted(acceptReport{
			Result: rpcore.SubmissionAccepted, Service: current.Service, Version: current.Version, Editor: current.Editor,
		}, "is this document and was accepted before")
	}
	report := acceptReport{Result: rpcore.SubmissionConflict, Service: a.doc.Service, Detail: refusal.Detail}
	accepted, version, err := fetchInForce(ctx, a.args.OperatorArgs, a.doc.Service)
	known := err == nil && accepted != nil && (current == nil || version == current.Version)
	if current != nil {
		report.Version, report.Editor = current.Version, current.Editor
	}
	text := refusal.Detail + "\n"
	if known {
		report.Version, report.Changes = version, rpdocument.Diff(accepted, a.doc)
		text += fmt.Sprintf("Your file would change version %d as follows:\n%s", version, changesText(report.Changes))
	} else {
		text += "The instance does not show the accepted version yet. Run document diff later.\n"
	}
	if err := a.program.report(a.args.Output, report, text); err != nil {
		return err
	}
	return &exitError{code: ExitConflict, err: errors.New("the document was not accepted: another version was accepted first")}
}

// matchesSubmission reports whether an accepted row has the version, content and
// editor that this command submitted.
func (a acceptRun) matchesSubmission(row rpcore.DocumentRow) bool {
	return row.Version == a.args.EditedVersion+1 && row.Hash == rpdocument.Hash(a.body) &&
		row.Editor == rpdocument.Hash([]byte(a.client.Credential))
}

// reportUnknown checks whether the document is in force by now. If it is not, the
// outcome stays unknown, because the document may still be accepted later.
func (a acceptRun) reportUnknown(ctx context.Context, cause error) error {
	answer, err := a.client.Document(ctx, a.doc.Service)
	if err == nil && a.matchesSubmission(answer.Document) {
		return a.reportAccepted(acceptReport{
			Result: rpcore.SubmissionAccepted, Service: a.doc.Service, Version: answer.Document.Version, Editor: answer.Document.Editor,
		}, "is this document and is accepted")
	}
	report := acceptReport{Result: rpcore.SubmissionUnknown, Service: a.doc.Service, Changes: []rpdocument.Change{}, Detail: cause.Error()}
	text := "It is not known whether the document was accepted. It may also be accepted later.\n" +
		"Run document list and look at the version. To try again with the same --edited-version is safe.\n"
	if err := a.program.report(a.args.Output, report, text); err != nil {
		return err
	}
	return &exitError{code: ExitUnknown, err: cause}
}
