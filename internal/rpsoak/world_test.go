package rpsoak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

const (
	modelService = "assistant"
	plainService = "orders"
	instances    = 3
	engines      = 4
	plains       = 3
	models       = 16
	streamEvents = 10
	// holderGap is that of the settings: the least time between orders of two
	// instances to one engine.
	holderGap = time.Second
)

// process is one gateway that runs as a process of its own.
type process struct {
	name    string
	file    string
	callers netip.AddrPort
	ready   netip.AddrPort
	log     *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// world holds the processes, the stand-ins and the links between them.
type world struct {
	t         *testing.T
	dir       string
	binary    string
	store     *rpfake.Store
	storeLink *proxy
	engines   []*rpfake.Endpoint
	plains    []*rpfake.Endpoint
	links     []*proxy
	processes []*process
	version   int

	faultMu sync.Mutex
	// storeFault and endpointFaults are the faults of the stand-ins by now.
	storeFault     rpfake.Fault
	endpointFaults map[string]func(n int) rpfake.EndpointFault
	requests       map[string]int

	// ready holds the instances that the balancer sends callers to.
	ready atomic.Pointer[[]*process]
}

func newWorld(t *testing.T, binary string) *world {
	t.Helper()
	w := &world{
		t: t, dir: t.TempDir(), binary: binary, store: &rpfake.Store{},
		endpointFaults: map[string]func(int) rpfake.EndpointFault{}, requests: map[string]int{},
	}
	w.store.Fault = func(*http.Request) rpfake.Fault {
		w.faultMu.Lock()
		defer w.faultMu.Unlock()
		return w.storeFault
	}
	address, stop, err := rpfake.Serve(w.store)
	w.must(err)
	t.Cleanup(stop)
	w.storeLink, err = newProxy(address)
	w.must(err)
	t.Cleanup(w.storeLink.close)
	w.configure()
	for i := range engines {
		e := &rpfake.Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: modelService, Slots: 8, Events: streamEvents,
			Pause: 5 * time.Millisecond, LoadTime: 100 * time.Millisecond,
		}
		for j := range models {
			e.OnDisk = append(e.OnDisk, rpfake.ModelName(j))
		}
		for j := range 3 {
			e.Models = append(e.Models, rpfake.ModelName((3*i+j)%models))
		}
		w.engines = append(w.engines, e)
		w.startEndpoint(e)
	}
	for i := range plains {
		e := &rpfake.Endpoint{ID: fmt.Sprintf("s%d", i), Service: plainService, Slots: 6, Work: 5 * time.Millisecond}
		w.plains = append(w.plains, e)
		w.startEndpoint(e)
	}
	for i := range instances {
		w.processes = append(w.processes, w.newProcess(i))
	}
	return w
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// startEndpoint starts an endpoint behind a link of its own.
func (w *world) startEndpoint(e *rpfake.Endpoint) {
	e.Zone = []string{"a", "b", "c"}[len(w.links)%3]
	e.Fault = func(*http.Request) rpfake.EndpointFault {
		w.faultMu.Lock()
		defer w.faultMu.Unlock()
		w.requests[e.ID]++
		if fault := w.endpointFaults[e.ID]; fault != nil {
			return fault(w.requests[e.ID])
		}
		return rpfake.EndpointFault{}
	}
	e.Through = func(address netip.AddrPort) netip.AddrPort {
		link, err := newProxy(address)
		w.must(err)
		w.t.Cleanup(link.close)
		w.links = append(w.links, link)
		return link.address()
	}
	w.must(e.Start(w.store))
	w.t.Cleanup(e.Stop)
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.version++
	config := &rpfake.Config{
		Version: w.version, ModelService: modelService, PlainService: plainService, Models: models, RemoteLoad: 1,
	}
	config.Routes = append(config.StandardRoutes(), rpfake.Route{
		Name: fmt.Sprintf("version-%d", w.version), Kind: "idempotent", Service: plainService,
		MaxAttempts: 2, TargetMs: 500, TimeoutMs: 6000,
	})
	w.must(w.store.PutConfig(config))
}

// The ports of the processes are below those that Linux gives to outgoing
// connections (32768 and up). One of those may be taken by a connection of any
// program before its process listens, or while it restarts.
const (
	firstPort = 20000
	portCount = 12000
)

// nextPort begins at a place of its own in each run of the tests.
var nextPort = func() *atomic.Uint32 {
	var n atomic.Uint32
	n.Store(rand.Uint32N(portCount))
	return &n
}()

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	for range portCount {
		port := uint16(firstPort + nextPort.Add(1)%portCount)
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	t.Fatal("no port is free")
	return netip.AddrPort{}
}

func (w *world) newProcess(i int) *process {
	p := &process{name: fmt.Sprintf("front-%d", i), callers: freeAddress(w.t), ready: freeAddress(w.t)}
	p.file = filepath.Join(w.dir, p.name+".toml")
	text := fmt.Sprintf(`
[instance]
name = %q
failure_domain = %q
[listen]
callers = %q
readiness = %q
peers = %q
[store]
address = %q
[retries]
ratio = 0.2
slack = 50
window = "10s"
[planner]
holder_gap = %q
weight_loads = 4
[members]
leaving_bound = "2s"
[drain]
balancer_delay = "300ms"
timeout = "5s"
`, p.name, string("abc"[i%3]), p.callers, p.ready, freeAddress(w.t), w.storeLink.address(), holderGap)
	w.must(os.WriteFile(p.file, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(w.dir, p.name+".log"))
	w.must(err)
	p.log = log
	w.start(p)
	w.t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
		_ = log.Close()
	})
	return p
}

// start starts a process that does not run.
func (w *world) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(w.binary, "gateway", p.file)
	command.Stdout, command.Stderr = p.log, p.log
	w.must(command.Start())
	p.command = command
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(s)
	}
}

// waitExit waits for the end of a process.
func (p *process) waitExit() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	<-exited
}

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.ready.String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) setStoreFault(fault rpfake.Fault) {
	w.faultMu.Lock()
	defer w.faultMu.Unlock()
	w.storeFault = fault
}

func (w *world) setEndpointFault(id string, fault func(n int) rpfake.EndpointFault) {
	w.faultMu.Lock()
	defer w.faultMu.Unlock()
	w.endpointFaults[id] = fault
}
