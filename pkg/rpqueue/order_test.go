package rpqueue_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpqueue"
)

var testStart = time.Unix(1_800_000_000, 0)

const testMargin = 400 * time.Millisecond

// waitingRequest returns an entry whose target has the given slack at testStart.
func waitingRequest(id string, rank int, slack, deadline time.Duration) *rpqueue.Entry {
	return &rpqueue.Entry{Request: rpqueue.Request{
		ID: id, Rank: rank, Kind: id, Arrived: testStart.Add(-time.Second), Target: testStart.Add(slack), Deadline: testStart.Add(deadline),
	}}
}

func itself(e *rpqueue.Entry) *rpqueue.Entry { return e }

func sortedIDs(o *rpqueue.Order, entries ...*rpqueue.Entry) []string {
	rpqueue.Sort(o, testStart, entries, itself)
	var ids []string
	for _, e := range entries {
		ids = append(ids, e.ID)
	}
	return ids
}

// Guards against late requests that take the place of requests which can still
// meet their targets, and against late requests that yield without need.
func TestLateYieldsToPressing(t *testing.T) {
	g := NewWithT(t)
	o := &rpqueue.Order{Margin: testMargin}
	late := waitingRequest("late-0", 0, -50*time.Millisecond, 3*time.Second)
	pressing := waitingRequest("pressing-2", 2, 100*time.Millisecond, 9*time.Second)
	relaxed := waitingRequest("relaxed-2", 2, 5*time.Second, 15*time.Second)
	g.Expect(sortedIDs(o, late, relaxed, pressing)).To(Equal([]string{"pressing-2", "late-0", "relaxed-2"}))
	g.Expect(sortedIDs(o, relaxed, late)).To(Equal([]string{"late-0", "relaxed-2"}))
}

// Guards against a less urgent rank that goes before a more urgent one which can
// still meet its target.
func TestRankDecidesAmongRequestsInTime(t *testing.T) {
	g := NewWithT(t)
	o := &rpqueue.Order{Margin: testMargin}
	g.Expect(sortedIDs(o,
		waitingRequest("pressing-2", 2, 10*time.Millisecond, time.Second),
		waitingRequest("relaxed-1", 1, 2*time.Second, 4*time.Second),
		waitingRequest("pressing-0", 0, 300*time.Millisecond, 4*time.Second),
		waitingRequest("late-0", 0, -time.Millisecond, 4*time.Second),
	)).To(Equal([]string{"pressing-0", "relaxed-1", "pressing-2", "late-0"}))
}

// Guards against late requests that wait for their deadline behind others which
// lose nothing by waiting.
func TestExpiringGoesBeforeRelaxedAndLate(t *testing.T) {
	g := NewWithT(t)
	o := &rpqueue.Order{Margin: testMargin}
	g.Expect(sortedIDs(o,
		waitingRequest("late-0", 0, -time.Second, 3*time.Second),
		waitingRequest("expiring-2", 2, -time.Second, 200*time.Millisecond),
		waitingRequest("pressing-1", 1, 100*time.Millisecond, 3*time.Second),
	)).To(Equal([]string{"pressing-1", "expiring-2", "late-0"}))
}

// Guards against an order by the target alone that ignores how long a prompt
// takes to read.
func TestWorkReducesSlack(t *testing.T) {
	g := NewWithT(t)
	o := &rpqueue.Order{Margin: testMargin}
	long := waitingRequest("long", 0, 500*time.Millisecond, 4*time.Second)
	g.Expect(o.Urgency(testStart, &long.Request)).To(Equal(rpqueue.Relaxed))
	long.Work = 250 * time.Millisecond
	g.Expect(o.Urgency(testStart, &long.Request)).To(Equal(rpqueue.Pressing))
	long.Work = 600 * time.Millisecond
	g.Expect(o.Urgency(testStart, &long.Request)).To(Equal(rpqueue.Late))
}

// Guards against an account with many requests that delays those of other
// accounts with the same rank.
func TestTagDecidesWithinRank(t *testing.T) {
	g := NewWithT(t)
	o := &rpqueue.Order{Margin: testMargin}
	busy := waitingRequest("busy", 1, 100*time.Millisecond, 3*time.Second)
	busy.Tag = 5000
	idle := waitingRequest("idle", 1, 200*time.Millisecond, 3*time.Second)
	idle.Tag = 900
	urgent := waitingRequest("urgent", 0, 300*time.Millisecond, 3*time.Second)
	urgent.Tag = 9000
	g.Expect(sortedIDs(o, busy, idle, urgent)).To(Equal([]string{"urgent", "idle", "busy"}))
}

// randomEntries draws waiting requests, of which some have no target.
func randomEntries(t *rapid.T) []*rpqueue.Entry {
	var entries []*rpqueue.Entry
	for i := range rapid.IntRange(0, 30).Draw(t, "count") {
		ms := func(name string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
		}
		e := waitingRequest(fmt.Sprintf("r%d", i), rapid.IntRange(0, 4).Draw(t, "rank"), ms("slack", -1000, 1000), ms("deadline", 0, 3000))
		e.Arrived = testStart.Add(-ms("waited", 0, 2000))
		e.Work = ms("work", 0, 300)
		if rapid.Bool().Draw(t, "untargeted") {
			e.Target = time.Time{}
		}
		entries = append(entries, e)
	}
	return entries
}

// Guards against an order that depends on the order of the input, and against one
// that breaks the rules of ranks and late requests in some combination.
func TestOrderProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		o := &rpqueue.Order{Margin: testMargin}
		entries := randomEntries(t)
		shuffled := rapid.Permutation(entries).Draw(t, "shuffled")
		rpqueue.Sort(o, testStart, entries, itself)
		rpqueue.Sort(o, testStart, shuffled, itself)
		g.Expect(shuffled).To(Equal(entries))
		for i, first := range entries {
			urgency := o.Urgency(testStart, &first.Request)
			for _, second := range entries[i+1:] {
				switch next := o.Urgency(testStart, &second.Request); {
				case urgency <= rpqueue.Pressing && next <= rpqueue.Pressing:
					g.Expect(first.Rank).To(BeNumerically("<=", second.Rank))
				case urgency == rpqueue.Late || urgency == rpqueue.Expiring:
					g.Expect(next).NotTo(Equal(rpqueue.Pressing))
				}
			}
		}
	})
}

// Guards against a changed order in deployments whose routes have the same
// target: rank, then arrival.
func TestOrderWithoutTargetsIsRankThenArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		o := &rpqueue.Order{Margin: testMargin}
		entries := randomEntries(t)
		for _, e := range entries {
			e.Target = time.Time{}
			o.RecordArrival(testStart, &e.Request)
		}
		want := slices.Clone(entries)
		slices.SortFunc(want, func(a, b *rpqueue.Entry) int {
			if a.Rank != b.Rank {
				return a.Rank - b.Rank
			}
			if c := a.Arrived.Compare(b.Arrived); c != 0 {
				return c
			}
			return slices.Compare([]byte(a.ID), []byte(b.ID))
		})
		rpqueue.Sort(o, testStart, entries, itself)
		g.Expect(entries).To(Equal(want))
	})
}

// Guards against a kind that never starts because other kinds always go first,
// and against one that goes first for longer than it takes to make up for it.
func TestStarvedKindGoesFirst(t *testing.T) {
	g := NewWithT(t)
	o := &rpqueue.Order{Margin: testMargin}
	rare := waitingRequest("rare", 2, -time.Second, 3*time.Second)
	common := waitingRequest("common", 0, 100*time.Millisecond, 3*time.Second)
	for range 100 {
		o.RecordArrival(testStart, &common.Request)
		o.RecordServed(testStart, &common.Request)
	}
	o.RecordArrival(testStart, &rare.Request)
	g.Expect(sortedIDs(o, rare, common)).To(Equal([]string{"common", "rare"}))
	for range 3 {
		o.RecordArrival(testStart, &rare.Request)
	}
	g.Expect(sortedIDs(o, common, rare)).To(Equal([]string{"rare", "common"}))
	for range 2 {
		o.RecordServed(testStart, &rare.Request)
	}
	g.Expect(sortedIDs(o, rare, common)).To(Equal([]string{"common", "rare"}))
}

// Guards against late requests of an urgent rank that yield to a less urgent one
// although that is already served better.
func TestLateDoesNotYieldToKindServedBetter(t *testing.T) {
	g := NewWithT(t)
	o := &rpqueue.Order{Margin: testMargin}
	late := waitingRequest("late-0", 0, -50*time.Millisecond, 3*time.Second)
	pressing := waitingRequest("pressing-2", 2, 100*time.Millisecond, 9*time.Second)
	for range 20 {
		o.RecordArrival(testStart, &late.Request)
		o.RecordArrival(testStart, &pressing.Request)
	}
	for range 16 {
		o.RecordServed(testStart, &late.Request)
		o.RecordServed(testStart, &pressing.Request)
	}
	g.Expect(sortedIDs(o, late, pressing)).To(Equal([]string{"pressing-2", "late-0"}))
	for range 2 {
		o.RecordServed(testStart, &pressing.Request)
	}
	g.Expect(sortedIDs(o, pressing, late)).To(Equal([]string{"late-0", "pressing-2"}))
}

// Guards against counts of accounts and routes that are kept forever although
// their names change with the configuration.
func TestIdleGroupsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	o := &rpqueue.Order{Margin: testMargin}
	now := testStart
	for i := range 5000 {
		now = now.Add(10 * time.Second)
		o.RecordArrival(now, &rpqueue.Request{Kind: "chat", Account: fmt.Sprintf("account-%d", i)})
	}
	g.Expect(o.Groups()).To(BeNumerically("<", 100))
}

// Guards against priorities outside 0 to 9, against a less urgent rank before a
// more urgent one, against one priority for requests in time and late ones, and against
// relaxed requests that wait in an engine behind all new ones past their own targets.
func TestPriority(t *testing.T) {
	g := NewWithT(t)
	o := &rpqueue.Order{Margin: testMargin}
	number := func(rank int, slack, deadline time.Duration) int {
		return o.Priority(testStart, &waitingRequest("r", rank, slack, deadline).Request)
	}
	for rank := range 3 {
		g.Expect(number(rank, 100*time.Millisecond, 5*time.Second)).To(Equal(3 * rank))
		g.Expect(number(rank, 2*time.Second, 5*time.Second)).To(Equal(3 * rank))
		g.Expect(number(rank, -time.Second, 5*time.Second)).To(Equal(3*rank + 2))
	}
	g.Expect(number(3, 100*time.Millisecond, 5*time.Second)).To(Equal(9))
	g.Expect(number(50, -time.Second, 5*time.Second)).To(Equal(9))
	g.Expect(number(50, -time.Second, 100*time.Millisecond)).To(Equal(8))
	g.Expect(number(2, -time.Second, 100*time.Millisecond)).To(Equal(5))
	g.Expect(number(0, -time.Second, 100*time.Millisecond)).To(Equal(1))
	untargeted := waitingRequest("r", 1, 0, 0)
	untargeted.Target = time.Time{}
	g.Expect(o.Priority(testStart, &untargeted.Request)).To(Equal(3))
}

// BenchmarkSort measures one sort of 300 waiting requests after one arrival. An
// instance has 0.144 of a core or more.
func BenchmarkSort(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	o := &rpqueue.Order{Margin: testMargin}
	var entries []*rpqueue.Entry
	for i := range 300 {
		e := waitingRequest(fmt.Sprintf("r%d", i), rng.IntN(3), time.Duration(rng.IntN(3000)-1500)*time.Millisecond, 3*time.Second)
		e.Kind = fmt.Sprintf("kind-%d", i%5)
		o.RecordArrival(testStart, &e.Request)
		o.RecordServed(testStart, &e.Request)
		entries = append(entries, e)
	}
	rpqueue.Sort(o, testStart, entries, itself)
	for i := range b.N {
		entries[i%300], entries[299] = entries[299], entries[i%300]
		rpqueue.Sort(o, testStart.Add(time.Duration(i)*time.Microsecond), entries, itself)
	}
}
