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

// observedSpeeds returns the speeds of two engines, of which e1 is half as fast, that an
// instance reports in a deployment of the given size.
func observedSpeeds(t *testing.T, instances int) (speeds map[rpcore.EndpointID]float64, reports int) {
	t.Helper()
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("e2", testService, homeDomain, "m0"))
	row := rpfleet.LeaseRow{Holder: "front-2", Address: testEndpoint("p", testService, homeDomain).Address, Epoch: 3}
	h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: row})
	speeds = map[rpcore.EndpointID]float64{}
	samples := map[rpcore.EndpointID]int{}
	for i := range 200 {
		h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: instances}})
		// The instance does not choose the engine that a test would like, so the pause
		// follows from the engine.
		h.arriveRequest(fmt.Sprint("r", i), "/suggest/1", "m0")
		attempt := h.lastAttempt(fmt.Sprint("r", i))
		pause := 30 * time.Millisecond
		if attempt.Endpoint == "e1" {
			pause = 60 * time.Millisecond
		}
		h.apply(rpfleet.AttemptStarted{Stamp: h.stamp(), Request: attempt.Request, Attempt: attempt.Attempt})
		h.apply(rpfleet.AttemptEnded{
			Stamp: h.stamp(), Request: attempt.Request, Attempt: attempt.Attempt, Reason: rpcore.AttemptComplete, Verdict: rpverdict.Ran,
			ResponseStarted: true, Events: 11, EventSpan: 10 * pause,
		})
		h.advance(50 * time.Millisecond)
	}
	for _, sent := range effectsOf[rpfleet.SendDemand](h) {
		if sent.Demand.Load == nil {
			continue
		}
		reports++
		for _, o := range sent.Demand.Load.Engines {
			speeds[o.Endpoint] += float64(o.Samples * o.Speed)
			samples[o.Endpoint] += o.Samples
		}
	}
	for id := range speeds {
		speeds[id] /= float64(1000 * samples[id])
	}
	return speeds, reports
}

// Guards against instances that don't report what they see of the speed of engines, and
// against traffic in deployments that need none.
func TestInstanceReportsSpeeds(t *testing.T) {
	g := NewWithT(t)
	speeds, _ := observedSpeeds(t, 40)
	g.Expect(speeds).To(HaveLen(2))
	g.Expect(speeds["e2"] / speeds["e1"]).To(BeNumerically("~", 2, 0.5))
	g.Expect(speeds["e1"]).To(BeNumerically("<", 1))
	g.Expect(speeds["e2"]).To(BeNumerically(">", 1))
	_, reports := observedSpeeds(t, 19)
	g.Expect(reports).To(BeZero())
}

// withManyInstances returns a planner of a deployment with 25 other instances and the
// given engines.
func withManyInstances(t *testing.T, engines ...rpfleet.Endpoint) *harness {
	t.Helper()
	h := withHarness(t)
	h.configure(engines...)
	h.becomePlanner(engines...)
	// The planner counts the instances when it takes its own demand into account.
	h.demandOfMany(nil)
	h.demandOfMany(nil)
	return h
}

// demandOfMany applies demands of 25 instances with the same observations, and lets the
// planner answer its own demand.
func (h *harness) demandOfMany(observed []rpfleet.EngineObservation) {
	h.discardEffects()
	for i := range 25 {
		h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: uint64(i), Demand: rpfleet.Demand{
			Instance: rpcore.InstanceID(fmt.Sprint("other-", i)), Full: true, Load: &rpfleet.LoadReport{Process: 1, Engines: observed},
		}})
	}
	h.advanceRenewingLease(600 * time.Millisecond)
}

// answeredSpeeds returns the speeds in the last answer of the planner.
func (h *harness) answeredSpeeds() map[rpcore.EndpointID]int {
	speeds := map[rpcore.EndpointID]int{}
	answers := effectsOf[rpfleet.AnswerDemand](h)
	if load := answers[len(answers)-1].Placement.Load; load != nil {
		for _, e := range load.Engines {
			speeds[e.Endpoint] = e.Speed
		}
	}
	return speeds
}

// Guards against observations that the planner does not pool or pass on, and against the
// speed of an earlier incarnation after a restart.
func TestPlannerPoolsSpeedsOfIncarnation(t *testing.T) {
	g := NewWithT(t)
	engine := testEndpoint("e1", testService, homeDomain, "m0")
	h := withManyInstances(t, engine)
	h.demandOfMany([]rpfleet.EngineObservation{{Endpoint: "e1", Samples: 2, Speed: 600}, {Endpoint: "gone", Samples: 2, Speed: 600}})
	g.Expect(h.answeredSpeeds()).To(HaveKeyWithValue(rpcore.EndpointID("e1"), BeNumerically("~", 600, 20)))
	g.Expect(h.answeredSpeeds()).To(HaveLen(1))
	g.Expect(effectsOf[rpfleet.AnswerDemand](h)[0].Placement.Load.ConfigAge).To(BeNumerically("<", 0), "there are no accounts to confirm")

	engine.Incarnation = "2"
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now, Complete: true, Entries: []rpfleet.Endpoint{engine}})
	h.demandOfMany(nil)
	g.Expect(h.answeredSpeeds()).To(BeEmpty())
}

// Guards against engines that no answer contains, and against answers that are too large.
func TestSpeedsOfAllEnginesAreAnsweredInTurn(t *testing.T) {
	g := NewWithT(t)
	var engines []rpfleet.Endpoint
	var observed []rpfleet.EngineObservation
	for i := range 33 {
		engines = append(engines, testEndpoint(fmt.Sprintf("e%02d", i), testService, homeDomain, "m0"))
		observed = append(observed, rpfleet.EngineObservation{Endpoint: engines[i].ID, Samples: 1, Speed: 900})
	}
	h := withManyInstances(t, engines...)
	h.demandOfMany(observed)
	seen := map[rpcore.EndpointID]int{}
	for range 4 {
		h.demandOfMany(observed)
		speeds := h.answeredSpeeds()
		g.Expect(len(speeds)).To(BeNumerically("<=", 10))
		for id := range speeds {
			seen[id]++
		}
	}
	g.Expect(seen).To(HaveLen(33))
}

// Guards against an exchange with instances of an earlier version, which send no report.
func TestNoSpeedsWithoutReport(t *testing.T) {
	g := NewWithT(t)
	h := withManyInstances(t, testEndpoint("e1", testService, homeDomain, "m0"))
	h.demandOfMany([]rpfleet.EngineObservation{{Endpoint: "e1", Samples: 2, Speed: 600}})
	h.discardEffects()
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 99, Demand: rpfleet.Demand{Instance: "other-1", Full: true}})
	g.Expect(effectsOf[rpfleet.AnswerDemand](h)[0].Placement.Load).To(BeNil())
}

// Guards against a new planner that forgets the speeds which the one before had pooled,
// and against speeds of an answer that outlive their news.
func TestNewPlannerAdoptsSpeeds(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	engine := testEndpoint("e1", testService, homeDomain, "m0")
	h.configure(engine)
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
		IsPlanner: true, Instances: 26, Load: &rpfleet.LoadSummary{ConfigAge: -1, Engines: []rpfleet.EngineSummary{{Endpoint: "e1", Speed: 600}}},
	}})
	h.becomePlanner(engine)
	h.demandOfMany(nil)
	g.Expect(h.answeredSpeeds()).To(HaveKeyWithValue(rpcore.EndpointID("e1"), BeNumerically("~", 600, 40)))
	for range 100 {
		h.demandOfMany(nil)
	}
	g.Expect(h.answeredSpeeds()).To(HaveKeyWithValue(rpcore.EndpointID("e1"), BeNumerically(">", 900)), "a minute without observations")
}
