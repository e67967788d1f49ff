package rpsystem

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

func engineConfig() clusterConfig {
	return clusterConfig{
		Engines: 3, TokenTime: 20 * time.Millisecond, Models: []model{{Name: "pair", MaxReplicas: 2, Warm: 2}},
	}
}

// withStreams starts two streams at each instance and waits until each has sent
// tokens, so that both replicas run some.
func (c *cluster) withStreams(tokens int) func() []answer {
	c.t.Helper()
	var group sync.WaitGroup
	answers := make([]answer, 2*len(c.instances))
	relayed := make([]atomic.Int64, len(answers))
	for n := range answers {
		i := c.instances[n%len(c.instances)]
		group.Go(func() {
			prompt := fmt.Sprint("stream ", n)
			answers[n] = i.chatWatched("pair", prompt, tokens, longTime, func() { relayed[n].Add(1) })
		})
	}
	g := NewWithT(c.t)
	for n := range relayed {
		g.Eventually(relayed[n].Load, longTime, pollTime).Should(BeNumerically(">", 2))
	}
	return func() []answer {
		group.Wait()
		return answers
	}
}

// waitForPair waits until every instance knows two replicas and returns their
// engines.
func (c *cluster) waitForPair() []*standin {
	c.t.Helper()
	g := NewWithT(c.t)
	for _, i := range c.instances {
		g.Eventually(func() (int, error) {
			status, err := i.status()
			if err != nil || len(status.Models) == 0 {
				return 0, err
			}
			return status.Models[0].Loaded, nil
		}, longTime, pollTime).Should(Equal(2), i.id)
	}
	engines := c.loadedAt("pair")
	g.Expect(engines).To(HaveLen(2))
	return engines
}

// Guards against new work for an engine that is leaving, and against a stream
// that loses or repeats a token when its engine goes.
func TestEngineLeaves(t *testing.T) {
	c := withCluster(t, engineConfig())
	g := NewWithT(t)
	c.withBounds()
	leaving := c.waitForPair()[0]
	streams := c.withStreams(400)
	g.Expect(c.running(leaving)).To(BeNumerically(">", 0), "no stream runs on the engine")
	member, listed := c.member(leaving.id)
	g.Expect(listed).To(BeTrue())
	member.Leaving = true
	c.putMember(member)
	for _, i := range c.instances {
		g.Eventually(func() bool { return i.knowsLeaving(leaving.id) }, longTime, pollTime).Should(BeTrue(), i.id)
	}
	before := c.executions(leaving)
	c.expectWhole(ask(c.instances, "pair", 3, 4, longTime)())
	g.Expect(c.executions(leaving)).To(Equal(before), "the leaving engine got new work")
	g.Expect(c.running(leaving)).To(BeNumerically(">", 0), "the streams ended too early for the test")
	leaving.signal(syscall.SIGTERM)
	c.expectWhole(streams())
	g.Expect(leaving.exitCode()).To(BeZero())
}

func (i *instance) knowsLeaving(id string) bool {
	status, err := i.status()
	if err != nil {
		return false
	}
	for _, e := range status.Endpoints {
		if e.ID == rpcore.EndpointID(id) {
			return e.Leaving
		}
	}
	return true
}

func (c *cluster) running(e *standin) int {
	state, _ := c.engineState(e)
	return state.Running
}

// Guards against a stream that ends without its end or an explicit error, or
// repeats tokens, when its engine dies, and against a lost replica that is not
// replaced.
func TestEngineDies(t *testing.T) {
	c := withCluster(t, engineConfig())
	g := NewWithT(t)
	c.withBounds()
	dying := c.waitForPair()[1]
	streams := c.withStreams(200)
	g.Expect(c.running(dying)).To(BeNumerically(">", 0), "no stream runs on the engine")
	dying.kill()
	answers := streams()
	c.expectHonest(answers)
	resumed := 0
	for _, a := range answers {
		if a.refused == nil {
			resumed++
		}
	}
	g.Expect(resumed).To(BeNumerically(">", len(answers)/2), "%v", answers)
	c.removeMember(dying.id)
	c.waitForPair()
	c.expectWhole(ask(c.instances, "pair", 2, 4, longTime)())
}
