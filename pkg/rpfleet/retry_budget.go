package rpfleet

import (
	"math"
	"time"
)

const (
	// budgetBuckets is the number of buckets of the retry window.
	budgetBuckets = 10
	// budgetShare is the share of the ratio that is used. Instances count the
	// same requests in slightly different windows; the rest covers the
	// difference.
	budgetShare = 0.8
	// unknownInstances is added to the number of instances that share the
	// slack, for instances that the planner does not know yet.
	unknownInstances = 2
	// defaultInstanceCount is used while the number of instances is not known.
	// It is more than the largest deployment has, so that a start of all
	// instances stays within the slack.
	defaultInstanceCount = 100
	// instanceCountTTL is how long a larger number of instances stays in use
	// after a smaller one was reported: a new planner learns of the instances
	// one by one.
	instanceCountTTL = 10 * time.Second
	// instanceCountSettleTime is how long a number of instances is provisional
	// if the lease row had none at the start. The instances of a deployment
	// start within 0.3 s of each other, and each sends a demand every 0.5 s.
	instanceCountSettleTime = 2 * time.Second
	// maxProvisionalRetries is the number of retries of a service that an
	// instance may take from the slack while its number of instances is
	// provisional. The i-th instance that the planner counts is told at least i,
	// so with at most one retry each the first instances stay within the slack.
	maxProvisionalRetries = 1.0
)

// updateInstanceCount stores the number of instances that the planner knows.
func (s *State) updateInstanceCount(n int) {
	d := &s.demand
	if d.instanceCountFromLease {
		// The planner counts on from the number in the row.
		d.instanceCountProvisionalUntil = time.Time{}
	}
	if n >= d.instanceCount || s.now.Sub(d.instanceCountAt) > instanceCountTTL {
		d.instanceCount, d.instanceCountAt = n, s.now
	}
}

// recordLeaseInstances stores the number of instances in the lease row; 0 means
// that the row has none. A smaller number than the known one is ignored: only an
// answer of the planner lowers the number.
func (s *State) recordLeaseInstances(n int) {
	d := &s.demand
	if d.instanceCount == 0 {
		d.instanceCountProvisionalUntil = s.now.Add(instanceCountSettleTime)
		d.instanceCountFromLease = n > 0
	}
	if n > d.instanceCount {
		d.instanceCount, d.instanceCountAt = n, s.now
	}
}

// instanceCountProvisional reports whether the number of instances may lack many
// of them because this instance, or the whole deployment, has just started.
func (s *State) instanceCountProvisional() bool {
	return s.now.Before(s.demand.instanceCountProvisionalUntil)
}

// instanceCountForLease returns the number of instances for the lease row, or 0
// while it is not known. Instances that start later trust it.
func (s *State) instanceCountForLease() int {
	if s.instanceCountProvisional() && !s.demand.instanceCountFromLease {
		return 0
	}
	return max(len(s.plan.demands), s.demand.instanceCount)
}

// sharingInstances returns the number of instances that share a budget of the
// whole deployment, with some more for those that the planner does not know yet.
// It returns at least defaultInstanceCount while the number is not known or a
// planner has just begun to count.
func (s *State) sharingInstances() int {
	d := &s.demand
	switch {
	case d.instanceCount == 0:
		return defaultInstanceCount
	case s.instanceCountProvisional() && !d.instanceCountFromLease:
		return max(defaultInstanceCount, d.instanceCount+unknownInstances)
	}
	return d.instanceCount + unknownInstances
}

// retrySlackShare returns this instance's part of RetrySlack.
func (s *State) retrySlackShare() float64 {
	if n := s.demand.instanceCount; n > 0 && s.instanceCountProvisional() {
		return math.Floor(min(maxProvisionalRetries, s.policy.RetrySlack/float64(n+unknownInstances)))
	}
	return s.policy.RetrySlack / float64(s.sharingInstances())
}

// retryBudget counts the requests for a service and their retries, in buckets
// of the retry window.
type retryBudget struct {
	bucket   int64
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
}

// advance clears the buckets whose time has passed and returns the index of the
// current one.
func (b *retryBudget) advance(now time.Time, window time.Duration) int {
	current := now.UnixNano() / int64(window/budgetBuckets)
	for steps := min(current-b.bucket, budgetBuckets); steps > 0; steps-- {
		i := (current - steps + 1) % budgetBuckets
		b.requests[i], b.retries[i] = 0, 0
	}
	b.bucket = max(b.bucket, current)
	return int(b.bucket % budgetBuckets)
}

func (s *State) budget(service string) *retryBudget {
	b := s.budgets[service]
	if b == nil {
		b = &retryBudget{}
		s.budgets[service] = b
	}
	return b
}

func (s *State) countBudgetRequest(service string) {
	b := s.budget(service)
	b.requests[b.advance(s.now, s.policy.RetryWindow)]++
}

// retryBudgetAllows reports whether the budget of a service allows one more
// attempt. Each instance may use RetryRatio of its own requests and an equal
// part of RetrySlack.
func (s *State) retryBudgetAllows(service string) bool {
	b := s.budget(service)
	b.advance(s.now, s.policy.RetryWindow)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := budgetShare*s.policy.RetryRatio*float64(requests) + s.retrySlackShare()
	return float64(retries)+1 <= allowed
}

func (s *State) countBudgetRetry(service string) {
	b := s.budget(service)
	b.retries[b.advance(s.now, s.policy.RetryWindow)]++
}
