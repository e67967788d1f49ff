package rpgateway_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpgateway"
	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpmetric"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

const (
	modelService = "assistant"
	plainService = "orders"
	// eventTimeout limits the wait for events that take less than a second on an
	// idle machine.
	eventTimeout = 20 * time.Second
)

// platform holds the stand-ins of the users' platform.
type platform struct {
	t       *testing.T
	store   *rpfake.Store
	address netip.AddrPort
	// balancerDelay is the setting drain.balancer_delay of the instances.
	balancerDelay time.Duration
	// retrySlack is the setting retries.slack of the instances.
	retrySlack int
	// settings is appended to the settings of the instances.
	settings string
	// wrapCallers wraps the listeners for callers of the instances; nil means not
	// to.
	wrapCallers func(net.Listener) net.Listener
}

func withPlatform(t *testing.T) *platform {
	t.Helper()
	p := &platform{t: t, store: &rpfake.Store{}, balancerDelay: 200 * time.Millisecond, retrySlack: 50}
	address, stop, err := rpfake.Serve(p.store)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(stop)
	p.address = address
	p.writeConfig(1)
	p.writeReleasedLease(1)
	return p
}

// writeReleasedLease writes the row of a lease that its holder gave up, with the
// number of instances that share the retry budget. Without it, the first requests
// could be retried only once a planner has known the number for a while.
func (p *platform) writeReleasedLease(instances int) {
	p.t.Helper()
	NewWithT(p.t).Expect(p.store.Put(string(rpwire.TablePlanner), "planner", map[string]any{
		"epoch": 1, "given": true, "instances": instances,
	})).To(Succeed())
}

// writeHeldLease writes the row of a lease whose holder does not answer and stays
// the planner for an hour.
func (p *platform) writeHeldLease(instances int) {
	p.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(p.t).Expect(err).NotTo(HaveOccurred())
	p.t.Cleanup(func() { _ = listener.Close() })
	NewWithT(p.t).Expect(p.store.Put(string(rpwire.TablePlanner), "planner", map[string]any{
		"holder": "front-9", "address": listener.Addr().String(), "epoch": 1, "renewals": 1,
		"valid_until_ms": time.Now().Add(time.Hour).UnixMilli(), "instances": instances,
	})).To(Succeed())
}

// withStoreSwitch returns a switch that makes the store answer all calls with 503.
func (p *platform) withStoreSwitch() *atomic.Bool {
	var down atomic.Bool
	p.store.Fault = func(*http.Request) rpfake.StoreFault {
		if down.Load() {
			return rpfake.StoreFault{Status: http.StatusServiceUnavailable}
		}
		return rpfake.StoreFault{}
	}
	return &down
}

// writeConfig writes a configuration with the standard routes and extra ones.
func (p *platform) writeConfig(version int, extra ...rpfake.Route) {
	p.t.Helper()
	config := &rpfake.Config{Version: version, ModelService: modelService, PlainService: plainService, Models: 6, RemoteLoad: 6}
	config.Routes = append(config.StandardRoutes(), extra...)
	NewWithT(p.t).Expect(p.store.PutConfig(config)).To(Succeed())
}

func (p *platform) startEndpoint(e *rpfake.Endpoint) *rpfake.Endpoint {
	p.t.Helper()
	if e.Zone == "" {
		e.Zone = "a"
	}
	if e.Slots == 0 {
		e.Slots = 8
	}
	NewWithT(p.t).Expect(e.Start(p.store)).To(Succeed())
	p.t.Cleanup(e.Stop)
	return e
}

func (p *platform) startEngine(id string, models ...string) *rpfake.Endpoint {
	return p.startEndpoint(&rpfake.Endpoint{
		ID: id, Service: modelService, Models: models, Events: 12, LoadTime: 50 * time.Millisecond,
		OnDisk: []string{"m0", "m1", "m2", "m3", "m4", "m5"},
	})
}

func (p *platform) startPlain(id string) *rpfake.Endpoint {
	return p.startEndpoint(&rpfake.Endpoint{ID: id, Service: plainService})
}

// gateway is one instance under test.
type gateway struct {
	t                *testing.T
	callerAddress    netip.AddrPort
	readinessAddress netip.AddrPort
	log              *logBuffer
	stop             context.CancelFunc
	done             chan error
}

// logBuffer is a log that tests can read while it is written.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// heldListeners are open listeners on loopback ports, by address. The ports stay
// in use from their choice to the start of the instance: Linux also gives them to
// outgoing connections.
type heldListeners map[netip.AddrPort]net.Listener

// open opens a listener and returns its address.
func (l heldListeners) open(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	l[address] = listener
	return address
}

func (l heldListeners) listen(_ context.Context, address netip.AddrPort) (net.Listener, error) {
	if listener := l[address]; listener != nil {
		return listener, nil
	}
	return nil, fmt.Errorf("no listener is open on %s", address)
}

func (p *platform) startGateway(name string) *gateway {
	p.t.Helper()
	g := NewWithT(p.t)
	listeners := heldListeners{}
	gw := &gateway{t: p.t, callerAddress: listeners.open(p.t), readinessAddress: listeners.open(p.t), log: &logBuffer{}, done: make(chan error, 1)}
	if p.wrapCallers != nil {
		listeners[gw.callerAddress] = p.wrapCallers(listeners[gw.callerAddress])
	}
	text := fmt.Sprintf(`
[instance]
name = %q
failure_domain = "a"
[listen]
callers = %q
readiness = %q
peers = %q
metrics = %q
[store]
address = %q
[retries]
ratio = 0.2
slack = %d
window = "10s"
[planner]
holder_gap = "300ms"
weight_loads = 4
cpu_share = 1.0
[drain]
balancer_delay = %q
timeout = "6s"
`, name, gw.callerAddress, gw.readinessAddress, listeners.open(p.t), listeners.open(p.t), p.address, p.retrySlack, p.balancerDelay) + p.settings
	settings, problems := rpgateway.ParseSettings("test.toml", []byte(text))
	g.Expect(problems).To(BeEmpty())
	ctx, stop := context.WithCancel(context.Background())
	gw.stop = stop
	instance := rpgateway.Instance{
		File: "test.toml", Settings: settings, Metrics: rpmetric.New(), Seed: 1, Listen: listeners.listen,
		Log: rplog.New(gw.log, rplog.FormatJSON, rplog.Levels{}),
	}
	go func() { gw.done <- instance.Run(ctx) }()
	p.t.Cleanup(func() {
		stop()
		<-gw.done
	})
	g.Eventually(gw.readinessStatus, eventTimeout).Should(Equal(http.StatusOK))
	return gw
}

func (gw *gateway) readinessStatus() int {
	resp, err := http.Get("http://" + gw.readinessAddress.String() + "/ready")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (gw *gateway) send(request rpfake.CallerRequest) rpfake.CallerResponse {
	gw.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	got, err := request.Do(ctx, http.DefaultClient, gw.callerAddress)
	NewWithT(gw.t).Expect(err).NotTo(HaveOccurred())
	return got
}
