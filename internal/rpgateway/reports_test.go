package rpgateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// The tests of this file provoke what operators of similar systems reported. The
// table in docs/INCIDENTS.md lists them with those of other files.

// Guards against requests that a stopping instance accepts and cuts off: on
// connections that callers keep, and on new ones that the balancer opens until it
// has seen that the instance is not ready.
func TestPlannedStopUnderLoad(t *testing.T) {
	const callers = 40
	g := NewWithT(t)
	p := withPlatform(t)
	p.balancerDelay = 2 * time.Second
	endpoints := []*rpfake.Endpoint{p.startPlain("s1"), p.startPlain("s2"), p.startEngine("e1", "m0")}
	for _, e := range endpoints {
		e.ResponseDelay, e.EventDelay, e.Slots = 5*time.Millisecond, 5*time.Millisecond, 200
		g.Expect(e.Heartbeat("ready")).To(Succeed())
	}
	gw := p.startGateway("front-1")
	var out atomic.Bool
	type result struct {
		rpfake.CallerResponse
		id   string
		kept bool
	}
	var mu sync.Mutex
	var results []result
	var running sync.WaitGroup
	for n := range callers {
		kept := n%2 == 0
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !kept}}
		running.Go(func() {
			for i := 0; !out.Load(); i++ {
				request := rpfake.CallerRequest{ID: fmt.Sprintf("r%d-%d", n, i), Path: "/place/1", Body: "x"}
				if n%4 > 1 {
					request.Path, request.Model = "/later/1", "m0"
				}
				got, err := request.Do(context.Background(), client, gw.callerAddress)
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				results = append(results, result{CallerResponse: got, id: request.ID, kept: kept})
				mu.Unlock()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	gw.stop()
	g.Eventually(gw.readinessStatus, eventTimeout).ShouldNot(Equal(http.StatusOK))
	time.Sleep(100 * time.Millisecond)
	out.Store(true)
	running.Wait()
	served := 0
	for _, r := range results {
		if r.Status == http.StatusOK && r.Complete {
			served++
		}
		if r.Complete && !r.NoResponse {
			continue
		}
		g.Expect(r.kept).To(BeTrue(), "%s on a new connection got no complete response", r.id)
		for _, e := range endpoints {
			g.Expect(e.Runs(r.id)).To(BeZero(), "%s ran and got no complete response", r.id)
		}
	}
	g.Expect(served).To(BeNumerically(">", callers))
}

// Guards against a response that breaks off and reaches the caller as a complete
// one: a stream and a body that is longer than what the instance buffers, for
// callers of HTTP/1.1 and of HTTP/1.0, which knows no chunks.
func TestBrokenOffResponseIsNotComplete(t *testing.T) {
	p := withPlatform(t)
	engine, service := p.startEngine("e1", "m0"), p.startPlain("s1")
	engine.Fault = func(*http.Request) rpfake.EndpointFault { return rpfake.EndpointFault{TruncateAfter: 5} }
	service.Fault = func(*http.Request) rpfake.EndpointFault { return rpfake.EndpointFault{TruncateAfter: 50000} }
	gw := p.startGateway("front-1")
	for name, request := range map[string]rpfake.CallerRequest{
		"stream": {Path: "/later/1", Model: "m0"}, "long body": {Path: "/place/1", Body: strings.Repeat("x", 60000)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			request.ID = name + " 1.1"
			got := gw.send(request)
			g.Expect(got.Status).To(Equal(http.StatusOK))
			g.Expect(got.Complete).To(BeFalse())
			request.ID = name + " 1.0"
			body, err := sendHTTP10(t, gw, request)
			g.Expect(len(body)).To(BeNumerically(">", 0))
			g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
		})
	}
}

// sendHTTP10 sends a request in HTTP/1.0 and reads until the connection ends.
func sendHTTP10(t *testing.T, gw *gateway, request rpfake.CallerRequest) ([]byte, error) {
	t.Helper()
	g := NewWithT(t)
	conn, err := net.Dial("tcp", gw.callerAddress.String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	req, err := request.HTTPRequest(context.Background(), gw.callerAddress)
	g.Expect(err).NotTo(HaveOccurred())
	var head strings.Builder
	_, _ = fmt.Fprintf(&head, "POST %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n", request.Path, rpfake.Host, len(request.Body))
	g.Expect(req.Header.Write(&head)).To(Succeed())
	_, err = io.WriteString(conn, head.String()+"\r\n"+request.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(eventTimeout))).To(Succeed())
	return io.ReadAll(conn)
}
