package rpsystem

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

func outageConfig() clusterConfig {
	return clusterConfig{Engines: 3, PlainServices: 3, Models: []model{
		{Name: "loaded", MaxReplicas: 2, Warm: 1}, {Name: "cold", MaxReplicas: 1},
	}}
}

// expectNotRun sends a charge to each of the instances and checks that it is
// refused and does not run.
func (c *cluster) expectNotRun(instances []*instance, name string) {
	c.t.Helper()
	g := NewWithT(c.t)
	var group sync.WaitGroup
	answers := make([]answer, len(instances))
	for n, i := range instances {
		group.Go(func() { answers[n] = i.charge(name+i.id, "amount "+name+i.id, 8*time.Second) })
	}
	group.Wait()
	for n, a := range answers {
		g.Expect(a.err).NotTo(HaveOccurred(), a.String())
		g.Expect(a.refused).NotTo(BeNil(), "%s: answered %q", a.from, a.body)
		g.Expect(a.refused.Verdict).To(Equal(rpverdict.NotRun), a.String())
		g.Expect(c.executionsByKey(name+instances[n].id)).To(BeZero(), a.String())
	}
}

// eventuallyCharges waits until a charge is answered, and checks that it ran
// once.
func (c *cluster) eventuallyCharges(i *instance, key string) {
	c.t.Helper()
	g := NewWithT(c.t)
	g.Eventually(func() string { return i.charge(key, "amount "+key, 8*time.Second).body }, waitTimeout, 5*pollInterval).
		Should(Equal("amount "+key), i.id)
	g.Expect(c.executionsByKey(key)).To(Equal(1), i.id)
}

// Guards against an outage of the platform that stops the serving of loaded
// models, lets a request run that can't be claimed, or leaves callers of an idle
// model without an answer.
func TestPlatformOutage(t *testing.T) {
	c := withCluster(t, outageConfig())
	c.withReplicaBoundChecks()
	c.eventuallyServes(c.instances[0], "loaded")
	for _, part := range platformParts {
		c.setFaults(part, rpstandin.FaultSettings{Unavailable: true})
	}
	c.expectComplete(sendChats(c.instances, "loaded", 3, 8, 10*time.Second)())
	c.expectNotRun(c.instances, "outage-")
	for _, a := range sendChats(c.instances, "cold", 2, 8, 8*time.Second)() {
		NewWithT(t).Expect(a.refused).NotTo(BeNil(), a.String())
		NewWithT(t).Expect(a.refused.Verdict).To(Equal(rpverdict.NotRun), a.String())
	}
	NewWithT(t).Expect(c.loadedAt("cold")).To(BeEmpty())
	c.expectComplete(sendChats(c.instances, "loaded", 3, 8, 10*time.Second)())
	for _, part := range platformParts {
		c.setFaults(part, rpstandin.FaultSettings{})
	}
	c.waitUntilConverged()
	for _, i := range c.instances {
		c.eventuallyServes(i, "cold")
		c.eventuallyCharges(i, "outage-"+i.id)
	}
}

// Guards against a failure domain that, cut off from the platform, disturbs the
// others or runs requests that it can't claim.
func TestPlatformCutFromOneDomain(t *testing.T) {
	for name, mode := range map[string]proxyMode{"refused": proxyRefuse, "black hole": proxyBlackHole} {
		t.Run(name, func(t *testing.T) {
			c := withCluster(t, outageConfig())
			c.withReplicaBoundChecks()
			c.eventuallyServes(c.instances[0], "loaded")
			c.setPlatformProxies(1, mode)
			c.expectComplete(sendChats(c.instances, "loaded", 3, 8, 10*time.Second)())
			c.expectNotRun(c.instancesInDomain(1), "cut-")
			for _, i := range append(c.instancesInDomain(2), c.instancesInDomain(3)...) {
				c.eventuallyCharges(i, "cut-"+i.id)
			}
			c.expectCompleteOrRefused(sendChats(c.instancesInDomain(1), "cold", 2, 8, 10*time.Second)())
			for _, i := range append(c.instancesInDomain(2), c.instancesInDomain(3)...) {
				c.eventuallyServes(i, "cold")
			}
			c.setPlatformProxies(1, proxyForward)
			c.waitUntilConverged()
			for _, i := range c.instances {
				c.eventuallyServes(i, "cold")
				c.eventuallyCharges(i, "cut-"+i.id)
			}
		})
	}
}
