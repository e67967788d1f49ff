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

// heldRow is the lease row of another planner.
func heldRow(instances int) rpfleet.LeaseRow {
	return rpfleet.LeaseRow{Revision: 7, Holder: "front-9", Epoch: 3, ValidUntil: rpfleet.StoreTime(time.Hour), Instances: instances}
}

// withStartedInstance returns an instance that has read the configuration and the
// list of endpoints, and got the given answer to its read of the lease.
func withStartedInstance(t *testing.T, read rpfleet.LeaseRead) *harness {
	t.Helper()
	h := withHarness(t)
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: testConfig(1)})
	h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), AskedAt: h.now, Complete: true, Entries: plainEndpoints()})
	read.Stamp, read.AskedAt = h.stamp(), h.now
	h.apply(read)
	return h
}

// placeInstances applies a placement with a number of instances.
func (h *harness) placeInstances(n int) {
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: n}})
}

// failRequests lets requests fail at each endpoint that they are sent to, and returns
// the number of their retries.
func (h *harness) failRequests(n int) int {
	retries := 0
	for i := range n {
		id := fmt.Sprintf("%s-%d", h.now.Format("05.000"), i)
		h.arriveRequest(id, "/stock/1", "")
		first := h.lastAttempt(id)
		h.endAttempt(first, rpcore.AttemptBroken, rpverdict.MayHaveRun)
		if last := h.lastAttempt(id); last.Attempt != first.Attempt {
			retries++
			h.endAttempt(last, rpcore.AttemptBroken, rpverdict.MayHaveRun)
		}
	}
	return retries
}

// Guards against an instance of a small deployment that retries nothing until the
// planner has answered it.
func TestLeaseRowAllowsRetry(t *testing.T) {
	g := NewWithT(t)
	h := withStartedInstance(t, rpfleet.LeaseRead{StoreNow: 1, Row: heldRow(3)})
	g.Expect(h.failRequests(1)).To(Equal(1))
	// The planner stays silent, so the number in the row is the last known one.
	h.advance(3 * time.Second)
	g.Expect(h.failRequests(1)).To(Equal(1))
}

// Guards against an instance that takes a large part of the budget although it knows
// nothing of the others.
func TestUnknownInstanceCountAllowsNoRetry(t *testing.T) {
	for name, read := range map[string]rpfleet.LeaseRead{
		"no row": {StoreNow: 1}, "row of an earlier version": {StoreNow: 1, Row: heldRow(0)}, "failed read": {Failed: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := withStartedInstance(t, read)
			g.Expect(h.failRequests(1)).To(BeZero())
			h.advance(5 * time.Second)
			g.Expect(h.failRequests(1)).To(BeZero())
		})
	}
}

// Guards against an instance that forgets the number of instances when another
// planner, which has not counted them yet, takes over.
func TestInstanceCountOutlastsPlanner(t *testing.T) {
	g := NewWithT(t)
	h := withStartedInstance(t, rpfleet.LeaseRead{StoreNow: 1, Row: heldRow(3)})
	h.placeInstances(3)
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Failed: true})
	h.advance(20 * time.Second)
	row := heldRow(0)
	row.Revision++
	h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, StoreNow: 1, Row: row})
	g.Expect(h.failRequests(5)).To(Equal(5))
}

// Guards against more retries of all instances together than the budget allows, when
// they start together: with the number of a row, or without one, so that the planner
// has counted only some of them when it answers.
func TestRetryBudgetOfAllInstancesAtStart(t *testing.T) {
	const requests = 12
	for _, instances := range []int{1, 2, 3, 9, 25, 58, 75, 150} {
		bound := rpfleet.DefaultRetryRatio*float64(requests*instances) + rpfleet.DefaultRetrySlack
		t.Run(fmt.Sprint(instances, " with a row"), func(t *testing.T) {
			g := NewWithT(t)
			retries := 0
			for range instances {
				h := withStartedInstance(t, rpfleet.LeaseRead{StoreNow: 1, Row: heldRow(instances)})
				retries += h.failRequests(requests / 2)
				h.placeInstances(instances)
				retries += h.failRequests(requests / 2)
			}
			g.Expect(float64(retries)).To(BeNumerically("<=", bound))
			g.Expect(retries).To(BeNumerically(">", 0))
		})
		t.Run(fmt.Sprint(instances, " without a row"), func(t *testing.T) {
			g := NewWithT(t)
			retries := 0
			for i := range instances {
				h := withStartedInstance(t, rpfleet.LeaseRead{StoreNow: 1})
				retries += h.failRequests(requests / 3)
				h.placeInstances(i + 1)
				retries += h.failRequests(requests / 3)
				h.advance(2 * time.Second)
				h.placeInstances(instances)
				retries += h.failRequests(requests / 3)
			}
			g.Expect(float64(retries)).To(BeNumerically("<=", bound))
		})
	}
}

// Guards against a lease row without the number of instances, and against one that
// states the few that a planner has counted just after its start.
func TestPlannerWritesInstances(t *testing.T) {
	g := NewWithT(t)
	h := withStartedInstance(t, rpfleet.LeaseRead{StoreNow: 1})
	h.becomePlanner()
	lastRow := func() rpfleet.LeaseRow {
		writes := effectsOf[rpfleet.WriteLease](h)
		return writes[len(writes)-1].Row
	}
	g.Expect(lastRow().Instances).To(BeZero())
	for range 4 {
		h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: "front-2", Full: true}})
		h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 2, Demand: rpfleet.Demand{Instance: "front-3", Full: true}})
		g.Expect(lastRow().Instances).To(BeZero())
		h.advanceRenewingLease(400 * time.Millisecond)
	}
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 3, Demand: rpfleet.Demand{Instance: "front-2", Full: true}})
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 4, Demand: rpfleet.Demand{Instance: "front-3", Full: true}})
	h.advanceRenewingLease(time.Second)
	g.Expect(lastRow().Instances).To(Equal(3))
	h.apply(rpfleet.DrainRequested{Stamp: h.stamp()})
	g.Expect(lastRow().Released).To(BeTrue())
	g.Expect(lastRow().Instances).To(Equal(3))
}

// Guards against a takeover that loses the number of instances: the next instance
// that starts would retry nothing.
func TestTakeoverKeepsInstances(t *testing.T) {
	g := NewWithT(t)
	released := rpfleet.LeaseRow{Revision: 7, Epoch: 3, Released: true, ValidUntil: 1, Instances: 9}
	h := withStartedInstance(t, rpfleet.LeaseRead{StoreNow: 1, Row: released})
	h.lease = released
	h.becomePlanner()
	g.Expect(h.lease.Instances).To(Equal(9))
}
