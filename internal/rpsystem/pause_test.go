package rpsystem

import (
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// checkOthers checks what the others do while an instance is paused.
func (c *cluster) checkOthers(paused *instance) {
	c.t.Helper()
	others := slices.DeleteFunc(slices.Clone(c.instances), func(i *instance) bool { return i == paused })
	c.expectWhole(ask(others, "loaded", 3, 8, 10*time.Second)())
	c.expectHonest(ask(others, "cold", 2, 8, 9*time.Second)())
}

// checkResumed lets the paused instance go on and checks the answers of its
// callers and the model that it loads.
func (c *cluster) checkResumed(paused *instance, waiting func() []answer) {
	c.t.Helper()
	paused.signal(syscall.SIGCONT)
	c.expectHonest(waiting())
	c.waitUntilWhole()
	for _, i := range c.instances {
		c.eventuallyServes(i, "cold")
	}
	NewWithT(c.t).Expect(c.loadedAt("cold")).To(HaveLen(1))
}

// Guards against a second replica, and against callers without an answer, when
// an instance is paused just after it sent a load order.
func TestPauseAfterLoadOrder(t *testing.T) {
	withKinds(t, func(c *cluster) {
		waiting := ask(c.instances, "cold", 2, 8, 10*time.Second)
		paused := c.orderer("cold")
		paused.pause()
		NewWithT(c.t).Expect(c.loadedAt("cold")).To(BeEmpty(), "the load ended before the pause")
		c.checkOthers(paused)
		c.checkResumed(paused, waiting)
	})
}

// Guards against a late load order that breaks a bound: the instance is paused
// after its reservation stands in the table and before it hears of that.
func TestPauseBeforeLoadOrder(t *testing.T) {
	withKinds(t, func(c *cluster) {
		found := c.stopReserver("cold", (*instance).pause)
		waiting := ask(c.instances, "cold", 2, 8, 10*time.Second)
		var paused *instance
		NewWithT(c.t).Eventually(found, longTime).Should(Receive(&paused))
		NewWithT(c.t).Expect(paused.logged("orders a load", service+"/cold")).To(BeFalse())
		// The others count the paused instance as silent from here on, and
		// their requests wait long enough for what they do about that.
		for _, i := range c.instances {
			if i != paused {
				NewWithT(c.t).Eventually(func() error { return i.sees(len(c.instances)-1, len(c.engines)) },
					longTime, pollTime).Should(Succeed())
			}
		}
		c.checkOthers(paused)
		if c.config.IgnoreFencing {
			// The late order can't be kept from such an engine, so no other
			// instance may use the reservation.
			NewWithT(c.t).Expect(c.loadedAt("cold")).To(BeEmpty())
		}
		c.checkResumed(paused, waiting)
	})
}

// stopReserver pauses or kills the first instance that reserves a load of a
// model, after the table has applied that. The instance does not hear of it: the
// answer is passed on when stop has returned.
func (c *cluster) stopReserver(name string, stop func(*instance)) <-chan *instance {
	found := make(chan *instance, 1)
	var once sync.Once
	for _, i := range c.instances {
		i.gates["table"].watch(func() {
			once.Do(func() {
				stop(i)
				found <- i
			})
		}, "TransactWriteItems", name)
	}
	return found
}
