package rpfleet_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// withFullEngine returns an instance whose only engine has no room for requests
// of rank 1 and 2. The config can be changed before it is in force.
func withFullEngine(t *testing.T, change func(*rpfleet.Config)) (*harness, []rpfleet.StartAttempt) {
	t.Helper()
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	config := testConfig(2)
	config.Routes[0].Rank = 1
	change(config)
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: config})
	var running []rpfleet.StartAttempt
	for i := range 4 {
		id := fmt.Sprintf("running-%d", i)
		h.arriveRequest(id, "/suggest/1", "m0")
		running = append(running, h.lastAttempt(id))
	}
	return h, running
}

// startedAfter ends a running attempt and returns the request that starts in its
// place.
func (h *harness) startedAfter(ended rpfleet.StartAttempt) string {
	h.t.Helper()
	h.discardEffects()
	h.endAttempt(ended, rpcore.AttemptComplete, rpverdict.Ran)
	started := effectsOf[rpfleet.StartAttempt](h)
	if len(started) != 1 {
		h.t.Fatalf("%d attempts started, not 1", len(started))
	}
	return string(started[0].Request)
}

// Guards against an order of the queue that is fixed when requests arrive: a late
// request of rank 1 must yield to one of rank 2 that would miss its target.
func TestQueueOrderFollowsSlack(t *testing.T) {
	g := NewWithT(t)
	h, running := withFullEngine(t, func(*rpfleet.Config) {})
	h.arriveRequest("later", "/later/1", "m0")
	h.advance(5200 * time.Millisecond)
	h.arriveRequest("suggest", "/suggest/1", "m0")
	h.arriveRequest("relaxed", "/later/1", "m0")
	h.advance(550 * time.Millisecond)
	g.Expect(h.startedAfter(running[0])).To(Equal("later"))
	g.Expect(h.startedAfter(running[1])).To(Equal("suggest"))
	g.Expect(h.startedAfter(running[2])).To(Equal("relaxed"))
}

// Guards against a less urgent rank that goes first while a request of a more
// urgent rank can still meet its target.
func TestQueueOrderKeepsRanksInTime(t *testing.T) {
	g := NewWithT(t)
	h, running := withFullEngine(t, func(*rpfleet.Config) {})
	h.arriveRequest("later", "/later/1", "m0")
	h.advance(5750 * time.Millisecond)
	h.arriveRequest("suggest", "/suggest/1", "m0")
	g.Expect(h.startedAfter(running[0])).To(Equal("suggest"))
	g.Expect(h.startedAfter(running[1])).To(Equal("later"))
}

// Guards against a changed order where all routes of a service have the same
// target and rank: late requests keep their place there.
func TestQueueOrderOfUniformServiceIsArrival(t *testing.T) {
	g := NewWithT(t)
	h, running := withFullEngine(t, func(config *rpfleet.Config) {
		config.Routes[1].Rank = config.Routes[0].Rank
		config.Routes[1].Target = config.Routes[0].Target
	})
	h.arriveRequest("first", "/suggest/1", "m0")
	h.advance(600 * time.Millisecond)
	h.arriveRequest("second", "/later/1", "m0")
	g.Expect(h.startedAfter(running[0])).To(Equal("first"))
	g.Expect(h.lastAttempt("first").Priority).To(Equal(running[0].Priority))
	g.Expect(h.startedAfter(running[1])).To(Equal("second"))
}

// Guards against engines that can't tell requests in time from late ones, and
// against one rank's number below that of a more urgent rank.
func TestEnginePriorityFollowsSlack(t *testing.T) {
	g := NewWithT(t)
	h, running := withFullEngine(t, func(*rpfleet.Config) {})
	g.Expect(running[0].Priority).To(Equal(3 + 0))
	h.arriveRequest("late", "/suggest/1", "m0")
	h.advance(600 * time.Millisecond)
	g.Expect(h.startedAfter(running[0])).To(Equal("late"))
	g.Expect(h.lastAttempt("late").Priority).To(Equal(3 + 2))
	h.endAttempt(running[1], rpcore.AttemptComplete, rpverdict.Ran)
	h.arriveRequest("relaxed", "/later/1", "m0")
	g.Expect(h.lastAttempt("relaxed").Priority).To(Equal(6 + 0))
}

// Guards against requests of a less urgent rank that never start because those of
// rank 0 keep an engine above the number of requests that others may add to.
func TestStarvedRouteGetsRoomAtBusyEngine(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	for i := range 6 {
		h.arriveRequest(fmt.Sprintf("first-%d", i), "/suggest/1", "m0")
	}
	for i := range 4 {
		h.arriveRequest(fmt.Sprintf("later-%d", i), "/later/1", "m0")
	}
	// The engine always has six requests, and later ones press after 5.5 s.
	for i := range 95 {
		ended := effectsOf[rpfleet.StartAttempt](h)[i]
		h.apply(rpfleet.AttemptStarted{Stamp: h.stamp(), Request: ended.Request, Attempt: ended.Attempt})
		h.endAttempt(ended, rpcore.AttemptComplete, rpverdict.Ran)
		h.arriveRequest(fmt.Sprintf("next-%d", i), "/suggest/1", "m0")
		h.advance(60 * time.Millisecond)
	}
	started := effectsOf[rpfleet.StartAttempt](h)
	later := slices.IndexFunc(started, func(a rpfleet.StartAttempt) bool { return strings.HasPrefix(string(a.Request), "later-") })
	g.Expect(later).To(BeNumerically(">", 90))
	g.Expect(started[later].Priority).To(BeZero())
}
