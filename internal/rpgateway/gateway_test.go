package rpgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

func eventIDsUpTo(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint(i + 1)
	}
	return ids
}

// Guards against a gateway that alters requests or responses while forwarding
// them.
func TestForwardsRequestUnchanged(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	service := p.startPlain("s1")
	gw := p.startGateway("front-1")
	got := gw.send(rpfake.CallerRequest{ID: "r1", Path: "/place/x%2Fy?a=1&b=%20", Body: "one bag"})
	g.Expect(got.Status).To(Equal(http.StatusOK))
	g.Expect(got.Body).To(Equal("answer to one bag"))
	g.Expect(got.Signer()).To(Equal("s1"))
	arrivals := service.Arrivals()
	g.Expect(arrivals).To(HaveLen(1))
	g.Expect(arrivals[0].ID).To(Equal("r1"))
	g.Expect(arrivals[0].Path).To(Equal("/place/x%2Fy?a=1&b=%20"))
	g.Expect(arrivals[0].Body).To(Equal("one bag"))
	g.Expect(arrivals[0].DeadlineMs).To(BeNumerically("<=", 4000), "the timeout of the route")
	g.Expect(gw.send(rpfake.CallerRequest{ID: "r2", Path: "/nowhere/"}).Status).To(Equal(http.StatusNotFound))
}

// Guards against callers that set headers reserved for the system.
func TestDropsSystemHeaders(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	engine := p.startEngine("e1", "m0")
	gw := p.startGateway("front-1")
	req, err := rpfake.CallerRequest{ID: "r1", Path: "/suggest/1", Model: "m0"}.HTTPRequest(context.Background(), gw.callerAddress)
	g.Expect(err).NotTo(HaveOccurred())
	const forged = "forged"
	for _, name := range rpfake.SystemHeaders {
		req.Header.Set(name, forged)
	}
	req.Header.Set("X-Custom", "kept")
	resp, err := http.DefaultTransport.RoundTrip(req)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	arrival := engine.Arrivals()[0]
	for _, name := range rpfake.SystemHeaders {
		g.Expect(arrival.Header.Get(name)).NotTo(Equal(forged), name)
	}
	g.Expect(arrival.Expected).To(Equal("e1"))
	g.Expect(arrival.Header.Get("X-Custom")).To(Equal("kept"))
}

// Guards against a second run of a non-idempotent request whose response was lost,
// and against a refusal that claims that the request did not run.
func TestLostResponseRunsOnce(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	services := []*rpfake.Endpoint{p.startPlain("s1"), p.startPlain("s2")}
	for _, s := range services {
		s.Fault = func(*http.Request) rpfake.EndpointFault { return rpfake.EndpointFault{DropResponse: true} }
	}
	gw := p.startGateway("front-1")
	got := gw.send(rpfake.CallerRequest{ID: "r1", Path: "/place/1", Body: "charge"})
	g.Expect(got.Status).To(Equal(http.StatusBadGateway))
	g.Expect(got.Signer()).To(BeEmpty())
	g.Expect(services[0].Runs("r1") + services[1].Runs("r1")).To(Equal(1))
}

// Guards against an idempotent request that fails without a retry at another
// endpoint.
func TestIdempotentRequestRetriesElsewhere(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	var failed atomic.Int32
	for _, id := range []string{"s1", "s2"} {
		p.startPlain(id).Fault = func(*http.Request) rpfake.EndpointFault {
			return rpfake.EndpointFault{DropResponse: failed.Add(1) == 1}
		}
	}
	gw := p.startGateway("front-1")
	got := gw.send(rpfake.CallerRequest{ID: "r1", Path: "/stock/1", Method: http.MethodGet})
	g.Expect(got.Status).To(Equal(http.StatusOK))
	g.Expect(failed.Load()).To(Equal(int32(2)))
}

// Guards against forwarding responses that are unsigned, belong to another request
// or are truncated.
func TestInvalidResponsesAreNotForwarded(t *testing.T) {
	for name, fault := range map[string]rpfake.EndpointFault{
		"unsigned": {Unsigned: true}, "wrong request id": {WrongRequestID: true}, "truncated": {TruncateAfter: 3},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := withPlatform(t)
			service := p.startPlain("s1")
			service.Fault = func(*http.Request) rpfake.EndpointFault { return fault }
			gw := p.startGateway("front-1")
			got := gw.send(rpfake.CallerRequest{ID: "r1", Path: "/place/1", Body: "x"})
			g.Expect(got.Status).To(Equal(http.StatusBadGateway))
			g.Expect(got.Body).NotTo(ContainSubstring("answer to"))
			g.Expect(service.Runs("r1")).To(Equal(1))
		})
	}
}

// Guards against missing, duplicate or merged events when a truncated stream
// resumes at another engine.
func TestStreamResumesOnOtherEngine(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	var cut atomic.Bool
	engines := []*rpfake.Endpoint{p.startEngine("e1", "m0"), p.startEngine("e2", "m0")}
	for _, e := range engines {
		e.Fault = func(*http.Request) rpfake.EndpointFault {
			if cut.CompareAndSwap(false, true) {
				return rpfake.EndpointFault{TruncateAfter: 5}
			}
			return rpfake.EndpointFault{}
		}
	}
	gw := p.startGateway("front-1")
	got := gw.send(rpfake.CallerRequest{ID: "r1", Path: "/suggest/1", Model: "m0"})
	g.Expect(got.Status).To(Equal(http.StatusOK))
	g.Expect(got.Complete).To(BeTrue())
	g.Expect(got.EventIDs()).To(Equal(eventIDsUpTo(12)))
	g.Expect(got.Body).NotTo(ContainSubstring("cu\n"))
	g.Expect(engines[0].Runs("r1")).To(Equal(1))
	g.Expect(engines[1].Runs("r1")).To(Equal(1))
}

// Guards against an error page of one engine that is appended to the stream of another
// one, which has crashed: the caller took the stream for complete.
func TestErrorPageDoesNotEndResumedStream(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	p.writeConfig(2, rpfake.Route{
		Name: "tips", Kind: "stream", Service: plainService, MaxAttempts: 2, Resumable: true, TargetMs: 500, TimeoutMs: 8000,
	})
	var runs atomic.Int32
	for _, id := range []string{"s1", "s2"} {
		// Engines of a plain service name no version of weights.
		e := p.startEndpoint(&rpfake.Endpoint{ID: id, Service: plainService, Models: []string{"m0"}, Events: 12})
		e.Fault = func(*http.Request) rpfake.EndpointFault {
			if runs.Add(1) == 1 {
				return rpfake.EndpointFault{TruncateAfter: 5}
			}
			return rpfake.EndpointFault{Status: http.StatusInternalServerError}
		}
	}
	gw := p.startGateway("front-1")
	got := gw.send(rpfake.CallerRequest{ID: "r1", Path: "/tips/1", Model: "m0"})
	g.Expect(runs.Load()).To(Equal(int32(2)))
	g.Expect(got.Status).To(Equal(http.StatusOK))
	g.Expect(got.EventIDs()).To(Equal(eventIDsUpTo(5)))
	g.Expect(got.Complete).To(BeFalse())
}

// Guards against a truncated stream that looks complete to its caller.
func TestTruncatedStreamIsNotComplete(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	engine := p.startEngine("e1", "m0")
	engine.Fault = func(*http.Request) rpfake.EndpointFault { return rpfake.EndpointFault{TruncateAfter: 5} }
	gw := p.startGateway("front-1")
	got := gw.send(rpfake.CallerRequest{ID: "r1", Path: "/later/1", Model: "m0"})
	g.Expect(got.Complete).To(BeFalse())
	g.Expect(got.EventIDs()).To(Equal(eventIDsUpTo(5)))
	g.Expect(engine.Runs("r1")).To(Equal(1))
}

// Guards against a model that is never loaded although requests wait for it,
// and against load orders that exceed the memory of an engine.
func TestLoadsOnDemand(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	engine := p.startEngine("e1", "m0", "m1", "m2")
	gateways := []*gateway{p.startGateway("front-1"), p.startGateway("front-2")}
	for i, gw := range gateways {
		model := fmt.Sprintf("m%d", 3+i)
		got := gw.send(rpfake.CallerRequest{ID: "load-" + model, Path: "/later/1", Model: model, Deadline: 15 * time.Second})
		g.Expect(got.Status).To(Equal(http.StatusOK), gw.log.String())
		g.Expect(got.EventIDs()).To(Equal(eventIDsUpTo(12)))
		g.Expect(engine.HoldsModel(model)).To(BeTrue())
	}
	g.Expect(engine.Violations()).To(BeEmpty())
}

// Guards against an adapter that is never loaded although a request needs it.
func TestLoadsAdapters(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	engine := p.startEngine("e1", "m0")
	gw := p.startGateway("front-1")
	for i := range 4 {
		id := fmt.Sprintf("r%d", i)
		got := gw.send(rpfake.CallerRequest{ID: id, Path: "/suggest/1", Model: fmt.Sprintf("m0/a%d", i)})
		g.Expect(got.Status).To(Equal(http.StatusOK), gw.log.String())
	}
	g.Expect(engine.Violations()).To(BeEmpty())
}

// Guards against a stopping instance that aborts requests in progress or still
// reports that it is ready.
func TestPlannedStop(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	engine := p.startEngine("e1", "m0")
	engine.EventDelay = 100 * time.Millisecond
	gw := p.startGateway("front-1")
	var streams sync.WaitGroup
	responses := make([]rpfake.CallerResponse, 8)
	for i := range responses {
		streams.Go(func() {
			responses[i] = gw.send(rpfake.CallerRequest{ID: fmt.Sprintf("r%d", i), Path: "/later/1", Model: "m0"})
		})
	}
	g.Eventually(func() int { return len(engine.Arrivals()) }, eventTimeout).Should(Equal(len(responses)))
	gw.stop()
	g.Eventually(gw.readinessStatus, eventTimeout).ShouldNot(Equal(http.StatusOK))
	streams.Wait()
	for _, got := range responses {
		g.Expect(got.Complete).To(BeTrue())
		g.Expect(got.EventIDs()).To(Equal(eventIDsUpTo(12)))
	}
	err := <-gw.done
	gw.done <- err
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(gw.log.String()).To(ContainSubstring("The planned stop is complete."))
}

// Guards against an attempt that continues after its caller disconnected.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	engine := p.startEngine("e1", "m0")
	gone := make(chan struct{})
	engine.Fault = func(r *http.Request) rpfake.EndpointFault {
		go func() {
			<-r.Context().Done()
			close(gone)
		}()
		return rpfake.EndpointFault{Hang: true}
	}
	gw := p.startGateway("front-1")
	ctx, cancel := context.WithCancel(context.Background())
	req, err := rpfake.CallerRequest{ID: "r1", Path: "/later/1", Model: "m0"}.HTTPRequest(ctx, gw.callerAddress)
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	g.Eventually(func() int { return engine.Runs("r1") }, eventTimeout).Should(Equal(1))
	cancel()
	g.Eventually(gone, eventTimeout).Should(BeClosed())
	g.Eventually(gw.log.String, eventTimeout).Should(ContainSubstring("the caller closed the connection"))
}

// Guards against an instance that stops serving while the store is unavailable,
// and against an outage that is not logged.
func TestServesWithoutStore(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	down := p.withStoreSwitch()
	p.startPlain("s1")
	p.startEngine("e1", "m0")
	gw := p.startGateway("front-1")
	down.Store(true)
	g.Eventually(gw.log.String, eventTimeout).Should(ContainSubstring("the store is unavailable"))
	g.Expect(gw.send(rpfake.CallerRequest{ID: "r1", Path: "/place/1", Body: "x"}).Status).To(Equal(http.StatusOK))
	g.Expect(gw.send(rpfake.CallerRequest{ID: "r2", Path: "/suggest/1", Model: "m0"}).Status).To(Equal(http.StatusOK))
	g.Expect(gw.readinessStatus()).To(Equal(http.StatusOK))
	down.Store(false)
	g.Eventually(gw.log.String, eventTimeout).Should(ContainSubstring("the store is available again"))
}

// Guards against missed changes after the store drops its change history, and
// against invalid entries that keep valid ones from being read.
func TestFollowsStoreChanges(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	p.startPlain("s1")
	gw := p.startGateway("front-1")
	g.Expect(p.store.PutInvalidRows(plainService)).To(Succeed())
	p.writeConfig(2, rpfake.Route{Name: "new", Kind: "idempotent", Service: plainService, MaxAttempts: 1, TargetMs: 100, TimeoutMs: 4000})
	p.store.Compact()
	g.Eventually(func() int { return gw.send(rpfake.CallerRequest{ID: "r1", Path: "/new/1"}).Status }, eventTimeout).Should(Equal(http.StatusOK))
	g.Eventually(gw.log.String, eventTimeout).Should(ContainSubstring("ignoring an invalid endpoint entry"))
}

// Guards against a request meant for an endpoint that is gone, but sent to the
// endpoint that reuses its address.
func TestReusedAddress(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	service := p.startPlain("s1")
	gw := p.startGateway("front-1")
	g.Expect(p.store.PutReusedAddress("old", "s1")).To(Succeed())
	g.Eventually(gw.log.String, eventTimeout).Should(ContainSubstring(`"endpoint":"old"`))
	for i := range 10 {
		g.Expect(gw.send(rpfake.CallerRequest{ID: fmt.Sprintf("r%d", i), Path: "/place/1", Body: "x"}).Status).To(Equal(http.StatusOK))
	}
	for _, arrival := range service.Arrivals() {
		g.Expect(arrival.Expected).To(Equal("s1"))
	}
}

// Guards against forwarding requests with oversized bodies or invalid headers.
func TestBadRequests(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	service := p.startPlain("s1")
	gw := p.startGateway("front-1")
	g.Expect(gw.send(rpfake.CallerRequest{ID: "big", Path: "/place/1", Body: strings.Repeat("x", 70000)}).Status).To(Equal(http.StatusRequestEntityTooLarge))
	req, err := rpfake.CallerRequest{ID: "bad", Path: "/place/1"}.HTTPRequest(context.Background(), gw.callerAddress)
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set(rpfake.HeaderDeadline, "soon")
	resp, err := http.DefaultTransport.RoundTrip(req)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
	g.Expect(service.Arrivals()).To(BeEmpty())
}

// Guards against events that are buffered until later ones arrive.
func TestEventsAreFlushedImmediately(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	engine := p.startEngine("e1", "m0")
	engine.Events = 3
	engine.EventDelay = 300 * time.Millisecond
	gw := p.startGateway("front-1")
	req, err := rpfake.CallerRequest{ID: "r1", Path: "/later/1", Model: "m0"}.HTTPRequest(context.Background(), gw.callerAddress)
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultTransport.RoundTrip(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	first, err := bufio.NewReader(resp.Body).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first).To(Equal("id: 1\n"))
	// The caller has received the first event before the engine sent the others.
	g.Expect(gw.log.String()).NotTo(ContainSubstring("an attempt ended"))
}

// Guards against instances that call the store too often although the planner sends
// them the changes. Calls to the store are expensive.
func TestStoreCallRate(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	service := p.startPlain("s1")
	p.startGateway("front-1")
	other := p.startGateway("front-2")
	g.Eventually(other.log.String, eventTimeout).Should(ContainSubstring("another instance is the planner"))
	// It reads the list once itself after the planner's first answer.
	time.Sleep(time.Second)
	const seconds = 3
	before := p.store.FeedCalls()
	for range seconds * 5 {
		time.Sleep(200 * time.Millisecond)
		g.Expect(service.Heartbeat("ready")).To(Succeed())
	}
	// The planner reads the list every 0.3 s. The other instance gets the changes
	// from the planner and reads the list every 15 s. Long polls for the
	// configuration wait at least 2 s, those for demands 8 s.
	g.Expect(p.store.FeedCalls() - before).To(BeNumerically("<=", seconds*4+4))
}
