package rpfleet_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// harness drives one State and collects the effects that it returns. Tests read
// them by type with effectsOf.
type harness struct {
	t       *testing.T
	state   rpfleet.State
	now     time.Time
	effects []rpfleet.Effect
	alarm   time.Time
	// lease is the row that this instance last wrote.
	lease rpfleet.LeaseRow
	// prompts are the shared parts of the requests of arrivePrompt.
	prompts map[rpcore.RequestID][]string
	// discarded is the number of effects that effectsOf skips.
	discarded int
}

const (
	testService = "assistant"
	testPlain   = "orders"
	homeDomain  = rpcore.FailureDomain("zone-a")
	testGB      = rpdocument.Bytes(1e9)
)

func withHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, now: time.Unix(1_800_000_000, 0)}
	h.apply(rpfleet.Start{
		Stamp:       h.stamp(),
		Self:        rpcore.Identity{Instance: "front-1", FailureDomain: homeDomain},
		PeerAddress: netip.MustParseAddrPort("10.0.0.1:7000"),
		Seed:        1,
	})
	return h
}

func (h *harness) stamp() rpfleet.Stamp { return rpfleet.Stamp{At: h.now} }

func (h *harness) apply(ev rpfleet.Event) {
	for _, effect := range h.state.Reduce(ev) {
		if alarm, ok := effect.(rpfleet.SetAlarm); ok {
			h.alarm = alarm.At
			continue
		}
		if testing.Verbose() {
			h.t.Logf("%s %T %+v", h.now.Format("05.000"), effect, effect)
		}
		h.effects = append(h.effects, effect)
	}
}

// advance lets time pass and fires the alarms that are due.
func (h *harness) advance(d time.Duration) {
	end := h.now.Add(d)
	for !h.alarm.IsZero() && !h.alarm.After(end) {
		h.now = h.alarm
		h.alarm = time.Time{}
		h.apply(rpfleet.Tick{Stamp: h.stamp()})
	}
	h.now = end
}

// effectsOf returns the effects of a type since the last call of
// discardEffects.
func effectsOf[E rpfleet.Effect](h *harness) []E {
	var found []E
	for _, effect := range h.effects[h.discarded:] {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

func (h *harness) discardEffects() { h.discarded = len(h.effects) }

// testConfig has a resumable stream, a stream that runs at most once, and both
// kinds of plain routes.
func testConfig(version uint64) *rpfleet.Config {
	models := map[string]rpfleet.ModelSpec{}
	for i := range 8 {
		models[fmt.Sprintf("m%d", i)] = rpfleet.ModelSpec{
			Memory: 70 * testGB, AdapterMemory: testGB, Adapters: 4,
			LoadTimes: map[rpcore.CheckpointPlace]time.Duration{
				rpcore.PlaceMemory: 800 * time.Millisecond,
				rpcore.PlaceDisk:   time.Second,
				rpcore.PlaceRemote: 6 * time.Second,
			},
		}
	}
	route := func(name, prefix string, kind rpfleet.RouteKind, rank, endpoints int, service string) rpfleet.Route {
		return rpfleet.Route{
			Name: name, Host: "shop.example", Prefix: prefix, Kind: kind, Rank: rank, MaxEndpoints: endpoints,
			Timeout: 8 * time.Second, Target: 500 * time.Millisecond, EventGap: 600 * time.Millisecond,
			Services: []rpfleet.WeightedService{{Service: service, Weight: 1}},
		}
	}
	config := &rpfleet.Config{
		Version: version,
		Services: map[string]*rpfleet.Service{
			testService: {Name: testService, Engine: &rpfleet.EngineSpec{Slots: 4, Memory: 230 * testGB, AdapterSlots: 2, Models: models}},
			testPlain:   {Name: testPlain},
		},
		Routes: []rpfleet.Route{
			route("suggest", "/suggest/", rpfleet.KindStream, 0, 2, testService),
			route("later", "/later/", rpfleet.KindStream, 2, 1, testService),
			route("place", "/place/", rpfleet.KindNonIdempotent, 1, 1, testPlain),
			route("stock", "/stock/", rpfleet.KindIdempotent, 1, 2, testPlain),
		},
	}
	config.Routes[0].Resumable = true
	config.Routes[1].Target = 6 * time.Second
	config.Routes[1].Timeout = 15 * time.Second
	config.Index()
	return config
}

func testEndpoint(id, service string, domain rpcore.FailureDomain, models ...string) rpfleet.Endpoint {
	e := rpfleet.Endpoint{
		ID: rpcore.EndpointID(id), Service: service, FailureDomain: domain, Incarnation: "1", Slots: 4,
		Address: netip.MustParseAddrPort("10.0.1.1:9000"), Cached: map[string]rpcore.CheckpointPlace{},
	}
	for _, model := range models {
		e.Models = append(e.Models, rpfleet.HeldModel{Name: model, Version: "1"})
		e.Cached[model] = rpcore.PlaceDisk
	}
	return e
}

// configure puts testConfig and a list of endpoints in force. No prompt part is in
// quarantine.
func (h *harness) configure(endpoints ...rpfleet.Endpoint) {
	h.apply(rpfleet.EvidenceRead{Stamp: h.stamp(), Complete: true})
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: testConfig(1)})
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now, Complete: true, Entries: endpoints})
	// Without a placement of a planner, an instance assumes that it shares the
	// slack of the retry budget with many others.
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: 3}})
}

func (h *harness) arriveRequest(id, path, model string) {
	request := rpfleet.Request{
		ID: rpcore.RequestID(id), Host: "shop.example", Path: path, Model: model, Deadline: h.now.Add(8 * time.Second),
	}
	h.apply(rpfleet.RequestArrived{Stamp: h.stamp(), Request: request})
}

// lastAttempt returns the latest attempt of a request.
func (h *harness) lastAttempt(id string) rpfleet.StartAttempt {
	h.t.Helper()
	attempts := effectsOf[rpfleet.StartAttempt](h)
	for i := len(attempts) - 1; i >= 0; i-- {
		if attempts[i].Request == rpcore.RequestID(id) {
			return attempts[i]
		}
	}
	h.t.Fatalf("no attempt of request %s", id)
	return rpfleet.StartAttempt{}
}

func (h *harness) endAttempt(a rpfleet.StartAttempt, reason rpcore.AttemptReason, verdict rpverdict.Verdict) {
	h.apply(rpfleet.AttemptEnded{Stamp: h.stamp(), Request: a.Request, Attempt: a.Attempt, Reason: reason, Verdict: verdict})
}

// becomePlanner acquires the lease and reports the content of the engines.
func (h *harness) becomePlanner(endpoints ...rpfleet.Endpoint) {
	// A free lease is taken after a random time.
	var writes []rpfleet.WriteLease
	for i := 0; i < 2 || len(writes) == 0; i++ {
		h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: h.lease})
		h.advance(40 * time.Millisecond)
		writes = effectsOf[rpfleet.WriteLease](h)
	}
	row := writes[len(writes)-1].Row
	row.Revision = h.lease.Revision + 10
	h.lease = row
	h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteApplied, Row: row})
	h.advance(10 * time.Millisecond)
	for _, e := range endpoints {
		h.reportEngine(e, 0)
	}
}

// withPlannerHarness returns a planner with a single engine, which holds the
// given models and has the checkpoints of all models.
func withPlannerHarness(t *testing.T, models ...string) (*harness, rpfleet.Endpoint) {
	t.Helper()
	h := withHarness(t)
	engine := withCheckpoints(testEndpoint("e1", testService, homeDomain, models...))
	h.configure(engine)
	h.becomePlanner(engine)
	return h, engine
}

func (h *harness) reportEngine(e rpfleet.Endpoint, sequence uint64) {
	h.apply(rpfleet.EngineReported{Stamp: h.stamp(), Endpoint: e.ID, Report: rpfleet.EngineReport{
		Incarnation: e.Incarnation, Sequence: sequence, Models: e.Models, Cached: e.Cached,
	}})
}

// advanceRenewingLease lets time pass and answers the renewals of the lease.
func (h *harness) advanceRenewingLease(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		before := len(h.effects)
		h.advance(min(step, d))
		for _, effect := range h.effects[before:] {
			if write, ok := effect.(rpfleet.WriteLease); ok {
				row := write.Row
				row.Revision = write.Expected + 1
				h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteApplied, Row: row})
			}
		}
	}
}

func (h *harness) answerOrder(order rpfleet.SendOrder, outcome rpfleet.OrderOutcome) {
	h.apply(rpfleet.OrderAnswered{Stamp: h.stamp(), Order: order.Order, Outcome: outcome})
}
