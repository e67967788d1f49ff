package rpaccount_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// withPool returns a pool that has been the planner's for more than a window.
func withPool(names ...string) *rpaccount.Pool {
	p := &rpaccount.Pool{Limits: simLimits}
	p.SetDirectory(begin.Add(-time.Minute), testDirectory(names...))
	return p
}

func poolLevel(p *rpaccount.Pool, now time.Time) int64 {
	return p.Summarize(now, []rpaccount.Usage{{Account: "a"}})[0].Level
}

// Guards against use that is charged twice or not at all when reports repeat, a
// request is refunded, or a process restarts.
func TestPoolChargesDifferences(t *testing.T) {
	g := NewWithT(t)
	p := withPool("a")
	record := func(process uint64, used int64) {
		p.Record(begin, "i", process, []rpaccount.Usage{{Account: "a", Used: used, Offered: 1000}})
	}
	record(1, 0)
	g.Expect(poolLevel(p, begin)).To(Equal(int64(5000)))
	record(1, 1200)
	g.Expect(poolLevel(p, begin)).To(Equal(int64(3800)))
	record(1, 1200)
	g.Expect(poolLevel(p, begin)).To(Equal(int64(3800)), "the same report counts once")
	record(1, 1000)
	g.Expect(poolLevel(p, begin)).To(Equal(int64(4000)), "a refund")
	record(2, 300)
	g.Expect(poolLevel(p, begin)).To(Equal(int64(3700)), "a new process")
}

// Guards against an instance that is first seen with hours of use on its counter
// and blocks the account.
func TestPoolBoundsAnOldCounter(t *testing.T) {
	g := NewWithT(t)
	p := withPool("a")
	p.Record(begin, "i", 1, []rpaccount.Usage{{Account: "a", Used: 1e12, Offered: 100}})
	g.Expect(poolLevel(p, begin)).To(Equal(int64(5000 - 400)))
}

// Guards against an account whose other instances use the part of one that is
// cut off, and against a part that stays reserved for ever.
func TestPoolPresumesTheUseOfSilentInstances(t *testing.T) {
	g := NewWithT(t)
	p := withPool("a")
	report := func(now time.Time, instance string, used int64) {
		p.Record(now, rpcore.InstanceID(instance), 1, []rpaccount.Usage{{Account: "a", Used: used, Offered: 5000}})
	}
	report(begin, "cut", 0)
	report(begin, "other", 0)
	// Both use all they can; only one reports.
	level := func(seconds int) int64 {
		now := begin.Add(time.Duration(seconds) * time.Second)
		report(now, "other", int64(500*seconds))
		return poolLevel(p, now)
	}
	level(1)
	g.Expect(level(2)).To(BeNumerically("<", 0), "its part of the bucket and of the rate")
	reserved := level(9)
	g.Expect(level(20)).To(BeNumerically(">", reserved), "not reserved any more")
	// The counter replaces what was presumed.
	report(begin.Add(20*time.Second), "cut", 0)
	g.Expect(poolLevel(p, begin.Add(20*time.Second))).To(Equal(int64(5000)))
}

// Guards against a new planner that hands out the whole burst again.
func TestAdoptKeepsTheDebt(t *testing.T) {
	g := NewWithT(t)
	m := withMeter("a")
	m.Report(begin)
	m.Apply(begin, begin, []rpaccount.Summary{{Account: "a", Offered: 4000, Level: -50_000}})
	p := rpaccount.Pool{Limits: simLimits}
	p.Adopt(begin.Add(time.Second), m)
	g.Expect(poolLevel(&p, begin.Add(time.Second))).To(BeNumerically("~", -49_000, 1000))
	var unknown rpaccount.Pool
	unknown.Limits = simLimits
	unknown.Adopt(begin, withMeter("a"))
	g.Expect(poolLevel(&unknown, begin)).To(BeNumerically("<", 0))
}

// Guards against a limit that stays in force, or keeps its debt, after the
// configuration changed.
func TestPoolFollowsTheDirectory(t *testing.T) {
	g := NewWithT(t)
	p := withPool("a", "b")
	p.Record(begin, "i", 1, []rpaccount.Usage{{Account: "a"}, {Account: "b"}})
	lowered := rpaccount.Account{Name: "a", Quota: rpaccount.Quota{Rate: 10, Burst: 20, Unit: rpaccount.UnitTokens}}
	p.SetDirectory(begin, rpaccount.NewDirectory([]rpaccount.Account{lowered, {Name: "b"}}, nil))
	summaries := p.Summarize(begin, []rpaccount.Usage{{Account: "a"}, {Account: "b"}, {Account: "gone"}})
	g.Expect(summaries).To(HaveLen(1))
	g.Expect(summaries[0].Level).To(Equal(int64(20)))
}
