package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// Settings of a small deployment, as in the users' pages.
const (
	leaseGap      = 3 * time.Second
	graceTime     = 8 * time.Second
	drainBound    = 2 * time.Second
	configBound   = 2 * time.Second
	heartbeatTime = 1200 * time.Millisecond
	readyTimeout  = 20 * time.Second
	killTimeout   = graceTime + 2*time.Second
	// program is the gateway, as built by the deploy file.
	program = "target/rattanpaddle"
)

// drill is one play of a case: the stand-ins, the gateway processes and the record.
type drill struct {
	// trouble says that the disruption takes place.
	trouble bool
	store   *rpfake.Store
	// storeAddress is where the store listens.
	storeAddress netip.AddrPort
	dir          string
	begin        time.Time
	stops        []func()
	gateways     []*gateway

	mu     sync.Mutex
	record *os.File
}

func newDrill(record string) (*drill, error) {
	d := &drill{trouble: os.Getenv("TROUBLE") != "0", store: &rpfake.Store{}, begin: time.Now()}
	var err error
	if d.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if d.dir, err = os.MkdirTemp("", "drill"); err != nil {
		return nil, err
	}
	address, stop, err := rpfake.Serve(d.store)
	if err != nil {
		return nil, err
	}
	d.storeAddress = address
	d.stops = append(d.stops, stop)
	d.notef("trouble: %v", d.trouble)
	d.endOnSignal()
	return d, nil
}

// notef writes a line to the record, with the time since the start.
func (d *drill) notef(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%8.3f s  %s\n", time.Since(d.begin).Seconds(), fmt.Sprintf(format, args...))
}

// endOnSignal ends the drill and its processes when it is interrupted.
func (d *drill) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		d.notef("interrupted")
		d.close()
		os.Exit(exitNotRun)
	}()
}

// close ends all processes that the drill started.
func (d *drill) close() {
	for _, g := range d.gateways {
		g.kill()
	}
	for i := len(d.stops) - 1; i >= 0; i-- {
		d.stops[i]()
	}
	_ = os.RemoveAll(d.dir)
	_ = d.record.Close()
}

// gateway is one process of the deploy file's role.
type gateway struct {
	drill   *drill
	name    string
	file    string
	callers netip.AddrPort
	ready   netip.AddrPort
	command *exec.Cmd
	exited  chan struct{}
}

// settingsFormat is deploy/gateway.toml.tmpl with the figures of a small deployment.
const settingsFormat = `[instance]
name = %q
failure_domain = "west-a"

[listen]
callers = %q
readiness = %q
peers = %q
metrics = %q

[store]
address = %q

[retries]
ratio = 0.2
slack = 52
window = "10s"

[planner]
holder_gap = "%dms"
cpu_share = 0.4
weight_loads = 2

[members]
leaving_bound = "%dms"
config_bound = "%dms"

[drain]
balancer_delay = "3s"
timeout = "%ds"

[log]
format = "json"
levels = "info"
`

// startGateway starts a gateway and waits until it is ready.
func (d *drill) startGateway(name string) (*gateway, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	g := &gateway{drill: d, name: name, file: filepath.Join(d.dir, name+".toml"), callers: ports[0], ready: ports[1]}
	text := fmt.Sprintf(settingsFormat, name, ports[0], ports[1], ports[2], ports[3], d.storeAddress,
		leaseGap.Milliseconds(), drainBound.Milliseconds(), configBound.Milliseconds(), int(graceTime.Seconds()))
	if err := os.WriteFile(g.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	d.gateways = append(d.gateways, g)
	return g, g.waitReady()
}

func (g *gateway) start() error {
	log, err := os.Create(filepath.Join(g.drill.dir, g.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	g.command = exec.Command(program, "gateway", g.file)
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	command, exited := g.command, g.exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	g.drill.notef("%s started, process %d, callers at %s", g.name, g.command.Process.Pid, g.callers)
	return nil
}

func (g *gateway) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready.String() + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			g.drill.notef("%s is ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.name, readyTimeout)
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.drill.notef("%s gets signal %d (%s)", g.name, int(s), s)
	_ = g.command.Process.Signal(s)
}

// log returns the output of the process.
func (g *gateway) log() string {
	text, _ := os.ReadFile(filepath.Join(g.drill.dir, g.name+".log"))
	return string(text)
}

func (g *gateway) kill() {
	select {
	case <-g.exited:
		return
	default:
	}
	_ = g.command.Process.Signal(syscall.SIGCONT)
	_ = g.command.Process.Kill()
	select {
	case <-g.exited:
	case <-time.After(killTimeout):
	}
}

// freePorts returns loopback addresses with free ports. It holds them all open at once,
// so that they differ.
func freePorts(n int) ([]netip.AddrPort, error) {
	var ports []netip.AddrPort
	var failures []error
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			failures = append(failures, err)
			continue
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return ports, errors.Join(failures...)
}

// leaseHolder returns the instance that the row of the planner's lease names, or "".
func (d *drill) leaseHolder() string {
	var row struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(d.store.Value("rattanpaddle", "planner"), &row)
	return row.Holder
}
