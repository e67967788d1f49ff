package rpcore

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

var harnessEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// harness drives one State and replaces the parts of the reducer that the
// request part depends on.
type harness struct {
	s            State
	now          time.Time
	alarm        time.Time
	documents    map[string]*rpdocument.Document
	noDocuments  bool
	endpoints    []*endpoint
	demanded     []ModelKey
	expectedWait time.Duration
	onEffects    func([]Effect)
}

// withHarness returns a harness with the document testDocument and without
// endpoints.
func withHarness(name string, limits Limits, policy Policy) *harness {
	h := &harness{now: harnessEpoch, documents: map[string]*rpdocument.Document{"kodovac": testDocument()}}
	self := Identity{Instance: InstanceID(name), Incarnation: "i1", FailureDomain: "fd1"}
	h.send(Start{Stamp: h.stamp(), Self: self, Seed: 7, Limits: limits, Policy: policy})
	h.s.members.endpoints = make(map[EndpointID]*endpoint)
	h.s.requests.deps = requestDeps{
		document:            func(_ *State, name string) *rpdocument.Document { return h.documents[name] },
		hasDocuments:        func(*State) bool { return !h.noDocuments },
		servingEndpoints:    func(_ *State, key ModelKey) []*endpoint { return h.serving(key) },
		serviceEndpoints:    func(_ *State, name string) []*endpoint { return h.plainServices(name) },
		demandReplica:       func(_ *State, key ModelKey) { h.demanded = append(h.demanded, key) },
		expectedReplicaWait: func(*State, ModelKey) (time.Duration, bool) { return h.expectedWait, h.expectedWait > 0 },
		markModelNotLoaded: func(s *State, id EndpointID, key ModelKey) {
			delete(s.endpointByID(id).loaded, key)
		},
		markEndpointLeaving: markEndpointLeaving,
		markEndpointRefused: markEndpointLeaving,
		replicasDrained:     func(*State) bool { return true },
	}
	return h
}

func markEndpointLeaving(s *State, id EndpointID, _ Incarnation) {
	s.endpointByID(id).leaving = true
	s.applyEndpointChange()
}

func testDocument() *rpdocument.Document {
	return &rpdocument.Document{
		Service: "kodovac",
		Ranks: rpdocument.RankSet{
			Urgent:     rpdocument.RankPolicy{Deadline: rpdocument.Duration(2 * time.Second)},
			Normal:     rpdocument.RankPolicy{Deadline: rpdocument.Duration(30 * time.Second)},
			Background: rpdocument.RankPolicy{Deadline: rpdocument.Duration(time.Hour)},
		},
		Models: []rpdocument.Model{
			{Name: "m", Version: "1", MaxReplicas: 4},
			{Name: "cold", Version: "1", MaxReplicas: 1, Rank: rpdocument.RankUrgent},
			{Name: "once", Version: "1", SingleRun: true},
		},
		Adapters: []rpdocument.Adapter{{Name: "a", Version: "3", BaseModel: "m"}},
		Routes: []rpdocument.Route{
			{PathPrefix: "/order", Methods: []string{"POST"}},
			{PathPrefix: "/order/preview", Methods: []string{"POST"}, Repeatable: true},
			{PathPrefix: "/", Methods: []string{"GET"}, Repeatable: true, Rank: rpdocument.RankUrgent},
		},
	}
}

func (h *harness) stamp() Stamp { return Stamp{At: h.now} }

func (h *harness) serving(key ModelKey) []*endpoint {
	var list []*endpoint
	for _, e := range h.endpoints {
		if e.serves(key) {
			list = append(list, e)
		}
	}
	return list
}

func (h *harness) plainServices(service string) []*endpoint {
	var list []*endpoint
	for _, e := range h.endpoints {
		if e.Kind == MemberService && e.Service == service && !e.leaving {
			list = append(list, e)
		}
	}
	return list
}

func (h *harness) addEndpoint(e *endpoint) *endpoint {
	e.Incarnation = "e1"
	e.ID = string(e.id)
	if e.FailureDomain == "" {
		e.FailureDomain = "fd1"
	}
	h.endpoints = append(h.endpoints, e)
	h.s.members.endpoints[e.id] = e
	return e
}

// addEngine adds an engine that has loaded the given models of service kodovac.
func (h *harness) addEngine(id string, models ...string) *endpoint {
	e := &endpoint{id: EndpointID(id), loaded: make(map[ModelKey]loadedEntry)}
	e.Kind = MemberEngine
	for _, model := range models {
		markLoaded(e, model)
	}
	return h.addEndpoint(e)
}

func markLoaded(e *endpoint, model string) {
	key := ModelKey{Service: "kodovac", Name: model}
	e.loaded[key] = loadedEntry{LoadedModel: LoadedModel{Key: key, Version: "1"}}
}

func (h *harness) addPlainService(id string) *endpoint {
	e := &endpoint{id: EndpointID(id)}
	e.Kind = MemberService
	e.Service = "kodovac"
	return h.addEndpoint(e)
}

func (h *harness) send(ev Event) []Effect {
	effects := slices.Clone(h.s.Reduce(ev))
	for _, effect := range effects {
		if alarm, ok := effect.(SetAlarm); ok {
			h.alarm = alarm.At
		}
	}
	if h.onEffects != nil {
		h.onEffects(effects)
	}
	return effects
}

// call runs a function on the State, as another part of the reducer would.
func (h *harness) call(call func(*State)) []Effect {
	h.s.runAt(h.now, call)
	return h.send(Tick{Stamp: h.stamp()})
}

// advance advances the clock and sends a Tick for every alarm that is due.
func (h *harness) advance(d time.Duration) []Effect {
	var effects []Effect
	end := h.now.Add(d)
	for !h.alarm.IsZero() && !h.alarm.After(end) {
		h.now = h.alarm
		h.alarm = time.Time{}
		effects = append(effects, h.send(Tick{Stamp: h.stamp()})...)
	}
	h.now = end
	return effects
}

func (h *harness) arrive(req Request) []Effect {
	return h.send(RequestArrived{Stamp: h.stamp(), Request: req})
}

func (h *harness) arriveForModel(id, model string) []Effect {
	return h.arrive(Request{ID: RequestID(id), ModelName: "kodovac/" + model})
}

func (h *harness) endAttempt(a StartAttempt, reason AttemptReason, verdict rpverdict.Verdict) []Effect {
	return h.send(AttemptEnded{Stamp: h.stamp(), Attempt: a.Attempt, Request: a.Request, Reason: reason, Verdict: verdict})
}

func (h *harness) completeAttempt(a StartAttempt) []Effect {
	return h.endAttempt(a, AttemptComplete, rpverdict.Ran)
}

func effectsOf[T Effect](effects []Effect) []T {
	var list []T
	for _, effect := range effects {
		if e, ok := effect.(T); ok {
			list = append(list, e)
		}
	}
	return list
}

// summary formats the effects on requests and attempts, such as "start r1@e1"
// and "refuse r2 queue_full not_run".
func summary(effects []Effect) []string {
	lines := []string{}
	for _, effect := range effects {
		switch e := effect.(type) {
		case StartAttempt:
			lines = append(lines, fmt.Sprintf("start %s@%s", e.Request, e.Endpoint))
		case RefuseRequest:
			lines = append(lines, fmt.Sprintf("refuse %s %s %s", e.Request, e.Refusal.Code, e.Refusal.Verdict))
		case ReplayOutcome:
			lines = append(lines, fmt.Sprintf("replay %s %s", e.Request, e.Outcome.Body))
		case CancelAttempt:
			lines = append(lines, "cancel")
		}
	}
	return lines
}

func firstStart(effects []Effect) StartAttempt {
	starts := effectsOf[StartAttempt](effects)
	if len(starts) == 0 {
		panic("no attempt started: " + strings.Join(summary(effects), ", "))
	}
	return starts[0]
}

// fakeTable is the platform's table with injected faults. delayed holds the
// writes that have not taken effect yet.
type fakeTable struct {
	rows    map[RowKey]Row
	delayed [][]RowWrite
}

// tableMode determines the result of one operation.
type tableMode int

const (
	tableWorks tableMode = iota
	tableRefuses
	tableAppliesAnswerLost
	tableDropsAnswerLost
	tableDelaysAnswerLost
)

func (f *fakeTable) write(writes []RowWrite) WriteOutcome {
	if f.rows == nil {
		f.rows = make(map[RowKey]Row)
	}
	for _, w := range writes {
		if f.rows[w.Key].Version != w.ExpectVersion {
			return WriteConflict
		}
	}
	for _, w := range writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = Row{Key: w.Key, Version: w.ExpectVersion + 1, Nonce: w.Nonce, RowBody: w.RowBody}
	}
	return WriteApplied
}

func (f *fakeTable) answerWrite(w WriteTable, mode tableMode) WriteOutcome {
	switch mode {
	case tableWorks:
		return f.write(w.Writes)
	case tableRefuses:
		return WriteUnavailable
	case tableAppliesAnswerLost:
		f.write(w.Writes)
	case tableDelaysAnswerLost:
		f.delayed = append(f.delayed, w.Writes)
	default:
	}
	return WriteUnknown
}

func (f *fakeTable) read(op ReadTable) []Row {
	var rows []Row
	for _, key := range op.Keys {
		if row, ok := f.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// answer executes one operation and sends its answer to the instance.
func (f *fakeTable) answer(h *harness, op Effect, mode tableMode) []Effect {
	switch op := op.(type) {
	case WriteTable:
		return h.send(TableWriteDone{Stamp: h.stamp(), Op: op.Op, Outcome: f.answerWrite(op, mode)})
	case ReadTable:
		done := TableReadDone{Stamp: h.stamp(), Op: op.Op, Unavailable: mode != tableWorks}
		if !done.Unavailable {
			done.Rows = f.read(op)
		}
		return h.send(done)
	}
	return nil
}

// answerAll answers all table operations among the effects, and those that
// follow from the answers. It returns all effects.
func (f *fakeTable) answerAll(h *harness, effects []Effect) []Effect {
	all := slices.Clone(effects)
	for i := 0; i < len(all); i++ {
		all = append(all, f.answer(h, all[i], tableWorks)...)
	}
	return all
}
