package rpgateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
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
	// stopMargin is the end of the drain timeout that is reserved for the exit of
	// the process.
	stopMargin = 500 * time.Millisecond
	// lastRefusalTimeout is the part of stopMargin in which the requests that are
	// still in progress are refused.
	lastRefusalTimeout = 200 * time.Millisecond
	// queueRefusalMargin is how long before the end of the drain queued requests
	// are refused.
	queueRefusalMargin = 1500 * time.Millisecond
	// endpointSnapshotAfter is the time since the last read after which the whole
	// list is read. Each endpoint writes about once a second, so by then there are
	// more changes than entries, and the first ones are out of date.
	endpointSnapshotAfter = 3 * time.Second
	// internalReadTimeout limits the time to read a request of the balancer, of
	// another instance or of the metrics collector. Each fits into a few packets.
	internalReadTimeout = 5 * time.Second
	// internalDialTimeout limits the time to connect to the store or to another
	// instance. It is shorter than the second after which a lost first packet is
	// sent again.
	internalDialTimeout = 500 * time.Millisecond
	// settingsCheckInterval is how often the settings file is checked for
	// changes.
	settingsCheckInterval = 2 * time.Second
)

// endpointLimits has a shorter DialTimeout than the defaults. Failure domains of one
// region are a few milliseconds apart, and after a failed connection there must be
// time to try another endpoint within the target latency. AckTimeout is the default:
// a host may be silent for two seconds and go on, and its running requests are lost
// if it is taken for dead.
var endpointLimits = rpendpoint.Limits{
	DialTimeout: 300 * time.Millisecond,
	LineBytes:   maxEventBytes,
}

// maxEventBytes limits one event of a stream. Events hold a few tokens, and several
// hundred endpoints may send endless ones at once.
const maxEventBytes = 32 << 10

// Instance is one gateway instance on the platform.
type Instance struct {
	// File is the path of the settings file, which is read again when it changes.
	File     string
	Settings *Settings
	Log      rplog.Log
	Metrics  *rpmetric.Metrics
	// Seed is the seed of the reducer's random numbers; 0 means a random seed.
	Seed uint64
	// Listen opens a listener on an address of the settings; nil opens a TCP
	// listener. Tests pass listeners that are open already, because a port that
	// was free a moment ago may be in use.
	Listen func(ctx context.Context, address netip.AddrPort) (net.Listener, error)
}

func (i Instance) listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	if i.Listen != nil {
		return i.Listen(ctx, address)
	}
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address.String())
}

// Run starts the instance and serves until the context ends or a listener fails,
// then performs a planned stop.
func (i Instance) Run(ctx context.Context) error {
	var c *components
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(time.Duration(i.Settings.Drain.Timeout)+startTimeout),
		fx.Supply(i),
		fx.Provide(newComponents),
		fx.Populate(&c),
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
	case failure = <-c.failed:
		c.log.Error().Err(failure).Msg("A listener failed. The instance stops.")
	}
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(i.Settings.Drain.Timeout)+startTimeout)
	defer cancelStop()
	return trace.NewAggregate(failure, app.Stop(stopCtx))
}

// components holds the parts of an instance, which start and stop together.
type components struct {
	instance     Instance
	settings     *Settings
	log          zerolog.Logger
	observer     *observer
	clock        *clock
	loop         *loop
	callers      *callerServer
	orders       *orderSender
	peers        *peerAPI
	leases       *leaseClient
	storeDemands *storeDemands
	// storeEvidence passes evidence of crashes through the store.
	storeEvidence *storeEvidence
	store         *rpwire.Store
	forwarder     *rpendpoint.Forwarder
	// configReads requests an immediate read of the configuration.
	configReads chan struct{}
	// hangups receives SIGHUP from the start on: without a receiver, the signal ends
	// the process.
	hangups chan os.Signal
	// ready is the readiness reported to the balancer.
	ready atomic.Bool
	// policy is the policy in force. Only startReducer and watchSettings use it.
	policy rpfleet.Policy

	failed  chan error
	stop    context.CancelFunc
	running sync.WaitGroup
	servers []*http.Server
}

func newComponents(lc fx.Lifecycle, i Instance) *components {
	c := &components{
		instance: i, settings: i.Settings, log: i.Log.Part("node"),
		observer: newObserver(i.Log, i.Metrics),
		clock:    &clock{Suspended: suspendedTime},
		failed:   make(chan error, 1),

		configReads: make(chan struct{}, 1),
		hangups:     make(chan os.Signal, 1),
	}
	signal.Notify(c.hangups, syscall.SIGHUP)
	c.loop = &loop{clock: c.clock, execute: c.executeEffect}
	forwarderLimits := endpointLimits
	forwarderLimits.TotalIdleConnections = i.Settings.Limits.Callers().IdleEndpointConnections()
	c.forwarder = &rpendpoint.Forwarder{
		Limits: forwarderLimits, SetHeaders: rpwire.SetAttemptHeaders, ReadHead: rpwire.ReadResponseHead,
		OnNotice: c.loop.applyNotice, OnConnection: c.observer.connectionUsed,
	}
	client := &http.Client{Transport: newTransport()}
	c.store = &rpwire.Store{Address: i.Settings.Store.Address.AddrPort, Do: client.Do, OnCall: c.observer.storeCalled}
	c.store.OnEra = func(era uint64) {
		c.observer.metrics.SetStoreEra(era)
		c.loop.apply(rpfleet.StoreEraBegan{Stamp: c.loop.stamp(), Era: era})
	}
	c.callers = &callerServer{loop: c.loop, forwarder: c.forwarder, log: i.Log.Part("front"), observer: c.observer}
	c.callers.init()
	limits := i.Settings.Limits.Callers()
	c.callers.conns.budget.Limit, c.callers.conns.maxOpen = limits.RequestBytes(), limits.Connections()
	c.orders = &orderSender{loop: c.loop, forwarder: c.forwarder, holder: i.Settings.identity().Instance, log: i.Log.Part("endpoint"), observer: c.observer}
	c.peers = &peerAPI{loop: c.loop, client: client, log: i.Log.Part("peer")}
	c.leases = &leaseClient{loop: c.loop, store: c.store, log: i.Log.Part("platform")}
	c.storeDemands = &storeDemands{loop: c.loop, store: c.store, log: i.Log.Part("platform")}
	c.storeEvidence = &storeEvidence{loop: c.loop, store: c.store, log: i.Log.Part("platform")}
	lc.Append(fx.Hook{OnStart: c.onStart, OnStop: c.onStop})
	return c
}

// newTransport returns the transport for the store and for other instances.
// net/http may send a request again on another connection. That does no harm:
// writes of the lease are conditional, and a demand may be repeated.
func newTransport() rpendpoint.Transport {
	return rpendpoint.Transport{Transport: &http.Transport{
		DialContext:         rpendpoint.DialContext(rpendpoint.Limits{DialTimeout: internalDialTimeout}),
		DisableCompression:  true,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: rpendpoint.MaxResponseHeaderBytes,
	}}
}

// executeEffect executes an effect without blocking.
func (c *components) executeEffect(effect rpfleet.Effect) {
	switch effect := effect.(type) {
	case rpfleet.StartAttempt:
		c.callers.inProgress.deliver(effect.Request, effect)
	case rpfleet.RefuseRequest:
		c.callers.inProgress.deliver(effect.Request, effect)
	case rpfleet.CancelAttempt:
		c.callers.inProgress.cancelAttempt(effect.Request, effect.Attempt)
	case rpfleet.CancelAllAttempts:
		c.callers.cancelAttempts(errStopping)
	case rpfleet.ReadLease:
		go c.leases.read()
	case rpfleet.WriteLease:
		go c.leases.write(effect)
	case rpfleet.ReadConfig:
		select {
		case c.configReads <- struct{}{}:
		default:
			// A read is already requested.
		}
	case rpfleet.SendDemand:
		go c.peers.sendDemand(effect)
	case rpfleet.PostDemand:
		go c.storeDemands.post(effect)
	case rpfleet.PostUse:
		go c.storeDemands.postUse(effect)
	case rpfleet.AnswerDemand:
		c.peers.deliverAnswer(effect)
	case rpfleet.SendOrder:
		go c.orders.send(effect)
	case rpfleet.CancelOrders:
		c.orders.cancelAll()
	case rpfleet.ReadReport:
		go c.orders.readReport(effect)
	case rpfleet.CheckEngine:
		go c.orders.checkEngine(effect)
	case rpfleet.PostEvidence:
		c.storeEvidence.post(string(effect.Instance), effect.Evidence)
	case rpfleet.PostQuarantine:
		c.storeEvidence.post(rpwire.KeyQuarantine, rpfleet.CrashEvidence{Quarantined: effect.Parts})
	case rpfleet.CloseIdleConnections:
		go c.forwarder.CloseIdle(effect.Address)
	case rpfleet.ReportReady:
		c.ready.Store(effect.Ready)
		c.log.Info().Bool("ready", effect.Ready).Str("reason", effect.Reason).Msg("Readiness changed.")
	case rpfleet.Note:
		c.observer.logNote(effect)
	}
}

// onStart opens the listeners before anything else, so that the start fails if an
// address is in use.
func (c *components) onStart(ctx context.Context) error {
	listen := &c.settings.Listen
	listeners := make([]net.Listener, 0, 4)
	for _, address := range []rpsettings.Address{listen.Callers, listen.Readiness, listen.Peers, listen.Metrics} {
		if !address.IsValid() {
			listeners = append(listeners, nil)
			continue
		}
		listener, err := c.instance.listen(ctx, address.AddrPort)
		if err != nil {
			return trace.Wrap(err, "listening on %s", address)
		}
		listeners = append(listeners, listener)
	}
	background, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.startReducer()
	c.runServer(func() error { return c.callers.serve(listeners[0]) })
	c.serveListener(listeners[1], http.HandlerFunc(c.serveReadiness))
	c.serveListener(listeners[2], c.peers.handler())
	if listeners[3] != nil {
		c.serveListener(listeners[3], c.observer.metricsHandler(c.loop))
	}
	c.running.Go(func() { c.configFollower().run(background) })
	c.running.Go(func() { c.endpointFollower().run(background) })
	c.running.Go(func() { c.storeDemands.follower().run(background) })
	c.running.Go(func() { c.storeEvidence.follower().run(background) })
	c.running.Go(func() { c.watchSettings(background) })
	c.running.Go(func() { c.callers.watchUsage(background) })
	c.log.Info().Str("instance", c.settings.Instance.Name).Str("failure_domain", c.settings.Instance.FailureDomain).
		Str("callers", listen.Callers.String()).Str("peers", listen.Peers.String()).
		Str("store", c.settings.Store.Address.String()).Msg("The instance listens.")
	return nil
}

func (c *components) startReducer() {
	if _, err := suspendedTime(); err != nil {
		c.log.Error().Err(err).Msg("Can't detect suspensions of the machine. A lease may be held for too long after one.")
	}
	seed := c.instance.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	c.policy = c.settings.policy()
	c.loop.apply(rpfleet.Start{
		Stamp: c.loop.stamp(), Self: c.settings.identity(), PeerAddress: c.settings.Listen.Peers.AddrPort,
		Seed: seed, Policy: c.policy,
	})
}

func (c *components) serveListener(listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: rpendpoint.MaxResponseHeaderBytes, ReadTimeout: internalReadTimeout,
	}
	c.servers = append(c.servers, server)
	c.runServer(func() error { return server.Serve(listener) })
}

// runServer runs a server in the background and reports its failure.
func (c *components) runServer(serve func() error) {
	c.running.Go(func() {
		err := serve()
		if err == nil || errors.Is(err, http.ErrServerClosed) {
			return
		}
		select {
		case c.failed <- err:
		default:
		}
	})
}

func (c *components) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !c.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (c *components) configFollower() *follower {
	log := c.instance.Log.Part("documents")
	f := &follower{
		store: c.store, table: rpwire.TableConfig, loop: c.loop, pollWait: c.loop.configWait, idle: c.loop.configFollowed, resumes: true,
		snapshotRequests: c.configReads, log: log,
	}
	// undecoded stays set while the store's last version can't be decoded: later calls
	// don't return it again.
	undecoded := false
	f.apply = func(rows []rpwire.Row, _ rpfleet.Revision, _ bool) {
		for _, row := range rows {
			if row.Key != rpwire.KeyConfig || row.Removed {
				continue
			}
			config, err := rpwire.DecodeConfig(row)
			undecoded = err != nil
			if err != nil {
				log.Error().Err(err).Msg("can't decode the configuration; keeping the current one")
				continue
			}
			c.callers.limits.Store(&config.Limits)
			c.loop.apply(rpfleet.ConfigRead{Stamp: c.loop.stamp(), Config: config})
		}
		c.loop.apply(rpfleet.ConfigChecked{Stamp: c.loop.stamp(), AskedAt: f.calledAt, Undecoded: undecoded})
	}
	return f
}

func (c *components) endpointFollower() *follower {
	log := c.instance.Log.Part("members")
	f := &follower{
		store: c.store, table: rpwire.TableEndpoints, loop: c.loop, log: log,
		pollWait:      c.loop.listWait,
		minInterval:   c.loop.listInterval,
		onOutage:      func() { c.loop.apply(rpfleet.StoreLost{Stamp: c.loop.stamp()}) },
		snapshotAfter: endpointSnapshotAfter,
	}
	f.apply = func(rows []rpwire.Row, asOf rpfleet.Revision, complete bool) {
		event := rpfleet.EndpointsRead{AskedAt: f.calledAt, Complete: complete, AsOf: asOf}
		for _, row := range rows {
			addEndpointRow(&event, row, log)
		}
		event.Stamp = c.loop.stamp()
		c.loop.apply(event)
	}
	return f
}

// addEndpointRow adds a row of the endpoint list to the event. Other programs also
// write to the list, so a row may be invalid. An invalid row counts as removed,
// because it may replace a valid entry.
func addEndpointRow(event *rpfleet.EndpointsRead, row rpwire.Row, log zerolog.Logger) {
	id := rpcore.EndpointID(row.Key)
	if row.Removed {
		event.Removed = append(event.Removed, rpfleet.RemovedEntry{ID: id, Revision: row.Revision})
		return
	}
	entry, err := rpwire.DecodeEndpoint(row)
	if err != nil {
		log.Warn().Err(err).Stringer("revision", row.Revision).Msg("ignoring an invalid endpoint entry")
		event.Removed = append(event.Removed, rpfleet.RemovedEntry{ID: id, Revision: row.Revision})
		return
	}
	event.Entries = append(event.Entries, entry)
}

// watchSettings reloads the settings on SIGHUP and when the file changes.
func (c *components) watchSettings(ctx context.Context) {
	defer signal.Stop(c.hangups)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	last := c.statSettings()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.hangups:
			last = c.statSettings()
			c.reloadSettings("signal")
		case <-ticker.C:
			if state := c.statSettings(); state != last {
				last = state
				c.reloadSettings("the file changed")
			}
		}
	}
}

type fileState struct {
	size     int64
	modified time.Time
}

func (c *components) statSettings() fileState {
	info, err := os.Stat(c.instance.File)
	if err != nil {
		c.log.Warn().Err(err).Msg("can't stat the settings file")
		return fileState{}
	}
	return fileState{size: info.Size(), modified: info.ModTime()}
}

// reloadSettings reads the settings file and applies its policy. Changed addresses
// have no effect before a restart.
func (c *components) reloadSettings(reason string) {
	settings, problems := LoadSettings(c.instance.File)
	if len(problems) > 0 {
		c.log.Error().Str("reason", reason).Int("problems", len(problems)).Err(problems[0]).
			Msg("The settings file is invalid. The current settings stay in force.")
		return
	}
	policy := settings.policy()
	c.log.Info().Str("reason", reason).Bool("policy_changed", policy != c.policy).
		Bool("addresses_changed", settings.Listen != c.settings.Listen || settings.Store != c.settings.Store).
		Msg("The settings were reloaded.")
	c.policy = policy
	c.loop.apply(rpfleet.PolicyChanged{Stamp: c.loop.stamp(), Policy: policy})
}

// onStop performs a planned stop: it waits until the balancer sends no more
// requests, completes requests in progress, and refuses those that are still
// queued near the end of the drain timeout. At its end, it refuses the rest.
func (c *components) onStop(context.Context) error {
	begin := time.Now()
	timeout := time.Duration(c.settings.Drain.Timeout) - stopMargin
	c.log.Info().Dur("timeout_ms", timeout).Msg("The planned stop begins.")
	c.callers.draining.Store(true)
	c.loop.apply(rpfleet.DrainRequested{Stamp: c.loop.stamp()})
	time.Sleep(time.Duration(c.settings.Drain.BalancerDelay))
	refuse := time.AfterFunc(max(0, timeout-queueRefusalMargin-time.Since(begin)), func() {
		c.loop.apply(rpfleet.DrainTimeoutNear{Stamp: c.loop.stamp()})
	})
	defer refuse.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(timeout))
	defer cancel()
	err := c.callers.shutdown(ctx)
	if err != nil {
		c.loop.apply(rpfleet.DrainTimeoutPassed{Stamp: c.loop.stamp()})
		c.callers.awaitRefusals()
		err = trace.NewAggregate(trace.Wrap(err, "requests were still in progress"), c.callers.server.Close())
	}
	c.stop()
	c.loop.close()
	for _, server := range c.servers {
		_ = server.Close()
	}
	c.forwarder.Close()
	c.log.Info().Err(err).Dur("took_ms", time.Since(begin)).Msg("The planned stop is complete.")
	return err
}
