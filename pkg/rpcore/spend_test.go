package rpcore

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// withHoursLimit returns a world whose service may use 4 accelerators at
// once and the given accelerator hours a day.
func withHoursLimit(nodes, engines int, hours float64) *world {
	w := withWorld(nodes, engines, true)
	w.setDocument(func(d *rpdocument.Document) {
		d.Spend = rpdocument.Spend{Accelerators: 4, AcceleratorHoursPerDay: hours}
	})
	return w
}

// spendTolerance is the specified error of a count: one interval at the
// accelerators that the service may use at once.
const spendTolerance = 4 * spendCountInterval

// usedTime returns the accelerator time of the current day according to the
// slots in the table. It is only correct if no slot of an earlier day was
// released.
func (w *world) usedTime() time.Duration {
	day := w.now.Truncate(24 * time.Hour)
	used := w.releasedTime
	for _, key := range []ModelKey{keyA, keyB} {
		for _, slot := range w.tableSlots(key) {
			from := slot.ReservedAt
			if from.Before(day) {
				from = day
			}
			used += w.now.Sub(from)
		}
	}
	return used
}

// Guards against loads after the accelerator hours are used up, and against
// idle replicas that then stay, even warm ones and those within the fixed
// keep-alive time. Replicas in use must stay, and the refusal must say when to
// retry.
func TestAcceleratorHoursOfTheDay(t *testing.T) {
	g := NewWithT(t)
	w := withHoursLimit(2, 3, 0.5)
	w.setDocument(func(d *rpdocument.Document) {
		d.Spend = w.doc.Spend
		d.Models[2].WarmReplicas = 1
	})
	n := w.nodes["i1"]
	w.forEachNode(func(n *fakeNode) { n.state.policy.FixedKeepAlive = time.Hour })
	w.loadAndUse(n, keyA)
	keyC := ModelKey{Service: "svc", Name: "c"}
	g.Expect([]int{w.countLoaded(keyA), w.countLoaded(keyC)}).To(Equal([]int{1, 1}))
	for range 20 {
		w.keepInUse(n, keyA)
		w.run(time.Minute)
	}
	g.Expect([]int{w.countLoaded(keyA), w.countLoaded(keyC)}).To(Equal([]int{1, 0}), "the replica in use must stay and the idle one must be unloaded")
	for _, n := range w.nodes {
		w.demand(n, keyB, 1)
	}
	w.run(4 * time.Second)
	g.Expect(w.loadOrders(keyB)).To(BeEmpty())
	for _, n := range w.nodes {
		refused := n.refusals[keyB]
		g.Expect(refused.Code).To(Equal(rpverdict.CodeAcceleratorHoursUsed))
		g.Expect(refused.Verdict).To(Equal(rpverdict.NotRun))
		midnight := worldStart.Truncate(24 * time.Hour).Add(24 * time.Hour)
		g.Expect(refused.RetryAfter).To(BeNumerically("~", midnight.Sub(w.now), 5*time.Second))
	}
	n = w.addNode("i4", 1, Policy{})
	n.doc = w.doc
	w.refresh(n)
	n.state.replicas.homeCache[keyB.String()] = "i4"
	w.demand(n, keyB, 1)
	w.run(time.Second)
	g.Expect(w.table).NotTo(HaveKey(modelRowKey(keyB)), "an instance that has just started must read the count first")
	w.setDocument(func(d *rpdocument.Document) { d.Spend = rpdocument.Spend{Accelerators: 4, AcceleratorHoursPerDay: 90} })
	w.run(4 * time.Second)
	g.Expect(w.countLoaded(keyB)).To(Equal(1), "a document with more hours must apply at once")
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against a count that includes time before midnight, or that misses the
// later time of a replica that stays.
func TestAcceleratorHoursResetAtMidnight(t *testing.T) {
	g := NewWithT(t)
	w := withHoursLimit(1, 2, 0.5)
	n := w.nodes["i1"]
	midnight := worldStart.Truncate(24 * time.Hour).Add(24 * time.Hour)
	w.now = midnight.Add(-40 * time.Minute)
	w.loadAndUse(n, keyA)
	for w.now.Before(midnight.Add(-time.Minute)) {
		w.keepInUse(n, keyA)
		w.run(time.Minute)
	}
	w.demand(n, keyB, 1)
	w.run(2 * time.Second)
	g.Expect(w.loadOrders(keyB)).To(BeEmpty())
	w.keepInUse(n, keyA)
	w.run(midnight.Add(5 * time.Second).Sub(w.now))
	w.demand(n, keyB, 1)
	w.run(4 * time.Second)
	g.Expect(w.countLoaded(keyB)).To(Equal(1))
	for w.now.Before(midnight.Add(10 * time.Minute)) {
		w.keepInUse(n, keyA)
		w.keepInUse(n, keyB)
		w.run(time.Minute)
	}
	g.Expect(n.state.cachedSpend("svc").usedAt(w.now)).To(BeNumerically("~", w.usedTime(), spendTolerance))
	g.Expect(w.usedTime()).To(BeNumerically("~", 20*time.Minute, time.Minute))
}

// Guards against a loss of the time of released slots when the home of the
// service is lost, answers are lost or the table is down. Each fault must leave
// an error within the tolerance, and the errors must not add up over many
// loads.
func TestAcceleratorHoursSurviveLoss(t *testing.T) {
	for name, fault := range map[string]func(w *world, round int){
		"none": func(*world, int) {},
		"home lost": func(w *world, round int) {
			if round == 10 {
				w.nodes[w.nodes["i3"].state.cachedHomeOf("spend/svc")].dead = true
			}
		},
		"answers lost": func(w *world, round int) { w.tableAnswersLost = round%3 == 0 },
		"table down":   func(w *world, round int) { w.tableDown = round%3 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := withHoursLimit(3, 1, 90)
			for round := range 20 {
				fault(w, round)
				for range 30 {
					w.forEachNode(func(n *fakeNode) { w.demand(n, keyA, 1) })
					w.run(time.Second)
				}
				w.forEachNode(func(n *fakeNode) { clear(n.use) })
				w.run(90 * time.Second)
			}
			w.tableAnswersLost, w.tableDown = false, false
			w.run(2 * spendCountInterval)
			g.Expect(w.releasedTime).To(BeNumerically(">", 2*spendTolerance), "too little released time to reveal an error above the tolerance")
			w.forEachNode(func(n *fakeNode) {
				if !n.dead {
					g.Expect(n.state.cachedSpend("svc").usedAt(w.now)).To(BeNumerically("~", w.usedTime(), spendTolerance), string(n.identity.Instance))
				}
			})
			g.Expect(w.table[spendRowKey("svc")].Version).To(BeNumerically("<=", uint64(w.now.Sub(worldStart)/spendCountInterval)+3), "writes")
		})
	}
}

// Guards against a count that stops while the table is unavailable. No slot can
// be added or removed then, so the count must continue at the last rate.
func TestAcceleratorHoursContinueDuringTableOutage(t *testing.T) {
	g := NewWithT(t)
	w := withHoursLimit(1, 1, 90)
	n := w.nodes["i1"]
	w.loadAndUse(n, keyA)
	w.run(2 * spendCountInterval)
	w.tableDown = true
	for range 20 {
		w.keepInUse(n, keyA)
		w.run(time.Minute)
	}
	g.Expect(w.usedTime()).To(BeNumerically(">", 20*time.Minute))
	g.Expect(n.state.cachedSpend("svc").usedAt(w.now)).To(BeNumerically("~", w.usedTime(), spendTolerance))
}

// Guards against an order for a load that was still waiting for its ticket when
// the hours were used up. Replicas of an old version must stay, since the new
// version can't be loaded.
func TestAcceleratorHoursStopPlannedLoads(t *testing.T) {
	g := NewWithT(t)
	w := withHoursLimit(1, 2, 90)
	n := w.nodes["i1"]
	w.loadAndUse(n, keyA)
	n.state.replicas.homeCache[ticketHomeKey] = "lost"
	w.demand(n, keyB, 1)
	w.run(100 * time.Millisecond)
	g.Expect(w.tableSlots(keyB)).To(HaveLen(1))
	w.setDocument(func(d *rpdocument.Document) {
		d.Spend.Accelerators = 4
		d.Models[0].Version = "2"
	})
	for range 60 {
		w.keepInUse(n, keyA)
		w.run(time.Second)
	}
	g.Expect(w.loadOrders(keyB)).To(BeEmpty())
	g.Expect(w.tableSlots(keyB)).To(BeEmpty())
	g.Expect(w.tableSlots(keyA)).To(HaveExactElements(HaveField("Version", "1")))
	g.Expect(w.countLoaded(keyA)).To(Equal(1))
}
