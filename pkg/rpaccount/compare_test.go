package rpaccount_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// localBucket is an instance's bucket in the comparison.
type localBucket struct {
	level, rate, burst float64
	at                 time.Time
}

func (b *localBucket) settle(now time.Time) {
	b.level = min(b.level+b.rate*now.Sub(b.at).Seconds(), b.burst)
	b.at = now
}

// admit admits while the level is positive: a request may overdraw it.
func (b *localBucket) admit(now time.Time, cost float64) bool {
	b.settle(now)
	if b.level <= 0 {
		return false
	}
	b.level -= cost
	return true
}

// withBuckets replaces the meters by one bucket for each instance.
func withBuckets(s *simulation, instances int) []localBucket {
	buckets := make([]localBucket, instances)
	q := s.account.Quota
	for i := range buckets {
		buckets[i] = localBucket{rate: q.Rate / float64(instances), burst: q.Burst / float64(instances), at: s.now}
		buckets[i].level = buckets[i].burst
	}
	return buckets
}

// withEqualShares divides the quota equally.
func withEqualShares(s *simulation) {
	buckets := withBuckets(s, len(s.instances))
	s.local = func(now time.Time, i int, cost float64) bool { return buckets[i].admit(now, cost) }
}

// withDemandShares divides the quota by the demand of the last 0.75 s.
func withDemandShares(s *simulation) {
	buckets := withBuckets(s, len(s.instances))
	offered := make([]float64, len(s.instances))
	next := s.now
	s.local = func(now time.Time, i int, cost float64) bool {
		if !now.Before(next) {
			next = now.Add(s.interval)
			sum := 0.0
			for _, o := range offered {
				sum += o + 1
			}
			for j := range buckets {
				buckets[j].settle(now)
				share := (offered[j] + 1) / sum
				buckets[j].rate, buckets[j].burst = share*s.account.Quota.Rate, share*s.account.Quota.Burst
				offered[j] *= 0.8
			}
		}
		offered[i] += cost
		return buckets[i].admit(now, cost)
	}
}

// withBorrowing lets an instance without credit take half of that of the richest
// other one; it must wait for a message, so it borrows for the next request.
func withBorrowing(s *simulation) {
	buckets := withBuckets(s, len(s.instances))
	s.local = func(now time.Time, i int, cost float64) bool {
		if buckets[i].admit(now, cost) {
			return true
		}
		richest := 0
		for j := range buckets {
			buckets[j].settle(now)
			if buckets[j].level > buckets[richest].level {
				richest = j
			}
		}
		if half := buckets[richest].level / 2; half > 0 {
			buckets[richest].level -= half
			buckets[i].level += half
			buckets[i].burst = max(buckets[i].burst, buckets[i].level)
		}
		return false
	}
}

// withStoreBucket asks one exact bucket for each request.
func withStoreBucket(s *simulation) {
	buckets := withBuckets(s, 1)
	s.local = func(now time.Time, _ int, cost float64) bool { return buckets[0].admit(now, cost) }
}

// withLocalEstimate lets each instance multiply its own use of the last seconds
// by the number of instances.
func withLocalEstimate(s *simulation) {
	used := make([]float64, len(s.instances))
	at := make([]time.Time, len(s.instances))
	s.local = func(now time.Time, i int, cost float64) bool {
		if elapsed := now.Sub(at[i]).Seconds(); elapsed > 0 {
			used[i] *= max(1-elapsed/simLimits.Window.Seconds(), 0)
			at[i] = now
		}
		q := s.account.Quota
		if used[i]*float64(len(s.instances)) > q.Rate*simLimits.Window.Seconds()/2+q.Burst {
			return false
		}
		used[i] += cost
		return true
	}
}

// Guards against a design that is worse than the simpler ones that it was chosen
// over. The figures are in docs/design/client-accounts.md.
func TestCompareDesigns(t *testing.T) {
	designs := []struct {
		name  string
		setUp func(*simulation)
	}{
		{"equal shares", withEqualShares},
		{"shares by demand", withDemandShares},
		{"borrowing", withBorrowing},
		{"bucket in the store", withStoreBucket},
		{"local estimate", withLocalEstimate},
		{"meter and pool", func(*simulation) {}},
	}
	for _, design := range designs {
		t.Run(design.name, func(t *testing.T) {
			g := NewWithT(t)
			for _, load := range []simLoad{{simUsual, simUsual}, {simUsual, 7.5 * simUsual}, {2.6, 2.6}} {
				s := simSize{0.3, 1}.simulate(1, load, nil)
				design.setUp(s)
				s.run(simEnd)
				worst := s.worstWindow(0, simEnd) / allowed(s.account.Quota)
				below := s.refusedBelow(simSettled, simFailAt)
				served, _ := total(s.admitted, simFailAt+10*time.Second, simEnd)
				share := served / (simEnd - simFailAt - 10*time.Second).Seconds() / s.account.Quota.Rate
				t.Logf("load %.2f to %.2f: window %.3f, refused below before the jump %.4f, served %.3f", load.before, load.after, worst, below, share)
				if design.name == "meter and pool" {
					g.Expect(worst).To(BeNumerically("<=", 1))
					g.Expect(load.before == simUsual && below > 0.005).To(BeFalse())
					g.Expect(load.after > 1 && share < 0.9).To(BeFalse(), "an account at its limit gets too little")
				}
			}
		})
	}
}
