package rpcore

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// modelRequest is the expected state of a request.
type modelRequest struct {
	instance     *harness
	deadline     time.Time
	key          string
	abandoned    bool
	ends         int
	lastEndpoint EndpointID
}

// modelAttempt is the expected state of an attempt.
type modelAttempt struct {
	StartAttempt
	instance *harness
	ended    bool
	notRun   bool
}

type tableCall struct {
	instance *harness
	op       Effect
}

// requestModel drives two instances that share a table and checks the
// guarantees given to callers.
type requestModel struct {
	t         *rapid.T
	table     fakeTable
	instances []*harness
	requests  map[RequestID]*modelRequest
	attempts  []*modelAttempt
	calls     []tableCall
	answers   map[string]string
}

// withRequestModel returns a model of two instances with three engines each.
func withRequestModel(t *rapid.T) *requestModel {
	m := &requestModel{t: t, requests: make(map[RequestID]*modelRequest), answers: make(map[string]string)}
	for _, name := range []string{"a", "b"} {
		h := withHarness(name, Limits{EngineConcurrency: 2}, Policy{})
		h.addEngine("e1", "m", "once")
		h.addEngine("e2", "m", "once")
		h.addEngine("e3", "m")
		h.onEffects = func(effects []Effect) { m.observe(h, effects) }
		m.instances = append(m.instances, h)
	}
	return m
}

func (m *requestModel) observe(h *harness, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case WriteTable, ReadTable:
			m.calls = append(m.calls, tableCall{instance: h, op: e})
		case StartAttempt:
			m.attemptStarted(h, e)
		case RefuseRequest:
			m.requestEnded(h, e.Request)
			if e.Refusal.Verdict == rpverdict.NotRun {
				m.expectNotRun(e.Request)
			}
		case ReplayOutcome:
			m.requestEnded(h, e.Request)
			if want := m.answers[m.requests[e.Request].key]; want != string(e.Outcome.Body) {
				m.t.Fatalf("request %s got the answer %q instead of %q", e.Request, e.Outcome.Body, want)
			}
		}
	}
}

func (m *requestModel) attemptStarted(h *harness, start StartAttempt) {
	request := m.requests[start.Request]
	for _, a := range m.attempts {
		if a.Attempt == start.Attempt {
			m.t.Fatalf("attempt id %s was used twice", a.Attempt)
		}
		if start.Record && a.Record && m.requests[a.Request].key == request.key && !a.notRun {
			m.t.Fatalf("a request with key %s started as attempt %s although attempt %s may have run", request.key, start.Attempt, a.Attempt)
		}
	}
	if request.ends > 0 || request.abandoned || !h.now.Before(request.deadline) {
		m.t.Fatalf("attempt %s started after the end or the deadline of its request", start.Attempt)
	}
	if start.Model.Name == "m" && start.Endpoint == request.lastEndpoint {
		m.t.Fatalf("attempt %s was sent to the endpoint of the last attempt, although others serve the model", start.Attempt)
	}
	request.lastEndpoint = start.Endpoint
	m.attempts = append(m.attempts, &modelAttempt{StartAttempt: start, instance: h})
}

func (m *requestModel) requestEnded(h *harness, id RequestID) {
	request := m.requests[id]
	request.ends++
	if request.ends > 1 || request.abandoned {
		m.t.Fatalf("request %s ended twice", id)
	}
	if h.now.After(request.deadline) {
		m.t.Fatalf("request %s ended at %s, after its deadline %s", id, h.now, request.deadline)
	}
}

// expectNotRun fails if an attempt of a request may have run.
func (m *requestModel) expectNotRun(id RequestID) {
	for _, a := range m.attempts {
		if a.Request == id && !a.notRun {
			m.t.Fatalf("request %s was refused as not_run although attempt %s may have run", id, a.Attempt)
		}
	}
}

func (m *requestModel) arrive() {
	h := rapid.SampledFrom(m.instances).Draw(m.t, "instance")
	id := RequestID(fmt.Sprintf("r%d", len(m.requests)))
	req := Request{
		ID: id, ModelName: "kodovac/m", Fingerprint: "f",
		Timeout: time.Duration(rapid.IntRange(1, 4000).Draw(m.t, "timeout")) * time.Millisecond,
		Rank:    rapid.SampledFrom(rpdocument.Ranks[:]).Draw(m.t, "rank"),
	}
	if rapid.Bool().Draw(m.t, "single") {
		req.ModelName = "kodovac/once"
		req.IdempotencyKey = rapid.SampledFrom([]string{"k1", "k2"}).Draw(m.t, "key")
	}
	m.requests[id] = &modelRequest{instance: h, deadline: h.now.Add(req.Timeout), key: req.IdempotencyKey}
	h.arrive(req)
}

func (m *requestModel) answerTable() {
	if len(m.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.calls)-1).Draw(m.t, "call")
	modes := []tableMode{tableWorks, tableWorks, tableWorks, tableRefuses, tableAppliesAnswerLost, tableDropsAnswerLost, tableDelaysAnswerLost}
	m.answerCall(i, rapid.SampledFrom(modes).Draw(m.t, "mode"))
}

// loseAnswers loses the answers of the table until all retries of a write are
// used up. Answers lost at random hardly ever reach that case.
func (m *requestModel) loseAnswers() {
	lost := []tableMode{tableAppliesAnswerLost, tableDropsAnswerLost, tableDelaysAnswerLost}
	for retry := range maxWriteRetries + 1 {
		for len(m.calls) > 0 {
			m.answerCall(0, rapid.SampledFrom(lost).Draw(m.t, "lost"))
		}
		m.advance(retryDelay(retry + 1))
	}
}

func (m *requestModel) answerCall(i int, mode tableMode) {
	call := m.calls[i]
	m.calls = append(m.calls[:i], m.calls[i+1:]...)
	m.table.answer(call.instance, call.op, mode)
}

// applyDelayed applies a write long after its answer was lost. The write may be
// applied again later, since a network may deliver a message twice.
func (m *requestModel) applyDelayed() {
	if len(m.table.delayed) > 0 {
		m.table.write(rapid.SampledFrom(m.table.delayed).Draw(m.t, "delayed"))
	}
}

func (m *requestModel) running() []*modelAttempt {
	var list []*modelAttempt
	for _, a := range m.attempts {
		if !a.ended {
			list = append(list, a)
		}
	}
	return list
}

func (m *requestModel) endAttempt() {
	if list := m.running(); len(list) > 0 {
		reasons := []AttemptReason{
			AttemptComplete, AttemptComplete, AttemptRefusedConnection, AttemptNotLoaded,
			AttemptBusy, AttemptBroken, AttemptFailed, AttemptTimedOut,
		}
		m.endWithReason(rapid.SampledFrom(list).Draw(m.t, "attempt"), rapid.SampledFrom(reasons).Draw(m.t, "reason"))
	}
}

func (m *requestModel) endWithReason(a *modelAttempt, reason AttemptReason) {
	request := m.requests[a.Request]
	ev := AttemptEnded{Stamp: a.instance.stamp(), Attempt: a.Attempt, Request: a.Request, Reason: reason, Verdict: rpverdict.MayHaveRun}
	switch reason {
	case AttemptComplete:
		ev.Verdict = rpverdict.Ran
		ev.Outcome = &Outcome{Status: 200, Body: []byte(a.Attempt)}
		if a.Record {
			m.answers[request.key] = string(a.Attempt)
		}
		if request.ends == 0 && !request.abandoned {
			request.ends++
		}
	case AttemptRefusedConnection, AttemptNotLoaded, AttemptBusy:
		ev.Verdict = rpverdict.NotRun
	default:
		if rapid.Bool().Draw(m.t, "not run") {
			ev.Verdict = rpverdict.NotRun
		}
		if !a.Record && ev.Verdict != rpverdict.NotRun {
			ev.TokensRelayed = rapid.IntRange(0, 2).Draw(m.t, "tokens")
		}
	}
	a.ended = true
	a.notRun = ev.Verdict == rpverdict.NotRun
	a.instance.send(ev)
	m.restoreEngines(a.instance)
}

// restoreEngines undoes the changes of the engines' state that attempts caused.
func (m *requestModel) restoreEngines(h *harness) {
	for _, e := range h.endpoints {
		e.leaving = false
		markLoaded(e, "m")
		if e.id != "e3" {
			markLoaded(e, "once")
		}
	}
}

// endAttemptsAgain delivers a second end, with another reason, of each ended
// attempt. It must have no effect.
func (m *requestModel) endAttemptsAgain() {
	for _, a := range m.attempts {
		if !a.ended {
			continue
		}
		for _, reason := range []AttemptReason{AttemptComplete, AttemptBroken} {
			if lines := summary(a.instance.endAttempt(a.StartAttempt, reason, rpverdict.Ran)); len(lines) > 0 {
				m.t.Fatalf("the second end of attempt %s had effects: %v", a.Attempt, lines)
			}
		}
	}
}

func (m *requestModel) abandon() {
	id := RequestID(fmt.Sprintf("r%d", rapid.IntRange(0, 40).Draw(m.t, "request")))
	request, ok := m.requests[id]
	if !ok || request.ends > 0 {
		return
	}
	request.abandoned = true
	request.instance.send(RequestAbandoned{Stamp: request.instance.stamp(), Request: id})
}

func (m *requestModel) advance(d time.Duration) {
	for _, h := range m.instances {
		h.advance(d)
	}
}

// endAllAndCheck ends everything in progress and checks that no state is left
// over.
func (m *requestModel) endAllAndCheck() {
	for range 400 {
		for len(m.calls) > 0 {
			m.answerCall(0, tableWorks)
		}
		for _, a := range m.running() {
			m.endWithReason(a, AttemptBroken)
		}
		m.advance(500 * time.Millisecond)
	}
	for id, request := range m.requests {
		if request.ends != 1 && !request.abandoned {
			m.t.Fatalf("request %s ended %d times", id, request.ends)
		}
	}
	for _, h := range m.instances {
		v := &h.s.requests
		if len(v.byID)+len(v.attempts)+len(v.activeLanes)+h.s.claims.finalizing != 0 {
			m.t.Fatalf("instance %s has state left over: %d requests, %d attempts, %d lanes, %d claims",
				h.s.self.Instance, len(v.byID), len(v.attempts), len(v.activeLanes), h.s.claims.finalizing)
		}
		for _, e := range h.endpoints {
			if e.inFlight != 0 {
				m.t.Fatalf("endpoint %s still counts %d requests in flight", e.id, e.inFlight)
			}
		}
	}
}

// Guards against faults that a caller would notice during lost answers, outages
// and failing attempts: a request that never ends, ends twice or ends after its
// deadline; a second run with the same idempotency key; a refusal as not_run of
// a request that ran; and a late end of an attempt that affects another
// attempt.
func TestRequestProperties(t *testing.T) {
	checkProperty(t, func(t *rapid.T) {
		m := withRequestModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":       func(*rapid.T) { m.arrive() },
			"answer table": func(*rapid.T) { m.answerTable() },
			"table again":  func(*rapid.T) { m.answerTable() },
			"delayed":      func(*rapid.T) { m.applyDelayed() },
			"lose answers": func(*rapid.T) { m.loseAnswers() },
			"end":          func(*rapid.T) { m.endAttempt() },
			"repeat end":   func(*rapid.T) { m.endAttemptsAgain() },
			"abandon":      func(*rapid.T) { m.abandon() },
			"advance": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
			},
		})
		m.endAllAndCheck()
	})
}

// Guards against ranks below their floor and against an idle engine while one
// rank far exceeds the capacity.
func TestFloorsHoldInOverload(t *testing.T) {
	checkProperty(t, func(t *rapid.T) {
		g := NewWithT(t)
		h := withHarness("a", Limits{EngineConcurrency: rapid.IntRange(1, 4).Draw(t, "concurrency")}, Policy{})
		h.addEngine("e1", "m", "cold", "a")
		ranks := &h.documents["kodovac"].Ranks
		left := 100
		for _, policy := range []*rpdocument.RankPolicy{&ranks.Urgent, &ranks.Normal, &ranks.Background} {
			share := rapid.IntRange(0, left).Draw(t, "floor")
			left -= share
			policy.Floor = float64(share) / 100
			policy.Deadline = rpdocument.Duration(time.Hour)
			policy.QueueLimit = 1000
		}
		overload := rapid.SampledFrom(rpdocument.Ranks[:]).Draw(t, "overload")
		var running []StartAttempt
		var served [rpdocument.RankCount]int
		h.onEffects = func(effects []Effect) { running = append(running, effectsOf[StartAttempt](effects)...) }
		n := 0
		refillQueues := func() {
			for _, rank := range rpdocument.Ranks {
				want := 3
				if rank == overload {
					want = 40
				}
				for h.s.waitingByRank()[rank.Index()] < want {
					n++
					model := []string{"m", "cold", "a"}[n%3]
					h.arrive(Request{ID: RequestID(fmt.Sprint(n)), ModelName: "kodovac/" + model, Rank: rank})
				}
			}
		}
		refillQueues()
		running = running[:len(running):len(running)]
		const dispatches = 400
		for range dispatches {
			a := running[0]
			running = running[1:]
			before := len(running)
			h.completeAttempt(a)
			g.Expect(running).To(HaveLen(before+1), "the freed capacity is used at once")
			served[running[before].Rank.Index()]++
			h.advance(time.Millisecond)
			refillQueues()
		}
		for _, rank := range rpdocument.Ranks {
			floor := h.documents["kodovac"].Rank(rank).Floor
			g.Expect(served[rank.Index()]).To(BeNumerically(">=", int(floor*dispatches)-4), "%s of %v", rank, served)
		}
	})
}
