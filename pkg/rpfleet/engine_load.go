package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

const (
	// loadReportWeight is the weight of the newest report in the smoothed load that
	// other instances put on an endpoint. Requests end within half a second, and a
	// report is up to a second old, so a single one says little of the load now.
	loadReportWeight = 0.4
	// loadReportAge is the age up to which a report is used as it is. Reports come
	// every 0.5 to 0.75 s. Older ones decay with the time constant loadReportDecay:
	// without a planner, the requests that they counted end.
	loadReportAge   = 1200 * time.Millisecond
	loadReportDecay = 1500 * time.Millisecond
	// spreadInstances is the number of instances from which requests are spread over
	// engines at random. With fewer, an instance sees enough of the requests itself to
	// send each one to the best engine. With many, all of them would choose the same
	// engine until the next report.
	spreadInstances = 20
	// minSpreadWeight is the weight of an engine without free capacity, relative to 1
	// for an idle one.
	minSpreadWeight = 0.0025
	// busyShare is the share of an engine's request slots from which it is busy: it
	// may queue the next requests.
	busyShare = 0.75
)

// recordOtherLoad replaces the load of the other instances, as reported by the planner.
func (s *State) recordOtherLoad(others []EndpointLoad) {
	for _, e := range s.endpoints {
		e.inFlightElsewhere = 0
	}
	for _, load := range others {
		if e := s.endpoints[load.Endpoint]; e != nil {
			e.inFlightElsewhere += load.Count
		}
	}
	weight := 1.0
	if s.manyInstances() {
		weight = loadReportWeight
	}
	for _, e := range s.endpoints {
		e.loadElsewhere += weight * (float64(e.inFlightElsewhere) - e.loadElsewhere)
	}
	s.demand.otherLoadAt = s.now
}

// load returns the expected number of requests in progress at an endpoint, from all
// instances.
func (s *State) load(e *endpoint) float64 {
	age := s.now.Sub(s.demand.otherLoadAt) - loadReportAge
	if age <= 0 {
		return float64(e.inFlight) + e.loadElsewhere
	}
	return float64(e.inFlight) + e.loadElsewhere*rpreducer.Decay(age, loadReportDecay)
}

// isBusy reports whether most of the request slots of an endpoint are in use.
func (s *State) isBusy(e *endpoint) bool {
	return s.load(e) >= busyShare*float64(max(1, e.Slots))
}

// spreads reports whether a request is sent to a random one of the engines that can
// serve it. A request with a long shared prefix goes to the engine that probably has
// it in its cache.
func (s *State) spreads(r *request) bool {
	_, shared := r.sharedPrefix()
	return r.engineSpec != nil && shared < prefillTokensPerRequest && s.manyInstances()
}

// manyInstances reports whether this instance sees only a small part of the requests.
func (s *State) manyInstances() bool { return s.demand.instanceCount >= spreadInstances }

// spreadWeight returns the weight of an engine in the random choice. It is the square
// of the share of its capacity that a cost leaves free, so that engines are used in
// proportion to their speed but a nearly full one gets little.
func spreadWeight(cost float64, e *endpoint) float64 {
	free := 1 - cost/(urgentQueueFactor*float64(max(1, e.Slots)))
	if free <= 0 {
		return minSpreadWeight
	}
	return max(minSpreadWeight, free*free)
}
