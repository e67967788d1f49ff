package rpgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// Guards against requests for an endpoint that said in a response that it is
// leaving, while the list still says that it is ready and the store is unavailable.
func TestLeavingResponseStopsRequests(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	down := p.withStoreSwitch()
	endpoints := []*rpfake.Endpoint{p.startPlain("s1"), p.startPlain("s2")}
	gw := p.startGateway("front-1")
	down.Store(true)
	g.Eventually(gw.log.String, eventTimeout).Should(ContainSubstring("the store is unavailable"))
	endpoints[0].SetLeaving(true)
	for i := range 40 {
		got := gw.send(rpfake.CallerRequest{ID: fmt.Sprintf("r%d", i), Path: "/stock/1", Body: "x"})
		g.Expect(got.Status).To(Equal(http.StatusOK))
	}
	g.Expect(endpoints[0].Arrivals()).To(HaveLen(1), "the first response says that the endpoint is leaving")
	down.Store(false)
	g.Expect(endpoints[0].Heartbeat("ready")).To(Succeed())
	g.Eventually(gw.log.String, eventTimeout).Should(ContainSubstring("the store is available again"))
	for i := range 20 {
		g.Expect(gw.send(rpfake.CallerRequest{ID: fmt.Sprintf("s%d", i), Path: "/stock/1"}).Status).To(Equal(http.StatusOK))
	}
	g.Expect(endpoints[0].Arrivals()).To(HaveLen(1))
	endpoints[0].Rejoin()
	g.Eventually(func() int {
		gw.send(rpfake.CallerRequest{ID: fmt.Sprint("t", time.Now().UnixNano()), Path: "/stock/1"})
		return len(endpoints[0].Arrivals())
	}, eventTimeout).Should(BeNumerically(">", 1), "a new incarnation is used")
}

// Guards against a stream whose head says that its engine is leaving: the stream
// must run to its end, and nothing else may begin there meanwhile.
func TestLeavingHeadOfRunningStream(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	leaving, staying := p.startEngine("e1", "m0"), p.startEngine("e2", "m0")
	staying.Zone = "b"
	g.Expect(staying.Heartbeat("ready")).To(Succeed())
	leaving.EventDelay = 60 * time.Millisecond
	// Only the stream may tell: the planner asks the engine for reports too.
	leaving.Fault = func(*http.Request) rpfake.EndpointFault {
		leaving.SetLeaving(true)
		return rpfake.EndpointFault{}
	}
	gw := p.startGateway("front-1")
	streams := make(chan rpfake.CallerResponse, 1)
	go func() { streams <- gw.send(rpfake.CallerRequest{ID: "running", Path: "/later/1", Model: "m0"}) }()
	g.Eventually(gw.log.String, eventTimeout).Should(ContainSubstring("an endpoint is leaving"))
	for i := range 10 {
		got := gw.send(rpfake.CallerRequest{ID: fmt.Sprintf("r%d", i), Path: "/suggest/1", Model: "m0"})
		g.Expect(got.Signer()).To(Equal("e2"))
	}
	got := <-streams
	g.Expect(got.Complete).To(BeTrue())
	g.Expect(got.EventIDs()).To(Equal(eventIDsUpTo(12)))
	g.Expect(leaving.Arrivals()).To(HaveLen(1))
}

// Guards against requests for an endpoint that answered 503 with Retry-After, from
// the instance that it answered, and against other instances that stop using it.
func TestRetryAfterOfEndpoint(t *testing.T) {
	const hold = time.Second
	g := NewWithT(t)
	p := withPlatform(t)
	var sheds atomic.Int32
	endpoints := []*rpfake.Endpoint{p.startPlain("s1"), p.startPlain("s2")}
	endpoints[0].Fault = func(*http.Request) rpfake.EndpointFault {
		if sheds.Add(1) == 1 {
			return rpfake.EndpointFault{Shed: true, RetryAfter: "1"}
		}
		return rpfake.EndpointFault{}
	}
	gw := p.startGateway("front-1")
	begin := time.Now()
	for i := 0; time.Since(begin) < 2*hold; i++ {
		got := gw.send(rpfake.CallerRequest{ID: fmt.Sprintf("r%d", i), Path: "/stock/1"})
		g.Expect(got.Status).To(Equal(http.StatusOK))
		time.Sleep(10 * time.Millisecond)
	}
	arrivals := endpoints[0].Arrivals()
	shed := arrivals[0]
	g.Expect(shed.RetryAfter).To(Equal("1"))
	later := 0
	for _, arrival := range arrivals[1:] {
		g.Expect(arrival.At).NotTo(BeTemporally("<", shed.At.Add(hold)))
		later++
	}
	g.Expect(later).To(BeNumerically(">", 0), "the endpoint is used again after that time")
	g.Expect(gw.log.String()).To(ContainSubstring("an endpoint wants no requests from this instance for a while"))
}

// Guards against a second copy of a response that arrives on a kept connection and
// is taken for the response to the next request on it.
func TestLateCopyReachesNoOtherCaller(t *testing.T) {
	for name, anonymous := range map[string]bool{"with request id": false, "without request id": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := withPlatform(t)
			service := p.startPlain("s1")
			service.Fault = func(*http.Request) rpfake.EndpointFault {
				return rpfake.EndpointFault{LateCopy: true, AnonymousCopy: anonymous}
			}
			gw := p.startGateway("front-1")
			served := 0
			for i := range 60 {
				id := fmt.Sprintf("r%d", i)
				got := gw.send(rpfake.CallerRequest{ID: id, Path: "/stock/1", Body: id})
				if got.Status == http.StatusOK {
					g.Expect(got.Body).To(Equal("answer to " + id))
					served++
				}
			}
			g.Expect(served).To(BeNumerically(">", 0))
		})
	}
}

// Guards against an endpoint's body without end that takes a caller's connection
// for longer than its request has, and against a response that then looks complete.
func TestEndlessBodyEndsWithRequest(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	service := p.startPlain("s1")
	service.Fault = func(*http.Request) rpfake.EndpointFault { return rpfake.EndpointFault{Endless: true} }
	gw := p.startGateway("front-1")
	begin := time.Now()
	got := gw.send(rpfake.CallerRequest{ID: "r1", Path: "/place/1", Deadline: time.Second})
	g.Expect(time.Since(begin)).To(BeNumerically("<", 10*time.Second))
	g.Expect(got.Complete && got.Status == http.StatusOK).To(BeFalse())
	engine := p.startEngine("e1", "m0")
	engine.Fault = func(*http.Request) rpfake.EndpointFault { return rpfake.EndpointFault{Endless: true} }
	g.Eventually(gw.log.String, eventTimeout).Should(ContainSubstring(`"endpoint":"e1"`))
	got = gw.send(rpfake.CallerRequest{ID: "r2", Path: "/later/1", Model: "m0", Deadline: 2 * time.Second})
	g.Expect(got.Status).To(Equal(http.StatusBadGateway))
	g.Expect(strings.Contains(got.Body, "xxxx")).To(BeFalse())
}
