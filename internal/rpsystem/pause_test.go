package rpsystem

import (
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// pauseConfig has one model that is loaded before the pause and one that the
// paused instance loads.
func pauseConfig() clusterConfig {
	return clusterConfig{Engines: 3, LoadTime: 2 * time.Second, Models: []model{
		{Name: "loaded", MaxReplicas: 1, Warm: 1}, {Name: "cold", MaxReplicas: 1},
	}}
}

// checkPause checks what happens while an instance is paused and after it goes
// on.
func (c *cluster) checkPause(paused *instance, waiting func() []answer) {
	c.t.Helper()
	others := slices.DeleteFunc(slices.Clone(c.instances), func(i *instance) bool { return i == paused })
	c.expectWhole(ask(others, "loaded", 3, 8, 10*time.Second)())
	c.expectHonest(ask(others, "cold", 2, 8, 5*time.Second)())
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
	c := withCluster(t, pauseConfig())
	c.withBounds()
	c.eventuallyServes(c.instances[0], "loaded")
	waiting := ask(c.instances, "cold", 2, 8, 10*time.Second)
	paused := c.orderer("cold")
	paused.signal(syscall.SIGSTOP)
	NewWithT(t).Expect(c.loadedAt("cold")).To(BeEmpty(), "the load ended before the pause")
	c.checkPause(paused, waiting)
}

// Guards against a late load order that breaks a bound: the instance is paused
// after its reservation stands in the table and before it hears of that.
func TestPauseBeforeLoadOrder(t *testing.T) {
	c := withCluster(t, pauseConfig())
	c.withBounds()
	c.eventuallyServes(c.instances[0], "loaded")
	found := c.signalReserver("cold", syscall.SIGSTOP)
	waiting := ask(c.instances, "cold", 2, 8, 10*time.Second)
	var paused *instance
	NewWithT(t).Eventually(found, longTime).Should(Receive(&paused))
	NewWithT(t).Expect(paused.logged("orders a load", service+"/cold")).To(BeFalse())
	c.checkPause(paused, waiting)
}

// signalReserver sends a signal to the first instance that reserves a load of a
// model, after the table has applied that and before the instance hears of it.
func (c *cluster) signalReserver(name string, signal syscall.Signal) <-chan *instance {
	found := make(chan *instance, 1)
	var once sync.Once
	for _, i := range c.instances {
		i.gates["table"].watch(func() {
			once.Do(func() {
				_ = i.cmd.Process.Signal(signal)
				found <- i
			})
		}, "TransactWriteItems", name)
	}
	return found
}
