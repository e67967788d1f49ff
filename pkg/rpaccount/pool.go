package rpaccount

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	// lostAfter is how long an instance has not reported, at least, until its
	// use is presumed.
	lostAfter = time.Second
	// reservedFor is how long the part of an instance that does not report
	// stays reserved: it may be cut off and still admit requests. Instances
	// refuse keys without contact after the bound of withdrawals (5 s), where
	// that is strict.
	reservedFor = 10 * time.Second
	// counterTTL is how long the counters of an instance are kept, so that only
	// its use since its last report is charged when it returns.
	counterTTL = 2 * time.Minute
	// presumeInterval is the time between two calculations of presumed use.
	presumeInterval = 250 * time.Millisecond
)

// Pool is the planner's side of the quotas. The zero value works. It is not
// safe for concurrent use.
type Pool struct {
	Limits    Limits
	directory *Directory
	startedAt time.Time
	accounts  map[string]*pooledAccount
	// reportedAt is when each instance last reported.
	reportedAt map[rpcore.InstanceID]time.Time
	presumedAt time.Time
	// removedAt is when the configuration ceased to have an account. Its bucket
	// stays for counterTTL: the account may come back with its use of the last
	// window.
	removedAt map[string]time.Time
	// adoptedInstances is the number of instances that the previous planner
	// knew. It takes a report interval until all of them have reported.
	adoptedInstances float64
}

// pooledAccount is the token bucket of an account and the counters of the
// instances.
type pooledAccount struct {
	bucket
	quota     Quota
	level     float64 // at settledAt
	settledAt time.Time
	// offered is the sum over the instances and unseen.
	offered   float64
	instances map[rpcore.InstanceID]*instanceUse
	// unseen is the part of the offered cost that the previous planner knew and
	// whose instances have not reported to this one.
	unseen instanceUse
	// adopted says that unseen came from the previous planner, with the
	// offered cost that it knew.
	adopted        bool
	adoptedOffered float64
}

// instanceUse is the last report of an instance. presumed is the use that was
// charged since then without a report, until presumedTo.
type instanceUse struct {
	process    uint64
	used       int64
	offered    float64
	share      float64 // of the offered cost of all instances
	allowance  float64 // share of the level
	lost       bool
	presumed   float64
	presumedTo time.Time
}

// SetDirectory sets the accounts in force.
func (p *Pool) SetDirectory(now time.Time, d *Directory) {
	p.start(now)
	p.directory = d
	for name, a := range p.accounts {
		noteRemoved(&p.removedAt, name, d, now)
		account, ok := d.Account(name)
		if !ok {
			continue
		}
		if account.Quota.IsZero() {
			delete(p.accounts, name)
			continue
		}
		a.settle(now, 0)
		a.quota, a.bucket = account.Quota, p.Limits.bucket(account.Quota)
		a.settle(now, 0)
	}
}

func (p *Pool) start(now time.Time) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
}

// account returns the state of an account. An account that becomes known within
// the first window may have been used before.
func (p *Pool) account(now time.Time, name string) *pooledAccount {
	p.start(now)
	if a := p.accounts[name]; a != nil {
		return a
	}
	account, ok := p.directory.Account(name)
	if !ok || account.Quota.IsZero() {
		return nil
	}
	if p.accounts == nil {
		p.accounts = map[string]*pooledAccount{}
	}
	a := &pooledAccount{
		quota: account.Quota, bucket: p.Limits.bucket(account.Quota),
		settledAt: p.startedAt, instances: map[rpcore.InstanceID]*instanceUse{},
	}
	a.level = a.startLevel()
	if !p.isYoung(now) {
		a.level, a.settledAt = a.quota.Burst, now
	}
	p.accounts[name] = a
	return a
}

// isYoung reports whether the use of a whole window is not known yet.
func (p *Pool) isYoung(now time.Time) bool { return now.Sub(p.startedAt) < p.Limits.window() }

// settle adds the rate since the last call and subtracts what was used in that
// time.
func (a *pooledAccount) settle(now time.Time, used float64) {
	elapsed := max(now.Sub(a.settledAt).Seconds(), 0)
	a.level = max(min(a.level+a.quota.Rate*elapsed-used, a.quota.Burst), a.leastLevel)
	if now.After(a.settledAt) {
		a.settledAt = now
	}
}

// Record charges what an instance has used since its last report.
func (p *Pool) Record(now time.Time, instance rpcore.InstanceID, process uint64, usages []Usage) {
	if p.reportedAt == nil {
		p.reportedAt = map[rpcore.InstanceID]time.Time{}
	}
	p.reportedAt[instance] = now
	for i := range usages {
		if a := p.account(now, usages[i].Account); a != nil {
			used := p.record(now, a, instance, process, &usages[i])
			a.settle(now, used)
		}
	}
}

// record replaces an instance's counter and returns what was used since the last
// one and not presumed.
func (p *Pool) record(now time.Time, a *pooledAccount, instance rpcore.InstanceID, process uint64, u *Usage) float64 {
	offered := float64(max(u.Offered, 0))
	known := a.instances[instance]
	if known == nil {
		known = &instanceUse{}
		a.instances[instance] = known
		p.takeUnseen(now, a, offered)
	}
	used := float64(u.Used - known.used)
	first := known.presumedTo.IsZero()
	if first || known.process != process {
		// The counter may be hours old; the offered cost bounds the recent use.
		used = min(float64(max(u.Used, 0)), offered*min(shareWindow, now.Sub(p.startedAt)).Seconds())
		if first && a.adopted && p.isYoung(now) {
			used = 0 // It was presumed.
		}
	}
	a.offered += offered - known.offered
	presumed := known.presumed
	*known = instanceUse{process: process, used: u.Used, offered: offered, presumedTo: now}
	if a.offered > 0 {
		known.share = min(offered/a.offered, 1)
		known.allowance = known.share * max(a.level+a.extra, 0)
	}
	return used - presumed
}

// takeUnseen reduces the unseen part by that of an instance that reports for the
// first time.
func (p *Pool) takeUnseen(now time.Time, a *pooledAccount, offered float64) {
	a.presumeUse(now, &a.unseen, p.startedAt.Add(reservedFor))
	taken := min(offered, a.unseen.offered)
	a.unseen.offered -= taken
	a.offered -= taken
	a.unseen.share = p.unseenShare(a)
}

// unseenShare returns the share of the instances that have not reported to this
// planner: the larger one of their number and of what they offered, because the
// load may have grown since.
func (p *Pool) unseenShare(a *pooledAccount) float64 {
	byCount := 1 - float64(len(p.reportedAt))/max(p.adoptedInstances, 1)
	if !a.adopted || byCount <= 0 {
		return 0
	}
	return max(byCount, a.unseen.offered/max(a.adoptedOffered, 1))
}

// presume charges the use of instances that do not report: they may be cut off
// and still admit requests. The presumed use is replaced by the counter when they
// return.
func (p *Pool) presume(now time.Time) {
	if now.Sub(p.presumedAt) < presumeInterval {
		return
	}
	p.presumedAt = now
	// As many regular reports as there are instances share reportsPerSecond.
	instances := max(float64(len(p.reportedAt)), p.adoptedInstances)
	lost := max(lostAfter, time.Duration(2*instances/reportsPerSecond*float64(time.Second)))
	for _, instance := range slices.Sorted(maps.Keys(p.reportedAt)) {
		at := p.reportedAt[instance]
		switch silent := now.Sub(at); {
		case silent > counterTTL:
			p.drop(instance)
		case silent > lost:
			p.presumeInstance(now, instance, at.Add(reservedFor))
		}
	}
	for name, at := range p.removedAt {
		if now.Sub(at) > counterTTL {
			delete(p.accounts, name)
			delete(p.removedAt, name)
		}
	}
	for name, a := range p.accounts {
		a.presumeUse(now, &a.unseen, p.startedAt.Add(reservedFor))
		if a.unseen.share > 0 {
			a.unseen.share = p.unseenShare(a)
		}
		if len(a.instances) == 0 && now.Sub(a.settledAt) > counterTTL {
			delete(p.accounts, name)
		}
	}
}

func (p *Pool) presumeInstance(now time.Time, instance rpcore.InstanceID, until time.Time) {
	for _, a := range p.accounts {
		if u := a.instances[instance]; u != nil {
			a.presumeUse(now, u, until)
		}
	}
}

// presumeUse charges an instance's use since presumedTo: the share of the rate
// that it had when it last reported. After until, its part is no longer reserved.
func (a *pooledAccount) presumeUse(now time.Time, u *instanceUse, until time.Time) {
	if u.share <= 0 {
		return
	}
	if !u.lost {
		// It may also use its share of the level.
		u.lost = true
		u.presumed += u.allowance
		a.settle(now, u.allowance)
	}
	end := now
	if end.After(until) {
		end = until
	}
	rate := a.quota.Rate * u.share
	if elapsed := end.Sub(u.presumedTo).Seconds(); elapsed > 0 {
		u.presumed += rate * elapsed
		u.presumedTo = end
		a.settle(now, rate*elapsed)
	}
	if now.After(until) {
		a.offered -= u.offered
		u.offered, u.share = 0, 0
	}
}

func (p *Pool) drop(instance rpcore.InstanceID) {
	delete(p.reportedAt, instance)
	for _, a := range p.accounts {
		if u := a.instances[instance]; u != nil {
			a.offered -= u.offered
			delete(a.instances, instance)
		}
	}
}

// Forget says that an instance does not report any more. Its part of the quotas
// stays reserved for a while, because it may be cut off from the planner and
// still admit requests.
func (p *Pool) Forget(instance rpcore.InstanceID) {
	at, ok := p.reportedAt[instance]
	if !ok {
		return
	}
	p.presumeInstance(at, instance, at.Add(reservedFor))
}

// Summarize returns the summaries of the accounts that an instance reported.
func (p *Pool) Summarize(now time.Time, reported []Usage) []Summary {
	p.presume(now)
	summaries := make([]Summary, 0, len(reported))
	for i := range reported {
		if a := p.account(now, reported[i].Account); a != nil {
			a.settle(now, 0)
			summaries = append(summaries, Summary{
				Account: reported[i].Account, Offered: wholeUnits(max(a.offered, 0)), Level: int64(math.Floor(a.level)),
			})
		}
	}
	return summaries
}

// Adopt takes over what the instance knew from the previous planner. It is
// called when the instance becomes the planner, and discards what the pool knew
// before.
func (p *Pool) Adopt(now time.Time, m *Meter) {
	*p = Pool{Limits: p.Limits, directory: m.directory, startedAt: now, adoptedInstances: m.instanceCount()}
	for _, name := range slices.Sorted(maps.Keys(m.accounts)) {
		s := m.accounts[name]
		if !s.known {
			continue
		}
		a := p.account(now, name)
		if a == nil {
			continue
		}
		// Without a planner, the instances use at most their parts of a positive
		// level and of the rate, so the bucket is not emptier than it was, or
		// than empty.
		elapsed := now.Sub(s.appliedAt).Seconds()
		a.level = max(min(s.level+a.quota.Rate*elapsed, a.startLevel(), a.quota.Burst), a.leastLevel)
		a.unseen = instanceUse{offered: s.total, share: 1, presumedTo: now}
		a.offered, a.adopted = s.total, true
		a.adoptedOffered = s.total
	}
}
