package rpnode_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpnode"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Guards against alarms that do not cause ticks. Deadlines and heartbeats depend on
// them.
func TestAlarmsFire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		ticks := 0
		node := &rpnode.Node{Observe: func(ev rpcore.Event, _ []rpcore.Effect, _ time.Duration) {
			if _, ok := ev.(rpcore.Tick); ok {
				ticks++
			}
		}}
		done := make(chan error, 1)
		go func() {
			done <- node.Run(ctx, rpcore.Start{Self: rpcore.Identity{Instance: "a", Incarnation: "1"}})
		}()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		cancel()
		g.Expect(<-done).To(MatchError(context.Canceled))
		g.Expect(ticks).To(BeNumerically(">=", 10))
	})
}

// Guards against a query that never returns because the node has stopped.
func TestQueryAfterStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		stopped, cancel := context.WithCancel(t.Context())
		cancel()
		node := &rpnode.Node{}
		g.Expect(node.Run(stopped, rpcore.Start{})).To(MatchError(context.Canceled))
		ctx, cancelQuery := context.WithTimeout(t.Context(), time.Second)
		defer cancelQuery()
		g.Expect(node.Query(ctx, func(*rpcore.State) {})).To(MatchError(context.DeadlineExceeded))
	})
}
