package rpsystem

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Guards against a charge that runs twice, a refusal with the verdict not_run of
// a charge that ran, and excess replicas, when the table applies writes and
// loses the answers.
func TestLostTableAnswers(t *testing.T) {
	c := withCluster(t, clusterConfig{Engines: 3, PlainServices: 3, Models: []model{
		{Name: "cold-a", MaxReplicas: 1}, {Name: "cold-b", MaxReplicas: 2}, {Name: "cold-c", MaxReplicas: 1},
	}})
	c.withReplicaBoundChecks()
	c.setFaults("table", rpstandin.FaultSettings{LoseAnswers: 0.3})
	charges := c.sendCharges("share", 40)
	c.expectCompleteOrRefused(sendChats(c.instances, "cold-a", 2, 8, 20*time.Second)())
	c.expectCompleteOrRefused(sendChats(c.instances, "cold-b", 2, 8, 20*time.Second)())
	c.checkCharges(charges())
	c.setFaults("table", rpstandin.FaultSettings{LoseNextAnswers: 4})
	c.expectCompleteOrRefused(sendChats(c.instances, "cold-c", 2, 8, 20*time.Second)())
	for n := range 5 {
		c.setFaults("table", rpstandin.FaultSettings{LoseNextAnswers: 1 + n})
		c.checkCharges(c.sendCharges(fmt.Sprintf("next-%d", n), 2)())
	}
	c.setFaults("table", rpstandin.FaultSettings{})
	for _, i := range c.instances {
		for _, m := range c.config.Models {
			c.eventuallyServes(i, m.Name)
		}
	}
}

// sendCharges sends each of count charges twice, through different instances. It
// returns a function that waits for the answers by idempotency key.
func (c *cluster) sendCharges(name string, count int) func() map[string][]answer {
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string][]answer)
	for n := range 2 * count {
		key := fmt.Sprintf("%s-%d", name, n/2)
		i := c.instances[(n+n/2)%len(c.instances)]
		group.Go(func() {
			a := i.charge(key, "amount "+key, 15*time.Second)
			mu.Lock()
			defer mu.Unlock()
			answers[key] = append(answers[key], a)
		})
	}
	return func() map[string][]answer {
		group.Wait()
		return answers
	}
}

func (c *cluster) checkCharges(charges map[string][]answer) {
	c.t.Helper()
	g := NewWithT(c.t)
	for key, answers := range charges {
		runs := c.executionsByKey(key)
		g.Expect(runs).To(BeNumerically("<=", 1), key)
		answered, notRun := 0, 0
		for _, a := range answers {
			g.Expect(a.err).NotTo(HaveOccurred(), key)
			switch {
			case a.refused == nil:
				answered++
				g.Expect(a.body).To(Equal("amount "+key), a.String())
			case a.refused.Verdict == rpverdict.NotRun:
				notRun++
			}
		}
		if answered > 0 {
			g.Expect(runs).To(Equal(1), key)
		}
		if notRun == len(answers) {
			g.Expect(runs).To(BeZero(), "%s: %v", key, answers)
		}
	}
}
