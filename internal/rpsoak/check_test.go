package rpsoak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// checker compares what callers received with what endpoints did.
type checker struct {
	engines        []*rpfake.Endpoint
	plainEndpoints []*rpfake.Endpoint
	outcomes       []outcome
	disruptions    []disruption
	// notices are the times in which endpoints said only in their responses that
	// they were leaving.
	notices []absence
	// silences are the times in which sound engines sent nothing.
	silences []silence
	// contactTime is the users' contact_ms in the rules on deadly parts of prompts.
	contactTime time.Duration
	// errorf reports a violation.
	errorf func(format string, args ...any)
}

// newChecker returns a checker of what has happened so far.
func (env *environment) newChecker(load *loadGenerator) *checker {
	return &checker{
		engines: env.engines, plainEndpoints: env.plainEndpoints, outcomes: load.outcomes, disruptions: env.disruptions,
		notices: env.notices, silences: env.silences, errorf: env.t.Errorf,
	}
}

// minServedShare is the share of requests that must be served after all faults have
// ended. It allows for the callers that disconnect on purpose, 1 in 20.
const minServedShare = 0.9

func (c *checker) checkAll(calmFrom time.Time) {
	c.checkGuarantees()
	c.checkRecovery(calmFrom)
}

// checkGuarantees verifies what holds at any time, also during faults.
func (c *checker) checkGuarantees() {
	for _, o := range c.outcomes {
		c.checkComplete(o)
		c.checkRanAtMostOnce(o)
		c.checkNotRunPromise(o)
	}
	c.checkEndpointViolations()
	c.checkHolderGap()
	c.checkHoldOffs()
	c.checkNotices()
	c.checkSilences()
}

func (c *checker) endpoints() []*rpfake.Endpoint {
	return append(slices.Clone(c.engines), c.plainEndpoints...)
}

func (c *checker) runs(id string) int {
	runs := 0
	for _, e := range c.endpoints() {
		runs += e.Runs(id)
	}
	return runs
}

// checkComplete verifies that a response that looks complete is complete and
// belongs to the request.
func (c *checker) checkComplete(o outcome) {
	if o.Status != http.StatusOK || !o.Complete {
		if o.Status == http.StatusOK && o.stream() {
			c.checkEventOrder(o)
		}
		return
	}
	if o.stream() {
		if n := len(o.EventIDs()); n != streamEvents {
			c.errorf("%s (%s) looks complete with %d of %d events", o.id, o.route, n, streamEvents)
		}
		c.checkEventOrder(o)
		return
	}
	if want := "answer to " + o.body; o.Body != want {
		c.errorf("%s (%s) got %q instead of %q", o.id, o.route, o.Body, want)
	}
}

// checkAnswered verifies that a request got a response or a refusal before its
// deadline, also if it never reached an endpoint. It is for tests in which nothing
// happens to processes and no caller disconnects.
func (c *checker) checkAnswered(o outcome) {
	if o.NoResponse && o.endedAt.Sub(o.sentAt) < requestDeadline {
		c.errorf("%s (%s) got neither a response nor a refusal of %s after %s", o.id, o.route, o.target, o.endedAt.Sub(o.sentAt))
	}
}

// checkEventOrder verifies that no event is missing, duplicate or out of order.
func (c *checker) checkEventOrder(o outcome) {
	for i, id := range o.EventIDs() {
		if id != fmt.Sprint(i+1) {
			c.errorf("%s (%s) got event %s as number %d", o.id, o.route, id, i+1)
			return
		}
	}
}

// checkRanAtMostOnce verifies that a request that must not be repeated ran at most
// once.
func (c *checker) checkRanAtMostOnce(o outcome) {
	if !o.atMostOnce() {
		return
	}
	if n := c.runs(o.id); n > 1 {
		c.errorf("%s (%s) ran %d times", o.id, o.route, n)
	}
}

// checkNotRunPromise verifies that a request did not run if its status says so. It
// skips requests that may be repeated, because an earlier attempt may have run.
func (c *checker) checkNotRunPromise(o outcome) {
	promise := o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests
	if !promise || !o.atMostOnce() {
		return
	}
	if n := c.runs(o.id); n > 0 {
		c.errorf("%s (%s) got %d and ran", o.id, o.route, o.Status)
	}
}

// checkEndpointViolations verifies that no engine got an order that exceeds its
// memory or has a lower fencing token than the order before.
func (c *checker) checkEndpointViolations() {
	for _, e := range c.endpoints() {
		for _, problem := range e.Violations() {
			c.errorf("%s: %s", e.ID, problem)
		}
	}
}

// checkHolderGap verifies that orders of two instances to one engine are at least
// holderGap apart.
func (c *checker) checkHolderGap() {
	for _, e := range c.engines {
		orders := e.Orders()
		for i := 1; i < len(orders); i++ {
			gap := orders[i].At.Sub(orders[i-1].At)
			if orders[i].Holder != orders[i-1].Holder && gap < holderGap {
				c.errorf("%s got orders of %s and %s %s apart, the second at %s", e.ID, orders[i-1].Holder, orders[i].Holder, gap,
					orders[i].At.Format(time.StampMilli))
			}
		}
	}
}

// checkRecovery verifies that requests are served after the faults have ended.
func (c *checker) checkRecovery(from time.Time) {
	sent, served := 0, 0
	for _, o := range c.outcomes {
		if o.sentAt.Before(from) {
			continue
		}
		sent++
		if o.Status == http.StatusOK && o.Complete {
			served++
		}
	}
	if sent == 0 || float64(served) < minServedShare*float64(sent) {
		c.errorf("%d of %d requests were served after the faults", served, sent)
	}
}

// Guards against checks that never fail: each check gets one violation and must
// report it.
func TestChecksCanFail(t *testing.T) {
	g := NewWithT(t)
	store := &rpfake.Store{}
	plain := &rpfake.Endpoint{ID: "s1", Service: plainService}
	engine := &rpfake.Endpoint{ID: "e1", Service: modelService, Models: []string{"m0", "m1", "m2"}}
	for _, e := range []*rpfake.Endpoint{plain, engine} {
		g.Expect(e.Start(store)).To(Succeed())
		t.Cleanup(e.Stop)
	}
	var found []string
	c := &checker{
		engines: []*rpfake.Endpoint{engine}, plainEndpoints: []*rpfake.Endpoint{plain},
		errorf: func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) },
	}
	for range 2 {
		g.Expect(plain.SendRequest(rpfake.CallerRequest{ID: "twice", Path: "/place/1"})).To(Succeed())
	}
	g.Expect(plain.SendRequest(rpfake.CallerRequest{ID: "ran", Path: "/place/1"})).To(Succeed())
	engine.AcceptOrder("load", "m0", "a1", "front-1", 3)
	engine.AcceptOrder("load", "m0", "a2", "front-2", 4)
	engine.AcceptOrder("load", "m5", "", "front-2", 1)
	now := time.Now()
	plain.Fault = func(*http.Request) rpfake.EndpointFault { return rpfake.EndpointFault{Shed: true, RetryAfter: "30"} }
	g.Expect(plain.SendRequest(rpfake.CallerRequest{ID: "turned away", Path: "/place/1"})).To(Succeed())
	time.Sleep(holdOffGrace + 50*time.Millisecond)
	plain.Fault = nil
	plain.SetLeaving(true)
	for i := range holdOffArrivals + 1 {
		g.Expect(plain.SendRequest(rpfake.CallerRequest{ID: fmt.Sprint("again", i), Path: "/place/1"})).To(Succeed())
	}
	g.Expect(engine.SendRequest(rpfake.CallerRequest{ID: "cut", Path: "/suggest/1", Model: "m1"})).To(Succeed())
	c.silences = []silence{{endpoint: engine, from: now, to: now.Add(time.Minute)}}
	c.notices = []absence{{endpoint: plain, from: now, to: now.Add(time.Minute)}}
	c.outcomes = []outcome{
		{id: "turned away", route: "place", target: "front-1", sentAt: now, CallerResponse: rpfake.CallerResponse{Status: http.StatusBadGateway}},
		{id: "again0", route: "place", target: "front-1", sentAt: now, CallerResponse: rpfake.CallerResponse{Status: http.StatusBadGateway}},
		{id: "again1", route: "place", target: "front-1", sentAt: now, CallerResponse: rpfake.CallerResponse{Status: http.StatusBadGateway}},
		{id: "again2", route: "place", target: "front-1", sentAt: now.Add(leavingBound + time.Second), CallerResponse: rpfake.CallerResponse{Status: http.StatusBadGateway}},

		{id: "twice", route: "place", body: "a", sentAt: now, CallerResponse: rpfake.CallerResponse{Status: http.StatusOK, Complete: true, Body: "answer to b"}},
		{id: "ran", route: "place", sentAt: now, CallerResponse: rpfake.CallerResponse{Status: http.StatusServiceUnavailable, Complete: true}},
		{id: "cut", route: "suggest", target: "front-1", sentAt: now, endedAt: now.Add(time.Second), CallerResponse: rpfake.CallerResponse{Status: http.StatusOK, Body: "id: 1\n\n"}},
		{id: "short", route: "suggest", sentAt: now, CallerResponse: rpfake.CallerResponse{Status: http.StatusOK, Complete: true, Body: "id: 1\n\nid: 3\n\n"}},
	}
	c.checkAll(now.Add(-time.Second))
	for _, o := range c.outcomes {
		o.Complete = false
		c.checkNotTruncated(o)
	}
	c.checkAnswered(outcome{id: "unanswered", route: "stock", target: "front-1", sentAt: now, endedAt: now, CallerResponse: rpfake.CallerResponse{NoResponse: true}})
	c.checkNoWorkAfterLeaving([]absence{{endpoint: plain, from: now.Add(-time.Minute), to: now.Add(time.Minute)}})
	all := strings.Join(found, "\n")
	for _, want := range []string{
		"twice (place) ran 2 times", `got "answer to b"`, "ran (place) got 503 and ran", "looks complete with 2 of 10 events",
		"got event 3 as number 2", "load exceeds the memory", "fencing token 1 after 4", "e1 got orders of front-1 and front-2", "2 of 8 requests were served",
		"twice (place) ran at s1 and was truncated", "reached s1", "s1 got 3 requests of front-1", "said that it is leaving",
		"cut (suggest) ended", "its engine e1 was only silent", "unanswered (stock) got neither a response nor a refusal of front-1",
	} {
		g.Expect(all).To(ContainSubstring(want))
	}
}
