package rpaccount

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

const (
	// minRetryAfter is the least Retry-After of a refusal.
	minRetryAfter = 200 * time.Millisecond
	// idleTTL is how long an account without requests is remembered.
	idleTTL = time.Minute
	// reportInterval is the time between two regular reports, and
	// reportsPerSecond the bound on the regular reports of all instances, as
	// for demands.
	reportInterval   = 500 * time.Millisecond
	reportsPerSecond = 100.0
	// earlyReportsPerSecond bounds the early reports of all instances.
	earlyReportsPerSecond = 1000.0
	// freshIntervals is how many report intervals a summary is fresh: one
	// answer may be lost.
	freshIntervals = 2.5
	// evenShare is the part of each quota that is divided equally, so that an
	// instance without recent requests has a share.
	evenShare = 0.1
	// defaultInstances is used until the number of instances is known. It is
	// more than the largest deployment has today.
	defaultInstances = 100
	// jumpFactor is the offered load, as a multiple of the quota's rate, up to
	// which the reports must be frequent enough for the reserve.
	jumpFactor = 4.2
	// fullReportInterval is the time between two reports of all accounts, and
	// maxReported the number of accounts in one report.
	fullReportInterval = 5 * time.Second
	maxReported        = 64
)

// Meter is the instance's side of the quotas. The zero value works. It is not
// safe for concurrent use.
type Meter struct {
	Limits    Limits
	directory *Directory
	instances int
	accounts  map[string]*meteredAccount
	// used is the cost charged minus refunded per account. It outlives the
	// rest of the account's state, because the planner takes differences.
	used       map[string]float64
	reportedAt time.Time
	sweptAt    time.Time
	// contactAt is the time as of which the planner last answered, and
	// contactSince the begin of the uninterrupted contact.
	contactAt, contactSince time.Time
}

// reportMark is what was reported at a time.
type reportMark struct {
	at   time.Time
	used float64
}

// meteredAccount is the state of an account that is in use.
type meteredAccount struct {
	quota     Quota
	offered   rpreducer.DecayingSum
	lastUse   time.Time
	marks     [2]reportMark
	phase     float64
	summaryOf time.Time // the summary counts what was reported until then
	appliedAt time.Time
	level     float64 // of the summary, at appliedAt
	total     float64 // offered by all instances, per second
	share     float64
	allowance float64 // at allowedAt
	allowedAt time.Time
	unsummed  float64 // own use that the summary does not contain
	known     bool    // there was a summary
}

// SetDirectory sets the accounts in force.
func (m *Meter) SetDirectory(now time.Time, d *Directory) {
	m.directory = d
	for name, s := range m.accounts {
		a, ok := d.Account(name)
		if !ok {
			delete(m.accounts, name)
			continue
		}
		s.setQuota(now, a.Quota, m.Limits)
	}
	maps.DeleteFunc(m.used, func(name string, _ float64) bool {
		_, ok := d.Account(name)
		return !ok
	})
}

// SetInstances sets the number of instances that share a quota while no summary
// is fresh.
func (m *Meter) SetInstances(n int) { m.instances = n }

func (m *Meter) instanceCount() float64 {
	if m.instances <= 0 {
		return defaultInstances
	}
	return float64(m.instances)
}

// interval returns the time between two regular reports.
func (m *Meter) interval() time.Duration {
	return max(reportInterval, time.Duration(m.instanceCount()/reportsPerSecond*float64(time.Second)))
}

// freshFor returns how long a summary is fresh.
func (m *Meter) freshFor() time.Duration {
	return time.Duration(freshIntervals * float64(m.interval()))
}

func (m *Meter) account(now time.Time, a *Account) *meteredAccount {
	s := m.accounts[a.Name]
	if s == nil {
		if m.accounts == nil {
			m.accounts, m.used = map[string]*meteredAccount{}, map[string]float64{}
		}
		s = &meteredAccount{quota: a.Quota, share: 1 / m.instanceCount(), phase: phase(now, a.Name), appliedAt: now, allowedAt: now, lastUse: now}
		extra, _ := m.Limits.extra(a.Quota)
		s.level = -extra
		m.accounts[a.Name] = s
	}
	if s.quota != a.Quota {
		s.setQuota(now, a.Quota, m.Limits)
	}
	return s
}

// phase returns a number in [0, 1) that differs between instances, so that they
// do not admit large requests at the same moment.
func phase(now time.Time, account string) float64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte(account), uint64(now.UnixNano())))
	return float64(h.Sum64()>>11) / (1 << 53)
}

// Admit charges the cost of a request and reports whether it may run. If not,
// it returns when to try again; the caller spreads that time.
func (m *Meter) Admit(now time.Time, a *Account, cost float64) (ok bool, retryAfter time.Duration) {
	if a.Quota.IsZero() || cost <= 0 {
		return true, 0
	}
	s := m.account(now, a)
	s.offered.Add(now, shareWindow, cost)
	s.lastUse = now
	s.accrue(now, m.Limits)
	extra, reserve := m.Limits.extra(s.quota)
	flow := min(s.total, s.quota.Rate)
	need := min(cost-reserve/2, s.quota.Burst+extra)
	have := s.estimate(now, flow) + extra
	if have < need {
		return false, s.retryAfter(need-have, m.Limits)
	}
	isOpen := now.Sub(s.summaryOf) <= m.freshFor() && s.estimate(now, s.total)+extra > 0
	if !isOpen && !s.passesShare(cost) {
		return false, s.retryAfter(0, m.Limits)
	}
	s.charge(cost)
	m.used[a.Name] += cost
	return true, 0
}

func (s *meteredAccount) charge(cost float64) { s.unsummed += cost }

// passesShare reports whether a request passes the instance's allowance. A cost
// above the allowance passes in proportion: over many requests and instances,
// allowances add up to what is admitted. If each instance could overdraw by one
// request, 75 instances could use 75 large requests at once.
func (s *meteredAccount) passesShare(cost float64) bool {
	if s.allowance <= 0 {
		return false
	}
	part := min(1, s.allowance/cost)
	s.allowance -= part * cost
	s.phase += part
	if s.phase < 1 {
		return false
	}
	s.phase--
	return true
}

// estimate returns the expected level of the quota's bucket, if all instances
// together use flow per second and this one what it has used.
func (s *meteredAccount) estimate(now time.Time, flow float64) float64 {
	elapsed := now.Sub(s.appliedAt).Seconds()
	own := s.unsummed - s.share*flow*elapsed
	return min(s.level+(s.quota.Rate-flow)*elapsed-own, s.quota.Burst)
}

func (s *meteredAccount) accrue(now time.Time, limits Limits) {
	extra, _ := limits.extra(s.quota)
	elapsed := max(now.Sub(s.allowedAt).Seconds(), 0)
	s.allowance = min(s.allowance+s.share*s.quota.Rate*elapsed, s.share*(s.quota.Burst+extra))
	s.allowedAt = now
}

func (s *meteredAccount) setQuota(now time.Time, q Quota, limits Limits) {
	s.accrue(now, limits)
	s.quota = q
	extra, _ := limits.extra(q)
	s.level = min(s.level, q.Burst)
	s.allowance = min(s.allowance, s.share*(q.Burst+extra))
}

// retryAfter returns when the allowance is expected to be positive and the
// missing part of the level to be there.
func (s *meteredAccount) retryAfter(missing float64, limits Limits) time.Duration {
	longest := max(limits.Window, minRetryAfter)
	if s.quota.Rate <= 0 {
		return longest
	}
	seconds := max(missing, 0) / s.quota.Rate
	if s.allowance < 0 {
		seconds = max(seconds, -s.allowance/(s.share*s.quota.Rate))
	}
	if seconds >= longest.Seconds() {
		return longest
	}
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// Refund returns the cost of a request that did not run.
func (m *Meter) Refund(_ time.Time, account string, cost float64) {
	if _, ok := m.used[account]; !ok {
		return
	}
	m.used[account] -= cost
	if s := m.accounts[account]; s != nil {
		s.unsummed -= cost
	}
}

// Report returns the use of the accounts for the next demand.
func (m *Meter) Report(now time.Time) []Usage {
	m.sweep(now)
	m.reportedAt = now
	usages := make([]Usage, 0, len(m.accounts))
	for _, name := range slices.Sorted(maps.Keys(m.accounts)) {
		s := m.accounts[name]
		used := math.Round(m.used[name])
		s.marks[1] = s.marks[0]
		s.marks[0] = reportMark{now, used}
		usages = append(usages, Usage{Account: name, Used: int64(used), Offered: wholeUnits(s.offered.Get(now, shareWindow) / shareWindow.Seconds())})
	}
	return usages
}

// sweep forgets the accounts that are not in use.
func (m *Meter) sweep(now time.Time) {
	if now.Sub(m.sweptAt) < time.Second {
		return
	}
	m.sweptAt = now
	maps.DeleteFunc(m.accounts, func(_ string, s *meteredAccount) bool { return now.Sub(s.lastUse) > idleTTL })
}

// ReportDue reports whether the use of an account is outside what the last
// summary allowed for, so that a report should not wait for its regular time.
func (m *Meter) ReportDue(now time.Time) bool {
	least := time.Duration(m.instanceCount() / earlyReportsPerSecond * float64(time.Second))
	if now.Sub(m.reportedAt) < least {
		return false
	}
	for name, s := range m.accounts {
		if m.isOutside(now, s, m.used[name]) {
			return true
		}
	}
	return false
}

func (m *Meter) isOutside(now time.Time, s *meteredAccount, used float64) bool {
	unreported := used - s.marks[0].used
	if unreported <= 0 {
		return false
	}
	if !s.known {
		return s.marks[0].at.IsZero()
	}
	extra, reserve := m.Limits.extra(s.quota)
	interval := m.interval().Seconds()
	if s.level+extra+reserve >= jumpFactor*s.quota.Rate*interval {
		return false
	}
	return unreported > s.share*s.total*now.Sub(s.marks[0].at).Seconds()
}

// Apply applies the planner's answer to the report that was sent at asOf.
func (m *Meter) Apply(now, asOf time.Time, summaries []Summary) {
	for i := range summaries {
		if s := m.accounts[summaries[i].Account]; s != nil && !asOf.Before(s.summaryOf) {
			s.apply(now, asOf, &summaries[i], m)
		}
	}
}

func (s *meteredAccount) apply(now, asOf time.Time, summary *Summary, m *Meter) {
	extra, _ := m.Limits.extra(s.quota)
	own := s.offered.Get(now, shareWindow) / shareWindow.Seconds()
	total := max(float64(summary.Offered), own)
	s.known = true
	s.summaryOf, s.appliedAt, s.allowedAt = asOf, now, now
	s.level, s.total = float64(summary.Level), total
	even := 1 / m.instanceCount()
	s.share = even
	if total > 0 {
		s.share = min((own/total+evenShare*even)/(1+evenShare), 1)
	}
	s.unsummed = m.used[summary.Account] - s.reportedUse(asOf)
	s.allowance = min(s.share*(s.level+extra)-s.unsummed, s.share*(s.quota.Burst+extra))
}

// reportedUse returns the use that was reported by a time.
func (s *meteredAccount) reportedUse(asOf time.Time) float64 {
	for _, mark := range s.marks {
		if !mark.at.After(asOf) {
			return mark.used
		}
	}
	return s.marks[len(s.marks)-1].used
}
