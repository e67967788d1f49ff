package rpaccount

import (
	"maps"
	"math"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Pool is the planner's side of the quotas. The zero value works. It is not
// safe for concurrent use.
type Pool struct {
	Limits    Limits
	directory *Directory
	startedAt time.Time
	accounts  map[string]*pooledAccount
}

// pooledAccount is the token bucket of an account and the counters of the
// instances.
type pooledAccount struct {
	quota     Quota
	level     float64 // at settledAt
	settledAt time.Time
	offered   int
	instances map[rpcore.InstanceID]*instanceUse
}

type instanceUse struct {
	process uint64
	used    int64
	offered int
	at      time.Time
}

// SetDirectory sets the accounts in force.
func (p *Pool) SetDirectory(now time.Time, d *Directory) {
	p.directory = d
	for name, a := range p.accounts {
		account, ok := d.Account(name)
		if !ok || account.Quota.IsZero() {
			delete(p.accounts, name)
			continue
		}
		a.settle(now, p.Limits, 0)
		a.quota = account.Quota
		a.settle(now, p.Limits, 0)
	}
}

func (p *Pool) account(now time.Time, name string) *pooledAccount {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
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
	a := &pooledAccount{quota: account.Quota, settledAt: now, instances: map[rpcore.InstanceID]*instanceUse{}}
	if now.Sub(p.startedAt) >= p.Limits.Window {
		a.level = a.quota.Burst
	} else {
		extra, _ := p.Limits.extra(a.quota)
		a.level = min(-extra+a.quota.Rate*now.Sub(p.startedAt).Seconds(), a.quota.Burst)
	}
	p.accounts[name] = a
	return a
}

// settle adds the rate since the last call and subtracts what was used in that
// time. Debt is bounded by what the rate repays within the window.
func (a *pooledAccount) settle(now time.Time, limits Limits, used float64) {
	elapsed := max(now.Sub(a.settledAt).Seconds(), 0)
	extra, _ := limits.extra(a.quota)
	least := -extra - a.quota.Rate*limits.Window.Seconds()
	a.level = max(min(a.level+a.quota.Rate*elapsed-used, a.quota.Burst), least)
	a.settledAt = now
}

// Record charges what an instance has used since its last report.
func (p *Pool) Record(now time.Time, instance rpcore.InstanceID, process uint64, usages []Usage) {
	for i := range usages {
		if a := p.account(now, usages[i].Account); a != nil {
			a.settle(now, p.Limits, p.recordUse(now, a, instance, process, &usages[i]))
		}
	}
}

// recordUse replaces an instance's counter and returns what was used since the
// last one.
func (p *Pool) recordUse(now time.Time, a *pooledAccount, instance rpcore.InstanceID, process uint64, u *Usage) float64 {
	known := a.instances[instance]
	if known == nil {
		known = &instanceUse{}
		a.instances[instance] = known
	}
	used := u.Used - known.used
	if known.at.IsZero() || known.process != process {
		// The counter may be hours old; the offered cost bounds the recent use.
		used = min(u.Used, int64(math.Ceil(float64(u.Offered)*shareWindow.Seconds())))
		if now.Sub(p.startedAt) < p.Limits.Window {
			used = 0
		}
	}
	a.offered += u.Offered - known.offered
	*known = instanceUse{process: process, used: u.Used, offered: u.Offered, at: now}
	return float64(used)
}

// Forget forgets an instance.
func (p *Pool) Forget(instance rpcore.InstanceID) {
	for _, a := range p.accounts {
		if u := a.instances[instance]; u != nil {
			a.offered -= u.offered
			delete(a.instances, instance)
		}
	}
}

// Summarize returns the summaries of the accounts that an instance reported.
func (p *Pool) Summarize(now time.Time, reported []Usage) []Summary {
	summaries := make([]Summary, 0, len(reported))
	for i := range reported {
		if a := p.account(now, reported[i].Account); a != nil {
			a.settle(now, p.Limits, 0)
			summaries = append(summaries, Summary{Account: reported[i].Account, Offered: a.offered, Level: int64(math.Floor(a.level))})
		}
	}
	return summaries
}

// Adopt takes over what the instance knew from the previous planner. It is
// called when the instance becomes the planner.
func (p *Pool) Adopt(now time.Time, m *Meter) {
	p.startedAt = now
	p.directory = m.directory
	p.accounts = maps.Clone(p.accounts)
	clear(p.accounts)
}
