package rpcore

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// Guards against requests that use up the dispatches of their rank although
// they are likely to miss their deadline, and against refusals of new requests
// because such requests are queued.
func TestLateRequestsYield(t *testing.T) {
	g := NewWithT(t)
	h := withHarness("a", Limits{EngineConcurrency: 1}, Policy{})
	h.addEngine("e1", "m")
	arrive := func(id string, rank rpdocument.Rank, timeout time.Duration) []Effect {
		return h.arrive(Request{ID: RequestID(id), ModelName: "kodovac/m", Rank: rank, Timeout: timeout})
	}
	a := firstStart(arrive("first", rpdocument.RankNormal, time.Hour))
	h.advance(5 * time.Second)
	h.completeAttempt(a)
	a = firstStart(arrive("second", rpdocument.RankNormal, time.Hour))
	for i := range 3 {
		g.Expect(summary(arrive(fmt.Sprint("late", i+1), rpdocument.RankNormal, 40*time.Second))).To(BeEmpty())
	}
	g.Expect(summary(arrive("background", rpdocument.RankBackground, time.Hour))).To(BeEmpty())
	h.advance(35 * time.Second)
	g.Expect(summary(arrive("fresh", rpdocument.RankNormal, 30*time.Second))).To(BeEmpty())
	var order []RequestID
	for range 3 {
		a = firstStart(h.completeAttempt(a))
		order = append(order, a.Request)
	}
	g.Expect(order).To(Equal([]RequestID{"fresh", "background", "late1"}))
}
