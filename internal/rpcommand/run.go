package rpcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/internal/rpdemo"
	"github.com/rattanpaddle/rattanpaddle/internal/rpmessage"
	"github.com/rattanpaddle/rattanpaddle/internal/rpmetric"
	"github.com/rattanpaddle/rattanpaddle/internal/rpsettings"
)

// errNotBuilt means that the main program did not set the function of a command.
var errNotBuilt = errors.New("this build does not include the command")

func serve(ctx context.Context, p *Program, args *ServeArgs) error {
	settings, problems := rpsettings.Load(args.File)
	if len(problems) > 0 {
		return p.reportSettingsProblems(args.File, "text", problems)
	}
	if p.Serve == nil {
		return errNotBuilt
	}
	settings.Log.Levels.Levels = settings.LogLevels().Override(args.Levels)
	args.Settings = settings
	return p.Serve(ctx, *args)
}

func demo(ctx context.Context, p *Program, args *DemoArgs) error {
	if _, ok := rpdemo.ByName(args.Deployment); !ok {
		return usageError("%q is not a deployment. Write snoepschep or office", args.Deployment)
	}
	if p.Demo == nil {
		return errNotBuilt
	}
	return p.Demo(ctx, *args)
}

func standin(ctx context.Context, p *Program, args *StandinArgs) error {
	if !slices.Contains(StandinKinds, args.Kind) {
		return usageError("%q is not a kind of stand-in. Write one of: %s", args.Kind, strings.Join(StandinKinds, ", "))
	}
	if err := args.check(); err != nil {
		return err
	}
	if p.Standin == nil {
		return errNotBuilt
	}
	return p.Standin(ctx, *args)
}

func settingsCheck(_ context.Context, p *Program, args *settingsCheckArgs) error {
	_, problems := rpsettings.Load(args.File)
	return p.reportSettingsCheck(args, problems)
}

// reportSettingsCheck prints the problems of a settings file, or that it has none.
func (p *Program) reportSettingsCheck(args *settingsCheckArgs, problems []rpsettings.Problem) error {
	if len(problems) > 0 {
		return p.reportSettingsProblems(args.File, args.Output, problems)
	}
	return p.report(args.Output, checkReport{File: args.File, Problems: []any{}}, args.File+" has no problems.\n")
}

// checkReport is the output of "document check", "settings check" and "gateway
// check".
type checkReport struct {
	File     string `json:"file"`
	Problems any    `json:"problems"`
}

func (p *Program) reportSettingsProblems(file, output string, problems []rpsettings.Problem) error {
	var text strings.Builder
	for _, problem := range problems {
		fmt.Fprintln(&text, problem.Error())
	}
	if err := p.report(output, checkReport{File: file, Problems: problems}, text.String()); err != nil {
		return err
	}
	return problemsError{file: file, count: len(problems)}
}

func settingsExample(_ context.Context, p *Program, _ *noArgs) error {
	return p.print(rpsettings.Example())
}

func docsCommands(_ context.Context, p *Program, _ *noArgs) error {
	text, err := Docs()
	if err != nil {
		return err
	}
	return p.print(text)
}

func docsMetrics(_ context.Context, p *Program, _ *noArgs) error {
	return p.print(rpmetric.Docs())
}

func docsMessages(_ context.Context, p *Program, _ *noArgs) error {
	return p.print(rpmessage.Docs())
}

// Version is the version of the program. Release builds set it with the linker.
var Version = "development"

type versionReport struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func version(_ context.Context, p *Program, args *reportArgs) error {
	report := versionReport{Version: Version, Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				report.Revision = setting.Value
			}
		}
	}
	text := fmt.Sprintf("%s %s (%s)\n", programName, report.Version, report.Go)
	return p.report(args.Output, report, text)
}

func (p *Program) print(text string) error {
	_, err := io.WriteString(p.Stdout, text)
	return err
}
