package rpsystem

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a failure domain that stops serving when it is cut off from its
// peers, and against excess replicas because both sides load the same model.
func TestPartition(t *testing.T) {
	c := withCluster(t, clusterConfig{Engines: 3, Models: []model{
		{Name: "loaded", MaxReplicas: 1, Warm: 1}, {Name: "cold", MaxReplicas: 1}, {Name: "pair", MaxReplicas: 2},
	}})
	g := NewWithT(t)
	c.withReplicaBoundChecks()
	c.eventuallyServes(c.instances[0], "loaded")
	c.cutPeers(1, 2)
	c.cutPeers(1, 3)
	// These requests arrive before either side detects the partition.
	c.expectComplete(sendChats(c.instances, "loaded", 2, 8, 10*time.Second)())
	c.waitForPartition()
	c.expectComplete(sendChats(c.instances, "loaded", 2, 8, 10*time.Second)())
	for _, name := range []string{"cold", "pair"} {
		answers := sendChats(c.instances, name, 4, 8, 20*time.Second)()
		c.expectCompleteOrRefused(answers)
		g.Expect(c.loadedAt(name)).NotTo(BeEmpty())
	}
	for _, i := range c.instances {
		c.eventuallyServes(i, "cold")
		c.eventuallyServes(i, "pair")
	}
	c.healPeers(1, 2)
	c.healPeers(1, 3)
	c.waitUntilConverged()
	c.expectComplete(sendChats(c.instances, "cold", 2, 8, 10*time.Second)())
}

// waitForPartition waits until failure domain 1 and the others no longer see
// each other as live.
func (c *cluster) waitForPartition() {
	c.t.Helper()
	for _, i := range c.instances {
		live := 2 * instancesPerDomain
		if i.domain == 1 {
			live = instancesPerDomain
		}
		NewWithT(c.t).Eventually(func() error { return i.checkView(live, len(c.engines)) }, waitTimeout, pollInterval).Should(Succeed())
	}
}
