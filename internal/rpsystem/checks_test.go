package rpsystem

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
)

// engineState returns the counters of an engine, or false if it does not run.
func (c *cluster) engineState(e *standin) (rpstandin.EngineState, bool) {
	var state rpstandin.EngineState
	err := requestJSON(http.MethodGet, "http://"+e.address.String()+"/standin/state", nil, &state)
	return state, err == nil
}

func (c *cluster) executions(e *standin) int {
	state, _ := c.engineState(e)
	sum := 0
	for _, n := range state.Executions {
		sum += n
	}
	return sum
}

// executionsByKey returns how often the services ran a request with an
// idempotency key.
func (c *cluster) executionsByKey(key string) int {
	c.t.Helper()
	sum := 0
	for _, s := range c.services {
		var state rpstandin.ServiceState
		NewWithT(c.t).Expect(requestJSON(http.MethodGet, "http://"+s.address.String()+"/standin/state", nil, &state)).To(Succeed())
		sum += state.ByKey[key]
	}
	return sum
}

// loadedAt returns the engines on which a model is loaded.
func (c *cluster) loadedAt(name string) []*standin {
	var found []*standin
	for _, e := range c.engines {
		var index []struct{ Name string }
		if requestJSON(http.MethodGet, "http://"+e.address.String()+"/v2/repository/index", nil, &index) != nil {
			continue
		}
		for _, entry := range index {
			if entry.Name == service+"/"+name {
				found = append(found, e)
			}
		}
	}
	return found
}

// minLoadTime is the load time of a checkpoint in host memory. A reading of all
// engines that takes less time can't count a replica twice that moves from one
// engine to another.
const minLoadTime = 300 * time.Millisecond

// withReplicaBoundChecks polls the engines until the end of the test. It fails
// the test if more replicas are loaded than the document allows, or if loads
// exceed the memory of an engine.
func (c *cluster) withReplicaBoundChecks() {
	stop := make(chan struct{})
	var watching sync.WaitGroup
	var problems []string
	readings := 0
	watching.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(pollInterval):
			}
			for _, m := range c.config.Models {
				begin := time.Now()
				loaded := c.loadedAt(m.Name)
				if time.Since(begin) >= minLoadTime {
					continue
				}
				readings++
				if len(loaded) > m.MaxReplicas {
					problems = append(problems, fmt.Sprintf("%d replicas of %s, at most %d are allowed", len(loaded), m.Name, m.MaxReplicas))
				}
			}
		}
	})
	c.t.Cleanup(func() {
		close(stop)
		watching.Wait()
		g := NewWithT(c.t)
		g.Expect(problems).To(BeEmpty())
		g.Expect(readings).To(BeNumerically(">", 0), "no reading of the engines")
		c.expectNoOvercommit()
	})
}

func (c *cluster) expectNoOvercommit() {
	c.t.Helper()
	g := NewWithT(c.t)
	for _, e := range c.engines {
		state, running := c.engineState(e)
		if !running {
			continue
		}
		g.Expect(state.Overcommits).To(BeZero(), e.id)
		g.Expect(state.HighestMemory).To(BeNumerically("<=", engineMemory), e.id)
	}
}

// waitForLoadOrder waits for a load order and returns the instance that sent it.
func (c *cluster) waitForLoadOrder(name string) *instance {
	c.t.Helper()
	var found *instance
	NewWithT(c.t).Eventually(func() bool {
		for _, i := range c.instances {
			if i.hasLogLine("orders a load", service+"/"+name) {
				found = i
			}
		}
		return found != nil
	}, waitTimeout, pollInterval).Should(BeTrue(), "no instance orders a load of "+name)
	return found
}

// sendChats sends count requests to each of the instances concurrently. It
// returns a function that waits for the answers.
func sendChats(instances []*instance, name string, count, tokens int, timeout time.Duration) func() []answer {
	var group sync.WaitGroup
	answers := make([]answer, count*len(instances))
	for n := range answers {
		i := instances[n%len(instances)]
		group.Go(func() { answers[n] = i.chat(name, fmt.Sprintf("%s %d", name, n), tokens, timeout) })
	}
	return func() []answer {
		group.Wait()
		return answers
	}
}

// expectComplete checks that all answers are complete.
func (c *cluster) expectComplete(answers []answer) {
	c.t.Helper()
	for _, a := range answers {
		NewWithT(c.t).Expect(a.checkComplete()).To(Succeed())
	}
}

// expectCompleteOrRefused checks that all answers are complete or refused.
func (c *cluster) expectCompleteOrRefused(answers []answer) {
	c.t.Helper()
	for _, a := range answers {
		NewWithT(c.t).Expect(a.checkCompleteOrRefused()).To(Succeed())
	}
}

// eventuallyServes waits until an instance answers a request for a model
// completely.
func (c *cluster) eventuallyServes(i *instance, name string) {
	c.t.Helper()
	NewWithT(c.t).Eventually(func() error { return i.chat(name, "again", 4, 10*time.Second).checkComplete() },
		waitTimeout, 5*pollInterval).Should(Succeed(), i.id)
}
