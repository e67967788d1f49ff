package rpsystem

import (
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// checkWhilePaused checks what the others do while an instance is paused.
func (c *cluster) checkWhilePaused(paused *instance) {
	c.t.Helper()
	others := slices.DeleteFunc(slices.Clone(c.instances), func(i *instance) bool { return i == paused })
	c.expectComplete(sendChats(others, "loaded", 3, 8, 10*time.Second)())
	c.expectCompleteOrRefused(sendChats(others, "cold", 2, 8, 9*time.Second)())
}

// checkAfterResume lets the paused instance go on and checks the answers of its
// callers and the model that it loads.
func (c *cluster) checkAfterResume(paused *instance, waiting func() []answer) {
	c.t.Helper()
	paused.signal(syscall.SIGCONT)
	c.expectCompleteOrRefused(waiting())
	c.waitUntilConverged()
	for _, i := range c.instances {
		c.eventuallyServes(i, "cold")
	}
	NewWithT(c.t).Expect(c.loadedAt("cold")).To(HaveLen(1))
}

// Guards against a second replica, and against callers without an answer, when
// an instance is paused just after it sent a load order.
func TestPauseAfterLoadOrder(t *testing.T) {
	withBothEngineKinds(t, func(c *cluster) {
		waiting := sendChats(c.instances, "cold", 2, 8, 10*time.Second)
		paused := c.waitForLoadOrder("cold")
		paused.pause()
		NewWithT(c.t).Expect(c.loadedAt("cold")).To(BeEmpty(), "the load ended before the pause")
		c.checkWhilePaused(paused)
		c.checkAfterResume(paused, waiting)
	})
}

// Guards against a late load order that breaks a bound: the instance is paused
// after its reservation stands in the table and before it hears of that.
func TestPauseBeforeLoadOrder(t *testing.T) {
	withBothEngineKinds(t, func(c *cluster) {
		found := c.stopOnReservation("cold", (*instance).pause)
		waiting := sendChats(c.instances, "cold", 2, 8, 10*time.Second)
		var paused *instance
		NewWithT(c.t).Eventually(found, waitTimeout).Should(Receive(&paused))
		NewWithT(c.t).Expect(paused.hasLogLine("orders a load", service+"/cold")).To(BeFalse())
		// The others count the paused instance as silent from here on, and
		// their requests wait long enough for what they do about that.
		for _, i := range c.instances {
			if i != paused {
				NewWithT(c.t).Eventually(func() error { return i.checkView(len(c.instances)-1, len(c.engines)) },
					waitTimeout, pollInterval).Should(Succeed())
			}
		}
		c.checkWhilePaused(paused)
		if c.config.IgnoreFencing {
			// The late order can't be kept from such an engine, so no other
			// instance may use the reservation.
			NewWithT(c.t).Expect(c.loadedAt("cold")).To(BeEmpty())
		}
		c.checkAfterResume(paused, waiting)
	})
}

// stopOnReservation pauses or kills the first instance that reserves a load of a
// model, after the table has applied that. The instance does not hear of it: the
// answer is passed on when stop has returned.
func (c *cluster) stopOnReservation(name string, stop func(*instance)) <-chan *instance {
	found := make(chan *instance, 1)
	var once sync.Once
	for _, i := range c.instances {
		i.proxies["table"].watch(func() {
			once.Do(func() {
				stop(i)
				found <- i
			})
		}, "TransactWriteItems", name)
	}
	return found
}
