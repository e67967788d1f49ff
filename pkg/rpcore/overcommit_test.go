package rpcore

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// withBusyEngines returns a harness with engines of concurrency 4. Each runs
// one request of this instance and the given number of requests of other
// instances.
func withBusyEngines(engines, others int) *harness {
	h := withHarness("a", Limits{EngineConcurrency: 4}, Policy{})
	ranks := &h.documents["kodovac"].Ranks
	ranks.Urgent.Floor, ranks.Normal.Floor = 0.1, 0.25
	ranks.Urgent.Deadline = rpdocument.Duration(time.Minute)
	for i := range engines {
		h.addEngine(fmt.Sprint("e", i+1), "m")
	}
	for i := range h.endpoints {
		h.arrive(Request{ID: RequestID(fmt.Sprint("own", i+1)), ModelName: "kodovac/m", Rank: rpdocument.RankNormal})
	}
	h.reportRunning(1, others+1)
	return h
}

// reportRunning sets the load of all engines as if they had sent a report.
func (h *harness) reportRunning(sequence uint64, running int) {
	for _, e := range h.endpoints {
		e.report = EngineReport{Endpoint: e.id, Incarnation: e.Incarnation, Sequence: sequence, Running: running}
		e.reportedAt = h.now
	}
}

func (h *harness) arriveWithRank(rank rpdocument.Rank, n int) []string {
	var lines []string
	for i := range n {
		id := RequestID(fmt.Sprintf("%s%d", rank, i+1))
		lines = append(lines, summary(h.arrive(Request{ID: id, ModelName: "kodovac/m", Rank: rank}))...)
	}
	return lines
}

// Guards against an urgent request that waits at the instance although a busy
// engine would run it next, and against overcommitment for requests of other
// ranks alone.
func TestUrgentOvercommitsBusyEngine(t *testing.T) {
	g := NewWithT(t)
	h := withBusyEngines(1, 3)
	g.Expect(h.arriveWithRank(rpdocument.RankNormal, 1)).To(BeEmpty())
	g.Expect(h.arriveWithRank(rpdocument.RankUrgent, 1)).To(Equal([]string{"start urgent1@e1"}))
	g.Expect(summary(h.advance(time.Second))).To(BeEmpty())
}

// Guards against overcommitment of an engine that only this instance uses. It
// would only lengthen the queue of the engine.
func TestNoOvercommitOfUnsharedEngine(t *testing.T) {
	g := NewWithT(t)
	h := withBusyEngines(1, 0)
	g.Expect(h.arriveWithRank(rpdocument.RankUrgent, 4)).To(HaveLen(3))
}

// Guards against overcommitment of an engine whose reports have stopped.
func TestNoOvercommitWithoutReports(t *testing.T) {
	g := NewWithT(t)
	h := withBusyEngines(1, 3)
	h.advance(reportLifetime + time.Second)
	g.Expect(h.arriveWithRank(rpdocument.RankUrgent, 8)).To(HaveLen(3), "the concurrency of 4 less the running request of this instance")
}

// Guards against an end of overcommitment once several urgent requests wait:
// they would wait long for one of the few requests of this instance to end.
func TestOvercommitOfManyUrgent(t *testing.T) {
	g := NewWithT(t)
	h := withBusyEngines(1, 15)
	g.Expect(h.arriveWithRank(rpdocument.RankUrgent, 6)).To(BeEmpty(), "16 requests are at the engine")
	h.reportRunning(2, 10)
	g.Expect(summary(h.advance(time.Second))).To(BeEmpty(), "10 requests are at the engine, more than twice the concurrency of 4, and 6 wait")
	h.reportRunning(3, 5)
	g.Expect(summary(h.advance(time.Second))).To(HaveLen(6))
}

// Guards against a few urgent requests that wait at the instance because many
// requests of other ranks wait at the engine.
func TestOvercommitOfFewUrgent(t *testing.T) {
	g := NewWithT(t)
	h := withBusyEngines(1, 12)
	g.Expect(h.arriveWithRank(rpdocument.RankUrgent, 5)).To(HaveLen(3), "the limit is 4 times the concurrency of 4, and 13 requests are at the engine")
}

// Guards against overcommitted urgent requests that exceed the capacity and
// keep another rank below its floor.
func TestOvercommitKeepsRankFloors(t *testing.T) {
	g := NewWithT(t)
	h := withBusyEngines(1, 3)
	g.Expect(h.arriveWithRank(rpdocument.RankNormal, 4)).To(BeEmpty())
	lines := h.arriveWithRank(rpdocument.RankUrgent, 6)
	g.Expect(lines).To(HaveLen(7))
	g.Expect(lines[:4]).To(Equal([]string{"start urgent1@e1", "start urgent2@e1", "start urgent3@e1", "start normal1@e1"}))
}

// Guards against urgent requests that accumulate at one engine, and against a
// wrong count of attempts without a first token: the first token or the end of
// an attempt must decrement it exactly once.
func TestOvercommitSpreadsOverEngines(t *testing.T) {
	g := NewWithT(t)
	h := withBusyEngines(4, 3)
	var starts []StartAttempt
	h.onEffects = func(effects []Effect) { starts = append(starts, effectsOf[StartAttempt](effects)...) }
	h.arriveWithRank(rpdocument.RankUrgent, 4)
	engines := map[EndpointID]bool{}
	for _, a := range starts {
		engines[a.Endpoint] = true
	}
	g.Expect(engines).To(HaveLen(4))
	for i := range 8 {
		a := starts[i]
		if i%2 == 0 {
			h.send(AttemptFirstToken{Stamp: h.stamp(), Attempt: a.Attempt, Request: a.Request})
		} else {
			h.send(RequestAbandoned{Stamp: h.stamp(), Request: a.Request})
			h.endAttempt(a, AttemptCanceled, rpverdict.MayHaveRun)
		}
		h.arrive(Request{ID: RequestID(fmt.Sprint("next", i)), ModelName: "kodovac/m", Rank: rpdocument.RankUrgent})
		g.Expect(starts).To(HaveLen(5 + i))
		g.Expect(starts[4+i].Endpoint).To(Equal(a.Endpoint))
		if i%2 == 0 {
			h.completeAttempt(a)
		}
	}
}
