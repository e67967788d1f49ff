package rpcommand

import (
	"context"
	"fmt"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

type documentHistoryArgs struct {
	OutputArgs
	OperatorArgs
	CredentialFile string `arg:"--credential-file" placeholder:"FILE" help:"file with the credential of an editor; without it, the variable RATTANPADDLE_CREDENTIAL"`
	Service        string `arg:"positional,required" placeholder:"SERVICE" help:"the name of the service"`
	Old            uint64 `arg:"positional" placeholder:"OLD" help:"the version to compare from"`
	New            uint64 `arg:"positional" placeholder:"NEW" help:"the version to compare to"`
}

func (a *documentHistoryArgs) check() error {
	switch {
	case !rpdocument.ValidName(a.Service):
		return usageError("%q is not a name of a service", a.Service)
	case a.Old > 0 && a.New == 0:
		return usageError("write two versions to compare, or none")
	}
	return nil
}

// historyReport is the output of "document history".
type historyReport struct {
	Service string `json:"service"`
	// Versions is sorted from the newest to the oldest.
	Versions []rpcore.AcceptedVersion `json:"versions"`
	// Old and New are the compared versions, or 0 if none are compared. Changes
	// is null if the body of one of them could not be read.
	Old     uint64              `json:"old_version,omitempty"`
	New     uint64              `json:"new_version,omitempty"`
	Changes []rpdocument.Change `json:"changes"`
}

func documentHistory(ctx context.Context, p *Program, args *documentHistoryArgs) error {
	client, err := args.client()
	if err != nil {
		return err
	}
	if err := args.check(); err != nil {
		return err
	}
	if client.Credential, err = readCredential(args.CredentialFile); err != nil {
		return err
	}
	history, err := client.History(ctx, args.Service)
	if err != nil {
		return err
	}
	report := historyReport{Service: args.Service, Versions: history.Versions, Old: args.Old, New: args.New}
	text := historyText(&report)
	if args.New > 0 {
		report.Changes, err = compareVersions(ctx, client, args)
	}
	if report.Changes != nil {
		text += fmt.Sprintf("\nChanges from version %d to version %d:\n%s", args.Old, args.New, changesText(report.Changes))
	}
	// The list of versions is printed even if the comparison failed.
	if printErr := p.report(args.Output, report, text); printErr != nil {
		return printErr
	}
	return err
}

func compareVersions(ctx context.Context, client *rpoperator.Client, args *documentHistoryArgs) ([]rpdocument.Change, error) {
	var documents [2]*rpdocument.Document
	for i, version := range []uint64{args.Old, args.New} {
		answer, err := client.Version(ctx, args.Service, version)
		if err != nil {
			return nil, err
		}
		if documents[i], err = parseVersion(version, answer.Body); err != nil {
			return nil, err
		}
	}
	return append([]rpdocument.Change{}, rpdocument.Diff(documents[0], documents[1])...), nil
}

func historyText(r *historyReport) string {
	var text strings.Builder
	fmt.Fprintf(&text, "Versions of service %s that are known: %d. The first one is accepted now.\n\n", r.Service, len(r.Versions))
	fmt.Fprintf(&text, "%8s  %-20s  %-12s  %s\n", "VERSION", "ACCEPTED AT", "EDITOR", "CONTENT HASH (SHA-256)")
	for _, v := range r.Versions {
		fmt.Fprintf(&text, "%8d  %-20s  %-12s  %s\n", v.Version, formatTime(v.AcceptedAt), rpoperator.ShortEditor(v.Editor), v.Hash)
	}
	if n := len(r.Versions); n > 0 && r.Versions[n-1].Version > 1 {
		fmt.Fprintf(&text, "The table does not name the versions before %d any more.\n", r.Versions[n-1].Version)
	}
	return text.String()
}
