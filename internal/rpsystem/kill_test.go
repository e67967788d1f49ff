package rpsystem

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a second replica, a request without an answer and a model
// that can't be served any more, after the instance that loads it dies.
func TestKillDuringLoad(t *testing.T) {
	for name, ignore := range map[string]bool{"engines enforce fencing": false, "engines ignore fencing": true} {
		t.Run(name, func(t *testing.T) {
			c := withCluster(t, clusterConfig{
				Engines: 3, IgnoreFencing: ignore, LoadTime: 2 * time.Second,
				Models: []model{{Name: "cold", MaxReplicas: 1}},
			})
			c.withBounds()
			first := ask(c.instances, "cold", 3, 8, 20*time.Second)
			killed := c.orderer("cold")
			NewWithT(t).Expect(c.loads()).To(BeZero(), "the load ended before its instance was killed")
			killed.kill()
			for _, a := range first() {
				if a.from != killed.id {
					NewWithT(t).Expect(a.honest()).To(Succeed())
				}
			}
			killed.restart()
			c.waitUntilWhole()
			for _, i := range c.instances {
				c.eventuallyServes(i, "cold")
			}
			NewWithT(t).Expect(c.loadedAt("cold")).To(HaveLen(1))
		})
	}
}
