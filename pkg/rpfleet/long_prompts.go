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

// longPromptEngine returns the only engine that a waiting request with a long prompt may
// go to, or nil if it may go to any. A long prompt goes to one replica as long as that
// begins with it in time; see rpqueue.LongPromptReplica. The engine can take the
// request, so the rule never makes a request wait.
func (s *State) longPromptEngine(r *request) *endpoint {
	if r.engineSpec == nil || r.responseStarted {
		return nil
	}
	work := prefillTime(r.prefillTokens())
	if !rpqueue.IsLong(work, s.orderOf(r.service).shortestOtherTarget(r.route, s.now)) {
		return nil
	}
	endpoints, replicas := s.longPromptReplicas(r)
	slack := r.arrivedAt.Add(r.route.Target).Sub(s.now) - work
	if chosen := rpqueue.LongPromptReplica(replicas, slack); chosen >= 0 {
		return endpoints[chosen]
	}
	return nil
}

// longPromptReplicas returns the engines that can take a waiting request now.
func (s *State) longPromptReplicas(r *request) (endpoints []*endpoint, replicas []rpqueue.Replica) {
	key, _ := r.sharedPrefix()
	if key == "" {
		key = r.Model
	}
	for _, e := range s.endpointsOf(r.service) {
		if !s.canServe(r, e) || e.health.isEjected(s.now) {
			continue
		}
		endpoints = append(endpoints, e)
		replicas = append(replicas, rpqueue.Replica{
			Speed: e.speed.Speed(s.now), Near: e.FailureDomain == s.self.FailureDomain, Affinity: rpreducer.Rendezvous(key, string(e.ID)),
			Unread: prefillTime(e.pendingPrefill),
		})
	}
	return endpoints, replicas
}
