package rpsystem

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
)

// waitForLoadingEngine waits until an engine fetches the checkpoint of a model
// and returns that engine.
func (c *cluster) waitForLoadingEngine(name string) *standin {
	c.t.Helper()
	g := NewWithT(c.t)
	g.Eventually(func() int { return c.weightStoreState().Checkpoints["weights/"+name] }, waitTimeout, pollInterval).Should(Equal(1))
	for _, i := range c.instances {
		for _, e := range c.engines {
			if i.hasLogLine("orders a load", service+"/"+name, `"`+e.id+`"`) {
				return e
			}
		}
	}
	c.t.Fatal("no instance logged the load order of ", name)
	return nil
}

// weightStoreState returns the counters of the weight store.
func (c *cluster) weightStoreState() rpstandin.WeightsState {
	c.t.Helper()
	var state rpstandin.WeightsState
	url := "http://" + c.platform["weights"].address.String() + "/standin/state"
	NewWithT(c.t).Expect(requestJSON(http.MethodGet, url, nil, &state)).To(Succeed())
	return state
}

// Guards against a model that can't be loaded any more, or is loaded twice,
// after its engine dies during the load.
func TestEngineDiesDuringLoad(t *testing.T) {
	withBothEngineKinds(t, func(c *cluster) {
		answers := sendChats(c.instances, "cold", 2, 8, waitTimeout)
		dying := c.waitForLoadingEngine("cold")
		NewWithT(t).Expect(c.loadedAt("cold")).To(BeEmpty(), "the load ended before its engine died")
		dying.kill()
		c.removeMember(dying.id)
		c.expectCompleteOrRefused(answers())
		for _, i := range c.instances {
			c.eventuallyServes(i, "cold")
			c.eventuallyServes(i, "loaded")
		}
		NewWithT(t).Expect(c.loadedAt("cold")).To(HaveLen(1))
	})
}

// Guards against excess replicas while an engine is paused, against new work
// that waits for this engine, and against tokens that it sends after it resumes.
func TestEngineFreezes(t *testing.T) {
	c := withCluster(t, engineConfig())
	g := NewWithT(t)
	c.withReplicaBoundChecks()
	frozen := c.waitForTwoReplicas()[0]
	streams := c.withStreams(200)
	g.Expect(c.runningRequests(frozen)).To(BeNumerically(">", 0), "no stream runs on the engine")
	frozen.pause()
	t.Cleanup(func() { _ = frozen.cmd.Process.Signal(syscall.SIGCONT) })
	for _, i := range c.instances {
		c.eventuallyServes(i, "pair")
	}
	c.expectComplete(sendChats(c.instances, "pair", 2, 4, waitTimeout)())
	frozen.signal(syscall.SIGCONT)
	c.expectCompleteOrRefused(streams())
	c.waitForTwoReplicas()
	c.expectComplete(sendChats(c.instances, "pair", 2, 4, waitTimeout)())
}

// Guards against more concurrent loads than the weight store serves at full
// speed, and against callers that wait for a load beyond their deadline.
func TestSlowWeightStore(t *testing.T) {
	const count = 8
	config := clusterConfig{Engines: 3, LoadTime: 3 * time.Second}
	for n := range count {
		config.Models = append(config.Models, model{Name: fmt.Sprint("idle-", n), MaxReplicas: 1})
	}
	c := withCluster(t, config)
	c.withReplicaBoundChecks()
	var group sync.WaitGroup
	for _, m := range config.Models {
		group.Go(func() {
			for _, a := range sendChats(c.instances, m.Name, 1, 8, waitTimeout)() {
				if err := a.checkComplete(); err != nil {
					t.Error(err)
				}
			}
		})
		group.Go(func() {
			for _, a := range sendChats(c.instances, m.Name, 1, 8, time.Second)() {
				if err := a.checkCompleteOrRefused(); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	state := c.weightStoreState()
	g := NewWithT(t)
	g.Expect(state.MostRunning).To(BeNumerically("<=", 4), "the store is slower with more loads at once")
	for _, m := range config.Models {
		g.Expect(state.Checkpoints["weights/"+m.Name]).To(Equal(1), m.Name)
	}
}

// Guards against excess replicas, and against a model that can't be loaded any
// more, after an instance dies during a load while failure domain 1 is cut off
// from the others and the table loses answers.
func TestKillDuringPartition(t *testing.T) {
	withBothEngineKinds(t, func(c *cluster) {
		c.cutPeers(1, 2)
		c.cutPeers(1, 3)
		c.waitForPartition()
		c.setFaults("table", rpstandin.FaultSettings{LoseAnswers: 0.3})
		answers := sendChats(c.instances, "cold", 2, 8, 20*time.Second)
		killed := c.waitForLoadOrder("cold")
		killed.kill()
		for _, a := range answers() {
			if a.from != killed.id {
				NewWithT(t).Expect(a.checkCompleteOrRefused()).To(Succeed())
			}
		}
		c.setFaults("table", rpstandin.FaultSettings{})
		killed.restart()
		c.healPeers(1, 2)
		c.healPeers(1, 3)
		c.waitUntilConverged()
		for _, i := range c.instances {
			c.eventuallyServes(i, "cold")
		}
		NewWithT(t).Expect(c.loadedAt("cold")).To(HaveLen(1))
	})
}
