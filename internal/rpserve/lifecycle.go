package rpserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/internal/rpfront"
	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpnode"
	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/internal/rppeer"
	"github.com/rattanpaddle/rattanpaddle/internal/rpplatform"
	"github.com/rattanpaddle/rattanpaddle/internal/rpsettings"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	queryTimeout     = 2 * time.Second
	linkCloseTimeout = 500 * time.Millisecond
)

func duration(d rpsettings.Duration) time.Duration { return time.Duration(d) }

// components holds everything that is started and stopped.
type components struct {
	settings  *rpsettings.Settings
	start     rpcore.Start
	log       zerolog.Logger
	node      *rpnode.Node
	observer  *observer
	callers   *rpfront.Server
	endpoints *rpendpoint.Client
	table     *rpplatform.Table
	objects   *rpplatform.Objects
	list      *rpplatform.List
	links     *rppeer.Links
	operator  *rpoperator.Server

	// failed gets the error of a listener that ends by itself.
	failed    chan error
	drained   chan struct{}
	drainOnce sync.Once

	stopNode     context.CancelFunc
	stopList     context.CancelFunc
	stopOperator context.CancelFunc
	running      sync.WaitGroup
	listDone     chan struct{}
}

type componentsIn struct {
	fx.In

	Settings  *rpsettings.Settings
	Start     rpcore.Start
	Log       rplog.Log
	Node      *rpnode.Node
	Observer  *observer
	Callers   *rpfront.Server
	Endpoints *rpendpoint.Client
	Table     *rpplatform.Table
	Objects   *rpplatform.Objects
	List      *rpplatform.List
	Links     *rppeer.Links
	Operator  *rpoperator.Server
}

func newComponents(lc fx.Lifecycle, in componentsIn) *components {
	p := &components{
		settings:  in.Settings,
		start:     in.Start,
		log:       in.Log.Part("node"),
		node:      in.Node,
		observer:  in.Observer,
		callers:   in.Callers,
		endpoints: in.Endpoints,
		table:     in.Table,
		objects:   in.Objects,
		list:      in.List,
		links:     in.Links,
		operator:  in.Operator,
		failed:    make(chan error, 1),
		drained:   make(chan struct{}),
		listDone:  make(chan struct{}),
	}
	lc.Append(fx.Hook{OnStart: p.onStart, OnStop: p.onStop})
	return p
}

// onStart opens the listeners first, so that an address in use ends the start
// before any other instance has heard of this one.
func (p *components) onStart(ctx context.Context) error {
	callers, err := listen(ctx, p.settings.Listen.Callers.AddrPort)
	if err != nil {
		return trace.Wrap(err, "listen.callers")
	}
	operators, err := listen(ctx, p.settings.Listen.Operators.AddrPort)
	if err != nil {
		_ = callers.Close()
		return trace.Wrap(err, "listen.operators")
	}
	if err := p.links.Start(); err != nil {
		_ = callers.Close()
		_ = operators.Close()
		return trace.Wrap(err, "listen.peers")
	}
	p.runNode()
	p.runList()
	p.serveInBackground(func() error { return p.callers.Serve(callers) })
	operatorCtx, stop := context.WithCancel(context.Background())
	p.stopOperator = stop
	p.serveInBackground(func() error { return p.operator.Serve(operatorCtx, operators) })
	p.log.Info().
		Str("instance", string(p.start.Self.Instance)).
		Str("incarnation", string(p.start.Self.Incarnation)).
		Str("callers", callers.Addr().String()).
		Str("operators", operators.Addr().String()).
		Msg("The instance listens.")
	return nil
}

func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address.String())
}

func (p *components) runNode() {
	ctx, cancel := context.WithCancel(context.Background())
	p.stopNode = cancel
	p.running.Go(func() { _ = p.node.Run(ctx, p.start) })
}

func (p *components) runList() {
	ctx, cancel := context.WithCancel(context.Background())
	p.stopList = cancel
	p.running.Go(func() {
		defer close(p.listDone)
		p.list.Run(ctx)
	})
}

// run serves a listener and reports its failure.
func (p *components) serveInBackground(serve func() error) {
	p.running.Go(func() {
		err := serve()
		if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
			return
		}
		select {
		case p.failed <- err:
		default:
		}
	})
}

// onStop carries out a planned stop. The order matters: the balancer and the
// other instances stop sending work before new work is refused, and the event
// loop runs until the last request has its answer.
func (p *components) onStop(ctx context.Context) error {
	p.log.Info().Msg("The planned stop begins.")
	p.reportReady(rpcore.ReportReady{Reason: "draining"})
	p.list.Leave()
	p.sleep(ctx, duration(p.settings.Drain.Grace))
	p.node.Post(rpcore.DrainRequested{Stamp: rpcore.Stamp{At: time.Now()}})
	select {
	case <-p.drained:
	case <-ctx.Done():
	}
	errs := []error{p.callers.Shutdown(ctx)}
	p.endpoints.Close()
	p.stopList()
	<-p.listDone
	errs = append(errs, p.list.Deregister(ctx), p.table.Close(ctx), p.objects.Close(ctx))
	p.closeLinks(ctx)
	p.stopOperator()
	p.stopNode()
	p.running.Wait()
	err := trace.NewAggregate(errs...)
	p.log.Info().Err(err).Msg("The planned stop is complete.")
	return err
}

// closeLinks gives the last messages a moment. Their receivers may be gone
// too, so what can't be sent is no failure of the stop.
func (p *components) closeLinks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, linkCloseTimeout)
	defer cancel()
	_ = p.links.Close(ctx)
}

func (p *components) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (p *components) reportReady(readiness rpcore.ReportReady) {
	p.observer.setReady(readiness)
	p.callers.ReportReady(readiness)
}

func (p *components) reportDrained(rpcore.ReportDrained) {
	p.drainOnce.Do(func() { close(p.drained) })
}

// connectHandlers hands the functions of the edges to the event loop.
func connectHandlers(p *components, log rplog.Log) {
	p.node.Handlers = rpnode.Handlers{
		StartAttempt:     p.callers.StartAttempt,
		CancelAttempt:    p.callers.CancelAttempt,
		RefuseRequest:    p.callers.RefuseRequest,
		ReplayOutcome:    p.callers.ReplayOutcome,
		ReportReady:      p.reportReady,
		PollEngine:       p.endpoints.PollEngine,
		SendOrder:        p.endpoints.SendOrder,
		ReadTable:        p.table.ReadTable,
		WriteTable:       p.table.WriteTable,
		LoadDocument:     p.objects.LoadDocument,
		StoreDocument:    p.objects.StoreDocument,
		AnswerSubmission: p.operator.AnswerSubmission,
		SendPeer:         p.links.SendPeer,
		ReportDrained:    p.reportDrained,
		Note:             noteLogger(log),
	}
}

// noteLogger writes the notes of the reducer, each to the log of its part.
func noteLogger(log rplog.Log) func(rpcore.Note) {
	loggers := make(map[string]zerolog.Logger)
	return func(note rpcore.Note) {
		logger, ok := loggers[note.Part]
		if !ok {
			logger = log.Part(note.Part)
			loggers[note.Part] = logger
		}
		entry := logger.Info()
		if note.Request != "" {
			entry = entry.Str("request_id", string(note.Request))
		}
		if note.Model != (rpcore.ModelKey{}) {
			entry = entry.Stringer("model", note.Model)
		}
		if note.Endpoint != "" {
			entry = entry.Str("endpoint", string(note.Endpoint))
		}
		entry.Msg(note.Text)
	}
}
