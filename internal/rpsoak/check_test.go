package rpsoak

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// checker compares what callers got with what endpoints did.
type checker struct {
	w        *world
	t        *testing.T
	outcomes []outcome
}

// leastServed is the share of the requests that must be served when all faults
// have ended. The rest are callers that left on purpose, one in 20.
const leastServed = 0.9

func (c *checker) all(calmFrom time.Time) {
	for _, o := range c.outcomes {
		c.ownWholeAnswer(o)
		c.ranOnce(o)
		c.notRunIsTrue(o)
	}
	c.endpointsWereSpared()
	c.holdersApart()
	c.servedAgain(calmFrom)
}

func (c *checker) endpoints() []*rpfake.Endpoint {
	return append(slices.Clone(c.w.engines), c.w.plains...)
}

func (c *checker) runs(id string) int {
	runs := 0
	for _, e := range c.endpoints() {
		runs += e.Runs(id)
	}
	return runs
}

// ownWholeAnswer: an answer that looks complete is complete and belongs to the
// request.
func (c *checker) ownWholeAnswer(o outcome) {
	if o.status != http.StatusOK || !o.whole {
		if o.status == http.StatusOK && (o.route == "suggest" || o.route == "later") {
			c.eventsInOrder(o)
		}
		return
	}
	if o.route == "suggest" || o.route == "later" {
		if n := len(eventIDs(o.answer)); n != streamEvents {
			c.t.Errorf("%s (%s) looks complete with %d of %d events", o.id, o.route, n, streamEvents)
		}
		c.eventsInOrder(o)
		return
	}
	if want := "answer to " + o.body; o.answer != want {
		c.t.Errorf("%s (%s) got %q in place of %q", o.id, o.route, o.answer, want)
	}
}

// eventsInOrder: no event is missing in between, doubled or out of order.
func (c *checker) eventsInOrder(o outcome) {
	for i, id := range eventIDs(o.answer) {
		if id != fmt.Sprint(i+1) {
			c.t.Errorf("%s (%s) got event %s as number %d", o.id, o.route, id, i+1)
			return
		}
	}
}

// ranOnce: a request that may run once runs once at most.
func (c *checker) ranOnce(o outcome) {
	if o.route != "place" && o.route != "later" {
		return
	}
	if n := c.runs(o.id); n > 1 {
		c.t.Errorf("%s (%s) ran %d times", o.id, o.route, n)
	}
}

// notRunIsTrue: a status that promises that the request did not run is true. A
// request that may be repeated can have run elsewhere before.
func (c *checker) notRunIsTrue(o outcome) {
	promise := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests
	if !promise || o.route != "place" && o.route != "later" {
		return
	}
	if n := c.runs(o.id); n > 0 {
		c.t.Errorf("%s (%s) got %d and ran", o.id, o.route, o.status)
	}
}

// endpointsWereSpared: no engine was ordered beyond its memory or by a falling
// fence.
func (c *checker) endpointsWereSpared() {
	for _, e := range c.endpoints() {
		for _, problem := range e.Problems() {
			c.t.Errorf("%s: %s", e.ID, problem)
		}
	}
}

// holdersApart: orders of two instances to one engine are holderGap apart.
func (c *checker) holdersApart() {
	for _, e := range c.w.engines {
		orders := e.Orders()
		for i := 1; i < len(orders); i++ {
			gap := orders[i].At.Sub(orders[i-1].At)
			if orders[i].Holder != orders[i-1].Holder && gap < holderGap {
				c.t.Errorf("%s got orders of %s and %s %s apart", e.ID, orders[i-1].Holder, orders[i].Holder, gap)
			}
		}
	}
}

// servedAgain: requests are served when the faults have ended.
func (c *checker) servedAgain(from time.Time) {
	sent, served := 0, 0
	for _, o := range c.outcomes {
		if o.sentAt.Before(from) {
			continue
		}
		sent++
		if o.status == http.StatusOK && o.whole {
			served++
		}
	}
	if sent == 0 || float64(served) < leastServed*float64(sent) {
		c.t.Errorf("%d of %d requests were served after the faults", served, sent)
	}
}
