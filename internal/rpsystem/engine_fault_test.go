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

// loaderOf waits until an engine fetches the checkpoint of a model and returns
// that engine.
func (c *cluster) loaderOf(name string) *standin {
	c.t.Helper()
	g := NewWithT(c.t)
	g.Eventually(func() int { return c.weights().Checkpoints["weights/"+name] }, longTime, pollTime).Should(Equal(1))
	for _, i := range c.instances {
		for _, e := range c.engines {
			if i.logged("orders a load", service+"/"+name, `"`+e.id+`"`) {
				return e
			}
		}
	}
	c.t.Fatal("no instance logged the load order of ", name)
	return nil
}

// weights returns the counts of the weight store.
func (c *cluster) weights() rpstandin.WeightsState {
	c.t.Helper()
	var state rpstandin.WeightsState
	url := "http://" + c.platform["weights"].address.String() + "/standin/state"
	NewWithT(c.t).Expect(requestJSON(http.MethodGet, url, nil, &state)).To(Succeed())
	return state
}

// Guards against a model that can't be loaded any more, or is loaded twice,
// when its engine dies in the middle of the load.
func TestEngineDiesDuringLoad(t *testing.T) {
	withKinds(t, func(c *cluster) {
		answers := ask(c.instances, "cold", 2, 8, longTime)
		dying := c.loaderOf("cold")
		NewWithT(t).Expect(c.loadedAt("cold")).To(BeEmpty(), "the load ended before its engine died")
		dying.kill()
		c.removeMember(dying.id)
		c.expectHonest(answers())
		for _, i := range c.instances {
			c.eventuallyServes(i, "cold")
			c.eventuallyServes(i, "loaded")
		}
		NewWithT(t).Expect(c.loadedAt("cold")).To(HaveLen(1))
	})
}

// Guards against a replica too many while an engine does not answer, against
// new work that waits for it, and against tokens that it sends late.
func TestEngineFreezes(t *testing.T) {
	c := withCluster(t, engineConfig())
	g := NewWithT(t)
	c.withBounds()
	frozen := c.waitForPair()[0]
	streams := c.withStreams(200)
	g.Expect(c.running(frozen)).To(BeNumerically(">", 0), "no stream runs on the engine")
	frozen.pause()
	t.Cleanup(func() { _ = frozen.cmd.Process.Signal(syscall.SIGCONT) })
	for _, i := range c.instances {
		c.eventuallyServes(i, "pair")
	}
	c.expectWhole(ask(c.instances, "pair", 2, 4, longTime)())
	frozen.signal(syscall.SIGCONT)
	c.expectHonest(streams())
	c.waitForPair()
	c.expectWhole(ask(c.instances, "pair", 2, 4, longTime)())
}

// Guards against loads beyond what the weight store serves at full speed, and
// against callers that wait past their deadline for it.
func TestSlowWeightStore(t *testing.T) {
	const count = 8
	config := clusterConfig{Engines: 3, LoadTime: 3 * time.Second}
	for n := range count {
		config.Models = append(config.Models, model{Name: fmt.Sprint("idle-", n), MaxReplicas: 1})
	}
	c := withCluster(t, config)
	c.withBounds()
	var group sync.WaitGroup
	for _, m := range config.Models {
		group.Go(func() {
			for _, a := range ask(c.instances, m.Name, 1, 8, longTime)() {
				if err := a.whole(); err != nil {
					t.Error(err)
				}
			}
		})
		group.Go(func() {
			for _, a := range ask(c.instances, m.Name, 1, 8, time.Second)() {
				if err := a.honest(); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	state := c.weights()
	g := NewWithT(t)
	g.Expect(state.MostRunning).To(BeNumerically("<=", 4), "the store is slower with more loads at once")
	for _, m := range config.Models {
		g.Expect(state.Checkpoints["weights/"+m.Name]).To(Equal(1), m.Name)
	}
}

// Guards against a replica too many, and a model that can't be loaded any more,
// when an instance dies with a load under way while its failure domain is cut
// off from the others and the table loses answers.
func TestKillDuringPartition(t *testing.T) {
	withKinds(t, func(c *cluster) {
		c.cutPeers(1, 2)
		c.cutPeers(1, 3)
		c.waitForViews()
		c.setFaults("table", rpstandin.FaultSettings{LoseAnswers: 0.3})
		answers := ask(c.instances, "cold", 2, 8, 20*time.Second)
		killed := c.orderer("cold")
		killed.kill()
		for _, a := range answers() {
			if a.from != killed.id {
				NewWithT(t).Expect(a.honest()).To(Succeed())
			}
		}
		c.setFaults("table", rpstandin.FaultSettings{})
		killed.restart()
		c.healPeers(1, 2)
		c.healPeers(1, 3)
		c.waitUntilWhole()
		for _, i := range c.instances {
			c.eventuallyServes(i, "cold")
		}
		NewWithT(t).Expect(c.loadedAt("cold")).To(HaveLen(1))
	})
}
