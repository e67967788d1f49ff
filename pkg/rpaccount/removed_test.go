package rpaccount_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
)

// Guards against an account that gets its whole burst again because a configuration
// lacks it for a moment, whether the planner, the instances or both read that version.
func TestAccountRemovedForAMoment(t *testing.T) {
	account := rpaccount.Account{Name: "a", Quota: rpaccount.Quota{Rate: 1000, Burst: 20_000, Unit: rpaccount.UnitTokens}}
	limits := rpaccount.Limits{Window: 8 * time.Second, Overage: 0.1, Slack: 4000}
	with, without := rpaccount.NewDirectory([]rpaccount.Account{account}, nil), rpaccount.NewDirectory(nil, nil)
	for name, c := range map[string]struct{ planner, instance bool }{
		"planner": {true, false}, "instance": {false, true}, "both": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m, p := rpaccount.Meter{Limits: limits}, rpaccount.Pool{Limits: limits}
			m.SetInstances(1)
			m.SetDirectory(begin, with)
			p.SetDirectory(begin, with)
			now, used := begin, 0
			level := func() int64 {
				usages := m.Report(now)
				p.Record(now, "i", 1, usages)
				summaries := p.Summarize(now, usages)
				m.Apply(now, now, summaries)
				if len(summaries) == 0 {
					return math.MaxInt64
				}
				return summaries[0].Level
			}
			for range 400 {
				// The bucket is full after 20 s and empty after the use of the rest.
				now = now.Add(100 * time.Millisecond)
				if now.Sub(begin) > 30*time.Second {
					for range 10 {
						if ok, _ := m.Admit(now, &account, 100); ok {
							used += 100
						}
					}
				}
				level()
			}
			g.Expect(used).To(BeNumerically(">", 20_000))
			before := level()
			g.Expect(before).To(BeNumerically("<", 5_000))
			if c.planner {
				p.SetDirectory(now, without)
			}
			if c.instance {
				m.SetDirectory(now, without)
			}
			now = now.Add(time.Second)
			p.SetDirectory(now, with)
			m.SetDirectory(now, with)
			g.Expect(level()).To(BeNumerically("<=", before+1000+1))
		})
	}
}
