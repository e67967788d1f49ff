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

// components contains the parts of the instance that are started and stopped.
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

	// failed receives the error of a listener that failed.
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
	c := &components{
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
	lc.Append(fx.Hook{OnStart: c.onStart, OnStop: c.onStop})
	return c
}

// onStart opens the listeners first. If an address is in use, the start fails before
// another instance learns of this one.
func (c *components) onStart(ctx context.Context) error {
	callers, err := listen(ctx, c.settings.Listen.Callers.AddrPort)
	if err != nil {
		return trace.Wrap(err, "listen.callers")
	}
	operators, err := listen(ctx, c.settings.Listen.Operators.AddrPort)
	if err != nil {
		_ = callers.Close()
		return trace.Wrap(err, "listen.operators")
	}
	if err := c.links.Start(); err != nil {
		_ = callers.Close()
		_ = operators.Close()
		return trace.Wrap(err, "listen.peers")
	}
	c.runNode()
	c.runList()
	c.serveInBackground(func() error { return c.callers.Serve(callers) })
	operatorCtx, stop := context.WithCancel(context.Background())
	c.stopOperator = stop
	c.serveInBackground(func() error { return c.operator.Serve(operatorCtx, operators) })
	c.log.Info().
		Str("instance", string(c.start.Self.Instance)).
		Str("incarnation", string(c.start.Self.Incarnation)).
		Str("callers", callers.Addr().String()).
		Str("operators", operators.Addr().String()).
		Msg("The instance listens.")
	return nil
}

func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address.String())
}

func (c *components) runNode() {
	ctx, cancel := context.WithCancel(context.Background())
	c.stopNode = cancel
	c.running.Go(func() { _ = c.node.Run(ctx, c.start) })
}

func (c *components) runList() {
	ctx, cancel := context.WithCancel(context.Background())
	c.stopList = cancel
	c.running.Go(func() {
		defer close(c.listDone)
		c.list.Run(ctx)
	})
}

// serveInBackground runs a server in a goroutine and sends its error to failed.
func (c *components) serveInBackground(serve func() error) {
	c.running.Go(func() {
		err := serve()
		if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
			return
		}
		select {
		case c.failed <- err:
		default:
		}
	})
}

// onStop performs a planned stop. The order matters: the balancer and the other
// instances must stop sending requests before new requests are refused, and the event
// loop must run until the last request has its response.
func (c *components) onStop(ctx context.Context) error {
	c.log.Info().Msg("The planned stop begins.")
	c.reportReady(rpcore.ReportReady{Reason: "draining"})
	c.list.Leave()
	c.sleep(ctx, duration(c.settings.Drain.Grace))
	c.node.Post(rpcore.DrainRequested{Stamp: rpcore.Stamp{At: time.Now()}})
	select {
	case <-c.drained:
	case <-ctx.Done():
	}
	errs := []error{c.callers.Shutdown(ctx)}
	c.endpoints.Close()
	c.stopList()
	<-c.listDone
	errs = append(errs, c.list.Deregister(ctx), c.table.Close(ctx), c.objects.Close(ctx))
	c.closeLinks(ctx)
	c.stopOperator()
	c.stopNode()
	c.running.Wait()
	err := trace.NewAggregate(errs...)
	c.log.Info().Err(err).Msg("The planned stop is complete.")
	return err
}

// closeLinks waits briefly for the last messages to be sent. The other instances may
// have stopped too, so an error is not an error of the stop.
func (c *components) closeLinks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, linkCloseTimeout)
	defer cancel()
	_ = c.links.Close(ctx)
}

func (c *components) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *components) reportReady(readiness rpcore.ReportReady) {
	c.observer.setReady(readiness)
	c.callers.ReportReady(readiness)
}

func (c *components) reportDrained(rpcore.ReportDrained) {
	c.drainOnce.Do(func() { close(c.drained) })
}

// connectHandlers sets the effect handlers of the event loop.
func connectHandlers(c *components, log rplog.Log) {
	c.node.Handlers = rpnode.Handlers{
		StartAttempt:     c.callers.StartAttempt,
		CancelAttempt:    c.callers.CancelAttempt,
		RefuseRequest:    c.callers.RefuseRequest,
		ReplayOutcome:    c.callers.ReplayOutcome,
		ReportReady:      c.reportReady,
		PollEngine:       c.endpoints.PollEngine,
		SendOrder:        c.endpoints.SendOrder,
		ReadTable:        c.table.ReadTable,
		WriteTable:       c.table.WriteTable,
		LoadDocument:     c.objects.LoadDocument,
		StoreDocument:    c.objects.StoreDocument,
		AnswerSubmission: c.operator.AnswerSubmission,
		SendPeer:         c.links.SendPeer,
		ReportDrained:    c.reportDrained,
		Note:             noteLogger(log),
	}
}

// noteLogger returns a function that logs the notes of the reducer, each with the
// logger of its part.
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
