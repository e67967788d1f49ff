package rpsoak

import (
	"bytes"
	"cmp"
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
	modelService  = "assistant"
	plainService  = "orders"
	instanceCount = 3
	engineCount   = 4
	plainCount    = 3
	modelCount    = 16
	streamEvents  = 10
	// holderGap is the setting planner.holder_gap: the minimum time between orders of
	// two instances to one engine.
	holderGap = time.Second
)

// process is one gateway instance that runs as a separate process.
type process struct {
	name             string
	settingsFile     string
	callerAddress    netip.AddrPort
	readinessAddress netip.AddrPort
	log              *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// shape is what differs between the environments of the tests. The zero value is that
// of TestSoak.
type shape struct {
	// directEngines lets instances connect to engines without a proxy between, so
	// that connections to an engine that is down are refused.
	directEngines bool
	// models is the number of models, if it is not 0.
	models int
	// eventDelay is the time before each event of a stream, if it is not 0.
	eventDelay time.Duration
	// retryRatio and retrySlack are the retry budget of a service, if they are not
	// 0.
	retryRatio, retrySlack float64
	// accounts are the client accounts; nil means none.
	accounts []rpfake.Account
	// settings is appended to the settings of the instances.
	settings string
	// drills lets the store tell its era, so that drillStore can be used.
	drills bool
}

// environment holds the gateway processes, the stand-ins of the platform and the
// proxies between them.
type environment struct {
	t              *testing.T
	shape          shape
	dir            string
	binary         string
	store          *rpfake.Store
	storeLink      *proxy
	engines        []*rpfake.Endpoint
	plainEndpoints []*rpfake.Endpoint
	links          []*proxy
	processes      []*process
	configVersion  int

	faultMu sync.Mutex
	// storeFault and endpointFaults are the currently injected faults. A function
	// in endpointFaults gets the number of the request at its endpoint.
	storeFault rpfake.StoreFault
	// storeAway says that a drill has taken the store away.
	storeAway      bool
	endpointFaults map[string]func(n int) rpfake.EndpointFault
	requestCounts  map[string]int
	disruptions    []disruption
	notices        []absence
	// silences are the times in which engines that are sound sent nothing.
	silences []silence
	// deadlyParts are the parts of prompts that crash engines, with the time after
	// which an engine is back.
	deadlyParts map[string]time.Duration

	// copies are copies of the store, the oldest first.
	copies []storeCopy

	// ready holds the instances that the balancer currently sends requests to.
	ready atomic.Pointer[[]*process]
}

func withEnvironment(t *testing.T, binary string, shape shape) *environment {
	t.Helper()
	shape.models = cmp.Or(shape.models, modelCount)
	shape.eventDelay = cmp.Or(shape.eventDelay, 5*time.Millisecond)
	shape.retryRatio, shape.retrySlack = cmp.Or(shape.retryRatio, 0.2), cmp.Or(shape.retrySlack, 50)
	env := &environment{
		t: t, shape: shape, dir: t.TempDir(), binary: binary, store: &rpfake.Store{TellsEra: shape.drills},
		endpointFaults: map[string]func(int) rpfake.EndpointFault{}, requestCounts: map[string]int{},
	}
	env.store.Fault = func(*http.Request) rpfake.StoreFault {
		env.faultMu.Lock()
		defer env.faultMu.Unlock()
		if env.storeAway {
			return rpfake.StoreFault{Status: http.StatusServiceUnavailable}
		}
		return env.storeFault
	}
	address, stop, err := rpfake.Serve(env.store)
	env.requireNoError(err)
	t.Cleanup(stop)
	env.storeLink, err = newProxy(address)
	env.requireNoError(err)
	t.Cleanup(env.storeLink.close)
	env.writeNextConfig()
	for i := range engineCount {
		e := &rpfake.Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: modelService, Slots: 8, Events: streamEvents,
			EventDelay: shape.eventDelay, LoadTime: 100 * time.Millisecond,
		}
		for j := range shape.models {
			e.OnDisk = append(e.OnDisk, rpfake.ModelName(j))
		}
		for j := range 3 {
			e.Models = append(e.Models, rpfake.ModelName((3*i+j)%shape.models))
		}
		env.engines = append(env.engines, e)
		env.startEndpoint(e, !shape.directEngines)
	}
	for i := range plainCount {
		e := &rpfake.Endpoint{ID: fmt.Sprintf("s%d", i), Service: plainService, Slots: 6, ResponseDelay: 5 * time.Millisecond}
		env.plainEndpoints = append(env.plainEndpoints, e)
		env.startEndpoint(e, true)
	}
	for i := range instanceCount {
		env.processes = append(env.processes, env.newProcess(i))
	}
	return env
}

func (env *environment) requireNoError(err error) {
	env.t.Helper()
	if err != nil {
		env.t.Fatal(err)
	}
}

// startEndpoint starts an endpoint, if linked is set behind its own proxy.
func (env *environment) startEndpoint(e *rpfake.Endpoint, linked bool) {
	e.Zone = []string{"a", "b", "c"}[len(env.links)%3]
	e.Fault = func(r *http.Request) rpfake.EndpointFault {
		env.faultMu.Lock()
		defer env.faultMu.Unlock()
		env.requestCounts[e.ID]++
		for _, part := range rpfake.PromptPartIDs(r) {
			if down, ok := env.deadlyParts[part]; ok {
				return rpfake.EndpointFault{Crash: down}
			}
		}
		if fault := env.endpointFaults[e.ID]; fault != nil {
			return fault(env.requestCounts[e.ID])
		}
		return rpfake.EndpointFault{}
	}
	if linked {
		var link *proxy
		e.ListedAddress = func(address netip.AddrPort) netip.AddrPort {
			if link != nil {
				link.target.Store(&address)
				return link.address()
			}
			var err error
			link, err = newProxy(address)
			env.requireNoError(err)
			env.t.Cleanup(link.close)
			env.links = append(env.links, link)
			return link.address()
		}
	}
	env.requireNoError(e.Start(env.store))
	env.t.Cleanup(e.Stop)
}

// writeNextConfig writes the next version of the configuration, which has a new
// route named after the version.
func (env *environment) writeNextConfig() {
	env.configVersion++
	env.writeConfig()
}

// writeConfig writes the present version of the configuration.
func (env *environment) writeConfig() {
	config := &rpfake.Config{
		Version: env.configVersion, ModelService: modelService, PlainService: plainService, Models: env.shape.models, RemoteLoad: 1,
		Accounts: env.shape.accounts,
	}
	config.Routes = append(config.StandardRoutes(), rpfake.Route{
		Name: fmt.Sprintf("version-%d", env.configVersion), Kind: "idempotent", Service: plainService,
		MaxAttempts: 2, TargetMs: 500, TimeoutMs: 6000,
	})
	env.requireNoError(env.store.PutConfig(config))
}

// The ports of the processes are below the range that Linux uses for outgoing
// connections (32768 and up). A port in that range could be used by a connection of
// another program before the process listens or while it restarts.
const (
	firstPort = 20000
	portCount = 12000
)

// nextPort starts at a random port in each run of the tests.
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

func (env *environment) newProcess(i int) *process {
	p := &process{name: fmt.Sprintf("front-%d", i), callerAddress: freeAddress(env.t), readinessAddress: freeAddress(env.t)}
	p.settingsFile = filepath.Join(env.dir, p.name+".toml")
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
ratio = %g
slack = %g
window = "10s"
[planner]
holder_gap = %q
first_start = %t
weight_loads = 4
[members]
leaving_bound = "2s"
[drain]
balancer_delay = "300ms"
timeout = "5s"
`, p.name, string("abc"[i%3]), p.callerAddress, p.readinessAddress, freeAddress(env.t), env.storeLink.address(),
		env.shape.retryRatio, env.shape.retrySlack, holderGap, true) + env.shape.settings
	env.requireNoError(os.WriteFile(p.settingsFile, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(env.dir, p.name+".log"))
	env.requireNoError(err)
	p.log = log
	env.start(p)
	env.t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
		_ = log.Close()
	})
	return p
}

// endFirstStart changes the settings of a process that starts again, as the platform
// does.
func (env *environment) endFirstStart(p *process) {
	text, err := os.ReadFile(p.settingsFile)
	env.requireNoError(err)
	env.requireNoError(os.WriteFile(p.settingsFile, bytes.Replace(text, []byte("first_start = true"), []byte("first_start = false"), 1), 0o600))
}

// start starts a process that is not running.
func (env *environment) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(env.binary, "gateway", p.settingsFile)
	command.Stdout, command.Stderr = p.log, p.log
	env.requireNoError(command.Start())
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

// waitExit waits until a process has exited.
func (p *process) waitExit() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	<-exited
}

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.readinessAddress.String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (env *environment) setStoreFault(fault rpfake.StoreFault) {
	env.faultMu.Lock()
	defer env.faultMu.Unlock()
	env.storeFault = fault
}

func (env *environment) setEndpointFault(id string, fault func(n int) rpfake.EndpointFault) {
	env.faultMu.Lock()
	defer env.faultMu.Unlock()
	env.endpointFaults[id] = fault
}
