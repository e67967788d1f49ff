package rpgateway_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// Guards against a caller that stops reading and keeps the slot of its engine, and
// against an engine that is blamed for it.
func TestCallerThatStopsReadingIsDisconnected(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	engine := p.startEngine("e1", "m0")
	engine.Events, engine.EventBytes = 100000, 8<<10
	var released atomic.Bool
	engine.Fault = func(r *http.Request) rpfake.EndpointFault {
		go func() {
			<-r.Context().Done()
			released.Store(true)
		}()
		return rpfake.EndpointFault{}
	}
	gw := p.startGateway("front-1")
	conn, err := net.Dial("tcp", gw.callerAddress.String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	g.Expect(conn.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
	req, err := rpfake.CallerRequest{ID: "r1", Path: "/later/1", Model: "m0"}.HTTPRequest(t.Context(), gw.callerAddress)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(req.Write(conn)).To(Succeed())
	g.Eventually(released.Load, eventTimeout).Should(BeTrue())
	g.Eventually(gw.log.String, eventTimeout).Should(ContainSubstring("the caller closed the connection"))
	g.Expect(gw.log.String()).NotTo(ContainSubstring(`"reason":"broken"`))
	g.Expect(gw.log.String()).NotTo(ContainSubstring(`"reason":"timed_out"`))
	response, _ := io.ReadAll(conn)
	g.Expect(string(response)).NotTo(HaveSuffix("0\r\n\r\n"), "the response must not look complete")
	g.Expect(gw.log.String()).NotTo(ContainSubstring("an endpoint was ejected"))
}
