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

// modelRequest is what the property test knows of a request.
type modelRequest struct {
	rig          *harness
	deadline     time.Time
	key          string
	abandoned    bool
	ends         int
	lastEndpoint EndpointID
}

// modelAttempt is what the property test knows of an attempt.
type modelAttempt struct {
	StartAttempt
	rig    *harness
	ended  bool
	notRun bool
}

type tableCall struct {
	rig *harness
	op  Effect
}

// requestModel drives two States that share a table and checks what callers
// may rely on.
type requestModel struct {
	t        *rapid.T
	table    fakeTable
	rigs     []*harness
	requests map[RequestID]*modelRequest
	attempts []*modelAttempt
	calls    []tableCall
	answers  map[string]string
}

func newRequestModel(t *rapid.T) *requestModel {
	m := &requestModel{t: t, requests: make(map[RequestID]*modelRequest), answers: make(map[string]string)}
	for _, name := range []string{"a", "b"} {
		r := newHarness(name, Limits{EngineConcurrency: 2}, Policy{})
		r.addEngine("e1", "m", "once")
		r.addEngine("e2", "m", "once")
		r.addEngine("e3", "m")
		r.onEffects = func(effects []Effect) { m.observe(r, effects) }
		m.rigs = append(m.rigs, r)
	}
	return m
}

func (m *requestModel) observe(r *harness, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case WriteTable, ReadTable:
			m.calls = append(m.calls, tableCall{rig: r, op: e})
		case StartAttempt:
			m.attemptStarted(r, e)
		case RefuseRequest:
			m.requestEnded(r, e.Request)
			if e.Refusal.Verdict == rpverdict.NotRun {
				m.expectNotRun(e.Request)
			}
		case ReplayOutcome:
			m.requestEnded(r, e.Request)
			if want := m.answers[m.requests[e.Request].key]; want != string(e.Outcome.Body) {
				m.t.Fatalf("request %s got the answer %q in place of %q", e.Request, e.Outcome.Body, want)
			}
		}
	}
}

func (m *requestModel) attemptStarted(r *harness, start StartAttempt) {
	request := m.requests[start.Request]
	for _, a := range m.attempts {
		if a.Attempt == start.Attempt {
			m.t.Fatalf("attempt id %s is used twice", a.Attempt)
		}
		if start.Record && a.Record && m.requests[a.Request].key == request.key && !a.notRun {
			m.t.Fatalf("key %s is dispatched as %s although %s may have run", request.key, start.Attempt, a.Attempt)
		}
	}
	if request.ends > 0 || request.abandoned || !r.now.Before(request.deadline) {
		m.t.Fatalf("attempt %s of an ended or late request", start.Attempt)
	}
	if start.Model.Name == "m" && start.Endpoint == request.lastEndpoint {
		m.t.Fatalf("attempt %s goes to the endpoint that just failed, although others serve the model", start.Attempt)
	}
	request.lastEndpoint = start.Endpoint
	m.attempts = append(m.attempts, &modelAttempt{StartAttempt: start, rig: r})
}

func (m *requestModel) requestEnded(r *harness, id RequestID) {
	request := m.requests[id]
	request.ends++
	if request.ends > 1 || request.abandoned {
		m.t.Fatalf("request %s ended twice", id)
	}
	if r.now.After(request.deadline) {
		m.t.Fatalf("request %s ended at %s, after its deadline %s", id, r.now, request.deadline)
	}
}

func (m *requestModel) expectNotRun(id RequestID) {
	for _, a := range m.attempts {
		if a.Request == id && !a.notRun {
			m.t.Fatalf("request %s is refused as not_run although %s may have run", id, a.Attempt)
		}
	}
}

func (m *requestModel) arrive() {
	r := rapid.SampledFrom(m.rigs).Draw(m.t, "instance")
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
	m.requests[id] = &modelRequest{rig: r, deadline: r.now.Add(req.Timeout), key: req.IdempotencyKey}
	r.arrive(req)
}

func (m *requestModel) answerTable() {
	if len(m.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.calls)-1).Draw(m.t, "call")
	modes := []tableMode{tableWorks, tableWorks, tableWorks, tableRefuses, tableAppliesAnswerLost, tableDropsAnswerLost, tableDelaysAnswerLost}
	m.answerCall(i, rapid.SampledFrom(modes).Draw(m.t, "mode"))
}

// loseAnswers has the table lose its answers for as long as the repetitions of
// a write take. Single lost answers hardly ever use them up.
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
	m.table.answer(call.rig, call.op, mode)
}

// applyDelayed lets a write take effect long after its answer was lost, and
// keeps it, since a network may deliver a message twice.
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
		m.end(rapid.SampledFrom(list).Draw(m.t, "attempt"), rapid.SampledFrom(reasons).Draw(m.t, "reason"))
	}
}

func (m *requestModel) end(a *modelAttempt, reason AttemptReason) {
	request := m.requests[a.Request]
	ev := AttemptEnded{Stamp: a.rig.stamp(), Attempt: a.Attempt, Request: a.Request, Reason: reason, Verdict: rpverdict.MayHaveRun}
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
	a.rig.send(ev)
	m.restoreEngines(a.rig)
}

// restoreEngines undoes what single attempts said about the engines.
func (m *requestModel) restoreEngines(r *harness) {
	for _, e := range r.endpoints {
		e.leaving = false
		markLoaded(e, "m")
		if e.id != "e3" {
			markLoaded(e, "once")
		}
	}
}

// repeatEnd delivers the end of an attempt again, as another one.
func (m *requestModel) repeatEnd() {
	for _, a := range m.attempts {
		if !a.ended {
			continue
		}
		for _, reason := range []AttemptReason{AttemptComplete, AttemptBroken} {
			if lines := summary(a.rig.endAttempt(a.StartAttempt, reason, rpverdict.Ran)); len(lines) > 0 {
				m.t.Fatalf("late end of attempt %s had effects: %v", a.Attempt, lines)
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
	request.rig.send(RequestAbandoned{Stamp: request.rig.stamp(), Request: id})
}

func (m *requestModel) advance(d time.Duration) {
	for _, r := range m.rigs {
		r.advance(d)
	}
}

// finish ends everything that is under way and checks that nothing is left.
func (m *requestModel) finish() {
	for range 400 {
		for len(m.calls) > 0 {
			m.answerCall(0, tableWorks)
		}
		for _, a := range m.running() {
			m.end(a, AttemptBroken)
		}
		m.advance(500 * time.Millisecond)
	}
	for id, request := range m.requests {
		if request.ends != 1 && !request.abandoned {
			m.t.Fatalf("request %s ended %d times", id, request.ends)
		}
	}
	for _, r := range m.rigs {
		v := &r.s.requests
		if len(v.byID)+len(v.attempts)+len(v.active)+r.s.claims.finalizing != 0 {
			m.t.Fatalf("instance %s still holds work: %d requests, %d attempts, %d lanes, %d claims",
				r.s.self.Instance, len(v.byID), len(v.attempts), len(v.active), r.s.claims.finalizing)
		}
		for _, e := range r.endpoints {
			if e.inFlight != 0 {
				m.t.Fatalf("endpoint %s keeps %d requests in flight", e.id, e.inFlight)
			}
		}
	}
}

// Guards against every fault that a caller would notice under lost answers,
// outages and failing attempts: a request without an end, with two, or with
// one after its deadline; a second run under one key; a not_run that ran; and
// a late answer that reaches another attempt.
func TestRequestProperties(t *testing.T) {
	checkProperty(t, func(t *rapid.T) {
		m := newRequestModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":       func(*rapid.T) { m.arrive() },
			"answer table": func(*rapid.T) { m.answerTable() },
			"table again":  func(*rapid.T) { m.answerTable() },
			"delayed":      func(*rapid.T) { m.applyDelayed() },
			"lose answers": func(*rapid.T) { m.loseAnswers() },
			"end":          func(*rapid.T) { m.endAttempt() },
			"repeat end":   func(*rapid.T) { m.repeatEnd() },
			"abandon":      func(*rapid.T) { m.abandon() },
			"advance": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
			},
		})
		m.finish()
	})
}

// Guards against a rank that starves, and against an idle engine, when one
// rank exceeds the capacity by far.
func TestFloorsHoldInOverload(t *testing.T) {
	checkProperty(t, func(t *rapid.T) {
		g := NewWithT(t)
		r := newHarness("a", Limits{EngineConcurrency: rapid.IntRange(1, 4).Draw(t, "concurrency")}, Policy{})
		r.addEngine("e1", "m", "cold", "a")
		ranks := &r.documents["kodovac"].Ranks
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
		r.onEffects = func(effects []Effect) { running = append(running, effectsOf[StartAttempt](effects)...) }
		n := 0
		top := func() {
			for _, rank := range rpdocument.Ranks {
				want := 3
				if rank == overload {
					want = 40
				}
				for r.s.waitingByRank()[rank.Index()] < want {
					n++
					model := []string{"m", "cold", "a"}[n%3]
					r.arrive(Request{ID: RequestID(fmt.Sprint(n)), ModelName: "kodovac/" + model, Rank: rank})
				}
			}
		}
		top()
		running = running[:len(running):len(running)]
		const dispatches = 400
		for range dispatches {
			a := running[0]
			running = running[1:]
			before := len(running)
			r.completeAttempt(a)
			g.Expect(running).To(HaveLen(before+1), "the free place is filled at once")
			served[running[before].Rank.Index()]++
			r.advance(time.Millisecond)
			top()
		}
		for _, rank := range rpdocument.Ranks {
			floor := r.documents["kodovac"].Rank(rank).Floor
			g.Expect(served[rank.Index()]).To(BeNumerically(">=", int(floor*dispatches)-4), "%s of %v", rank, served)
		}
	})
}
