package rpgateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// Guards against a stream that is cut because its engine is silent for a while,
// although another request has used up the retry budget since it started.
func TestSilentStreamIsNotCutWithoutRetryBudget(t *testing.T) {
	// pause is longer than the timeout between events, which is 2 s.
	const pause = 2500 * time.Millisecond
	g := NewWithT(t)
	p := withPlatform(t)
	// An instance alone shares the slack with two that may exist, so this allows one
	// retry.
	p.retrySlack = 4
	engines := []*rpfake.Endpoint{p.startEngine("e1", "m0"), p.startEngine("e2", "m0")}
	runs := func(id string) int { return engines[0].Runs(id) + engines[1].Runs(id) }
	for _, e := range engines {
		e.EventDelay = 50 * time.Millisecond
		e.Fault = func(r *http.Request) rpfake.EndpointFault {
			if r.Header.Get(rpfake.HeaderRequestID) == "r1" {
				return rpfake.EndpointFault{Pause: pause, PauseAfter: 5}
			}
			return rpfake.EndpointFault{DropResponse: runs("retried") == 0}
		}
	}
	gw := p.startGateway("front-1")
	var got rpfake.CallerResponse
	var stream sync.WaitGroup
	stream.Go(func() { got = gw.send(rpfake.CallerRequest{ID: "r1", Path: "/suggest/1", Model: "m0"}) })
	g.Eventually(func() int { return runs("r1") }, eventTimeout).Should(Equal(1))
	g.Expect(gw.send(rpfake.CallerRequest{ID: "retried", Path: "/suggest/1", Model: "m0"}).Complete).To(BeTrue())
	g.Expect(runs("retried")).To(Equal(2))
	stream.Wait()
	g.Expect(got.EventIDs()).To(Equal(eventIDsUpTo(12)))
	g.Expect(got.Complete).To(BeTrue())
	g.Expect(runs("r1")).To(Equal(1))
	g.Eventually(gw.log.String, eventTimeout).Should(ContainSubstring("keeps an attempt at a silent endpoint"))
}

// Guards against a stream that stays at an engine that hangs although another one
// could continue it, and against missing or duplicate events when it does.
func TestSilentStreamContinuesElsewhere(t *testing.T) {
	const pause = 30 * time.Second
	g := NewWithT(t)
	p := withPlatform(t)
	engines := []*rpfake.Endpoint{p.startEngine("e1", "m0"), p.startEngine("e2", "m0")}
	for i, e := range engines {
		e.Fault = func(*http.Request) rpfake.EndpointFault {
			if engines[1-i].Runs("r1") > 0 {
				return rpfake.EndpointFault{}
			}
			return rpfake.EndpointFault{Pause: pause, PauseAfter: 5}
		}
	}
	gw := p.startGateway("front-1")
	begin := time.Now()
	got := gw.send(rpfake.CallerRequest{ID: "r1", Path: "/suggest/1", Model: "m0"})
	g.Expect(time.Since(begin)).To(BeNumerically("<", pause/2))
	g.Expect(got.Complete).To(BeTrue())
	g.Expect(got.EventIDs()).To(Equal(eventIDsUpTo(12)))
	g.Expect(engines[0].Runs("r1")).To(Equal(1))
	g.Expect(engines[1].Runs("r1")).To(Equal(1))
	g.Eventually(gw.log.String, eventTimeout).Should(ContainSubstring("cancels an attempt at a silent endpoint"))
}
