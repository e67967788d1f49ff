package rpgateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpgateway"
	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpmetric"
	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

const (
	modelService = "assistant"
	plainService = "orders"
	// patience bounds the wait for something that happens within a second on
	// an idle machine.
	patience = 20 * time.Second
)

// platform is the stand-in of everything outside of the gateways.
type platform struct {
	t       *testing.T
	store   *rpfake.Store
	address netip.AddrPort
}

func withPlatform(t *testing.T) *platform {
	t.Helper()
	p := &platform{t: t, store: &rpfake.Store{}}
	address, stop, err := rpfake.Serve(p.store)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(stop)
	p.address = address
	p.configure(1)
	return p
}

// configure writes a configuration with one route of each kind.
func (p *platform) configure(version int, extra ...map[string]any) {
	p.t.Helper()
	route := func(name, kind, service string, endpoints int, resumable bool, target, timeout int) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout,
			"target_latency_ms": target, "gap_target_ms": 600, "priority": 0, "service": service,
			"max_attempts": endpoints, "resumable": resumable, "sticky": true,
		}
	}
	models := []map[string]any{}
	for i := range 6 {
		models = append(models, map[string]any{
			"name": fmt.Sprintf("m%d", i), "weights_mb": 70000, "load_s": 6.0, "warm_s": 0.1, "disk_load_s": 0.1,
			"adapters": 4, "adapter_mb": 66,
		})
	}
	body := map[string]any{
		"version": version,
		"routes": append([]map[string]any{
			route("suggest", "stream", modelService, 2, true, 2000, 8000),
			route("later", "stream", modelService, 1, false, 6000, 15000),
			route("place", "non_idempotent", plainService, 1, false, 100, 4000),
			route("stock", "idempotent", plainService, 2, false, 2000, 4000),
		}, extra...),
		"services": []map[string]any{
			{"name": modelService, "engine": map[string]any{
				"slots": 8, "kv_capacity": 1000, "weights_mb": 230000, "adapter_slots": 2, "loads_per_s": 10, "models": models,
			}},
			{"name": plainService},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	NewWithT(p.t).Expect(p.store.Put("op", "config", body)).To(Succeed())
}

func (p *platform) endpoint(e *rpfake.Endpoint) *rpfake.Endpoint {
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

func (p *platform) engine(id string, models ...string) *rpfake.Endpoint {
	return p.endpoint(&rpfake.Endpoint{
		ID: id, Service: modelService, Models: models, Events: 12, LoadTime: 50 * time.Millisecond,
		OnDisk: []string{"m0", "m1", "m2", "m3", "m4", "m5"},
	})
}

func (p *platform) plain(id string) *rpfake.Endpoint {
	return p.endpoint(&rpfake.Endpoint{ID: id, Service: plainService})
}

// gateway is one instance under test.
type gateway struct {
	t       *testing.T
	callers netip.AddrPort
	ready   netip.AddrPort
	log     *lockedBuffer
	stop    context.CancelFunc
	done    chan error
}

// lockedBuffer is a log that tests read while it is written.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func (p *platform) gateway(name string) *gateway {
	p.t.Helper()
	g := NewWithT(p.t)
	gw := &gateway{t: p.t, callers: freeAddress(p.t), ready: freeAddress(p.t), log: &lockedBuffer{}, done: make(chan error, 1)}
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
slack = 50
window = "10s"
[planner]
holder_gap = "300ms"
weight_loads = 4
[drain]
balancer_delay = "200ms"
timeout = "6s"
`, name, gw.callers, gw.ready, freeAddress(p.t), freeAddress(p.t), p.address)
	settings, problems := rpgateway.ParseSettings("test.toml", []byte(text))
	g.Expect(problems).To(BeEmpty())
	ctx, stop := context.WithCancel(context.Background())
	gw.stop = stop
	instance := rpgateway.Instance{
		File: "test.toml", Settings: settings, Metrics: rpmetric.New(), Seed: 1,
		Log: rplog.New(gw.log, rplog.FormatJSON, rplog.Levels{}),
	}
	go func() { gw.done <- instance.Run(ctx) }()
	p.t.Cleanup(func() {
		stop()
		<-gw.done
	})
	g.Eventually(gw.readiness, patience).Should(Equal(http.StatusOK))
	return gw
}

func (gw *gateway) readiness() int {
	resp, err := http.Get("http://" + gw.ready.String() + "/ready")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// ask is one request of a caller.
type ask struct {
	id       string
	path     string
	method   string
	model    string
	body     string
	deadline time.Duration
}

// reply is what the caller got. whole says that the answer ended as complete.
type reply struct {
	status     int
	header     http.Header
	body       string
	whole      bool
	retryAfter time.Duration
}

func (a ask) request(ctx context.Context, address netip.AddrPort) (*http.Request, error) {
	method := a.method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+a.path, strings.NewReader(a.body))
	if err != nil {
		return nil, err
	}
	req.Host = "shop.example"
	req.Header.Set("X-Rattanpaddle-Attempt-Id", a.id)
	if a.deadline == 0 {
		a.deadline = 8 * time.Second
	}
	req.Header.Set("X-Rattanpaddle-Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	if a.model != "" {
		req.Header.Set("X-Rattanpaddle-Model", a.model)
		req.Header.Set("X-Rattanpaddle-Token-Counts", "100,48")
		req.Header.Set("X-Rattanpaddle-Prompt-Prefix", "a1:60,b2:40")
	}
	return req, nil
}

func (gw *gateway) ask(a ask) reply {
	gw.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := a.request(ctx, gw.callers)
	NewWithT(gw.t).Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return reply{
		status: resp.StatusCode, header: resp.Header, body: string(body), whole: err == nil,
		retryAfter: time.Duration(seconds * float64(time.Second)),
	}
}

// eventIDs returns the ids of the events of a stream.
func eventIDs(body string) []string {
	var ids []string
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}
