package rpaccount_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
)

var begin = time.Unix(1_800_000_000, 0)

// Guards against a limit without effect: one instance that is its own planner
// admits the rate and no more.
func TestMeterAloneKeepsTheRate(t *testing.T) {
	g := NewWithT(t)
	account := rpaccount.Account{Name: "a", Quota: rpaccount.Quota{Rate: 1000, Burst: 500, Unit: rpaccount.UnitTokens}}
	limits := rpaccount.Limits{Window: 8 * time.Second}
	d := rpaccount.NewDirectory([]rpaccount.Account{account}, nil)
	m, p := rpaccount.Meter{Limits: limits}, rpaccount.Pool{Limits: limits}
	m.SetInstances(1)
	m.SetDirectory(begin, d)
	p.SetDirectory(begin, d)
	admitted := 0.0
	for now := begin; now.Before(begin.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if ok, retryAfter := m.Admit(now, &account, 50); ok {
			admitted += 50
		} else {
			g.Expect(retryAfter).To(BeNumerically(">=", 200*time.Millisecond))
		}
		if now.Sub(begin)%(500*time.Millisecond) == 0 {
			usages := m.Report(now)
			p.Record(now, "i", 1, usages)
			m.Apply(now, now, p.Summarize(now, usages))
		}
	}
	g.Expect(admitted).To(BeNumerically("<=", 20*1000+500))
	g.Expect(admitted).To(BeNumerically(">", 18_000))
}

// Guards against a quota for an account that has none.
func TestMeterWithoutLimit(t *testing.T) {
	g := NewWithT(t)
	var m rpaccount.Meter
	for range 100 {
		ok, _ := m.Admit(begin, &rpaccount.Account{Name: "a"}, 1e9)
		g.Expect(ok).To(BeTrue())
	}
}

// testQuota is the quota of the tests of one meter and one pool.
var testQuota = rpaccount.Quota{Rate: 1000, Burst: 5000, Unit: rpaccount.UnitTokens}

func testDirectory(names ...string) *rpaccount.Directory {
	var accounts []rpaccount.Account
	for _, name := range names {
		accounts = append(accounts, rpaccount.Account{Name: name, Quota: testQuota})
	}
	return rpaccount.NewDirectory(accounts, nil)
}

func withMeter(names ...string) *rpaccount.Meter {
	m := &rpaccount.Meter{Limits: simLimits}
	m.SetInstances(10)
	m.SetDirectory(begin, testDirectory(names...))
	return m
}

// Guards against a large request that never passes because one instance's part
// of the quota is smaller than its cost.
func TestLargeRequestPassesBelowTheLimit(t *testing.T) {
	g := NewWithT(t)
	m := withMeter("a")
	m.Report(begin)
	m.Apply(begin, begin, []rpaccount.Summary{{Account: "a", Level: 5000}})
	ok, _ := m.Admit(begin, &rpaccount.Account{Name: "a", Quota: testQuota}, 40_000)
	g.Expect(ok).To(BeTrue())
	g.Expect(m.ReportDue(begin.Add(20*time.Millisecond))).To(BeTrue(), "the others don't know of it")
}

// Guards against a refusal that sends callers back too early or too late.
func TestRetryAfterFollowsTheDebt(t *testing.T) {
	g := NewWithT(t)
	m := withMeter("a")
	a := &rpaccount.Account{Name: "a", Quota: testQuota}
	m.Admit(begin, a, 1)
	m.Report(begin)
	m.Apply(begin, begin, []rpaccount.Summary{{Account: "a", Offered: 9000, Level: -200_000}})
	ok, long := m.Admit(begin, a, 100)
	g.Expect(ok).To(BeFalse())
	g.Expect(long).To(Equal(simLimits.Window))
	now := begin.Add(time.Second)
	m.Report(now)
	m.Apply(now, now, []rpaccount.Summary{{Account: "a", Offered: 9000, Level: -46_000}})
	ok, short := m.Admit(now, a, 100)
	g.Expect(ok).To(BeFalse())
	g.Expect(short).To(And(BeNumerically(">=", 200*time.Millisecond), BeNumerically("<", long)))
}

// Guards against a request that can never run and is told to come back.
func TestCostAboveTheWindowIsRefused(t *testing.T) {
	g := NewWithT(t)
	m := withMeter("a")
	m.Report(begin)
	m.Apply(begin, begin, []rpaccount.Summary{{Account: "a", Level: 5000}})
	ok, _ := m.Admit(begin, &rpaccount.Account{Name: "a", Quota: testQuota}, allowed(testQuota)+1)
	g.Expect(ok).To(BeFalse())
}

// Guards against early reports that go to a planner that does not answer.
func TestNoEarlyReportWithoutAnswer(t *testing.T) {
	g := NewWithT(t)
	m := withMeter("a")
	a := &rpaccount.Account{Name: "a", Quota: testQuota}
	m.Admit(begin, a, 1)
	g.Expect(m.ReportDue(begin)).To(BeTrue(), "nothing is known of the account")
	m.Report(begin)
	m.Admit(begin.Add(time.Second), a, 1)
	g.Expect(m.ReportDue(begin.Add(time.Second))).To(BeFalse())
	m.Apply(begin.Add(2*time.Second), begin, nil)
	g.Expect(m.ReportDue(begin.Add(2 * time.Second))).To(BeTrue())
}

// Guards against memory and messages that grow with accounts that were used
// once.
func TestMeterForgetsIdleAccounts(t *testing.T) {
	g := NewWithT(t)
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprintf("a%03d", i))
	}
	m := withMeter(names...)
	for _, name := range names {
		m.Admit(begin, &rpaccount.Account{Name: name, Quota: testQuota}, 100)
	}
	now := begin
	for range 10 {
		g.Expect(len(m.Report(now))).To(BeNumerically("<=", 64+32))
		now = now.Add(time.Second)
	}
	now = begin.Add(5 * time.Minute)
	m.Report(now)
	g.Expect(m.Report(now.Add(time.Second))).To(BeEmpty())
	m.SetDirectory(now, testDirectory("other"))
	g.Expect(m.Report(now)).To(HaveLen(1))
}

// BenchmarkAdmit measures the cost per request of an account in use.
func BenchmarkAdmit(b *testing.B) {
	m := withMeter("a")
	a := &rpaccount.Account{Name: "a", Quota: testQuota}
	m.Report(begin)
	m.Apply(begin, begin, []rpaccount.Summary{{Account: "a", Level: 5000}})
	now := begin
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		m.Admit(now, a, 1)
	}
}

// BenchmarkSummarize measures the planner's work for one report of 16 accounts
// at 75 instances.
func BenchmarkSummarize(b *testing.B) {
	var names []string
	for i := range 16 {
		names = append(names, fmt.Sprintf("a%03d", i))
	}
	p := rpaccount.Pool{Limits: simLimits}
	p.SetDirectory(begin, testDirectory(names...))
	var usages []rpaccount.Usage
	for _, name := range names {
		usages = append(usages, rpaccount.Usage{Account: name, Offered: 100})
	}
	now, i := begin, 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		i++
		p.Record(now, simInstanceID(i%simInstances), 1, usages)
		p.Summarize(now, usages)
	}
}

// Guards against one request with a stated cost that no window can hold, which would
// count as offered for minutes: the account would be refused below its limit, and two
// such requests would overflow the offered cost of the report.
func TestImpossibleCostIsNotOffered(t *testing.T) {
	g := NewWithT(t)
	account := rpaccount.Account{Name: "a", Quota: rpaccount.Quota{Rate: 1000, Burst: 500, Unit: rpaccount.UnitTokens}}
	m := rpaccount.Meter{Limits: rpaccount.Limits{Window: 8 * time.Second, Overage: 0.1, Slack: 1000}}
	m.SetDirectory(begin, rpaccount.NewDirectory([]rpaccount.Account{account}, nil))
	cost := account.Quota.Cost(math.MaxInt64, math.MaxInt64, true)
	for range 4 {
		ok, retryAfter := m.Admit(begin, &account, cost)
		g.Expect(ok).To(BeFalse())
		g.Expect(retryAfter).To(Equal(8 * time.Second))
	}
	m.Admit(begin, &account, 100)
	offered := m.Report(begin.Add(time.Second))[0].Offered
	g.Expect(offered).To(BeNumerically(">", 0))
	g.Expect(offered).To(BeNumerically("<=", 200))
}

// Guards against an account that is refused below its limit because requests that did
// not run took its allowance, while no summary renews it.
func TestRefundReturnsAllowance(t *testing.T) {
	g := NewWithT(t)
	account := rpaccount.Account{Name: "a", Quota: rpaccount.Quota{Rate: 1000, Burst: 500, Unit: rpaccount.UnitTokens}}
	m := rpaccount.Meter{Limits: rpaccount.Limits{Window: 8 * time.Second, Overage: 0.1, Slack: 10_000}}
	m.SetInstances(1)
	m.SetDirectory(begin, rpaccount.NewDirectory([]rpaccount.Account{account}, nil))
	for range 20 {
		// Each cost is refunded, so all requests are admitted.
		ok, _ := m.Admit(begin, &account, 100)
		g.Expect(ok).To(BeTrue())
		m.Refund(begin, account.Name, 100)
	}
	admitted := 0
	for range 20 {
		if ok, _ := m.Admit(begin, &account, 100); ok {
			admitted++
		}
	}
	g.Expect(admitted).To(BeNumerically("<", 20), "the cost of requests that run counts")
}
