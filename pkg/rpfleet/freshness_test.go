package rpfleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// answerOfPlanner applies an answer of the planner that names a version of the
// configuration, or 0.
func (h *harness) answerOfPlanner(instances int, version uint64) {
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
		IsPlanner: true, Instances: instances, ConfigVersion: version,
	}})
}

// Guards against an instance that trusts an old view after a cut, a freeze or an
// outage. A call that is in progress when the store can be reached again fails at
// its timeout, and the next one begins after the longest delay. Whatever the size of
// the deployment, both must leave time for that call within the bound.
func TestViewIsCurrentAfterOutage(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for _, instances := range []int{6, 74, 195, 460} {
			t.Run(fmt.Sprint(bound, instances), func(t *testing.T) {
				g := NewWithT(t)
				h := withHarness(t)
				h.apply(rpfleet.PolicyChanged{Stamp: h.stamp(), Policy: rpfleet.Policy{LeavingBound: bound, ConfigBound: bound}})
				h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
				h.answerOfPlanner(instances, 1)
				reserve := bound / 10
				g.Expect(h.state.StoreTimeout() + h.state.StoreRetry(false)).To(BeNumerically("<=", bound-reserve))
				// An error of the store comes at once.
				g.Expect(h.state.StoreRetry(true)).To(BeNumerically("<=", bound-reserve))
				// A connection may be silent.
				h.advance(bound)
				g.Expect(h.state.ListWait() + h.state.PollMargin() + h.state.StoreRetry(false)).To(BeNumerically("<=", bound-reserve))
				g.Expect(h.state.ConfigWait() + h.state.PollMargin()).To(BeNumerically("<=", bound-reserve))
			})
		}
	}
}

// Guards against changes that take longer than their bound because the planner has
// stopped to report them, and against calls to the store while it does.
func TestReadsStoreWithoutPlanner(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	h.answerOfPlanner(3, 1)
	g.Expect(h.state.ListInterval()).To(BeNumerically(">", 10*time.Second))
	g.Expect(h.state.ConfigFollowed()).To(BeTrue())

	h.advance(rpfleet.DefaultLeavingBound * 4 / 5)
	g.Expect(h.state.ListInterval()).To(BeNumerically("<", rpfleet.DefaultLeavingBound*7/10))
	g.Expect(h.state.ConfigFollowed()).To(BeFalse())
	h.apply(rpfleet.ConfigChecked{Stamp: h.stamp()})
	g.Expect(h.state.ConfigFollowed()).To(BeTrue())

	h.becomePlanner()
	g.Expect(h.state.ConfigFollowed()).To(BeFalse())
	g.Expect(h.state.ConfigWait()).To(BeNumerically("<=", rpfleet.DefaultConfigBound/2))
}

// Guards against changes that take almost their whole bound because an instance waits for
// news of a planner that does not answer it, or reads the store itself and then waits again.
func TestSilentPlannerIsNotAwaited(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	h.answerOfPlanner(3, 1)
	h.advance(rpfleet.DefaultConfigBound / 2)
	g.Expect(h.state.ConfigFollowed()).To(BeTrue())
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Failed: true})
	g.Expect(h.state.ConfigFollowed()).To(BeFalse())
	g.Expect(h.state.ListInterval()).To(BeNumerically("<", rpfleet.DefaultLeavingBound*7/10))
	h.apply(rpfleet.ConfigChecked{Stamp: h.stamp()})
	g.Expect(h.state.ConfigFollowed()).To(BeTrue(), "versions in quick succession cause few reads")
	h.advance(rpfleet.DefaultConfigBound / 2)
	g.Expect(h.state.ConfigFollowed()).To(BeFalse())
	h.answerOfPlanner(3, 1)
	g.Expect(h.state.ConfigFollowed()).To(BeTrue())
}

// Guards against instances of a large deployment that read the list all the time
// because the planner's answers come less often than they count as recent.
func TestAnswersOfPlannerReplaceReads(t *testing.T) {
	const instances, bound = 195, 4 * time.Second
	g := NewWithT(t)
	h := withHarness(t)
	h.apply(rpfleet.PolicyChanged{Stamp: h.stamp(), Policy: rpfleet.Policy{LeavingBound: bound, ConfigBound: bound}})
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	h.answerOfPlanner(instances, 1)
	h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: rpfleet.LeaseRow{
		Revision: 7, Holder: "front-2", Epoch: 3, Address: testEndpoint("p", testPlain, homeDomain).Address,
	}})
	answered := 0
	for begin := h.now; h.now.Sub(begin) < 30*time.Second; {
		h.discardEffects()
		h.advance(20 * time.Millisecond)
		g.Expect(h.state.ListInterval()).To(BeNumerically(">", 10*time.Second), "after %s", h.now.Sub(begin))
		g.Expect(h.state.ConfigFollowed()).To(BeTrue(), "after %s", h.now.Sub(begin))
		for range effectsOf[rpfleet.SendDemand](h) {
			answered++
			h.answerOfPlanner(instances, 1)
		}
	}
	g.Expect(answered).To(BeNumerically(">", 10))
}

// Guards against a planner that confirms its version of the configuration although
// its own call to the store has been silent.
func TestPlannerConfirmsOnlyCheckedVersion(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	h.becomePlanner()
	h.apply(rpfleet.ConfigChecked{Stamp: h.stamp()})
	named := func() uint64 {
		h.discardEffects()
		h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: "front-2"}})
		return effectsOf[rpfleet.AnswerDemand](h)[0].Placement.ConfigVersion
	}
	g.Expect(named()).To(Equal(uint64(1)))
	h.advanceRenewingLease(rpfleet.DefaultConfigBound / 2)
	g.Expect(named()).To(BeZero())
}

// Guards against a planner without a recent check of the configuration whose answers
// keep other instances from asking the store.
func TestUnconfirmedVersionIsNoNews(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	for range 10 {
		h.answerOfPlanner(3, 0)
		h.advance(rpfleet.DefaultConfigBound / 5)
	}
	g.Expect(h.state.ConfigFollowed()).To(BeFalse())
	g.Expect(effectsOf[rpfleet.ReadConfig](h)).To(BeEmpty())
}

// Guards against one read of the configuration for each of several versions in quick
// succession, at each instance.
func TestVersionsInSuccessionCauseOneRead(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	for version := range uint64(10) {
		h.answerOfPlanner(3, 2+version)
		h.advance(20 * time.Millisecond)
	}
	h.advance(rpfleet.DefaultConfigBound / 4)
	g.Expect(effectsOf[rpfleet.ReadConfig](h)).To(HaveLen(1))
}

// Guards against an instance that misses a version of the configuration because
// its own call to the store went silent.
func TestPlannerVersionCausesConfigRead(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	placement := rpfleet.Placement{IsPlanner: true, Instances: 3, ConfigVersion: 1}
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: placement})
	g.Expect(effectsOf[rpfleet.ReadConfig](h)).To(BeEmpty())
	placement.ConfigVersion = 2
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: placement})
	h.advance(rpfleet.DefaultConfigBound / 4)
	g.Expect(effectsOf[rpfleet.ReadConfig](h)).To(HaveLen(1))
	// If the read fails, the next placement causes another one.
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: placement})
	h.advance(rpfleet.DefaultConfigBound / 4)
	g.Expect(effectsOf[rpfleet.ReadConfig](h)).To(HaveLen(2))
	// The instance's own call usually returns a version first.
	h.discardEffects()
	placement.ConfigVersion = 3
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: placement})
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: testConfig(3)})
	h.advance(rpfleet.DefaultConfigBound / 4)
	g.Expect(effectsOf[rpfleet.ReadConfig](h)).To(BeEmpty())
}

// Guards against a version that is read, and after that not used: a check of the
// store that was older than the planner's news.
func TestConfigStaysOverdueUntilRead(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	h.answerOfPlanner(3, 1)
	for range 10 {
		h.advance(rpfleet.DefaultConfigBound / 5)
		h.answerOfPlanner(3, 2)
	}
	g.Expect(h.state.ConfigFollowed()).To(BeFalse())
	g.Expect(len(effectsOf[rpfleet.ReadConfig](h))).To(BeNumerically(">", 1))
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: testConfig(2)})
	h.answerOfPlanner(3, 2)
	g.Expect(h.state.ConfigFollowed()).To(BeTrue())
}
