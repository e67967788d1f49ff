package rpcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/rattanpaddle/rattanpaddle/internal/rpconfigcheck"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

type configCheckArgs struct {
	OutputArgs
	File      string   `arg:"positional,required" placeholder:"FILE" help:"the configuration"`
	Against   string   `arg:"--against" placeholder:"FILE" help:"the configuration in force; print what changes for callers"`
	Endpoints []string `arg:"--endpoints,separate" placeholder:"SERVICE=N" help:"number of endpoints of a service; may be given more than once"`
}

// configReport is the output of "config check".
type configReport struct {
	File     string                 `json:"file"`
	Problems []rpdocument.Problem   `json:"problems"`
	Against  string                 `json:"against,omitempty"`
	Changes  []rpconfigcheck.Change `json:"changes,omitempty"`
}

func configCheck(_ context.Context, p *Program, args *configCheckArgs) error {
	endpoints, err := parseEndpoints(args.Endpoints)
	if err != nil {
		return err
	}
	file, err := readConfigFile(args.File)
	if err != nil {
		return err
	}
	report := configReport{File: args.File, Against: args.Against, Problems: append([]rpdocument.Problem{}, rpconfigcheck.Check(file, endpoints)...)}
	if args.Against != "" {
		inForce, err := readConfigFile(args.Against)
		if err != nil {
			return err
		}
		report.Problems = append(report.Problems, rpconfigcheck.CheckVersion(inForce, file)...)
		report.Changes = rpconfigcheck.Diff(inForce, file)
	}
	if err := p.report(args.Output, report, report.text()); err != nil {
		return err
	}
	if n := len(report.Problems); n > 0 {
		return &exitError{code: ExitFailed, message: "config_findings", err: fmt.Errorf("%s has findings. Number of findings: %d", args.File, n)}
	}
	return nil
}

// parseEndpoints parses the numbers of endpoints of services.
func parseEndpoints(values []string) (rpconfigcheck.Endpoints, error) {
	endpoints := rpconfigcheck.Endpoints{}
	for _, value := range values {
		service, number, _ := strings.Cut(value, "=")
		n, err := strconv.Atoi(number)
		if err != nil || n < 0 || service == "" {
			return nil, usageError("--endpoints: %q is not a service and a number. Write, for example, orders=3", value)
		}
		endpoints[service] = n
	}
	return endpoints, nil
}

// readConfigFile reads a configuration file. All its errors have the exit code
// ExitUsage.
func readConfigFile(name string) (*rpwire.ConfigFile, error) {
	unreadable := func(err error) error {
		return &exitError{code: ExitUsage, message: "config_unreadable", err: fmt.Errorf("%s can't be read: %w", name, err)}
	}
	reader, err := os.Open(name)
	if err != nil {
		return nil, unreadable(trace.ConvertSystemError(err))
	}
	defer func() { _ = reader.Close() }()
	data, err := io.ReadAll(io.LimitReader(reader, rpwire.MaxConfigBytes+1))
	if err != nil {
		return nil, unreadable(trace.ConvertSystemError(err))
	}
	file, err := rpwire.ReadConfigFile(data)
	if err != nil {
		return nil, unreadable(err)
	}
	return file, nil
}

// groupTitles are the titles of the groups of changes.
var groupTitles = map[rpconfigcheck.Group]string{
	rpconfigcheck.GroupRoutes: "Routes", rpconfigcheck.GroupAccounts: "Accounts", rpconfigcheck.GroupLoweredQuotas: "Lowered quotas",
	rpconfigcheck.GroupRemovedKeys: "Removed keys", rpconfigcheck.GroupServices: "Services",
}

func (r *configReport) text() string {
	var text strings.Builder
	for _, problem := range r.Problems {
		fmt.Fprintf(&text, "%s: %s\n", r.File, problem.Error())
	}
	if len(r.Problems) == 0 {
		fmt.Fprintf(&text, "%s has no findings.\n", r.File)
	}
	switch {
	case r.Against == "":
		return text.String()
	case len(r.Changes) == 0:
		fmt.Fprintf(&text, "Nothing changes for callers against %s.\n", r.Against)
		return text.String()
	}
	fmt.Fprintf(&text, "Changes against %s:\n", r.Against)
	group := rpconfigcheck.Group("")
	for _, change := range r.Changes {
		if change.Group != group {
			group = change.Group
			fmt.Fprintf(&text, "%s:\n", groupTitles[group])
		}
		fmt.Fprintf(&text, "  %s\n", change.Text)
	}
	return text.String()
}
