package rpfleet

import "time"

const (
	// budgetBuckets is the resolution of the window of the retry budget.
	budgetBuckets = 10
	// budgetShare is the part of the ratio that is used. The rest covers the
	// requests of the window that other instances counted in another one.
	budgetShare = 0.8
	// budgetReserve is added to the number of instances that share the slack,
	// for instances that the planner has not heard of yet.
	budgetReserve = 2
	// assumedInstances is the number of instances while none is known: more than
	// the largest deployment has, so that a start of all of them stays within
	// the slack.
	assumedInstances = 100
	// instancesMemory is how long a larger number of instances goes before a
	// smaller one: a new planner hears of them one by one.
	instancesMemory = 10 * time.Second
)

// countInstances takes in the number of instances that the planner knows.
func (s *State) countInstances(n int) {
	d := &s.demand
	if n >= d.instances || s.now.Sub(d.instancesAt) > instancesMemory {
		d.instances, d.instancesAt = n, s.now
	}
}

// retryBudget counts the requests for a service and the attempts beyond the
// first of each, in buckets of a tenth of the window.
type retryBudget struct {
	bucket   int64
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
}

func (b *retryBudget) turn(now time.Time, window time.Duration) int {
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

func (s *State) countRequest(service string) {
	b := s.budget(service)
	b.requests[b.turn(s.now, s.policy.RetryWindow)]++
}

// mayRetry reports whether the budget of a service allows one more attempt.
// Each instance has its own requests' part of the ratio and an equal part of
// the slack.
func (s *State) mayRetry(service string) bool {
	b := s.budget(service)
	b.turn(s.now, s.policy.RetryWindow)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	instances := assumedInstances
	if s.demand.instances > 0 {
		instances = s.demand.instances + budgetReserve
	}
	allowed := budgetShare*s.policy.RetryRatio*float64(requests) + s.policy.RetrySlack/float64(instances)
	return float64(retries)+1 <= allowed
}

func (s *State) countRetry(service string) {
	b := s.budget(service)
	b.retries[b.turn(s.now, s.policy.RetryWindow)]++
}
