package rpsystem

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// withBothEngineKinds runs a test with each kind of engines. One model is loaded before
// the test, the other is not.
func withBothEngineKinds(t *testing.T, test func(c *cluster)) {
	for _, ignore := range []bool{false, true} {
		name := map[bool]string{false: "engines enforce fencing", true: "engines ignore fencing"}[ignore]
		t.Run(name, func(t *testing.T) {
			c := withCluster(t, clusterConfig{
				Engines: 3, IgnoreFencing: ignore, LoadTime: 3 * time.Second,
				Models: []model{{Name: "loaded", MaxReplicas: 1, Warm: 1}, {Name: "cold", MaxReplicas: 1}},
			})
			c.withReplicaBoundChecks()
			c.eventuallyServes(c.instances[0], "loaded")
			test(c)
		})
	}
}

// Guards against a second replica, a request without an answer and a model
// that can't be served any more, after the instance that loads it dies.
func TestKillDuringLoad(t *testing.T) {
	withBothEngineKinds(t, func(c *cluster) {
		answers := sendChats(c.instances, "cold", 3, 8, 20*time.Second)
		killed := c.waitForLoadOrder("cold")
		NewWithT(c.t).Expect(c.loadedAt("cold")).To(BeEmpty(), "the load ended before its instance was killed")
		killed.kill()
		c.checkAfterKill(killed, answers)
	})
}

// Guards against a reservation that nobody frees: its owner dies before it
// sends the load order.
func TestKillBeforeLoadOrder(t *testing.T) {
	withBothEngineKinds(t, func(c *cluster) {
		found := c.stopOnReservation("cold", (*instance).kill)
		answers := sendChats(c.instances, "cold", 3, 8, 20*time.Second)
		var killed *instance
		NewWithT(c.t).Eventually(found, waitTimeout).Should(Receive(&killed))
		NewWithT(c.t).Expect(killed.hasLogLine("orders a load", service+"/cold")).To(BeFalse())
		c.checkAfterKill(killed, answers)
	})
}

// checkAfterKill starts the killed instance again and checks the answers of the
// others and that all serve.
func (c *cluster) checkAfterKill(killed *instance, answers func() []answer) {
	c.t.Helper()
	for _, i := range c.instances {
		if i != killed {
			NewWithT(c.t).Expect(i.chat("loaded", "meanwhile", 8, 10*time.Second).checkComplete()).To(Succeed())
		}
	}
	killed.restart()
	for _, a := range answers() {
		if a.from != killed.id {
			NewWithT(c.t).Expect(a.checkCompleteOrRefused()).To(Succeed())
		}
	}
	c.waitUntilConverged()
	for _, i := range c.instances {
		c.eventuallyServes(i, "cold")
	}
	NewWithT(c.t).Expect(c.loadedAt("cold")).To(HaveLen(1))
}
