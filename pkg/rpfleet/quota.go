package rpfleet

import (
	"slices"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	// overQuotaNoteInterval is the time between two log entries about refusals of one
	// account, which may have hundreds a second.
	overQuotaNoteInterval = time.Second
	// maxNamedAccounts bounds the names of accounts in a log entry.
	maxNamedAccounts = 20
)

// quotaState holds the quotas of the accounts: the instance's side and, while it is
// the planner, the planner's.
type quotaState struct {
	meter rpaccount.Meter
	pool  rpaccount.Pool
	// refused counts the refusals of each account since the last log entry about
	// them.
	refused map[string]*quotaRefusals
	// postedAt is when the use was last written to the store.
	postedAt time.Time
}

type quotaRefusals struct {
	count   int
	notedAt time.Time
}

// charge is the cost that a request was charged.
type charge struct {
	account string
	cost    float64
}

// applyQuotaPolicy passes the settings of the quotas on.
func (s *State) applyQuotaPolicy() {
	limits := rpaccount.Limits{Window: s.policy.QuotaWindow, Overage: s.policy.QuotaOverage, Slack: s.policy.QuotaSlack}
	if limits == s.quota.meter.Limits {
		return
	}
	s.quota.meter.Limits, s.quota.pool.Limits = limits, limits
	s.applyQuotaDirectory()
}

// applyQuotaDirectory passes the accounts of the configuration in force on. The planner's
// side gets them in any case: a late renewal of the lease may make this instance the
// planner again without a takeover.
func (s *State) applyQuotaDirectory() {
	s.quota.meter.SetDirectory(s.now, s.accounts())
	s.quota.pool.SetDirectory(s.now, s.accounts())
}

// adoptQuotas takes over the quotas from the previous planner, as far as this instance
// knows them.
func (s *State) adoptQuotas() { s.quota.pool.Adopt(s.now, &s.quota.meter) }

// chargeQuota charges the cost of a request that arrives, or refuses the request if its
// account has used its quota.
func (s *State) chargeQuota(r *request) *rpverdict.Refusal {
	account, ok := s.accounts().Account(r.account)
	if !ok || account.Quota.IsZero() {
		return nil
	}
	s.quota.meter.SetInstances(s.quotaInstances())
	cost := account.Quota.Cost(r.PromptTokens, r.MaxTokens, r.TokensCounted)
	admitted, retryAfter := s.quota.meter.Admit(s.now, account, cost)
	if s.quota.meter.ReportDue(s.now) {
		s.reportUse()
	}
	if !admitted {
		s.noteOverQuota(account, cost, retryAfter)
		return newRefusal(rpverdict.CodeQuotaExceeded, "The account has used its quota.", retryAfter)
	}
	r.charged = charge{account: account.Name, cost: cost}
	return nil
}

// refundUnlessRun returns the cost of a request that ends and that no endpoint may have
// run. An attempt in progress may run unless attemptNotRun is set.
func (s *State) refundUnlessRun(r *request, attemptNotRun bool) {
	if r.charged.cost > 0 && r.possibleRuns == 0 && (r.endpoint == nil || attemptNotRun) {
		s.quota.meter.Refund(s.now, r.charged.account, r.charged.cost)
		r.charged = charge{}
	}
}

// quotaInstances returns the number of instances that share the quotas.
func (s *State) quotaInstances() int { return s.sharingInstances() }

// reportUse reports the use of the accounts before the next regular demand.
func (s *State) reportUse() {
	if !s.isPlanner() {
		s.reportNeed()
		return
	}
	usages := s.quota.meter.Report(s.now)
	s.quota.pool.Record(s.now, s.self.Instance, s.process, usages)
	s.quota.meter.Apply(s.now, s.now, s.quota.pool.Summarize(s.now, usages))
}

// recordUse passes the use that an instance reported on to the planner's side.
func (s *State) recordUse(d *Demand) {
	if d.Load != nil && s.accounts() != nil {
		s.quota.pool.Record(s.now, d.Instance, d.Load.Process, d.Load.Accounts)
	}
}

const (
	// postUseAfter is how long the planner must not have answered before the use of
	// accounts is written to the store. A takeover takes less, and for twice that time
	// the planner charges an instance that is silent with its share.
	postUseAfter = 5 * time.Second
	// postUseInterval is the time between two such writes. The planner takes an
	// instance that reports less often for silent.
	postUseInterval = time.Second
)

// postUse writes the use of accounts to the store while the planner does not answer, so
// that it does not give the part of this instance to others.
func (s *State) postUse() {
	if s.accounts() == nil || s.now.Sub(s.demand.placementAsOf) < postUseAfter || s.now.Sub(s.quota.postedAt) < postUseInterval {
		return
	}
	report := LoadReport{Process: s.process, Accounts: s.quota.meter.Report(s.now)}
	if len(report.Accounts) == 0 {
		return
	}
	s.quota.postedAt = s.now
	s.emit(PostUse{Instance: s.self.Instance, Load: report})
}

// handleUsePosted charges the use of an instance that the planner does not answer.
func (s *State) handleUsePosted(ev UsePosted) {
	if s.isPlanner() && ev.Instance != s.self.Instance {
		s.recordUse(&Demand{Instance: ev.Instance, Load: &ev.Load})
	}
}

// applyOwnUse answers the planner's own demand.
func (s *State) applyOwnUse(d *Demand) {
	if d.Load != nil && s.accounts() != nil {
		s.quota.meter.Apply(s.now, s.now, s.quota.pool.Summarize(s.now, d.Load.Accounts))
	}
}

func (s *State) noteOverQuota(account *rpaccount.Account, cost float64, retryAfter time.Duration) {
	if s.quota.refused == nil {
		s.quota.refused = map[string]*quotaRefusals{}
	}
	refused := s.quota.refused[account.Name]
	if refused == nil {
		refused = &quotaRefusals{}
		s.quota.refused[account.Name] = refused
	}
	refused.count++
	if s.now.Sub(refused.notedAt) < overQuotaNoteInterval {
		return
	}
	s.note("accounts", "an account is over its quota", Field{"account", account.Name}, Field{"refused", refused.count},
		Field{"rate", account.Quota.Rate}, Field{"burst", account.Quota.Burst}, Field{"unit", string(account.Quota.Unit)},
		Field{"cost", cost}, Field{"retry_after", retryAfter}, Field{"summary_age", s.ageOrNone(s.demand.placementAsOf)})
	refused.count, refused.notedAt = 0, s.now
}

// noteLoweredQuotas logs which accounts have a lower quota than before.
func (s *State) noteLoweredQuotas(before *Config) {
	if before == nil {
		return
	}
	var lowered []string
	for _, name := range before.Accounts.Names() {
		old, _ := before.Accounts.Account(name)
		if account, ok := s.accounts().Account(name); ok && account.Quota.IsBelow(old.Quota) {
			lowered = append(lowered, name)
		}
	}
	for name := range s.quota.refused {
		if _, ok := s.accounts().Account(name); !ok {
			delete(s.quota.refused, name)
		}
	}
	if len(lowered) == 0 {
		return
	}
	slices.Sort(lowered)
	s.note("accounts", "quotas of accounts were lowered", Field{"config_version", s.configVersion()}, Field{"lowered", len(lowered)},
		Field{"accounts", strings.Join(lowered[:min(len(lowered), maxNamedAccounts)], ",")},
		Field{"binding_in", s.policy.QuotaWindow})
}
