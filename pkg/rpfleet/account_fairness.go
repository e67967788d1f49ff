package rpfleet

import (
	"math"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
)

// fairStep is the difference of virtual time, in seconds of an account's part of an
// instance, below which accounts count as equal, so that targets decide between them.
const fairStep = 1.0

// setFairTags sets the tags of the waiting requests of a service by weighted fair
// queueing over tokens between accounts: an account that got more than its part of what
// this instance starts goes after the others of its rank.
func (s *State) setFairTags(service string) {
	if s.accounts() == nil {
		return
	}
	fair := &s.orderOf(service).fair
	// ahead is what the requests of an account before the next one will be charged.
	ahead := map[string]float64{}
	for _, r := range s.queues[service] {
		r.queued.Account = r.account
		tag := fair.Tag(r.account) - fair.Now() + ahead[r.account]
		r.queued.Tag = math.Floor(tag / fairStep)
		weight, cost := s.fairCharge(r)
		ahead[r.account] += cost / weight
	}
}

// chargeFairShare charges the first attempt of a request to its account.
func (s *State) chargeFairShare(r *request) {
	if s.accounts() == nil || r.attemptCount > 0 {
		return
	}
	fair := &s.orderOf(r.service).fair
	weight, cost := s.fairCharge(r)
	fair.Advance(fair.Tag(r.account))
	fair.Charge(r.account, weight, cost)
}

// fairCharge returns the weight of a request's account at this instance, in tokens per
// second, and the cost of the request. Accounts without a quota have equal weights.
func (s *State) fairCharge(r *request) (weight, cost float64) {
	quota := rpaccount.Quota{Unit: rpaccount.UnitTokens}
	if account, ok := s.accounts().Account(r.account); ok && !account.Quota.IsZero() {
		quota = account.Quota
	}
	cost = quota.Cost(r.PromptTokens, r.MaxTokens, r.TokensCounted)
	return max(quota.Rate/float64(s.quotaInstances()), minFairWeight), cost
}

// minFairWeight is the weight of an account without a rate, in tokens per second. One
// request a second has about as many.
const minFairWeight = 500.0
