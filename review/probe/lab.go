package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// options are the flags of the command.
type options struct {
	// program is the program of the deploy file, record the file for what happened.
	program, record string
	// trouble says that the disruption of the case is played.
	trouble bool
	// rename says that a machine that replaces another one has a name of its own.
	rename bool
	// steady says that no engine falls silent.
	steady bool
}

// lab holds the platform's store, the endpoints and the machines of one case.
type lab struct {
	options
	dir   string
	begin time.Time

	store     *rpfake.Store
	storeAt   netip.AddrPort
	stopStore func()
	endpoints []*rpfake.Endpoint
	engines   []*engineProcess
	machines  []*machine

	mu     sync.Mutex
	file   *os.File
	broken int
}

func newLab(o options) (*lab, error) {
	file, err := os.Create(o.record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "probe")
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	l := &lab{options: o, dir: dir, begin: time.Now(), file: file, store: &rpfake.Store{}}
	if l.storeAt, l.stopStore, err = rpfake.Serve(l.store); err != nil {
		return nil, errors.Join(err, file.Close(), os.RemoveAll(dir))
	}
	l.note("trouble: %t", o.trouble)
	return l, nil
}

// close ends all processes and stand-ins.
func (l *lab) close() {
	for _, m := range l.machines {
		m.kill()
	}
	for _, e := range l.endpoints {
		e.Stop()
	}
	for _, e := range l.engines {
		e.stop()
	}
	l.stopStore()
	_ = l.file.Close()
	_ = os.RemoveAll(l.dir)
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.file, "%9.3f  %s\n", time.Since(l.begin).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (l *lab) breaks(format string, args ...any) {
	l.note("BROKEN "+format, args...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken++
}

// verdict writes the result to the record and returns the exit code.
func (l *lab) verdict() int {
	l.mu.Lock()
	broken := l.broken
	l.mu.Unlock()
	if broken > 0 {
		l.note("result: the rule was broken %d times", broken)
		return exitBroken
	}
	l.note("result: the rule held")
	return exitHeld
}

// addEndpoint starts an endpoint and its heartbeats.
func (l *lab) addEndpoint(ctx context.Context, e *rpfake.Endpoint) error {
	if err := e.Start(l.store); err != nil {
		return err
	}
	l.endpoints = append(l.endpoints, e)
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				_ = e.Heartbeat("ready")
			}
		}
	}()
	return nil
}

// heartbeat is the interval of the endpoints' heartbeats.
const heartbeat = 1200 * time.Millisecond

// machine is one machine of the system with its gateway process.
type machine struct {
	lab  *lab
	name string
	zone string
	ip   string

	callers, readiness, peers, metrics netip.AddrPort

	cmd     *exec.Cmd
	log     *os.File
	exited  chan struct{}
	started time.Time
}

// addMachine starts a gateway on a loopback address. bootstrap says that the whole
// system starts for the first time.
func (l *lab) addMachine(name, zone, ip string, bootstrap bool) (*machine, error) {
	m := &machine{lab: l, name: name, zone: zone, ip: ip, exited: make(chan struct{})}
	for _, address := range []*netip.AddrPort{&m.callers, &m.readiness, &m.peers, &m.metrics} {
		free, err := freeAddress(ip)
		if err != nil {
			return nil, err
		}
		*address = free
	}
	file := filepath.Join(l.dir, fmt.Sprintf("%s-%s.toml", name, ip))
	if err := os.WriteFile(file, []byte(m.settings(bootstrap)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(l.dir, fmt.Sprintf("%s-%s.log", name, ip)))
	if err != nil {
		return nil, err
	}
	m.log = log
	m.cmd = exec.Command(l.program, "gateway", file)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	m.started = time.Now()
	l.machines = append(l.machines, m)
	l.note("started %s on machine %s (zone %s, callers at %s)", name, ip, zone, m.callers)
	go func() {
		_ = m.cmd.Wait()
		_ = log.Close()
		close(m.exited)
	}()
	return m, nil
}

// freeAddress returns an address with a free port.
func freeAddress(ip string) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return netip.AddrPort{}, err
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), listener.Close()
}

// settings fills in deploy/gateway.toml.tmpl with the values of the small deployments.
func (m *machine) settings(bootstrap bool) string {
	first := ""
	if bootstrap {
		first = "first_start = true\n"
	}
	return fmt.Sprintf(`[instance]
name = %q
failure_domain = %q
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
holder_gap = "3000ms"
cpu_share = 0.4
weight_loads = 2
%s[members]
leaving_bound = "2000ms"
config_bound = "2000ms"
[accounts]
[drain]
balancer_delay = "3s"
timeout = "8s"
[log]
format = "json"
levels = "info"
[limits]
memory = "284MB"
descriptors = 4200
`, m.name, m.zone, m.callers, m.readiness, m.peers, m.metrics, m.lab.storeAt, first)
}

// signal sends a signal to the process, unless it has ended.
func (m *machine) signal(sig syscall.Signal) {
	select {
	case <-m.exited:
		return
	default:
	}
	_ = m.cmd.Process.Signal(sig)
	m.lab.note("sent %s to %s on machine %s", sig, m.name, m.ip)
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	select {
	case <-m.exited:
		return
	default:
	}
	_ = m.cmd.Process.Kill()
	<-m.exited
}

// probeTimeout limits one question for the readiness.
const probeTimeout = time.Second

// isReady asks the machine whether it is ready, as the platform does.
func (m *machine) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.readiness.String()+"/ready", nil)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// startTimeout limits the wait for machines to be ready.
const startTimeout = 15 * time.Second

// awaitReady waits until all machines are ready.
func (l *lab) awaitReady(ctx context.Context, machines ...*machine) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, m := range machines {
		for !m.isReady(ctx) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s on machine %s is not ready", m.name, m.ip)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
