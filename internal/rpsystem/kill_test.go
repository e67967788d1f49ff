package rpsystem

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// withKinds runs a test with each kind of engines. One model is loaded before
// the test, the other is not.
func withKinds(t *testing.T, test func(c *cluster)) {
	for _, ignore := range []bool{false, true} {
		name := map[bool]string{false: "engines enforce fencing", true: "engines ignore fencing"}[ignore]
		t.Run(name, func(t *testing.T) {
			c := withCluster(t, clusterConfig{
				Engines: 3, IgnoreFencing: ignore, LoadTime: 3 * time.Second,
				Models: []model{{Name: "loaded", MaxReplicas: 1, Warm: 1}, {Name: "cold", MaxReplicas: 1}},
			})
			c.withBounds()
			c.eventuallyServes(c.instances[0], "loaded")
			test(c)
		})
	}
}

// Guards against a second replica, a request without an answer and a model
// that can't be served any more, after the instance that loads it dies.
func TestKillDuringLoad(t *testing.T) {
	withKinds(t, func(c *cluster) {
		answers := ask(c.instances, "cold", 3, 8, 20*time.Second)
		killed := c.orderer("cold")
		NewWithT(c.t).Expect(c.loadedAt("cold")).To(BeEmpty(), "the load ended before its instance was killed")
		killed.kill()
		c.checkKilled(killed, answers)
	})
}

// Guards against a reservation that nobody frees: its owner dies before it
// sends the load order.
func TestKillBeforeLoadOrder(t *testing.T) {
	withKinds(t, func(c *cluster) {
		found := c.stopReserver("cold", (*instance).kill)
		answers := ask(c.instances, "cold", 3, 8, 20*time.Second)
		var killed *instance
		NewWithT(c.t).Eventually(found, longTime).Should(Receive(&killed))
		NewWithT(c.t).Expect(killed.logged("orders a load", service+"/cold")).To(BeFalse())
		c.checkKilled(killed, answers)
	})
}

// checkKilled starts the killed instance again and checks the answers of the
// others and that all serve.
func (c *cluster) checkKilled(killed *instance, answers func() []answer) {
	c.t.Helper()
	for _, i := range c.instances {
		if i != killed {
			NewWithT(c.t).Expect(i.chat("loaded", "meanwhile", 8, 10*time.Second).whole()).To(Succeed())
		}
	}
	killed.restart()
	for _, a := range answers() {
		if a.from != killed.id {
			NewWithT(c.t).Expect(a.honest()).To(Succeed())
		}
	}
	c.waitUntilWhole()
	for _, i := range c.instances {
		c.eventuallyServes(i, "cold")
	}
	NewWithT(c.t).Expect(c.loadedAt("cold")).To(HaveLen(1))
}
