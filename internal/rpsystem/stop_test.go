package rpsystem

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Guards against a planned stop that cuts off or drops a request that the
// instance has accepted.
func TestPlannedStop(t *testing.T) {
	const streams, tokens = 200, 100
	c := withCluster(t, clusterConfig{
		Engines: 6, TokenTime: 20 * time.Millisecond, LoadTime: 100 * time.Millisecond,
		Models: []model{{Name: "loaded", MaxReplicas: 6, Warm: 6}},
	})
	g := NewWithT(t)
	c.withReplicaBoundChecks()
	g.Eventually(func() int { return len(c.loadedAt("loaded")) }, waitTimeout, pollInterval).Should(Equal(6))
	stopped := c.instances[3]
	var group sync.WaitGroup
	var ended, relayed, share atomic.Int64
	answers := make([]answer, streams)
	for n := range answers {
		i := c.instances[n%len(c.instances)]
		onToken := func() {}
		if i == stopped {
			share.Add(1)
			onToken = func() { relayed.Add(1) }
		}
		group.Go(func() {
			answers[n] = i.chatWithCallback("loaded", fmt.Sprint("stop ", n), tokens, waitTimeout, onToken)
			if i == stopped {
				ended.Add(1)
			}
		})
	}
	g.Eventually(func() (bool, error) {
		status, err := stopped.status()
		return int64(status.Running)+ended.Load() >= share.Load() && relayed.Load() > tokens, err
	}, waitTimeout, pollInterval).Should(BeTrue())
	g.Expect(ended.Load()).To(BeNumerically("<", share.Load()), "all streams ended before the stop")
	stopped.signal(syscall.SIGTERM)
	for _, i := range c.instances {
		if i != stopped {
			g.Expect(i.chat("loaded", "new", 4, waitTimeout).checkComplete()).To(Succeed(), i.id)
		}
	}
	group.Wait()
	c.expectComplete(answers)
	g.Expect(stopped.exitCode()).To(BeZero())
	g.Eventually(func() bool {
		_, listed := c.member(stopped.id)
		return listed
	}, listLag+listReadTime, pollInterval).Should(BeFalse(), "the instance is still listed after its exit")
}

// Guards against an instance that accepts new work during its planned stop, or
// refuses it with the wrong verdict.
func TestNewWorkDuringPlannedStop(t *testing.T) {
	c := withCluster(t, clusterConfig{
		Engines: 1, TokenTime: 20 * time.Millisecond, Models: []model{{Name: "loaded", MaxReplicas: 1, Warm: 1}},
	})
	g := NewWithT(t)
	c.eventuallyServes(c.instances[0], "loaded")
	stopped := c.instances[0]
	var once sync.Once
	begun := make(chan struct{})
	answers := make(chan answer, 1)
	go func() {
		answers <- stopped.chatWithCallback("loaded", "long", 400, waitTimeout, func() { once.Do(func() { close(begun) }) })
	}()
	g.Eventually(begun, waitTimeout).Should(BeClosed())
	stopped.signal(syscall.SIGTERM)
	g.Eventually(func() *refusal { return stopped.chat("loaded", "new", 1, 5*time.Second).refused }, waitTimeout, pollInterval).
		Should(HaveValue(HaveField("Verdict", rpverdict.NotRun)))
	g.Expect(stopped.ready()).NotTo(Succeed())
	a := <-answers
	g.Expect(a.checkComplete()).To(Succeed())
	g.Expect(stopped.exitCode()).To(BeZero())
}
