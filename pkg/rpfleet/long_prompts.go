package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpqueue"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// routeSeenWindow is how long the requests of a route count as present after the
// last one. An instance gets a request of a busy route every few seconds.
const routeSeenWindow = 10 * time.Second

// seenRoute is the last request of a route at this instance.
type seenRoute struct {
	target time.Duration
	at     time.Time
}

func (v seenRoute) isRecent(now time.Time) bool { return now.Sub(v.at) < routeSeenWindow }

// recordRoute records that a request of a route arrived.
func (o *serviceOrder) recordRoute(route *Route, now time.Time) {
	if o.seenRoutes == nil {
		o.seenRoutes = map[string]seenRoute{}
	}
	o.seenRoutes[route.Name] = seenRoute{target: route.Target, at: now}
}

// shortestOtherTarget returns the shortest target of the other routes whose
// requests arrived lately, or 0 if there were none.
func (o *serviceOrder) shortestOtherTarget(route *Route, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for name, seen := range o.seenRoutes {
		if name != route.Name && seen.isRecent(now) && (shortest == 0 || seen.target < shortest) {
			shortest = seen.target
		}
	}
	return shortest
}

// longPromptAllowed reports whether a waiting request may go to an engine that can
// serve it, as far as long prompts are concerned. A long prompt goes to one replica
// as long as that begins with it in time; see rpqueue.LongPromptReplica. At least
// one of the replicas that can take the request is always allowed, so the rule
// never makes a request wait.
func (s *State) longPromptAllowed(r *request, e *endpoint) bool {
	if r.engineSpec == nil || r.responseStarted {
		return true
	}
	work := prefillTime(r.prefillTokens())
	if !rpqueue.IsLong(work, s.orderOf(r.service).shortestOtherTarget(r.route, s.now)) {
		return true
	}
	endpoints, replicas := s.longPromptReplicas(r)
	slack := r.arrivedAt.Add(r.route.Target).Sub(s.now) - work
	chosen := rpqueue.LongPromptReplica(replicas, slack)
	return chosen < 0 || endpoints[chosen] == e
}

// longPromptReplicas returns the engines that can take a waiting request now.
func (s *State) longPromptReplicas(r *request) (endpoints []*endpoint, replicas []rpqueue.Replica) {
	key, _ := r.sharedPrefix()
	if key == "" {
		key = r.Model
	}
	for _, e := range s.endpointsOf(r.service) {
		if e.Leaving || e.isHeldOff(s.now) || r.excludedEndpoints[e.ID] || e.health.isEjected(s.now) ||
			!e.modelReady(r.Model, s.now) || !e.adapterReady(r.Model, r.Adapter, s.now) || !s.hasCapacity(r, e) {
			continue
		}
		endpoints = append(endpoints, e)
		replicas = append(replicas, rpqueue.Replica{
			Near: e.FailureDomain == s.self.FailureDomain, Affinity: rpreducer.Rendezvous(key, string(e.ID)),
			Unread: prefillTime(e.pendingPrefill),
		})
	}
	return endpoints, replicas
}
