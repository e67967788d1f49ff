package rpfleet_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// withStreamsAtSilentEngine starts streams that fill the engine e1, and leaves room
// for one more request at e2.
func withStreamsAtSilentEngine(t *testing.T) (*harness, []rpfleet.StartAttempt) {
	t.Helper()
	// fill is what an engine of testEndpoint takes of rank 0.
	const fill = 6
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	streams := make([]rpfleet.StartAttempt, fill)
	for i := range streams {
		streams[i] = h.startStream(fmt.Sprintf("silent-%d", i), "/suggest/1")
	}
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: []rpfleet.Endpoint{testEndpoint("e2", testService, homeDomain, "m0")}})
	for i := range fill - 1 {
		h.startStream(fmt.Sprintf("other-%d", i), "/suggest/1")
	}
	// The callers' time limit for the first event has passed.
	h.advance(5 * time.Second)
	return h, streams
}

// Guards against streams that all leave one silent engine for the same free slot of
// another one: those that find it taken would be cut.
func TestSilentStreamsDoNotShareOneSlot(t *testing.T) {
	g := NewWithT(t)
	h, streams := withStreamsAtSilentEngine(t)
	for _, attempt := range streams {
		h.stall(attempt)
	}
	canceled := effectsOf[rpfleet.CancelAttempt](h)
	g.Expect(canceled).To(HaveLen(1))
	for _, attempt := range streams {
		if attempt.Attempt == canceled[0].Attempt {
			h.endSilent(attempt)
		}
	}
	g.Expect(h.lastAttempt(string(canceled[0].Request)).Endpoint).To(Equal(rpcore.EndpointID("e2")))
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
}

// Guards against a stream that is cut as soon as it has to wait for an endpoint,
// because the time limit for its first event, which it had, has passed.
func TestMovedStreamWaitsUntilItsDeadline(t *testing.T) {
	g := NewWithT(t)
	h, streams := withStreamsAtSilentEngine(t)
	for _, attempt := range streams {
		// Other attempts end between, so the rate at which they end is known.
		h.endSilent(attempt)
	}
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
	for i := range 5 {
		h.endAttempt(h.lastAttempt(fmt.Sprintf("other-%d", i)), rpcore.AttemptComplete, rpverdict.Ran)
	}
	for _, attempt := range streams {
		g.Expect(h.lastAttempt(string(attempt.Request)).ResumeAfter).To(Equal("7"))
	}
}

// Guards against a stream that left a silent engine and is cut because the next one
// is busy while the retry budget is used up: the silent engine would have completed it.
func TestMovedStreamOutlastsBusyEngineWithoutBudget(t *testing.T) {
	g := NewWithT(t)
	h := withTwoEngines(t)
	attempt := h.startStream("a", "/suggest/1")
	h.advance(attempt.EventTimeout)
	h.stall(attempt)
	h.endSilent(attempt)
	next := h.lastAttempt("a")
	h.useUpRetryBudget()
	h.discardEffects()
	h.endAttempt(next, rpcore.AttemptBusy, rpverdict.NotRun)
	h.advance(time.Second)
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
	g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(BeEmpty(), "the budget is used up")
	// New requests extend the budget.
	for i := range 10 {
		id := fmt.Sprintf("sound-%d", i)
		h.arriveRequest(id, "/suggest/1", "m0")
		h.endAttempt(h.lastAttempt(id), rpcore.AttemptComplete, rpverdict.Ran)
	}
	h.advance(time.Second)
	g.Expect(h.lastAttempt("a").ResumeAfter).To(Equal("7"))
}

// Guards against a refusal that says that a request has not run although an engine may
// have run it before: the request left a silent engine and can't be served elsewhere.
func TestRefusalAfterARunPromisesNothing(t *testing.T) {
	for name, refuse := range map[string]func(h *harness){
		"queue":    func(*harness) {},
		"draining": func(h *harness) { h.apply(rpfleet.DrainTimeoutNear{Stamp: h.stamp()}) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := withHarness(t)
			h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
			var waiting []rpfleet.StartAttempt
			for i := range 6 {
				id := fmt.Sprintf("silent-%d", i)
				h.arriveRequest(id, "/suggest/1", "m0")
				waiting = append(waiting, h.lastAttempt(id))
			}
			h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: []rpfleet.Endpoint{testEndpoint("e2", testService, homeDomain, "m0")}})
			for i := range 6 {
				h.startStream(fmt.Sprintf("other-%d", i), "/suggest/1")
			}
			h.advance(4 * time.Second)
			for _, attempt := range waiting {
				h.endAttempt(attempt, rpcore.AttemptTimedOut, rpverdict.MayHaveRun)
			}
			refuse(h)
			refused := effectsOf[rpfleet.RefuseRequest](h)
			g.Expect(refused).NotTo(BeEmpty())
			for _, refusal := range refused {
				g.Expect(refusal.Refusal.Verdict).To(Equal(rpverdict.MayHaveRun), refusal.Refusal.Error())
				g.Expect(refusal.Refusal.Status()).To(BeNumerically(">=", 500))
				g.Expect(refusal.Refusal.Status()).NotTo(Equal(http.StatusServiceUnavailable), refusal.Refusal.Error())
			}
		})
	}
}

// Guards against requests that keep going to an engine that hangs: while the retry
// budget is used up, its attempts stay, so none of them ends as a failure.
func TestSilentEngineIsEjectedWithoutRetryBudget(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	var silent []rpfleet.StartAttempt
	for i := range 2 {
		id := fmt.Sprintf("silent-%d", i)
		h.arriveRequest(id, "/suggest/1", "m0")
		silent = append(silent, h.lastAttempt(id))
	}
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: []rpfleet.Endpoint{testEndpoint("e2", testService, homeDomain, "m0")}})
	for i := range 5 {
		h.startStream(fmt.Sprintf("other-%d", i), "/suggest/1")
	}
	h.useUpRetryBudget()
	h.discardEffects()
	for range 3 {
		for _, attempt := range silent {
			h.stall(attempt)
		}
	}
	g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(BeEmpty())
	h.arriveRequest("next", "/suggest/1", "m0")
	g.Expect(h.lastAttempt("next").Endpoint).To(Equal(rpcore.EndpointID("e2")))
	g.Expect(notesOf(h, "an endpoint was ejected after failures")).To(HaveLen(1))
}
