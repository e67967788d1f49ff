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

// weightStoreSim simulates engines and a weight store that serves a number of
// loads at full speed and divides its speed if there are more.
type weightStoreSim struct {
	*harness
	atFullSpeed   float64
	engines       map[rpcore.EndpointID]*rpfleet.Endpoint
	remaining     map[rpcore.EndpointID]float64
	loading       map[rpcore.EndpointID]string
	maxConcurrent int
	loadStarts    []time.Time
}

const fullSpeedLoadSeconds = 6.0

func withWeightStoreSim(t *testing.T, engines int, atFullSpeed float64) *weightStoreSim {
	w := &weightStoreSim{
		harness: withHarness(t), atFullSpeed: atFullSpeed, engines: map[rpcore.EndpointID]*rpfleet.Endpoint{},
		remaining: map[rpcore.EndpointID]float64{}, loading: map[rpcore.EndpointID]string{},
	}
	var list []rpfleet.Endpoint
	for i := range engines {
		e := testEndpoint(fmt.Sprintf("e%d", i), testService, homeDomain)
		list = append(list, e)
		w.engines[e.ID] = &e
	}
	w.configure(list...)
	w.becomePlanner(list...)
	return w
}

// run simulates the engines and the store for a time, while requests for all
// models wait.
func (w *weightStoreSim) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for begin := w.now; w.now.Sub(begin) < d; {
		w.discardEffects()
		var needs []rpfleet.Need
		for i := range 8 {
			needs = append(needs, rpfleet.Need{Service: testService, Model: fmt.Sprintf("m%d", i), Waiting: 1, Rank: 2})
		}
		w.apply(rpfleet.DemandReceived{Stamp: w.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: "front-2", Needs: needs}})
		w.advanceRenewingLease(step)
		speed := min(1, w.atFullSpeed/float64(max(1, len(w.remaining))))
		for id := range w.remaining {
			w.remaining[id] -= step.Seconds() * speed
		}
		for _, effect := range w.effects[w.discarded:] {
			switch effect := effect.(type) {
			case rpfleet.SendOrder:
				w.acceptOrder(effect)
			case rpfleet.ReadReport:
				w.reportEngineState(effect.Endpoint)
			}
		}
		w.maxConcurrent = max(w.maxConcurrent, len(w.remaining))
	}
}

func (w *weightStoreSim) acceptOrder(order rpfleet.SendOrder) {
	w.answerOrder(order, rpfleet.OrderAccepted)
	e := w.engines[order.Endpoint]
	if order.Kind == rpfleet.OrderUnload {
		e.Models = nil
		return
	}
	w.remaining[e.ID], w.loading[e.ID] = fullSpeedLoadSeconds, order.Model
	w.loadStarts = append(w.loadStarts, w.now)
}

// reportEngineState reports the content of an engine, without cached
// checkpoints, so that each load is one from the store.
func (w *weightStoreSim) reportEngineState(id rpcore.EndpointID) {
	e := w.engines[id]
	if left, ok := w.remaining[id]; ok && left <= 0 {
		e.Models = append(e.Models, rpfleet.HeldModel{Name: w.loading[id], Version: "1"})
		delete(w.remaining, id)
	}
	w.apply(rpfleet.EngineReported{Stamp: w.stamp(), Endpoint: id, Report: rpfleet.EngineReport{
		Incarnation: e.Incarnation, Models: e.Models, Cached: e.Cached,
	}})
}

// Guards against loads that all take twice their time because the weight store
// serves fewer at full speed than the settings say.
func TestLimitFollowsSlowWeightStore(t *testing.T) {
	g := NewWithT(t)
	w := withWeightStoreSim(t, 8, 2)
	w.run(13 * time.Second)
	g.Expect(w.maxConcurrent).To(Equal(rpfleet.DefaultWeightLoads))
	w.run(10 * time.Second)
	w.maxConcurrent = 0
	w.run(10 * time.Second)
	g.Expect(w.maxConcurrent).To(BeNumerically("<=", 3))
	g.Expect(w.maxConcurrent).To(BeNumerically(">=", 1))
}

// Guards against a limit that stays at the value of the settings although the
// store serves more.
func TestLimitFollowsFastWeightStore(t *testing.T) {
	g := NewWithT(t)
	w := withWeightStoreSim(t, 8, 100)
	const configured = 2
	w.apply(rpfleet.PolicyChanged{Stamp: w.stamp(), Policy: rpfleet.Policy{WeightLoads: configured}})
	w.run(30 * time.Second)
	g.Expect(w.maxConcurrent).To(BeNumerically(">", configured))
}

// Guards against more load starts within a time than the configuration allows
// when loads are short.
func TestWeightLoadRateIsBounded(t *testing.T) {
	g := NewWithT(t)
	w := withWeightStoreSim(t, 8, 100)
	config := testConfig(2)
	config.Services[testService].Engine.WeightLoadsPerSecond = 0.4
	w.apply(rpfleet.ConfigRead{Stamp: w.stamp(), Config: config})
	w.run(20 * time.Second)
	g.Expect(len(w.loadStarts)).To(BeNumerically(">=", 3))
	for i, at := range w.loadStarts {
		within := 0
		for _, other := range w.loadStarts[i:] {
			if other.Sub(at) < 5*time.Second {
				within++
			}
		}
		g.Expect(within).To(BeNumerically("<=", 2))
	}
}

// Guards against a new planner whose loads add to those of the previous planner
// and slow all of them down.
func TestLoadsOfPreviousPlannerCount(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	var engines []rpfleet.Endpoint
	for i := range 6 {
		engines = append(engines, testEndpoint(fmt.Sprintf("e%d", i), testService, homeDomain))
	}
	h.configure(engines...)
	// The previous planner has learned that two run at full speed.
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
		IsPlanner: true, Instances: 3, WeightLimit: 2,
	}})
	h.becomePlanner(engines[2:]...)
	for _, e := range engines[:2] {
		h.apply(rpfleet.EngineReported{Stamp: h.stamp(), Endpoint: e.ID, Report: rpfleet.EngineReport{Incarnation: "1", Busy: true}})
	}
	for i := range 4 {
		h.arriveRequest(fmt.Sprintf("r%d", i), "/later/1", fmt.Sprintf("m%d", i))
	}
	h.advanceRenewingLease(200 * time.Millisecond)
	g.Expect(effectsOf[rpfleet.SendOrder](h)).To(BeEmpty())
	h.reportEngine(engines[0], 1)
	h.advanceRenewingLease(200 * time.Millisecond)
	g.Expect(effectsOf[rpfleet.SendOrder](h)).To(HaveLen(1))
}

// Guards against requests that wait until their deadline for a model that no engine
// has a copy of, while the weight store has other loads ahead: one engine whose content
// is not known kept the time of the load from being estimated.
func TestModelWithoutCopyIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	first, second := testEndpoint("e1", testService, homeDomain), testEndpoint("e2", testService, homeDomain)
	h.configure(first, second)
	h.apply(rpfleet.PolicyChanged{Stamp: h.stamp(), Policy: rpfleet.Policy{WeightLoads: 1}})
	h.becomePlanner(first)
	h.arriveRequest("a", "/later/1", "m4")
	h.advanceRenewingLease(100 * time.Millisecond)
	orders := effectsOf[rpfleet.SendOrder](h)
	g.Expect(orders).To(HaveLen(1))
	h.answerOrder(orders[0], rpfleet.OrderAccepted)
	h.advanceRenewingLease(time.Second)
	h.arriveRequest("b", "/suggest/1", "m5")
	h.advanceRenewingLease(200 * time.Millisecond)
	refusals := effectsOf[rpfleet.RefuseRequest](h)
	g.Expect(refusals).To(HaveLen(1))
	g.Expect(refusals[0].Request).To(Equal(rpcore.RequestID("b")))
	g.Expect(refusals[0].Refusal.Code).To(Equal(rpverdict.CodeDeadlineUnreachable))
	// 5 s are left of the first load, and the second takes 6 s.
	g.Expect(refusals[0].Refusal.RetryAfter).To(BeNumerically("~", 11*time.Second, time.Second))
}

// Guards against a load from the weight store for a model with one long wait instead of
// one that is asked for often, whose requests are refused at once and so don't wait.
func TestWeightStoreServesFrequentModelFirst(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	engine := testEndpoint("e1", testService, homeDomain)
	h.configure(engine)
	h.apply(rpfleet.PolicyChanged{Stamp: h.stamp(), Policy: rpfleet.Policy{WeightLoads: 1}})
	h.becomePlanner(engine)
	h.discardEffects()
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: rpfleet.Demand{
		Instance: "front-2", Full: true,
		Rates: []rpfleet.ModelRate{
			{Service: testService, Model: "m4", Fast: 100, Slow: 100}, {Service: testService, Model: "m5", Fast: 700, Slow: 700},
		},
		Needs: []rpfleet.Need{
			{Service: testService, Model: "m4", Waiting: 1, Waited: 4 * time.Second}, {Service: testService, Model: "m5", Waiting: 1},
		},
	}})
	h.advanceRenewingLease(100 * time.Millisecond)
	orders := effectsOf[rpfleet.SendOrder](h)
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Model).To(Equal("m5"))
}
