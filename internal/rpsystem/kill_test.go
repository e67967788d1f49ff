package rpsystem

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// withBothEngineKinds runs a test with engines that enforce fencing and with
// engines that ignore it. The model "loaded" is loaded before the test, the model
// "cold" is not.
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

// Guards against a second replica, a request without an answer, and a model that
// can't be served any more, after the instance that ordered its load dies.
func TestKillDuringLoad(t *testing.T) {
	withBothEngineKinds(t, func(c *cluster) {
		answers := sendChats(c.instances, "cold", 3, 8, 20*time.Second)
		killed := c.waitForLoadOrder("cold")
		NewWithT(c.t).Expect(c.loadedAt("cold")).To(BeEmpty(), "the load ended before its instance was killed")
		killed.kill()
		c.checkAfterKill(killed, answers)
	})
}

// Guards against a reservation that is never freed after its owner dies before
// sending the load order.
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

// checkAfterKill checks that the other instances serve, restarts the killed
// instance, and checks the answers of the others and that all instances serve.
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
