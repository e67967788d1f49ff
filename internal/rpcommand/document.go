package rpcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

func documentExample(_ context.Context, p *Program, _ *noArgs) error {
	return p.print(rpdocument.Example())
}

func documentCheck(_ context.Context, p *Program, args *documentCheckArgs) error {
	_, _, problems, err := readDocument(args.File)
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return p.reportDocumentProblems(args.File, args.Output, problems)
	}
	return p.report(args.Output, checkReport{File: args.File, Problems: []any{}}, args.File+" has no problems.\n")
}

func (p *Program) reportDocumentProblems(file, output string, problems []rpdocument.Problem) error {
	var text strings.Builder
	for _, problem := range problems {
		fmt.Fprintf(&text, "%s: %s\n", file, problem.Error())
	}
	if err := p.report(output, checkReport{File: file, Problems: problems}, text.String()); err != nil {
		return err
	}
	return problemsError{file: file, count: len(problems)}
}

// readDocument reads and parses a document file. It returns the document, its
// text and the problems found.
func readDocument(name string) (*rpdocument.Document, []byte, []rpdocument.Problem, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, nil, nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = file.Close() }()
	body, err := io.ReadAll(io.LimitReader(file, rpdocument.MaxBodyBytes+1))
	if err != nil {
		return nil, nil, nil, trace.ConvertSystemError(err)
	}
	doc, problems := rpdocument.Parse(body)
	return doc, body, problems, nil
}

// readValidDocument reads a document file. It prints the problems of the document
// and returns an error if there are any.
func (p *Program) readValidDocument(name, output string) (*rpdocument.Document, []byte, error) {
	doc, body, problems, err := readDocument(name)
	if err == nil && len(problems) > 0 {
		err = p.reportDocumentProblems(name, output, problems)
	}
	return doc, body, err
}

func (a OperatorArgs) client() (*rpoperator.Client, error) {
	if !a.Operator.IsValid() {
		return nil, usageError("--operator is missing. Write the operators' address of an instance, such as 127.0.0.1:8081")
	}
	return &rpoperator.Client{Address: a.Operator}, nil
}

type diffReport struct {
	// OldVersion is the version of the old document if that is the document in
	// force, else 0.
	OldVersion uint64              `json:"old_version,omitempty"`
	Changes    []rpdocument.Change `json:"changes"`
}

func documentDiff(ctx context.Context, p *Program, args *documentDiffArgs) error {
	var report diffReport
	var old, doc *rpdocument.Document
	var err error
	if args.New == "" {
		if doc, _, err = p.readValidDocument(args.Old, args.Output); err != nil {
			return err
		}
		old, report.OldVersion, err = fetchInForce(ctx, args.OperatorArgs, doc.Service)
	} else {
		if old, _, err = p.readValidDocument(args.Old, args.Output); err != nil {
			return err
		}
		doc, _, err = p.readValidDocument(args.New, args.Output)
	}
	if err != nil {
		return err
	}
	report.Changes = append([]rpdocument.Change{}, rpdocument.Diff(old, doc)...)
	text := changesText(report.Changes)
	if report.OldVersion > 0 {
		text = fmt.Sprintf("Changes to version %d:\n%s", report.OldVersion, text)
	}
	return p.report(args.Output, report, text)
}

// fetchInForce asks an instance for the document in force of a service and its
// version. It returns nil and 0 if the service has no document.
func fetchInForce(ctx context.Context, operator OperatorArgs, service string) (*rpdocument.Document, uint64, error) {
	client, err := operator.client()
	if err != nil {
		return nil, 0, err
	}
	answer, err := client.Document(ctx, service)
	var refusal *rpoperator.Refusal
	if errors.As(err, &refusal) && refusal.Code == rpoperator.CodeUnknownService {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	doc, err := parseVersion(answer.Document.Version, answer.Body)
	return doc, answer.Document.Version, err
}

// parseVersion parses the text of an accepted version. It fails if a newer
// release of the program accepted a document that this one can't read.
func parseVersion(version uint64, body string) (*rpdocument.Document, error) {
	doc, problems := rpdocument.Parse([]byte(body))
	if len(problems) > 0 {
		return nil, fmt.Errorf("this program can't read version %d: %w", version, problems[0])
	}
	return doc, nil
}

func changesText(changes []rpdocument.Change) string {
	if len(changes) == 0 {
		return "The documents say the same.\n"
	}
	var text strings.Builder
	for _, change := range changes {
		fmt.Fprintln(&text, change.Text)
		if change.Warning != "" {
			fmt.Fprintf(&text, "  Warning: %s\n", change.Warning)
		}
	}
	return text.String()
}

func documentShow(ctx context.Context, p *Program, args *documentShowArgs) error {
	client, err := args.client()
	if err != nil {
		return err
	}
	if !rpdocument.ValidName(args.Service) {
		return usageError("%q is not a name of a service", args.Service)
	}
	answer, err := client.Document(ctx, args.Service)
	if err != nil {
		return err
	}
	head := fmt.Sprintf("# Version %d, accepted at %s by editor %s.\n", answer.Document.Version,
		formatTime(answer.Document.AcceptedAt), rpoperator.ShortEditor(answer.Document.Editor))
	return p.report(args.Output, answer, head+answer.Body)
}

func documentList(ctx context.Context, p *Program, args *operatorReportArgs) error {
	client, err := args.client()
	if err != nil {
		return err
	}
	list, err := client.List(ctx)
	if err != nil {
		return err
	}
	return p.report(args.Output, list, listText(list.Documents))
}

func listText(rows []rpcore.DocumentRow) string {
	if len(rows) == 0 {
		return "No document is in force.\n"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%-24s %8s  %-20s  %s\n", "SERVICE", "VERSION", "ACCEPTED AT", "EDITOR")
	for _, row := range rows {
		fmt.Fprintf(&text, "%-24s %8d  %-20s  %s\n", row.Service, row.Version, formatTime(row.AcceptedAt), rpoperator.ShortEditor(row.Editor))
	}
	return text.String()
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
