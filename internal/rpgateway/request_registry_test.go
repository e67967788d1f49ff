package rpgateway

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against the cancellation of a later attempt, or of a request that has
// ended, by an effect for an earlier one.
func TestCancelAttemptOfEndedAttempt(t *testing.T) {
	g := NewWithT(t)
	var registry requestRegistry
	queue := registry.add("r")
	canceled := 0
	cancel := func() { canceled++ }
	registry.cancelAttempt("r", "r#1")
	queue.attemptStarted("r#1", cancel)
	queue.attemptEnded()
	registry.cancelAttempt("r", "r#1")
	queue.attemptStarted("r#2", cancel)
	registry.cancelAttempt("r", "r#1")
	registry.cancelAttempt("other", "r#2")
	g.Expect(canceled).To(BeZero())
	registry.cancelAttempt("r", "r#2")
	g.Expect(canceled).To(Equal(1))
	queue.attemptEnded()
	registry.remove("r")
	registry.cancelAttempt("r", "r#2")
	g.Expect(canceled).To(Equal(1))
}
