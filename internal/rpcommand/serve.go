package rpcommand

import (
	"context"
	"fmt"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/internal/rpdemo"
	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpserve"
)

// RunServe runs an instance until the context ends, then performs a planned stop.
// The main program uses it for Serve.
func (p *Program) RunServe(ctx context.Context, args ServeArgs) error {
	format := rplog.Format(args.Settings.Log.Format)
	log := rplog.New(p.Stderr, format, args.Settings.LogLevels())
	return rpserve.Instance{Settings: args.Settings, Log: log}.Run(ctx)
}

// RunDemo runs the embedded default deployment and prints its report. It fails if
// a check of the demo failed. The main program uses it for Demo.
func (p *Program) RunDemo(ctx context.Context, args DemoArgs) error {
	deployment, _ := rpdemo.ByName(args.Deployment)
	demo := rpdemo.Demo{Deployment: deployment, Out: p.Stdout, Keep: args.Keep}
	if args.Output == "json" {
		demo.Out = p.Stderr
	}
	if args.Log != "" {
		demo.Log = rplog.New(p.Stderr, rplog.FormatConsole, args.Levels)
	}
	report, err := demo.Run(ctx)
	if err != nil {
		return err
	}
	var text strings.Builder
	if err := report.WriteText(&text); err != nil {
		return err
	}
	if err := p.report(args.Output, report, text.String()); err != nil {
		return err
	}
	if !report.Passed() {
		return fmt.Errorf("a check of the demo failed")
	}
	return nil
}
