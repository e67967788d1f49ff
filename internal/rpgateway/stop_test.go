package rpgateway_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// readGate holds the reads of the connections of a listener that return marker,
// like a process that gets no processor time right after the kernel has the bytes.
type readGate struct {
	net.Listener
	marker []byte
	// reached is closed when a read returns marker, and open lets it continue.
	reached, open chan struct{}
	once          sync.Once
}

func (l *readGate) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{Conn: conn, gate: l}, nil
}

type gatedConn struct {
	net.Conn
	gate *readGate
}

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if bytes.Contains(p[:n], c.gate.marker) {
		c.gate.once.Do(func() { close(c.gate.reached) })
		<-c.gate.open
	}
	return n, err
}

// keptConnection is a connection of a caller that has got one response.
type keptConnection struct {
	t    *testing.T
	gw   *gateway
	conn net.Conn
	r    *bufio.Reader
}

func (gw *gateway) withKeptConnection() *keptConnection {
	gw.t.Helper()
	g := NewWithT(gw.t)
	conn, err := net.Dial("tcp", gw.callerAddress.String())
	g.Expect(err).NotTo(HaveOccurred())
	gw.t.Cleanup(func() { _ = conn.Close() })
	g.Expect(conn.SetDeadline(time.Now().Add(eventTimeout))).To(Succeed())
	k := &keptConnection{t: gw.t, gw: gw, conn: conn, r: bufio.NewReader(conn)}
	k.write(k.encode("first"))
	body, err := k.readResponse()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("answer to first"))
	return k
}

// encode returns the bytes of a request whose id and body are the given text.
func (k *keptConnection) encode(id string) []byte {
	k.t.Helper()
	g := NewWithT(k.t)
	req, err := rpfake.CallerRequest{ID: id, Path: "/place/1", Body: id}.HTTPRequest(k.t.Context(), k.gw.callerAddress)
	g.Expect(err).NotTo(HaveOccurred())
	var buf bytes.Buffer
	g.Expect(req.Write(&buf)).To(Succeed())
	return buf.Bytes()
}

func (k *keptConnection) write(p []byte) {
	k.t.Helper()
	_, err := k.conn.Write(p)
	NewWithT(k.t).Expect(err).NotTo(HaveOccurred())
}

func (k *keptConnection) readResponse() (string, error) {
	resp, err := http.ReadResponse(k.r, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// stopDelay is longer than the delay until a stopping instance closes idle
// connections, and shorter than it waits for a started header.
const stopDelay = 500 * time.Millisecond

// Guards against a stopping instance that closes a kept connection as idle although
// a whole request has arrived on it: net/http counts a connection as idle until it
// has read the next header, which takes a while on a machine that is short of
// processor time. The request got neither a response nor a refusal.
func TestPlannedStopServesArrivedRequest(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	service := p.startPlain("s1")
	gate := &readGate{marker: []byte("second"), reached: make(chan struct{}), open: make(chan struct{})}
	p.wrapCallers = func(l net.Listener) net.Listener {
		gate.Listener = l
		return gate
	}
	gw := p.startGateway("front-1")
	kept := gw.withKeptConnection()
	kept.write(kept.encode("second"))
	g.Eventually(gate.reached, eventTimeout).Should(BeClosed())
	gw.stop()
	time.Sleep(stopDelay)
	close(gate.open)
	body, err := kept.readResponse()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("answer to second"))
	g.Expect(service.Runs("second")).To(Equal(1))
}

// Guards against a stopping instance that closes a kept connection as idle while
// the header of the next request arrives in parts.
func TestPlannedStopServesRequestInParts(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	p.startPlain("s1")
	gw := p.startGateway("front-1")
	kept := gw.withKeptConnection()
	request := kept.encode("second")
	kept.write(request[:len(request)/2])
	gw.stop()
	time.Sleep(stopDelay)
	kept.write(request[len(request)/2:])
	body, err := kept.readResponse()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("answer to second"))
}

// Guards against a planned stop that waits for idle connections, or for callers
// that never complete a header, until its timeout.
func TestPlannedStopClosesIdleConnections(t *testing.T) {
	for name, begun := range map[string]int{"idle": 0, "incomplete header": 20} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := withPlatform(t)
			p.startPlain("s1")
			gw := p.startGateway("front-1")
			kept := gw.withKeptConnection()
			kept.write(kept.encode("second")[:begun])
			begin := time.Now()
			gw.stop()
			_, err := kept.readResponse()
			g.Expect(err).To(HaveOccurred(), fmt.Sprintf("%d bytes sent", begun))
			err = <-gw.done
			gw.done <- err
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(time.Since(begin)).To(BeNumerically("<", 4*time.Second), "the timeout is 6 s")
		})
	}
}

// endStop starts an instance, sends it a request that outlasts the planned stop, and
// returns the response and the log.
func (p *platform) endStop(send func(*gateway) rpfake.CallerResponse, arrivals func() int) (rpfake.CallerResponse, string) {
	p.t.Helper()
	g := NewWithT(p.t)
	gw := p.startGateway("front-1")
	answered := make(chan rpfake.CallerResponse, 1)
	go func() { answered <- send(gw) }()
	g.Eventually(arrivals, eventTimeout).Should(Equal(1))
	gw.stop()
	got := <-answered
	err := <-gw.done
	gw.done <- err
	g.Expect(err).To(HaveOccurred())
	return got, gw.log.String()
}

// stopTimeout is the setting drain.timeout of the instances.
const stopTimeout = 6 * time.Second

// Guards against a request that is cut off at the end of a planned stop and whose
// log says only that its caller has disconnected.
func TestPlannedStopLogsRequestsItCutsOff(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := withPlatform(t)
	engine := p.startEngine("e1", "m0")
	engine.EventDelay = stopTimeout / 4
	got, log := p.endStop(func(gw *gateway) rpfake.CallerResponse {
		return gw.send(rpfake.CallerRequest{ID: "r1", Path: "/later/1", Model: "m0", Deadline: 15 * time.Second})
	}, func() int { return len(engine.Arrivals()) })
	g.Expect(got.Status).To(Equal(http.StatusOK), "the stream has begun")
	g.Expect(got.Complete).To(BeFalse())
	g.Expect(log).To(MatchRegexp(`"request_id":"r1".*the end of the planned stop cuts off a request in progress`))
}

// Guards against a request without a first byte whose connection is closed at the end of
// a planned stop. Its caller must learn that it may have run.
func TestEndOfPlannedStopAnswersRequests(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := withPlatform(t)
	p.writeConfig(2, rpfake.Route{Name: "slow", Kind: "non_idempotent", Service: plainService, MaxAttempts: 1, TargetMs: 100, TimeoutMs: 20_000})
	service := p.startPlain("s1")
	service.ResponseDelay = stopTimeout + 2*time.Second
	got, log := p.endStop(func(gw *gateway) rpfake.CallerResponse {
		return gw.send(rpfake.CallerRequest{ID: "r1", Path: "/slow/1", Body: "x"})
	}, func() int { return len(service.Arrivals()) })
	g.Expect(got.Complete).To(BeTrue())
	g.Expect(got.Status).To(Equal(http.StatusBadGateway))
	g.Expect(got.Body).To(ContainSubstring("may_have_run"))
	g.Expect(log).To(MatchRegexp(`"request_id":"r1".*the end of the planned stop cuts off a request in progress`))
}

// Guards against a stream that is cut at the end of a planned stop and looks complete to
// an HTTP/1.0 caller, for whom the end of the connection ends it.
func TestEndOfPlannedStopResetsStreams(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := withPlatform(t)
	engine := p.startEngine("e1", "m0")
	engine.EventDelay = stopTimeout / 4
	var end error
	got, _ := p.endStop(func(gw *gateway) rpfake.CallerResponse {
		var body []byte
		body, end = sendHTTP10(t, gw, rpfake.CallerRequest{ID: "r1", Path: "/later/1", Model: "m0", Deadline: 15 * time.Second})
		return rpfake.CallerResponse{Body: string(body)}
	}, func() int { return len(engine.Arrivals()) })
	g.Expect(got.EventIDs()).NotTo(BeEmpty())
	g.Expect(errors.Is(end, syscall.ECONNRESET)).To(BeTrue(), "%v", end)
}
