package rpcore

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// advanceWithReports advances the clock second by second while only the given
// engines report.
func (h *harness) advanceWithReports(seconds int, reporting ...*endpoint) []Effect {
	var effects []Effect
	for range seconds {
		effects = append(effects, h.advance(time.Second)...)
		for _, e := range reporting {
			e.reportedAt = h.now
		}
	}
	return effects
}

// Guards against requests that wait until their deadline at a frozen engine
// although another engine could run them.
func TestSilentEngine(t *testing.T) {
	g := NewWithT(t)
	h := withHarness("a", Limits{}, Policy{})
	frozen, other := h.addEngine("e1", "m"), h.addEngine("e2", "m")
	other.FailureDomain = "fd2"
	h.advanceWithReports(1, frozen, other)
	start := firstStart(h.arriveForModel("r1", "m"))
	g.Expect(start.Endpoint).To(Equal(frozen.id))
	h.send(AttemptFirstToken{Stamp: h.stamp(), Attempt: start.Attempt, Request: start.Request})
	g.Expect(summary(h.advanceWithReports(4, other))).To(BeEmpty(), "the reports of the engine may just be late")
	g.Expect(summary(h.advanceWithReports(6, other))).To(Equal([]string{"cancel"}))
	g.Expect(h.s.Status().Endpoints).To(HaveExactElements(HaveField("Silent", true), HaveField("Silent", false)))
	g.Expect(summary(h.arriveForModel("r2", "m"))).To(Equal([]string{"start r2@e2"}))
	effects := h.send(AttemptEnded{
		Stamp: h.stamp(), Attempt: start.Attempt, Request: start.Request, Reason: AttemptCanceled,
		Verdict: rpverdict.MayHaveRun, TokensRelayed: 5,
	})
	resumed := firstStart(append(effects, h.advanceWithReports(1, other)...))
	g.Expect(resumed.Endpoint).To(Equal(other.id))
	g.Expect(resumed.ResumeAfter).To(Equal(5))
	h.advanceWithReports(1, frozen, other)
	g.Expect(summary(h.arriveForModel("r3", "m"))).To(Equal([]string{"start r3@e1"}), "the engine reports again")
}

// Guards against a resumed stream that is moved away from, or not sent to, the
// only engine with its version of the model because that engine is silent.
func TestSilentEngineWithOnlyVersion(t *testing.T) {
	g := NewWithT(t)
	h := withHarness("a", Limits{}, Policy{})
	frozen := h.addEngine("e1", "m")
	other := h.addEngine("e2")
	h.advanceWithReports(1, frozen, other)
	start := firstStart(h.arriveForModel("r1", "m"))
	key := ModelKey{Service: "kodovac", Name: "m"}
	other.loaded[key] = loadedEntry{LoadedModel: LoadedModel{Key: key, Version: "2"}}
	h.send(AttemptEnded{
		Stamp: h.stamp(), Attempt: start.Attempt, Request: start.Request, Reason: AttemptBroken,
		Verdict: rpverdict.MayHaveRun, TokensRelayed: 5,
	})
	effects := h.advanceWithReports(12, other)
	g.Expect(firstStart(effects).Endpoint).To(Equal(frozen.id))
	g.Expect(summary(effects)).To(Equal([]string{"start r1@e1"}), "no other engine can resume the stream")
	h.endAttempt(firstStart(effects), AttemptBroken, rpverdict.MayHaveRun)
	g.Expect(summary(h.advanceWithReports(4, other))).To(Equal([]string{"start r1@e1"}))
}

// Guards against an instance that receives no reports at all, and cancels
// attempts at engines that still run them.
func TestAllEnginesSilent(t *testing.T) {
	g := NewWithT(t)
	h := withHarness("a", Limits{}, Policy{})
	e1, e2 := h.addEngine("e1", "m"), h.addEngine("e2", "m")
	h.advanceWithReports(1, e1, e2)
	firstStart(h.arriveForModel("r1", "m"))
	g.Expect(summary(h.advanceWithReports(12))).To(BeEmpty())
	firstStart(h.arriveForModel("r2", "m"))
}

// Guards against a canceled or repeated attempt of a request that may run only
// once, because its engine is silent.
func TestSilentEngineKeepsSingleRun(t *testing.T) {
	g := NewWithT(t)
	var table fakeTable
	h := withHarness("a", Limits{}, Policy{})
	frozen, other := h.addEngine("e1", "once"), h.addEngine("e2", "once")
	other.FailureDomain = "fd2"
	h.advanceWithReports(1, frozen, other)
	request := Request{ID: "r1", ModelName: "kodovac/once", IdempotencyKey: "k"}
	g.Expect(firstStart(table.answerAll(h, h.arrive(request))).Endpoint).To(Equal(frozen.id))
	g.Expect(summary(h.advanceWithReports(12, other))).To(BeEmpty())
}
