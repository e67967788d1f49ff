package rpsystem

import (
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// checkWhilePaused checks the answers of the other instances while one instance
// is paused.
func (c *cluster) checkWhilePaused(paused *instance) {
	c.t.Helper()
	others := slices.DeleteFunc(slices.Clone(c.instances), func(i *instance) bool { return i == paused })
	c.expectComplete(sendChats(others, "loaded", 3, 8, 10*time.Second)())
	c.expectCompleteOrRefused(sendChats(others, "cold", 2, 8, 9*time.Second)())
}

// checkAfterResume resumes the paused instance and checks the answers to the
// waiting requests and that the model it loads has one replica.
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
// an instance is paused immediately after it sent a load order.
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

// Guards against excess replicas due to a late load order. The instance is paused
// after the table applied its reservation and before it receives the answer, so
// it sends the order when it resumes.
func TestPauseBeforeLoadOrder(t *testing.T) {
	withBothEngineKinds(t, func(c *cluster) {
		found := c.stopOnReservation("cold", (*instance).pause)
		waiting := sendChats(c.instances, "cold", 2, 8, 10*time.Second)
		var paused *instance
		NewWithT(c.t).Eventually(found, waitTimeout).Should(Receive(&paused))
		NewWithT(c.t).Expect(paused.hasLogLine("orders a load", service+"/cold")).To(BeFalse())
		// From here on, the other instances no longer see the paused instance as
		// live, and their requests wait long enough for their reaction to that.
		for _, i := range c.instances {
			if i != paused {
				NewWithT(c.t).Eventually(func() error { return i.checkView(len(c.instances)-1, len(c.engines)) },
					waitTimeout, pollInterval).Should(Succeed())
			}
		}
		c.checkWhilePaused(paused)
		if c.config.IgnoreFencing {
			// Such an engine would execute the late order, so no other instance
			// may take over the reservation.
			NewWithT(c.t).Expect(c.loadedAt("cold")).To(BeEmpty())
		}
		c.checkAfterResume(paused, waiting)
	})
}

// stopOnReservation calls stop, which pauses or kills, for the first instance
// that reserves a load of a model. The table has applied the reservation then,
// but the instance has not received the answer, because the proxy forwards it
// only after stop returns. The channel receives the instance.
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
