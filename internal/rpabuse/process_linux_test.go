package rpabuse

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// The bounds of the process. The smallest instance of a deployment has 144 MB and
// 3,075 descriptors; the tests lower both, so that few callers suffice.
const (
	maxMemoryMB    = 80
	maxDescriptors = 600
)

// limitsSection is the part of the settings that tells the process its bounds.
var limitsSection = fmt.Sprintf("[limits]\nmemory = \"%dMB\"\ndescriptors = %d\n", maxMemoryMB, maxDescriptors)

const (
	// waitTimeout limits the wait for what takes less than a second on an idle
	// machine.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	plainService = "orders"
	maxBodyBytes = 4 << 20
)

// gateway is an instance that runs as a separate process, with the stand-ins that
// it needs.
type gateway struct {
	t        *testing.T
	callers  netip.AddrPort
	ready    netip.AddrPort
	cmd      *exec.Cmd
	logFile  string
	exited   chan struct{}
	endpoint *rpfake.Endpoint
	// mostDescriptors is the largest number of open descriptors that was seen.
	// It may be read after stopWatching.
	mostDescriptors int
	stopWatching    func()
	requests        int
}

// withGateway starts a store, an endpoint and a gateway.
func withGateway(t *testing.T, endpoint *rpfake.Endpoint) *gateway {
	t.Helper()
	g := NewWithT(t)
	store := &rpfake.Store{}
	storeAddress, stop, err := rpfake.Serve(store)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(stop)
	config := &rpfake.Config{Version: 1, ModelService: "assistant", PlainService: plainService, Models: 1, MaxBodyBytes: maxBodyBytes}
	config.Routes = append(config.StandardRoutes(), rpfake.Route{
		Name: "tips", Kind: "stream", Service: plainService, MaxAttempts: 1, TargetMs: 500, TimeoutMs: 15000,
	})
	g.Expect(store.PutConfig(config)).To(Succeed())
	endpoint.ID, endpoint.Service, endpoint.Zone, endpoint.Slots = "s1", plainService, "a", 1000
	// Models let the endpoint also serve streams.
	endpoint.Models = []string{"m0"}
	g.Expect(endpoint.Start(store)).To(Succeed())
	t.Cleanup(endpoint.Stop)
	gw := &gateway{t: t, endpoint: endpoint, callers: freeAddress(t), ready: freeAddress(t), exited: make(chan struct{})}
	gw.start(storeAddress)
	g.Eventually(gw.isReady, waitTimeout, pollInterval).Should(BeTrue())
	gw.watch()
	gw.expectServed()
	return gw
}

// freeAddress returns a loopback address with a port below the range that Linux
// uses for outgoing connections, so that no connection takes it before the process
// listens.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	for {
		port := uint16(20000 + (os.Getpid()*7+nextPort)%12000)
		nextPort++
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		if listener, err := net.Listen("tcp", address.String()); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

var nextPort int

func (gw *gateway) start(store netip.AddrPort) {
	gw.t.Helper()
	g := NewWithT(gw.t)
	dir := gw.t.TempDir()
	settings := filepath.Join(dir, "gateway.toml")
	gw.logFile = filepath.Join(dir, "gateway.log")
	text := fmt.Sprintf(`
[instance]
name = "front-1"
failure_domain = "a"
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
holder_gap = "300ms"
[drain]
balancer_delay = "200ms"
timeout = "5s"
`, gw.callers, gw.ready, freeAddress(gw.t), store) + limitsSection
	g.Expect(os.WriteFile(settings, []byte(text), 0o600)).To(Succeed())
	log, err := os.Create(gw.logFile)
	g.Expect(err).NotTo(HaveOccurred())
	gw.cmd = exec.Command(program, "gateway", settings)
	gw.cmd.Stdout, gw.cmd.Stderr = log, log
	gw.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.Expect(gw.cmd.Start()).To(Succeed())
	go func() {
		_ = gw.cmd.Wait()
		_ = log.Close()
		close(gw.exited)
	}()
	gw.t.Cleanup(func() {
		_ = gw.cmd.Process.Kill()
		<-gw.exited
	})
}

func (gw *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + gw.ready.String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// watch counts the open descriptors of the process until stopWatching.
func (gw *gateway) watch() {
	stop, done := make(chan struct{}), make(chan struct{})
	gw.stopWatching = func() {
		close(stop)
		<-done
		gw.countDescriptors()
	}
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(pollInterval):
			}
			gw.countDescriptors()
		}
	}()
}

func (gw *gateway) countDescriptors() {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", gw.cmd.Process.Pid))
	gw.mostDescriptors = max(gw.mostDescriptors, len(entries))
}

// mostMemoryMB returns the largest resident memory of the process so far.
func (gw *gateway) mostMemoryMB() int {
	gw.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", gw.cmd.Process.Pid))
	NewWithT(gw.t).Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			NewWithT(gw.t).Expect(err).NotTo(HaveOccurred())
			return kb >> 10
		}
	}
	gw.t.Error("the process has exited")
	return 0
}

// expectServed waits until an ordinary request is answered.
func (gw *gateway) expectServed() {
	gw.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	served := func() bool {
		gw.requests++
		request := rpfake.CallerRequest{ID: fmt.Sprintf("ordinary-%d", gw.requests), Path: "/place/1", Body: ordinaryBody}
		got, err := request.Do(gw.t.Context(), client, gw.callers)
		last = fmt.Sprintf("%d %q %v", got.Status, got.Body, err)
		return err == nil && got.Status == http.StatusOK && got.Complete && got.Body == "answer to "+ordinaryBody
	}
	NewWithT(gw.t).Eventually(served, waitTimeout, pollInterval).Should(BeTrue(), func() string { return "the last response: " + last })
}

const ordinaryBody = "one bag"

// expectWithinBounds checks the process while the untrusted callers are connected.
func (gw *gateway) expectWithinBounds() {
	gw.t.Helper()
	g := NewWithT(gw.t)
	// Several requests give the process the time to accept all connections.
	for range 10 {
		gw.expectServed()
	}
	gw.stopWatching()
	memory := gw.mostMemoryMB()
	gw.t.Logf("most memory %d MB of %d, most descriptors %d of %d", memory, maxMemoryMB, gw.mostDescriptors, maxDescriptors)
	g.Expect(gw.exited).NotTo(BeClosed(), "the process has exited")
	text, err := os.ReadFile(gw.logFile)
	g.Expect(err).NotTo(HaveOccurred())
	for _, mark := range []string{"panic: ", "fatal error: "} {
		g.Expect(bytes.Contains(text, []byte(mark))).To(BeFalse(), mark)
	}
	g.Expect(memory).To(BeNumerically("<", maxMemoryMB), "MB of memory")
	g.Expect(gw.mostDescriptors).To(BeNumerically("<", maxDescriptors), "open descriptors")
}
