package rpcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// leaveTimeout is the timeout of the request that removes a stopped stand-in from
// the instance list.
const leaveTimeout = 5 * time.Second

func (a *StandinArgs) check() error {
	isEndpoint := a.Kind == "engine" || a.Kind == "service"
	if isEndpoint && a.List.IsValid() && (a.ID == "" || a.Service == "" || a.FailureDomain == "") {
		return usageError("with --list, --id, --service and --failure-domain are required")
	}
	return nil
}

// RunStandin runs a stand-in until the context ends. The main program uses it for
// Standin.
func (p *Program) RunStandin(ctx context.Context, args StandinArgs) error {
	log := rplog.New(p.Stderr, rplog.FormatConsole, args.Levels).Part("standin")
	log.Info().Str("kind", args.Kind).Stringer("address", args.Listen).Msg("The stand-in starts.")
	switch args.Kind {
	case "table":
		return trace.Wrap((&rpstandin.Table{}).Run(ctx, args.Listen))
	case "objects":
		return trace.Wrap((&rpstandin.Objects{}).Run(ctx, args.Listen))
	case "list":
		return trace.Wrap((&rpstandin.List{Lag: args.Lag}).Run(ctx, args.Listen))
	case "weights":
		weights := rpstandin.NewWeights(rpstandin.WeightsConfig{
			LoadsPerSecond: args.LoadsPerSecond,
			FullSpeed:      args.LoadsAtOnce,
			LoadTime:       args.LoadTime,
		})
		return runListener(ctx, args.Listen, weights.Run)
	case "engine":
		return args.runEngine(ctx)
	default:
		service := rpstandin.NewService(rpstandin.ServiceConfig{Delay: args.Delay})
		return args.runMember(ctx, rpcore.MemberService, service.Run)
	}
}

type runFunc func(ctx context.Context, listener net.Listener) error

func runListener(ctx context.Context, address netip.AddrPort, run runFunc) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(run(ctx, listener))
}

func (a *StandinArgs) runEngine(ctx context.Context) error {
	incarnation := rpcore.Incarnation(uuid.NewString())
	cfg := rpstandin.EngineConfig{
		ID:             rpcore.EndpointID(a.ID),
		Incarnation:    incarnation,
		Memory:         a.Memory,
		EnforceFencing: !a.IgnoreFencing,
		TokenTime:      a.TokenTime,
		LoadTime: map[rpcore.CheckpointPlace]time.Duration{
			rpcore.PlaceMemory: a.MemoryLoadTime,
			rpcore.PlaceDisk:   a.DiskLoadTime,
			rpcore.PlaceRemote: a.MemoryLoadTime,
		},
		AdapterTime: 10 * time.Millisecond,
		ReportLag:   a.Lag,
	}
	if a.Weights.IsValid() {
		cfg.Weights = "http://" + a.Weights.String()
	}
	return a.registerAndRun(ctx, rpcore.MemberEngine, incarnation, rpstandin.NewEngine(cfg).Run)
}

func (a *StandinArgs) runMember(ctx context.Context, kind rpcore.MemberKind, run runFunc) error {
	return a.registerAndRun(ctx, kind, rpcore.Incarnation(uuid.NewString()), run)
}

// registerAndRun registers the stand-in in the instance list, as the platform does
// for real endpoints, and runs it. It removes the entry when the stand-in stops; the
// entry of a killed process stays. Without --list it only runs the stand-in.
func (a *StandinArgs) registerAndRun(ctx context.Context, kind rpcore.MemberKind, incarnation rpcore.Incarnation, run runFunc) error {
	if !a.List.IsValid() {
		return runListener(ctx, a.Listen, run)
	}
	member := rpcore.Member{
		ID:              a.ID,
		Kind:            kind,
		Service:         a.Service,
		FailureDomain:   rpcore.FailureDomain(a.FailureDomain),
		Incarnation:     incarnation,
		Address:         a.Listen,
		EnforcesFencing: kind == rpcore.MemberEngine && !a.IgnoreFencing,
	}
	if kind == rpcore.MemberEngine {
		member.Memory = a.Memory
		member.Accelerators = 1
	}
	if err := a.updateInstanceList(ctx, http.MethodPut, member); err != nil {
		return err
	}
	err := runListener(ctx, a.Listen, run)
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	return trace.NewAggregate(err, a.updateInstanceList(leaveCtx, http.MethodDelete, member))
}

func (a *StandinArgs) updateInstanceList(ctx context.Context, method string, member rpcore.Member) error {
	body, err := json.Marshal(member)
	if err != nil {
		return trace.Wrap(err)
	}
	address := fmt.Sprintf("http://%s/v1/members/%s?incarnation=%s", a.List, url.PathEscape(member.ID), url.QueryEscape(string(member.Incarnation)))
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return trace.Errorf("the instance list answered %s", response.Status)
	}
	return nil
}
