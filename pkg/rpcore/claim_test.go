package rpcore

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

func singleRunRequest(id, fingerprint string) Request {
	return Request{ID: RequestID(id), ModelName: "kodovac/once", IdempotencyKey: "k", Fingerprint: fingerprint, Timeout: 10 * time.Second}
}

// withClaimHarness returns a harness with an engine that serves the model once,
// and the table that answers it.
func withClaimHarness() (*harness, *fakeTable) {
	h := withHarness("a", Limits{}, Policy{})
	h.addEngine("e1", "once")
	return h, &fakeTable{}
}

func (h *harness) claimState(f *fakeTable) ClaimState {
	return f.rows[RowKey{Kind: RowClaim, Service: "kodovac", Name: "k"}].Claim.State
}

// Guards against an answer to a repeated key that differs from the recorded
// outcome.
func TestClaimReplay(t *testing.T) {
	g := NewWithT(t)
	h, table := withClaimHarness()
	effects := h.arrive(singleRunRequest("r1", "f"))
	g.Expect(summary(effects)).To(BeEmpty(), "nothing is dispatched before the claim")
	start := firstStart(table.answerAll(h, effects))
	g.Expect(start.Record).To(BeTrue())

	follower := table.answerAll(h, h.arrive(singleRunRequest("r2", "f")))
	g.Expect(summary(follower)).To(BeEmpty())
	g.Expect(summary(table.answerAll(h, h.arrive(singleRunRequest("r3", "g"))))).To(Equal([]string{"refuse r3 idempotency_key_reused not_run"}))
	done := AttemptEnded{
		Stamp: h.stamp(), Attempt: start.Attempt, Request: "r1", Reason: AttemptComplete,
		Verdict: rpverdict.Ran, Outcome: &Outcome{Status: 200, Body: []byte("paid")},
	}
	table.answerAll(h, h.send(done))
	g.Expect(h.claimState(table)).To(Equal(ClaimFinished))
	g.Expect(summary(table.answerAll(h, h.advance(2*time.Second)))).To(Equal([]string{"replay r2 paid"}))
}

// Guards against a second run of a request that may have run, and against a key
// that stays claimed although its request certainly did not run.
func TestClaimAfterFailure(t *testing.T) {
	g := NewWithT(t)
	h, table := withClaimHarness()
	start := firstStart(table.answerAll(h, h.arrive(singleRunRequest("r1", "f"))))
	h.endAttempt(start, AttemptBusy, rpverdict.NotRun)
	start = firstStart(h.advance(time.Second))
	for range 3 {
		h.endAttempt(start, AttemptFailed, rpverdict.NotRun)
		start = firstStart(h.advance(time.Second))
	}
	effects := table.answerAll(h, h.endAttempt(start, AttemptFailed, rpverdict.NotRun))
	g.Expect(summary(effects)).To(Equal([]string{"refuse r1 attempt_failed not_run"}))
	g.Expect(h.claimState(table)).To(Equal(ClaimReleased))
	start = firstStart(table.answerAll(h, h.arrive(singleRunRequest("r2", "g"))))
	effects = table.answerAll(h, h.endAttempt(start, AttemptBroken, rpverdict.MayHaveRun))
	g.Expect(summary(effects)).To(Equal([]string{"refuse r2 attempt_failed may_have_run"}))
	g.Expect(h.claimState(table)).To(Equal(ClaimUncertain))
	g.Expect(summary(table.answerAll(h, h.arrive(singleRunRequest("r3", "g"))))).
		To(Equal([]string{"refuse r3 earlier_attempt_unknown may_have_run"}))
}

// Guards against dispatch without a claim or after the deadline. Guards also
// against a claim write that takes effect after its request was refused and
// blocks the key.
func TestClaimWithoutTable(t *testing.T) {
	g := NewWithT(t)
	h, table := withClaimHarness()
	write := effectsOf[WriteTable](h.arrive(singleRunRequest("r1", "f")))[0]
	g.Expect(summary(table.answer(h, write, tableRefuses))).To(Equal([]string{"refuse r1 table_unavailable not_run"}))

	write = effectsOf[WriteTable](h.arrive(singleRunRequest("r2", "f")))[0]
	g.Expect(summary(h.advance(10 * time.Second))).To(Equal([]string{"refuse r2 deadline_exceeded not_run"}))
	g.Expect(summary(table.answerAll(h, table.answer(h, write, tableWorks)))).To(BeEmpty())
	g.Expect(h.claimState(table)).To(Equal(ClaimReleased))

	delete(table.rows, write.Writes[0].Key)
	write = effectsOf[WriteTable](h.arrive(singleRunRequest("r2b", "f")))[0]
	h.now = h.now.Add(10 * time.Second)
	g.Expect(summary(table.answerAll(h, table.answer(h, write, tableWorks)))).
		To(Equal([]string{"refuse r2b deadline_exceeded not_run"}), "the answer arrives with the deadline in one event")

	delete(table.rows, write.Writes[0].Key)
	effects := h.arrive(singleRunRequest("r3", "f"))
	for range 60 {
		for i := 0; i < len(effects); i++ {
			mode := tableRefuses
			if _, ok := effects[i].(WriteTable); ok && len(table.delayed) == 0 {
				mode = tableDelaysAnswerLost
			}
			effects = append(effects, table.answer(h, effects[i], mode)...)
		}
		g.Expect(effectsOf[StartAttempt](effects)).To(BeEmpty(), "the claim may belong to another request")
		if refused := effectsOf[RefuseRequest](effects); len(refused) > 0 {
			g.Expect(refused[0].Refusal.Code).To(Equal(rpverdict.CodeTableUnavailable))
			break
		}
		effects = h.advance(200 * time.Millisecond)
	}
	g.Expect(h.s.requests.byID).To(BeEmpty())
	table.answerAll(h, h.advance(time.Minute))
	g.Expect(h.claimState(table)).To(Equal(ClaimReleased))
	g.Expect(table.write(table.delayed[0])).To(Equal(WriteConflict))
}

// Guards against a retried release that overwrites the claim of another
// instance. The release is retried because its answer was lost, although it was
// applied.
func TestClaimReleaseIsNotRepeatedOverAnotherClaim(t *testing.T) {
	g := NewWithT(t)
	h, table := withClaimHarness()
	other := withHarness("b", Limits{}, Policy{})
	other.addEngine("e1", "once")
	h.endpoints[0].leaving = true
	table.answerAll(h, h.arrive(singleRunRequest("r1", "f")))
	release := effectsOf[WriteTable](h.advance(10 * time.Second))[0]
	effects := table.answer(h, release, tableAppliesAnswerLost)
	firstStart(table.answerAll(other, other.arrive(singleRunRequest("r2", "f"))))
	table.answerAll(h, effects)
	for range 20 {
		table.answerAll(h, h.advance(time.Second))
	}
	table.write(release.Writes)
	row := table.rows[release.Writes[0].Key]
	g.Expect(row.Claim.State).To(Equal(ClaimOpen))
	g.Expect(row.Claim.Owner).To(Equal(InstanceID("b")))
}
