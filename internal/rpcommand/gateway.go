package rpcommand

import (
	"context"
	"runtime/debug"

	"github.com/rattanpaddle/rattanpaddle/internal/rpgateway"
	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpmetric"
)

// GatewayArgs are the arguments of gateway.
type GatewayArgs struct {
	LogArgs
	File string `arg:"positional,required" placeholder:"SETTINGS" help:"the settings file of the gateway"`
	// Settings are the checked contents of File, with the levels of --log
	// applied.
	Settings *rpgateway.Settings `arg:"-"`
}

func gateway(ctx context.Context, p *Program, args *GatewayArgs) error {
	settings, problems := rpgateway.LoadSettings(args.File)
	if len(problems) > 0 {
		return p.reportSettingsProblems(args.File, "text", problems)
	}
	if p.Gateway == nil {
		return errNotBuilt
	}
	settings.Log.Levels.Levels = settings.Log.Levels.Override(args.Levels)
	args.Settings = settings
	return p.Gateway(ctx, *args)
}

func gatewayCheck(_ context.Context, p *Program, args *settingsCheckArgs) error {
	_, problems := rpgateway.LoadSettings(args.File)
	return p.reportSettingsCheck(args, problems)
}

// RunGateway runs an instance on the users' platform until the context ends, then
// performs a planned stop. The main program uses it for Gateway.
func (p *Program) RunGateway(ctx context.Context, args GatewayArgs) error {
	// GOMEMLIMIT may be lower.
	debug.SetMemoryLimit(min(debug.SetMemoryLimit(-1), args.Settings.Limits.Callers().RuntimeBytes()))
	metrics := rpmetric.New()
	log, closeLog := rplog.NewNonBlocking(p.Stdout, rplog.Format(args.Settings.Log.Format), args.Settings.Log.Levels.Levels, metrics.LogDropped)
	log.RedirectStandard("endpoint")
	err := rpgateway.Instance{File: args.File, Settings: args.Settings, Log: log, Metrics: metrics}.Run(ctx)
	if closeErr := closeLog(); err == nil {
		err = closeErr
	}
	return err
}
