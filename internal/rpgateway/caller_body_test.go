package rpgateway_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// Guards against a body in several segments that is altered, or that a second attempt
// sends in part because the first one has read it.
func TestForwardsLargeBodyUnchanged(t *testing.T) {
	body := strings.Repeat("0123456789", 6400)
	for name, length := range map[string]int64{"with a length": int64(len(body)), "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := withPlatform(t)
			p.retrySlack = 500
			var arrivals atomic.Int32
			for _, id := range []string{"s1", "s2"} {
				p.startPlain(id).Fault = func(*http.Request) rpfake.EndpointFault {
					return rpfake.EndpointFault{DropResponse: arrivals.Add(1) == 1}
				}
			}
			gw := p.startGateway("front-1")
			req, err := rpfake.CallerRequest{ID: "r1", Path: "/stock/1"}.HTTPRequest(context.Background(), gw.callerAddress)
			g.Expect(err).NotTo(HaveOccurred())
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), length
			resp, err := http.DefaultTransport.RoundTrip(req)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			got, err := io.ReadAll(resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(got)).To(Equal("answer to " + body))
			g.Expect(arrivals.Load()).To(Equal(int32(2)))
		})
	}
}
