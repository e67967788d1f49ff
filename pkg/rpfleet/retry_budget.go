package rpfleet

import "time"

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
)

// updateInstanceCount stores the number of instances that the planner knows.
func (s *State) updateInstanceCount(n int) {
	d := &s.demand
	if n >= d.instanceCount || s.now.Sub(d.instanceCountAt) > instanceCountTTL {
		d.instanceCount, d.instanceCountAt = n, s.now
	}
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
	instances := defaultInstanceCount
	if s.demand.instanceCount > 0 {
		instances = s.demand.instanceCount + unknownInstances
	}
	allowed := budgetShare*s.policy.RetryRatio*float64(requests) + s.policy.RetrySlack/float64(instances)
	return float64(retries)+1 <= allowed
}

func (s *State) countBudgetRetry(service string) {
	b := s.budget(service)
	b.retries[b.advance(s.now, s.policy.RetryWindow)]++
}
