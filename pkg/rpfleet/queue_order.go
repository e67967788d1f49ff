package rpfleet

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpqueue"
)

// assumedPrefillRate is the number of prompt tokens that an engine reads per
// millisecond, as long as nothing was learned. It is somewhat below the 38 of
// the known engines, because they read while they generate.
const assumedPrefillRate = 35.0

// prefillTime returns how long an idle engine takes to read prompt tokens.
func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / assumedPrefillRate * float64(time.Millisecond))
}

// serviceOrder is the order of the waiting requests of a service.
type serviceOrder struct {
	rpqueue.Order
	// fair divides what this instance starts between client accounts.
	fair          rpaccount.FairShare
	configVersion uint64
	// uniform says that all routes of the service have the same rank and target.
	// Its requests are then ordered by arrival.
	uniform bool
	// seenRoutes holds the last request of each route.
	seenRoutes map[string]seenRoute
}

// orderOf returns the order of a service under the configuration in force.
func (s *State) orderOf(service string) *serviceOrder {
	o := s.orders[service]
	if o == nil {
		if s.orders == nil {
			s.orders = map[string]*serviceOrder{}
		}
		o = &serviceOrder{uniform: true}
		s.orders[service] = o
	}
	if version := s.configVersion(); o.configVersion != version {
		o.configVersion = version
		maps.DeleteFunc(o.seenRoutes, func(_ string, seen seenRoute) bool { return !seen.isRecent(s.now) })
		o.Margin, o.uniform = s.routeTargets(service)
	}
	return o
}

// routeTargets returns the shortest target of the routes to a service, and
// whether all of them have the same target and rank.
func (s *State) routeTargets(service string) (shortest time.Duration, uniform bool) {
	var first *Route
	uniform = true
	for i := range s.config.Routes {
		route := &s.config.Routes[i]
		if !slices.ContainsFunc(route.Services, func(target WeightedService) bool { return target.Service == service }) {
			continue
		}
		if first == nil {
			first, shortest = route, route.Target
		}
		shortest = min(shortest, route.Target)
		uniform = uniform && route.Target == first.Target && route.Rank == first.Rank
	}
	return shortest, uniform
}

// queueRequest sets what the order takes into account of a request that begins to
// wait.
func (s *State) queueRequest(r *request) {
	o := s.orderOf(r.service)
	r.queued.Request = rpqueue.Request{
		ID: string(r.ID), Rank: r.route.Rank, Kind: r.route.Name, Account: r.account, Arrived: r.arrivedAt, Deadline: r.waitDeadline(),
		Work: max(prefillTime(r.prefillTokens()), s.serviceStats(r.service).latency),
	}
	switch {
	case o.uniform || r.route.Target <= 0:
	case r.responseStarted:
		// The next event of a stream that continues is due as after any other event.
		r.queued.Target = s.now.Add(r.route.EventGap)
	default:
		r.queued.Target = r.arrivedAt.Add(r.route.Target)
	}
	if r.attemptCount == 0 {
		o.RecordArrival(s.now, &r.queued.Request)
		o.recordRoute(r.route, s.now)
	}
}

// sortQueue sorts the waiting requests of a service by their order at this time.
func (s *State) sortQueue(service string) {
	queue := s.queues[service]
	if len(queue) < 2 {
		return
	}
	s.setFairTags(service)
	rpqueue.Sort(&s.orderOf(service).Order, s.now, queue, func(r *request) *rpqueue.Entry { return &r.queued })
}

// goesFirst reports whether a request goes before all others at the instance and at
// engines, because its route or account got too little.
func (s *State) goesFirst(r *request) bool {
	return s.orderOf(r.service).Starved(s.now, &r.queued.Request)
}

// enginePriority returns the priority that an engine gets with a request.
func (s *State) enginePriority(r *request) int {
	return s.orderOf(r.service).Priority(s.now, &r.queued.Request)
}
