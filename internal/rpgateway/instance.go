package rpgateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpmetric"
	"github.com/rattanpaddle/rattanpaddle/internal/rpsettings"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

const (
	startTimeout = 10 * time.Second
	// stopMargin is the part of the drain timeout that is left for the end of
	// the process.
	stopMargin = 500 * time.Millisecond
	// queueMargin is the part in which what still waits is refused.
	queueMargin = 1500 * time.Millisecond
	// endpointsWait is how long a call to the store waits for changes of the
	// list of endpoints, which changes all the time.
	endpointsWait = time.Second
	// listSnapshotAfter is the time after which the list is read in full. Its
	// changes since would be more, and the first of them long out of date:
	// each endpoint writes about once a second.
	listSnapshotAfter = 3 * time.Second
	// settingsCheck is the time between two looks at the settings file.
	settingsCheck = 2 * time.Second
)

// endpointLimits are shorter than the defaults: failure domains of one region
// are a few milliseconds apart, and a request that meets a cut link goes to
// another endpoint within its target.
var endpointLimits = rpendpoint.Limits{
	DialTimeout:    300 * time.Millisecond,
	SilenceTimeout: 1500 * time.Millisecond,
}

// Instance is one entry instance on the platform.
type Instance struct {
	// File is read again when the settings change.
	File     string
	Settings *Settings
	Log      rplog.Log
	Metrics  *rpmetric.Metrics
	// Seed of the reducer's random numbers; 0 draws one.
	Seed uint64
}

// Run starts the instance, waits for the context to end and stops it as
// planned.
func (i Instance) Run(ctx context.Context) error {
	var p *parts
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(time.Duration(i.Settings.Drain.Timeout)+startTimeout),
		fx.Supply(i),
		fx.Provide(newParts),
		fx.Populate(&p),
	)
	if err := app.Err(); err != nil {
		return trace.Wrap(err, "building the instance")
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return trace.Wrap(err, "starting the instance")
	}
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-p.failed:
		p.log.Error().Err(failure).Msg("A listener failed. The instance stops.")
	}
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(i.Settings.Drain.Timeout)+startTimeout)
	defer cancelStop()
	return trace.NewAggregate(failure, app.Stop(stopCtx))
}

// parts holds everything that is started and stopped.
type parts struct {
	instance Instance
	settings *Settings
	log      zerolog.Logger
	observer *observer
	clock    *clock
	loop     *loop
	callers  *callers
	orders   *orders
	peers    *peers
	leases   *leases
	posts    *posts
	store    *rpwire.Store
	forward  *rpendpoint.Forwarder
	// rereadConfig asks for a reading of the configuration.
	rereadConfig chan struct{}
	// ready is what the balancer is told.
	ready atomic.Bool
	// policy is the one in force; only the start and watchSettings use it.
	policy rpfleet.Policy

	failed  chan error
	stop    context.CancelFunc
	running sync.WaitGroup
	servers []*http.Server
}

func newParts(lc fx.Lifecycle, i Instance) *parts {
	p := &parts{
		instance: i, settings: i.Settings, log: i.Log.Part("node"),
		observer: newObserver(i.Log, i.Metrics),
		clock:    &clock{Suspended: suspendedTime},
		failed:   make(chan error, 1),

		rereadConfig: make(chan struct{}, 1),
	}
	p.loop = &loop{clock: p.clock, Edge: p.carryOut}
	p.forward = &rpendpoint.Forwarder{Limits: endpointLimits, Prepare: rpwire.SetAttempt, Head: rpwire.ReadAnswer}
	client := &http.Client{Transport: newTransport()}
	p.store = &rpwire.Store{Address: i.Settings.Store.Address.AddrPort, Do: client.Do}
	p.callers = &callers{loop: p.loop, forward: p.forward, log: i.Log.Part("front"), observe: p.observer}
	p.callers.init()
	p.orders = &orders{loop: p.loop, forward: p.forward, holder: i.Settings.identity().Instance, log: i.Log.Part("endpoint"), observe: p.observer}
	p.peers = &peers{loop: p.loop, client: client, log: i.Log.Part("peer")}
	p.leases = &leases{loop: p.loop, store: p.store, log: i.Log.Part("platform")}
	p.posts = &posts{loop: p.loop, store: p.store, log: i.Log.Part("platform")}
	lc.Append(fx.Hook{OnStart: p.onStart, OnStop: p.onStop})
	return p
}

// newTransport returns the transport to the store and to other instances. It
// sends no request twice: a write of the store is conditional, and a demand may
// be repeated.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         rpendpoint.NewDialer(rpendpoint.Limits{DialTimeout: time.Second}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}
}

// carryOut carries out an effect without waiting.
func (p *parts) carryOut(effect rpfleet.Effect) {
	switch effect := effect.(type) {
	case rpfleet.StartAttempt:
		p.callers.calls.deliver(effect.Request, effect)
	case rpfleet.RefuseRequest:
		p.callers.calls.deliver(effect.Request, effect)
	case rpfleet.CancelAttempt:
		// The attempt ends with its caller, who was the one to go.
	case rpfleet.ReadLease:
		go p.leases.read()
	case rpfleet.WriteLease:
		go p.leases.write(effect)
	case rpfleet.ReadConfig:
		select {
		case p.rereadConfig <- struct{}{}:
		default:
			// A reading is asked for already.
		}
	case rpfleet.SendDemand:
		go p.peers.send(effect)
	case rpfleet.PostDemand:
		go p.posts.write(effect)
	case rpfleet.AnswerDemand:
		p.peers.answer(effect)
	case rpfleet.SendOrder:
		go p.orders.send(effect)
	case rpfleet.CancelOrders:
		p.orders.cancelAll()
	case rpfleet.ReadReport:
		go p.orders.report(effect)
	case rpfleet.ReportReady:
		p.ready.Store(effect.Ready)
		p.log.Info().Bool("ready", effect.Ready).Str("reason", effect.Reason).Msg("The readiness changed.")
	case rpfleet.Note:
		p.observer.note(effect)
	}
}

// onStart opens the listeners first, so that an address in use ends the start.
func (p *parts) onStart(ctx context.Context) error {
	listen := &p.settings.Listen
	listeners := make([]net.Listener, 0, 4)
	for _, address := range []rpsettings.Address{listen.Callers, listen.Readiness, listen.Peers, listen.Metrics} {
		if !address.IsValid() {
			listeners = append(listeners, nil)
			continue
		}
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", address.String())
		if err != nil {
			return trace.Wrap(err, "listening on %s", address)
		}
		listeners = append(listeners, listener)
	}
	background, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.start()
	p.run(func() error { return p.callers.serve(listeners[0]) })
	p.serve(listeners[1], http.HandlerFunc(p.serveReadiness))
	p.serve(listeners[2], p.peers.handler())
	if listeners[3] != nil {
		p.serve(listeners[3], p.instance.Metrics.Handler())
	}
	p.running.Go(func() { p.configFollower().run(background) })
	p.running.Go(func() { p.endpointFollower().run(background) })
	p.running.Go(func() { p.posts.follower().run(background) })
	p.running.Go(func() { p.watchSettings(background) })
	p.log.Info().Str("instance", p.settings.Instance.Name).Str("failure_domain", p.settings.Instance.FailureDomain).
		Str("callers", listen.Callers.String()).Str("peers", listen.Peers.String()).
		Str("store", p.settings.Store.Address.String()).Msg("The instance listens.")
	return nil
}

func (p *parts) start() {
	if _, err := suspendedTime(); err != nil {
		p.log.Error().Err(err).Msg("Suspensions of the machine can't be seen. A lease may be held for too long after one.")
	}
	seed := p.instance.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	p.policy = p.settings.policy()
	p.loop.apply(rpfleet.Start{
		Stamp: p.loop.stamp(), Self: p.settings.identity(), PeerAddress: p.settings.Listen.Peers.AddrPort,
		Seed: seed, Policy: p.policy,
	})
}

func (p *parts) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	p.servers = append(p.servers, server)
	p.run(func() error { return server.Serve(listener) })
}

// run serves a listener and reports its failure.
func (p *parts) run(serve func() error) {
	p.running.Go(func() {
		err := serve()
		if err == nil || errors.Is(err, http.ErrServerClosed) {
			return
		}
		select {
		case p.failed <- err:
		default:
		}
	})
}

func (p *parts) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !p.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *parts) configFollower() *follower {
	log := p.instance.Log.Part("documents")
	return &follower{
		store: p.store, table: rpwire.TableConfig, wait: p.loop.configWait, retry: p.loop.storeRetry, reread: p.rereadConfig, log: log,
		apply: func(rows []rpwire.Row, _ uint64, _ bool) {
			for _, row := range rows {
				if row.Key != rpwire.KeyConfig || row.Removed {
					continue
				}
				config, err := rpwire.DecodeConfig(row)
				if err != nil {
					log.Error().Err(err).Msg("the configuration can't be read; the one in force stays")
					continue
				}
				p.callers.limits.Store(&config.Limits)
				p.loop.apply(rpfleet.ConfigRead{Stamp: p.loop.stamp(), Config: config})
			}
		},
	}
}

func (p *parts) endpointFollower() *follower {
	log := p.instance.Log.Part("members")
	return &follower{
		store: p.store, table: rpwire.TableEndpoints, retry: p.loop.storeRetry, log: log,
		wait:          func() time.Duration { return endpointsWait },
		interval:      p.loop.listInterval,
		lost:          func() { p.loop.apply(rpfleet.StoreLost{Stamp: p.loop.stamp()}) },
		snapshotAfter: listSnapshotAfter,
		apply: func(rows []rpwire.Row, asOf uint64, complete bool) {
			event := rpfleet.EndpointsRead{Complete: complete, AsOf: asOf}
			for _, row := range rows {
				addEntry(&event, row, log)
			}
			event.Stamp = p.loop.stamp()
			p.loop.apply(event)
		},
	}
}

// addEntry takes in a row of the list. Other programs write there too; what can't
// be read names no endpoint, and an endpoint whose entry turned unreadable is no
// longer listed.
func addEntry(event *rpfleet.EndpointsRead, row rpwire.Row, log zerolog.Logger) {
	id := rpcore.EndpointID(row.Key)
	if row.Removed {
		event.Removed = append(event.Removed, rpfleet.RemovedEntry{ID: id, Revision: row.Revision})
		return
	}
	entry, err := rpwire.DecodeEndpoint(row)
	if err != nil {
		log.Warn().Err(err).Uint64("revision", row.Revision).Msg("an entry of the list is ignored")
		event.Removed = append(event.Removed, rpfleet.RemovedEntry{ID: id, Revision: row.Revision})
		return
	}
	event.Entries = append(event.Entries, entry)
}

// watchSettings reads the settings again on SIGHUP and when the file changes.
func (p *parts) watchSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	last := p.settingsState()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			last = p.settingsState()
			p.reload("signal")
		case <-ticker.C:
			if state := p.settingsState(); state != last {
				last = state
				p.reload("the file changed")
			}
		}
	}
}

type fileState struct {
	size     int64
	modified time.Time
}

func (p *parts) settingsState() fileState {
	info, err := os.Stat(p.instance.File)
	if err != nil {
		p.log.Warn().Err(err).Msg("the settings file can't be looked at")
		return fileState{}
	}
	return fileState{size: info.Size(), modified: info.ModTime()}
}

// reload puts the policy of the settings in force. Addresses stay as they were
// at the start.
func (p *parts) reload(why string) {
	settings, problems := LoadSettings(p.instance.File)
	if len(problems) > 0 {
		p.log.Error().Str("reason", why).Int("problems", len(problems)).Err(problems[0]).
			Msg("The settings have problems. Those in force stay.")
		return
	}
	policy := settings.policy()
	p.log.Info().Str("reason", why).Bool("policy_changed", policy != p.policy).
		Bool("addresses_changed", settings.Listen != p.settings.Listen || settings.Store != p.settings.Store).
		Msg("The settings were read again.")
	p.policy = policy
	p.loop.apply(rpfleet.PolicyChanged{Stamp: p.loop.stamp(), Policy: policy})
}

// onStop carries out a planned stop: the balancer sends nobody any more, what
// was begun is finished, and what can't be is refused.
func (p *parts) onStop(context.Context) error {
	begin := time.Now()
	timeout := time.Duration(p.settings.Drain.Timeout) - stopMargin
	p.log.Info().Dur("timeout_ms", timeout).Msg("The planned stop begins.")
	p.callers.draining.Store(true)
	p.loop.apply(rpfleet.DrainRequested{Stamp: p.loop.stamp()})
	time.Sleep(time.Duration(p.settings.Drain.BalancerDelay))
	refuse := time.AfterFunc(max(0, timeout-queueMargin-time.Since(begin)), func() {
		p.loop.apply(rpfleet.StopQueued{Stamp: p.loop.stamp()})
	})
	defer refuse.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(timeout))
	defer cancel()
	err := p.callers.server.Shutdown(ctx)
	if err != nil {
		err = trace.NewAggregate(trace.Wrap(err, "requests were still in progress"), p.callers.server.Close())
	}
	p.stop()
	p.loop.close()
	for _, server := range p.servers {
		_ = server.Close()
	}
	p.forward.Close()
	p.log.Info().Err(err).Dur("took_ms", time.Since(begin)).Msg("The planned stop is complete.")
	return err
}
