package rpfleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	keptNote     = "keeps an attempt at a silent endpoint"
	canceledNote = "cancels an attempt at a silent endpoint"
)

// notesOf returns the notes with a text since the last call of discardEffects.
func notesOf(h *harness, text string) []rpfleet.Note {
	var found []rpfleet.Note
	for _, note := range effectsOf[rpfleet.Note](h) {
		if note.Text == text {
			found = append(found, note)
		}
	}
	return found
}

// startStream sends a request and its first event.
func (h *harness) startStream(id, path string) rpfleet.StartAttempt {
	h.t.Helper()
	h.arriveRequest(id, path, "m0")
	attempt := h.lastAttempt(id)
	h.apply(rpfleet.AttemptStarted{Stamp: h.stamp(), Request: attempt.Request, Attempt: attempt.Attempt})
	return attempt
}

func (h *harness) stall(a rpfleet.StartAttempt) {
	h.apply(rpfleet.AttemptStalled{Stamp: h.stamp(), Request: a.Request, Attempt: a.Attempt})
}

// endSilent ends the canceled attempt of a stream whose caller has seven events.
func (h *harness) endSilent(a rpfleet.StartAttempt) {
	h.apply(rpfleet.AttemptEnded{
		Stamp: h.stamp(), Request: a.Request, Attempt: a.Attempt, Reason: rpcore.AttemptTimedOut,
		Verdict: rpverdict.MayHaveRun, ResponseStarted: true, LastEvent: "7",
	})
}

// useUpRetryBudget retries requests that engines reject until the budget of their
// service refuses one. It returns the number of retries.
func (h *harness) useUpRetryBudget() int {
	h.t.Helper()
	const retryDelay = 20 * time.Millisecond
	for i := range 100 {
		id := fmt.Sprintf("rejected-%d", i)
		h.arriveRequest(id, "/suggest/1", "m0")
		h.endAttempt(h.lastAttempt(id), rpcore.AttemptBusy, rpverdict.NotRun)
		for _, refused := range effectsOf[rpfleet.RefuseRequest](h) {
			if refused.Request == rpcore.RequestID(id) {
				return i
			}
		}
		h.advance(retryDelay)
		h.endAttempt(h.lastAttempt(id), rpcore.AttemptComplete, rpverdict.Ran)
	}
	h.t.Fatal("the retry budget allows all retries")
	return 0
}

func withTwoEngines(t *testing.T) *harness {
	t.Helper()
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, homeDomain, "m0"))
	return h
}

// Guards against a stream that is cut because its engine is silent for a while,
// although other requests have used up the retry budget since it started, so it
// can't continue elsewhere.
func TestSilentStreamStaysWithoutRetryBudget(t *testing.T) {
	g := NewWithT(t)
	h := withTwoEngines(t)
	attempt := h.startStream("a", "/suggest/1")
	h.useUpRetryBudget()
	h.discardEffects()
	for range 3 {
		h.advance(attempt.EventTimeout)
		h.stall(attempt)
	}
	g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(BeEmpty())
	g.Expect(notesOf(h, keptNote)).To(HaveLen(1), "one line for each attempt")
	h.endAttempt(attempt, rpcore.AttemptComplete, rpverdict.Ran)
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
	g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(BeEmpty())
}

// Guards against a stream that waits at a silent engine until its deadline because
// the retry budget was used up when it was asked for the first time.
func TestSilentStreamMovesOnceBudgetAllows(t *testing.T) {
	g := NewWithT(t)
	h := withTwoEngines(t)
	attempt := h.startStream("a", "/suggest/1")
	h.useUpRetryBudget()
	h.stall(attempt)
	g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(BeEmpty())
	// Before the retry window has passed, new requests extend the budget.
	for i := range 10 {
		id := fmt.Sprintf("sound-%d", i)
		h.arriveRequest(id, "/suggest/1", "m0")
		h.endAttempt(h.lastAttempt(id), rpcore.AttemptComplete, rpverdict.Ran)
	}
	h.stall(attempt)
	g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(HaveLen(1))
}

// Guards against a stream that is canceled at a silent engine and then refused,
// because other requests use up the retry budget before its attempt has ended.
func TestSilentStreamReservesItsRetry(t *testing.T) {
	g := NewWithT(t)
	h := withTwoEngines(t)
	attempt := h.startStream("a", "/suggest/1")
	h.advance(attempt.EventTimeout)
	h.stall(attempt)
	h.stall(attempt)
	g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(ConsistOf(rpfleet.CancelAttempt{Request: "a", Attempt: attempt.Attempt}))
	g.Expect(notesOf(h, canceledNote)).To(HaveLen(1))
	h.useUpRetryBudget()
	h.discardEffects()
	h.endSilent(attempt)
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
	next := h.lastAttempt("a")
	g.Expect(next.Endpoint).NotTo(Equal(attempt.Endpoint))
	g.Expect(next.ResumeAfter).To(Equal("7"))
	// The route allows two runs, so the next attempt stays.
	g.Expect(next.FirstTimeout).To(BeZero())
	h.stall(next)
	g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(BeEmpty())
}

// Guards against a reserved retry that is counted twice, and against a reservation
// that outlives its attempt, so the next retry of the request is not counted.
func TestReservedRetryIsCountedOnce(t *testing.T) {
	g := NewWithT(t)
	retriesLeft := func(reserve bool, reason rpcore.AttemptReason, verdict rpverdict.Verdict) int {
		h := withTwoEngines(t)
		attempt := h.startStream("a", "/suggest/1")
		if reserve {
			h.stall(attempt)
			g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(HaveLen(1))
		}
		h.endSilent(attempt)
		next := h.lastAttempt("a")
		g.Expect(next.Attempt).NotTo(Equal(attempt.Attempt))
		h.endAttempt(next, reason, verdict)
		return h.useUpRetryBudget()
	}
	g.Expect(retriesLeft(true, rpcore.AttemptComplete, rpverdict.Ran)).To(Equal(retriesLeft(false, rpcore.AttemptComplete, rpverdict.Ran)))
	g.Expect(retriesLeft(true, rpcore.AttemptBusy, rpverdict.NotRun)).To(Equal(retriesLeft(false, rpcore.AttemptBusy, rpverdict.NotRun)))
	g.Expect(retriesLeft(true, rpcore.AttemptBusy, rpverdict.NotRun)).To(BeNumerically("<", retriesLeft(true, rpcore.AttemptComplete, rpverdict.Ran)))
}

// Guards against a request that leaves its silent engine although no other engine
// can take it, which would only cut or repeat its answer.
func TestSilentRequestStaysWithoutOtherEngine(t *testing.T) {
	other := testEndpoint("e2", testService, homeDomain, "m0")
	for name, change := range map[string]func(h *harness){
		"removed": func(h *harness) {
			h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Removed: []rpfleet.RemovedEntry{{ID: other.ID}}})
		},
		"leaving": func(h *harness) {
			leaving := other
			leaving.Leaving = true
			h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: []rpfleet.Endpoint{leaving}})
		},
		"ejected": func(h *harness) {
			// Nothing listens there, so one failure ejects it.
			h.arriveRequest("probe", "/suggest/1", "m0")
			h.endAttempt(h.lastAttempt("probe"), rpcore.AttemptRefusedConnection, rpverdict.NotRun)
			h.endAttempt(h.lastAttempt("probe"), rpcore.AttemptComplete, rpverdict.Ran)
		},
		"full": func(h *harness) {
			for i := range 12 {
				h.arriveRequest(fmt.Sprintf("fill-%d", i), "/suggest/1", "m0")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := withHarness(t)
			h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
			attempt := h.startStream("a", "/suggest/1")
			h.arriveRequest("b", "/suggest/1", "m0")
			waiting := h.lastAttempt("b")
			h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: []rpfleet.Endpoint{other}})
			change(h)
			h.discardEffects()
			h.stall(attempt)
			h.stall(waiting)
			g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(BeEmpty())
			g.Expect(notesOf(h, keptNote)).To(HaveLen(2))
			h.endAttempt(attempt, rpcore.AttemptComplete, rpverdict.Ran)
			h.endAttempt(waiting, rpcore.AttemptComplete, rpverdict.Ran)
			g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
		})
	}
}

// Guards against a request that is refused because its engine is silent when the
// caller's time limit for the first event has passed: a late answer may still come.
func TestSilentRequestStaysAfterFirstByteDeadline(t *testing.T) {
	g := NewWithT(t)
	h := withTwoEngines(t)
	h.arriveRequest("a", "/suggest/1", "m0")
	attempt := h.lastAttempt("a")
	h.advance(5 * time.Second) // more than eight times the longest pause
	h.stall(attempt)
	g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(BeEmpty())
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
}

// Guards against a second run of a request that may run only once, and against the
// cancellation of an attempt that has ended.
func TestSilenceMovesNoOtherRequests(t *testing.T) {
	g := NewWithT(t)
	h := withTwoEngines(t)
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: plainEndpoints()})
	stream := h.startStream("later", "/later/1")
	g.Expect(stream.FirstTimeout + stream.EventTimeout).To(BeZero())
	h.arriveRequest("place", "/place/1", "")
	place := h.lastAttempt("place")
	g.Expect(place.FirstTimeout + place.EventTimeout).To(BeZero())
	ended := h.startStream("ended", "/suggest/1")
	h.endAttempt(ended, rpcore.AttemptComplete, rpverdict.Ran)
	for _, attempt := range []rpfleet.StartAttempt{stream, place, ended} {
		h.stall(attempt)
	}
	g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(BeEmpty())
}

// Guards against an idempotent request that waits for a silent endpoint while
// another one is free.
func TestSilentPlainRequestMoves(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(plainEndpoints()...)
	h.arriveRequest("a", "/stock/1", "")
	attempt := h.lastAttempt("a")
	g.Expect(attempt.FirstTimeout).To(BeNumerically(">", 0))
	h.advance(attempt.FirstTimeout)
	h.stall(attempt)
	g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(HaveLen(1))
	h.endAttempt(attempt, rpcore.AttemptTimedOut, rpverdict.MayHaveRun)
	g.Expect(h.lastAttempt("a").Endpoint).NotTo(Equal(attempt.Endpoint))
}

// Guards against a failure response that is withheld from the caller although the
// request can't be sent again, and against one that is passed on although it can.
func TestFailureIsRetriedOnlyWhereAllowed(t *testing.T) {
	g := NewWithT(t)
	h := withTwoEngines(t)
	g.Expect(h.startStream("a", "/suggest/1").RetryFailure).To(BeTrue())
	g.Expect(h.startStream("b", "/later/1").RetryFailure).To(BeFalse())
	h.useUpRetryBudget()
	g.Expect(h.startStream("c", "/suggest/1").RetryFailure).To(BeFalse())
	single := withHarness(t)
	single.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	g.Expect(single.startStream("a", "/suggest/1").RetryFailure).To(BeFalse())
}

// Guards against streams that leave sound engines because of a pause of a second or
// somewhat longer, and against ones that leave too late for the next engine to send
// an event before the caller gives up.
func TestEventTimeoutFollowsCallersPatience(t *testing.T) {
	for name, c := range map[string]struct {
		target, gap, patience time.Duration
		want                  time.Duration
	}{
		"usual":      {target: 500 * time.Millisecond, gap: 600 * time.Millisecond, patience: 4800 * time.Millisecond, want: 2 * time.Second},
		"short gap":  {target: 100 * time.Millisecond, gap: 100 * time.Millisecond, patience: 2 * time.Second},
		"long pause": {target: 500 * time.Millisecond, gap: 2 * time.Second, patience: 16 * time.Second, want: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := withTwoEngines(t)
			config := testConfig(2)
			config.Routes[0].Target, config.Routes[0].EventGap = c.target, c.gap
			config.Index()
			h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: config})
			attempt := h.startStream("a", "/suggest/1")
			g.Expect(attempt.EventTimeout).To(BeNumerically("<=", c.patience/2))
			g.Expect(attempt.EventTimeout).To(BeNumerically(">", c.gap))
			if c.want > 0 {
				g.Expect(attempt.EventTimeout).To(Equal(c.want))
			}
		})
	}
}
