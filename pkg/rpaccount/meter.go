package rpaccount

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// idleTTL is how long an account without requests is remembered.
	idleTTL = time.Minute
	// sweepInterval is the time between two searches for idle accounts.
	sweepInterval = time.Second
	// reportInterval is the time between two regular reports, and
	// reportsPerSecond the bound on the regular reports of all instances, as
	// for demands. earlyReportsPerSecond is the bound on the early ones.
	reportInterval        = 500 * time.Millisecond
	reportsPerSecond      = 100.0
	earlyReportsPerSecond = 1000.0
	// freshIntervals is how many report intervals a summary is fresh: one
	// answer may be lost.
	freshIntervals = 2.5
	// answerTimeout is how long an answer to a report may take until the
	// instance relies on its own share only. The planner answers within some
	// 10 ms, later if its processor is busy.
	answerTimeout = 300 * time.Millisecond
	// defaultInstances is used until the number of instances is known. It is
	// more than the largest deployment has today.
	defaultInstances = 100
	// fullReportInterval is the time between two reports of all accounts, so
	// that an instance knows an account before its first request. maxReported
	// bounds the accounts in one report.
	fullReportInterval = 2 * time.Second
	maxReported        = 64
	// maxIdleReported bounds those that are reported without own use: 16 take
	// about 20 bytes each in the report and in the answer.
	maxIdleReported = 32
)

// Meter is the instance's side of the quotas. The zero value works. It is not
// safe for concurrent use.
//
// The instance reports with its demand, and earlier if ReportDue says so. The
// planner answers with the summaries of its Pool:
//
//	ok, retryAfter := meter.Admit(now, account, account.Quota.Cost(prompt, output, true))
//	usages := meter.Report(now)                                  // at asOf, with a demand
//	pool.Record(now, instance, process, usages)                  // at the planner
//	meter.Apply(now, asOf, pool.Summarize(now, usages))          // with its answer
type Meter struct {
	Limits    Limits
	directory *Directory
	// limited holds the names of the accounts with a quota in sorted order.
	limited   []string
	instances int
	accounts  map[string]*meteredAccount
	// used is the cost charged minus refunded per account. It outlives the
	// rest of an account's state, because the planner takes differences.
	used map[string]float64
	// removedAt is when the configuration ceased to have an account. Its counter
	// stays for counterTTL: the planner may not have read that version.
	removedAt      map[string]time.Time
	reportedAt     time.Time
	fullReportedAt time.Time
	// fullFrom and activeFrom rotate the reported accounts if there are more
	// than maxReported.
	fullFrom, activeFrom int
	sweptAt              time.Time
	startedAt            time.Time
	// contactOf is when the last report that the planner answered was sent.
	contactOf time.Time
}

// SetDirectory sets the accounts in force.
func (m *Meter) SetDirectory(now time.Time, d *Directory) {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	m.directory = d
	m.limited = d.limited()
	m.fullReportedAt = time.Time{}
	for name, s := range m.accounts {
		a, ok := d.Account(name)
		if !ok || a.Quota.IsZero() {
			delete(m.accounts, name)
			continue
		}
		s.setQuota(now, a.Quota, m.Limits)
	}
	for name := range m.used {
		noteRemoved(&m.removedAt, name, d, now)
	}
}

// noteRemoved keeps the time since which the directory lacks an account.
func noteRemoved(removedAt *map[string]time.Time, name string, d *Directory, now time.Time) {
	if _, ok := d.Account(name); ok {
		delete(*removedAt, name)
		return
	}
	if *removedAt == nil {
		*removedAt = map[string]time.Time{}
	}
	if _, ok := (*removedAt)[name]; !ok {
		(*removedAt)[name] = now
	}
}

// limited returns the names of the accounts with a quota in sorted order.
func (d *Directory) limited() []string {
	if d == nil {
		return nil
	}
	var names []string
	for name, a := range d.accounts {
		if !a.Quota.IsZero() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
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

// awaitsAnswer reports whether the last report is not answered.
func (m *Meter) awaitsAnswer() bool { return m.contactOf.Before(m.reportedAt) }

// answerIsLate reports whether the planner takes longer to answer than it
// should.
func (m *Meter) answerIsLate(now time.Time) bool {
	return m.awaitsAnswer() && now.Sub(m.reportedAt) > answerTimeout
}

// account returns the state of an account and creates it if needed.
func (m *Meter) account(now time.Time, name string, q Quota) *meteredAccount {
	s := m.accounts[name]
	if s == nil {
		if m.accounts == nil {
			m.accounts = map[string]*meteredAccount{}
		}
		s = newMeteredAccount(now, name, q, m)
		m.accounts[name] = s
	}
	if s.quota != q {
		s.setQuota(now, q, m.Limits)
	}
	return s
}

// Admit charges the cost of a request and reports whether it may run. If not,
// it returns when to try again; the caller spreads that time.
func (m *Meter) Admit(now time.Time, a *Account, cost float64) (ok bool, retryAfter time.Duration) {
	if a.Quota.IsZero() || !(cost > 0) {
		return true, 0
	}
	s := m.account(now, a.Name, a.Quota)
	if cost > s.most {
		// It never runs, so it does not count as offered, either.
		return false, m.Limits.window()
	}
	s.offered.Add(now, shareWindow, cost)
	s.usedAt = now
	s.accrue(now, m)
	if missing := s.missing(now, cost); missing > 0 {
		return false, s.retryAfter(missing, m.Limits.window())
	}
	if s.isOpen(now, m) {
		s.allowance -= cost
	} else if !s.passesShare(cost) {
		return false, s.retryAfter(0, m.Limits.window())
	}
	m.add(a.Name, cost)
	return true, 0
}

// Refund returns the cost of a request that did not run.
func (m *Meter) Refund(_ time.Time, account string, cost float64) {
	if _, charged := m.used[account]; !charged || !(cost > 0) {
		return
	}
	m.add(account, -cost)
	if s := m.accounts[account]; s != nil {
		// The next summary may be seconds away.
		s.allowance = min(s.allowance+cost, s.share*s.depth)
	}
}

func (m *Meter) add(account string, cost float64) {
	if m.used == nil {
		m.used = map[string]float64{}
	}
	m.used[account] += cost
	if s := m.accounts[account]; s != nil {
		s.unreported += cost
		s.unsummed += cost
	}
}

// Report returns the use of the accounts for the next demand. It contains the
// accounts that are in use and now and then all of them.
func (m *Meter) Report(now time.Time) []Usage {
	m.sweep(now)
	m.reportedAt = now
	var active []string
	for name, s := range m.accounts {
		if now.Sub(s.usedAt) <= idleTTL {
			active = append(active, name)
		}
	}
	slices.Sort(active)
	names := rotate(active, maxReported, &m.activeFrom)
	if now.Sub(m.fullReportedAt) >= fullReportInterval {
		m.fullReportedAt = now
		names = append(names, rotate(m.limited, maxIdleReported, &m.fullFrom)...)
		slices.Sort(names)
		names = slices.Compact(names)
	}
	usages := make([]Usage, 0, len(names))
	for _, name := range names {
		usages = append(usages, m.usage(now, name))
	}
	return usages
}

// rotate returns at most n names, in turn.
func rotate(names []string, n int, from *int) []string {
	if len(names) <= n {
		return names
	}
	chosen := make([]string, 0, n)
	for i := range n {
		chosen = append(chosen, names[(*from+i)%len(names)])
	}
	*from = (*from + n) % len(names)
	return chosen
}

func (m *Meter) usage(now time.Time, name string) Usage {
	u := Usage{Account: name, Used: int64(math.Round(m.used[name]))}
	if a, ok := m.directory.Account(name); ok {
		s := m.account(now, name, a.Quota)
		s.mark(now, m.used[name])
		u.Offered = wholeUnits(s.offeredPerSecond(now))
	}
	return u
}

// sweep forgets the accounts that are not in use.
func (m *Meter) sweep(now time.Time) {
	if now.Sub(m.sweptAt) < sweepInterval {
		return
	}
	m.sweptAt = now
	for name, at := range m.removedAt {
		if now.Sub(at) > counterTTL {
			delete(m.used, name)
			delete(m.removedAt, name)
		}
	}
	maps.DeleteFunc(m.accounts, func(_ string, s *meteredAccount) bool {
		return now.Sub(s.usedAt) > idleTTL && now.Sub(s.appliedAt) > idleTTL
	})
}

// ReportDue reports whether the use of an account is outside what the last
// summary allowed for, so that a report should not wait for its regular time.
func (m *Meter) ReportDue(now time.Time) bool {
	least := time.Duration(m.instanceCount() / earlyReportsPerSecond * float64(time.Second))
	if now.Sub(m.reportedAt) < least || m.awaitsAnswer() {
		return false // The last report is not answered; the regular ones continue.
	}
	for _, s := range m.accounts {
		if s.isOutside(now, m) {
			return true
		}
	}
	return false
}

// Apply applies the planner's answer to the report that was sent at asOf.
func (m *Meter) Apply(now, asOf time.Time, summaries []Summary) {
	if asOf.After(m.contactOf) {
		m.contactOf = asOf
	}
	for i := range summaries {
		summary := &summaries[i]
		a, ok := m.directory.Account(summary.Account)
		if !ok || a.Quota.IsZero() {
			continue
		}
		m.account(now, a.Name, a.Quota).apply(now, asOf, summary, m)
	}
}
