package rpaccount_test

import (
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
