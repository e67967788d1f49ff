package rpfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Guards against a large deployment whose instances together make too many
// calls to a failing store.
func TestOutageCallsScaleWithInstances(t *testing.T) {
	g := NewWithT(t)
	const instances, span = 74, 20 * time.Second
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: instances}})
	g.Expect(h.state.StoreRetry(true)).To(BeNumerically(">", time.Second))
	// The planner does not answer and the store fails.
	row := rpfleet.LeaseRow{Revision: 7, Holder: "front-2", Epoch: 3}
	h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: row})
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Failed: true})
	// The planner released the lease, as each of its answers says.
	released := rpfleet.Placement{ReleasedEpoch: row.Epoch}
	reads := 0
	for begin := h.now; h.now.Sub(begin) < span; {
		h.discardEffects()
		h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: released})
		h.advance(200 * time.Millisecond)
		for range effectsOf[rpfleet.ReadLease](h) {
			reads++
			h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Failed: true})
		}
	}
	g.Expect(reads).To(BeNumerically(">", 2))
	g.Expect(float64(reads*instances) / span.Seconds()).To(BeNumerically("<", 50))
}

// Guards against an endpoint that returns to service after it left the list,
// because an earlier read or the planner's changes bring an older entry.
func TestOlderEntriesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	entry := testEndpoint("s1", testPlain, homeDomain)
	entry.Revision = 10
	other := testEndpoint("s2", testPlain, homeDomain)
	other.Revision = 11
	h.configure(entry, other)
	served := func(id string) int {
		h.discardEffects()
		h.arriveRequest(id, "/stock/1", "")
		attempts := effectsOf[rpfleet.StartAttempt](h)
		for _, attempt := range attempts {
			g.Expect(attempt.Endpoint).To(Equal(other.ID))
			h.endAttempt(attempt, rpcore.AttemptComplete, rpverdict.Ran)
		}
		return len(attempts)
	}
	placement := rpfleet.Placement{IsPlanner: true, Instances: 3}
	placement.List.Removed = []rpfleet.RemovedEntry{{ID: entry.ID, Revision: 20}}
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: placement})
	// A read as of revision 15, as changes and as the complete list.
	entry.Revision = 15
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: []rpfleet.Endpoint{entry}})
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Complete: true, AsOf: 15, Entries: []rpfleet.Endpoint{entry, other}})
	for i := range 8 {
		g.Expect(served("before-" + string(rune('a'+i)))).To(Equal(1))
	}
	// An endpoint that joined after a read is not removed by it.
	other.Revision = 30
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: []rpfleet.Endpoint{other}})
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Complete: true, AsOf: 25})
	g.Expect(served("after")).To(Equal(1))
	// A newer entry is applied.
	entry.Revision = 40
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: []rpfleet.Endpoint{entry}, Removed: []rpfleet.RemovedEntry{{ID: other.ID, Revision: 39}}})
	h.discardEffects()
	h.arriveRequest("again", "/stock/1", "")
	g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(HaveLen(1))
	g.Expect(effectsOf[rpfleet.StartAttempt](h)[0].Endpoint).To(Equal(entry.ID))
}

// placementOf applies an answer of the planner of an epoch, with changes of the list that
// it read the given time ago.
func (h *harness) placementOf(epoch uint64, age time.Duration) {
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
		IsPlanner: true, Instances: 3, Epoch: epoch, List: rpfleet.ListChanges{Age: age},
	}})
}

// readList applies a read of the list that began the given time ago.
func (h *harness) readList(age time.Duration, removed ...rpfleet.RemovedEntry) {
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now.Add(-age), Removed: removed})
}

// Guards against requests to an endpoint that has left because a new planner, or one
// that was out of contact, can't name the removal of an entry that it has never seen.
// Its answers kept the instance from reading the list itself.
func TestPlannerReplacesReadsOnlyWithoutGap(t *testing.T) {
	const step, latency = 100 * time.Millisecond, 20 * time.Millisecond
	setup := func(t *testing.T) (*WithT, *harness, func() bool) {
		h := withHarness(t)
		h.configure(plainEndpoints()...)
		readsList := func() bool { return h.state.ListInterval() < rpfleet.DefaultLeavingBound }
		h.placementOf(1, 0)
		h.advance(step)
		h.readList(latency)
		g := NewWithT(t)
		g.Expect(readsList()).To(BeFalse())
		return g, h, readsList
	}
	t.Run("new planner", func(t *testing.T) {
		g, h, readsList := setup(t)
		h.advance(step)
		h.placementOf(2, 0)
		g.Expect(readsList()).To(BeTrue())
		h.advance(step)
		h.placementOf(2, 0)
		g.Expect(readsList()).To(BeTrue(), "later answers of the same planner do not name it either")
		h.readList(latency, rpfleet.RemovedEntry{ID: "s1"})
		g.Expect(readsList()).To(BeFalse())
		for _, id := range []string{"a", "b", "c", "d"} {
			h.arriveRequest(id, "/stock/1", "")
			g.Expect(h.lastAttempt(id).Endpoint).To(Equal(rpcore.EndpointID("s2")))
		}
	})
	t.Run("read that began before the answer", func(t *testing.T) {
		g, h, readsList := setup(t)
		h.advance(step)
		h.placementOf(2, 0)
		h.advance(latency)
		h.readList(2 * latency)
		g.Expect(readsList()).To(BeTrue(), "the planner may have read the list after that read")
	})
	t.Run("planner that has not read the list", func(t *testing.T) {
		g, h, readsList := setup(t)
		h.advance(step)
		h.placementOf(2, time.Hour)
		h.advance(step)
		h.readList(latency)
		h.advance(step)
		h.placementOf(2, 0)
		g.Expect(readsList()).To(BeTrue(), "the planner read the list after this instance did")
	})
	t.Run("planner out of contact", func(t *testing.T) {
		g, h, readsList := setup(t)
		h.advance(rpfleet.DefaultLeavingBound)
		h.readList(latency)
		h.advance(step)
		h.placementOf(1, 0)
		g.Expect(readsList()).To(BeTrue(), "the planner passes on changes for a limited time only")
		h.advance(step)
		h.readList(latency)
		g.Expect(readsList()).To(BeFalse())
	})
}
