package rpfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Guards against an instance that misses changes because a connection went
// silent. It may wait long for changes only while the planner reports them.
func TestLongWaitsNeedPlannerUpdates(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	g.Expect(r.state.ConfigWait()).To(BeNumerically(">", 20*time.Second))
	g.Expect(r.state.ListInterval()).To(BeNumerically(">", 10*time.Second))

	r.advance(rpfleet.DefaultLeavingBound)
	g.Expect(r.state.ConfigWait()).To(BeNumerically("<=", 8*time.Second))
	g.Expect(r.state.ListInterval()).To(BeNumerically("<", rpfleet.DefaultLeavingBound/2))

	r.becomePlanner()
	g.Expect(r.state.ConfigWait()).To(BeNumerically("<=", 2*time.Second))
}

// Guards against an instance that misses a version of the configuration because
// its own call to the store went silent.
func TestPlannerVersionCausesConfigRead(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	placement := rpfleet.Placement{IsPlanner: true, Instances: 3, ConfigVersion: 1}
	r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Placement: placement})
	g.Expect(effectsOf[rpfleet.ReadConfig](r)).To(BeEmpty())
	placement.ConfigVersion = 2
	r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Placement: placement})
	r.advance(500 * time.Millisecond)
	g.Expect(effectsOf[rpfleet.ReadConfig](r)).To(HaveLen(1))
	// If the read fails, the next placement causes another one.
	r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Placement: placement})
	r.advance(500 * time.Millisecond)
	g.Expect(effectsOf[rpfleet.ReadConfig](r)).To(HaveLen(2))
	// The instance's own call usually returns a version first.
	r.discardEffects()
	placement.ConfigVersion = 3
	r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Placement: placement})
	r.apply(rpfleet.ConfigRead{Stamp: r.stamp(), Config: testConfig(3)})
	r.advance(500 * time.Millisecond)
	g.Expect(effectsOf[rpfleet.ReadConfig](r)).To(BeEmpty())
}

// Guards against a planner that does not send the version of its configuration.
func TestPlannerSendsConfigVersion(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	r.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	r.becomePlanner()
	r.apply(rpfleet.DemandReceived{Stamp: r.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: "front-2"}})
	g.Expect(effectsOf[rpfleet.AnswerDemand](r)[0].Placement.ConfigVersion).To(Equal(uint64(1)))
}

// Guards against a large deployment whose instances together make too many
// calls to a failing store.
func TestOutageCallsScaleWithInstances(t *testing.T) {
	g := NewWithT(t)
	const instances, span = 74, 20 * time.Second
	r := withHarness(t)
	r.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: instances}})
	g.Expect(r.state.StoreRetry()).To(BeNumerically(">", time.Second))
	// The planner does not answer and the store fails.
	row := rpfleet.LeaseRow{Revision: 7, Holder: "front-2", Epoch: 3}
	r.apply(rpfleet.LeaseRead{Stamp: r.stamp(), AskedAt: r.now, Row: row})
	r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Failed: true})
	// The planner released the lease, as each of its answers says.
	released := rpfleet.Placement{ReleasedEpoch: row.Epoch}
	reads := 0
	for begin := r.now; r.now.Sub(begin) < span; {
		r.discardEffects()
		r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Placement: released})
		r.advance(200 * time.Millisecond)
		for range effectsOf[rpfleet.ReadLease](r) {
			reads++
			r.apply(rpfleet.LeaseRead{Stamp: r.stamp(), AskedAt: r.now, Failed: true})
		}
	}
	g.Expect(reads).To(BeNumerically(">", 2))
	g.Expect(float64(reads*instances) / span.Seconds()).To(BeNumerically("<", 50))
}

// Guards against an endpoint that returns to service after it left the list,
// because an earlier read or the planner's changes bring an older entry.
func TestOlderEntriesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	r := withHarness(t)
	entry := testEndpoint("s1", testPlain, homeDomain)
	entry.Revision = 10
	other := testEndpoint("s2", testPlain, homeDomain)
	other.Revision = 11
	r.configure(entry, other)
	served := func(id string) int {
		r.discardEffects()
		r.arriveRequest(id, "/stock/1", "")
		attempts := effectsOf[rpfleet.StartAttempt](r)
		for _, attempt := range attempts {
			g.Expect(attempt.Endpoint).To(Equal(other.ID))
			r.endAttempt(attempt, rpcore.AttemptComplete, rpverdict.Ran)
		}
		return len(attempts)
	}
	placement := rpfleet.Placement{IsPlanner: true, Instances: 3}
	placement.List.Removed = []rpfleet.RemovedEntry{{ID: entry.ID, Revision: 20}}
	r.apply(rpfleet.PlacementReceived{Stamp: r.stamp(), AskedAt: r.now, Placement: placement})
	// A read as of revision 15, as changes and as the complete list.
	entry.Revision = 15
	r.apply(rpfleet.EndpointsRead{Stamp: r.stamp(), Entries: []rpfleet.Endpoint{entry}})
	r.apply(rpfleet.EndpointsRead{Stamp: r.stamp(), Complete: true, AsOf: 15, Entries: []rpfleet.Endpoint{entry, other}})
	for i := range 8 {
		g.Expect(served("before-" + string(rune('a'+i)))).To(Equal(1))
	}
	// An endpoint that joined after a read is not removed by it.
	other.Revision = 30
	r.apply(rpfleet.EndpointsRead{Stamp: r.stamp(), Entries: []rpfleet.Endpoint{other}})
	r.apply(rpfleet.EndpointsRead{Stamp: r.stamp(), Complete: true, AsOf: 25})
	g.Expect(served("after")).To(Equal(1))
	// A newer entry is applied.
	entry.Revision = 40
	r.apply(rpfleet.EndpointsRead{Stamp: r.stamp(), Entries: []rpfleet.Endpoint{entry}, Removed: []rpfleet.RemovedEntry{{ID: other.ID, Revision: 39}}})
	r.discardEffects()
	r.arriveRequest("again", "/stock/1", "")
	g.Expect(effectsOf[rpfleet.StartAttempt](r)).To(HaveLen(1))
	g.Expect(effectsOf[rpfleet.StartAttempt](r)[0].Endpoint).To(Equal(entry.ID))
}
