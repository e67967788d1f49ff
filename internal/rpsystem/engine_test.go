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

// withStreams starts two streams at each instance and waits until each of them
// has received tokens, so that both replicas run some of the streams.
func (c *cluster) withStreams(tokens int) func() []answer {
	c.t.Helper()
	var group sync.WaitGroup
	answers := make([]answer, 2*len(c.instances))
	relayed := make([]atomic.Int64, len(answers))
	for n := range answers {
		i := c.instances[n%len(c.instances)]
		group.Go(func() {
			prompt := fmt.Sprint("stream ", n)
			answers[n] = i.chatWithCallback("pair", prompt, tokens, waitTimeout, func() { relayed[n].Add(1) })
		})
	}
	g := NewWithT(c.t)
	for n := range relayed {
		g.Eventually(relayed[n].Load, waitTimeout, pollInterval).Should(BeNumerically(">", 2))
	}
	return func() []answer {
		group.Wait()
		return answers
	}
}

// waitForTwoReplicas waits until every instance knows two replicas of the model
// and returns their engines.
func (c *cluster) waitForTwoReplicas() []*standin {
	c.t.Helper()
	g := NewWithT(c.t)
	for _, i := range c.instances {
		g.Eventually(func() (int, error) {
			status, err := i.status()
			if err != nil || len(status.Models) == 0 {
				return 0, err
			}
			return status.Models[0].Loaded, nil
		}, waitTimeout, pollInterval).Should(Equal(2), i.id)
	}
	engines := c.loadedAt("pair")
	g.Expect(engines).To(HaveLen(2))
	return engines
}

// Guards against new work for an engine that is leaving, and against a stream
// that loses or repeats a token when its engine stops.
func TestEngineLeaves(t *testing.T) {
	c := withCluster(t, engineConfig())
	g := NewWithT(t)
	c.withReplicaBoundChecks()
	leaving := c.waitForTwoReplicas()[0]
	streams := c.withStreams(400)
	g.Expect(c.runningRequests(leaving)).To(BeNumerically(">", 0), "no stream runs on the engine")
	member, listed := c.member(leaving.id)
	g.Expect(listed).To(BeTrue())
	member.Leaving = true
	c.putMember(member)
	for _, i := range c.instances {
		g.Eventually(func() bool { return i.knowsLeaving(leaving.id) }, waitTimeout, pollInterval).Should(BeTrue(), i.id)
	}
	before := c.executions(leaving)
	c.expectComplete(sendChats(c.instances, "pair", 3, 4, waitTimeout)())
	g.Expect(c.executions(leaving)).To(Equal(before), "the leaving engine got new work")
	g.Expect(c.runningRequests(leaving)).To(BeNumerically(">", 0), "the streams ended too early for the test")
	leaving.signal(syscall.SIGTERM)
	c.expectComplete(streams())
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

func (c *cluster) runningRequests(e *standin) int {
	state, _ := c.engineState(e)
	return state.Running
}

// Guards against a stream that is cut off without an explicit error or repeats
// tokens after its engine dies, and against a lost replica that is not replaced.
func TestEngineDies(t *testing.T) {
	c := withCluster(t, engineConfig())
	g := NewWithT(t)
	c.withReplicaBoundChecks()
	dying := c.waitForTwoReplicas()[1]
	streams := c.withStreams(200)
	g.Expect(c.runningRequests(dying)).To(BeNumerically(">", 0), "no stream runs on the engine")
	dying.kill()
	answers := streams()
	c.expectCompleteOrRefused(answers)
	resumed := 0
	for _, a := range answers {
		if a.refused == nil {
			resumed++
		}
	}
	g.Expect(resumed).To(BeNumerically(">", len(answers)/2), "%v", answers)
	c.removeMember(dying.id)
	c.waitForTwoReplicas()
	c.expectComplete(sendChats(c.instances, "pair", 2, 4, waitTimeout)())
}
