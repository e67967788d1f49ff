package rpcore

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// modelUse describes the use of a model or adapter by requests of this
// instance.
type modelUse struct {
	Waiting int
	// Rank is the most urgent rank among the waiting requests, or the rank of
	// the last arrival if none waits.
	Rank     rpdocument.Rank
	Oldest   time.Duration
	InFlight int
	// LastArrival is zero if there was no arrival.
	LastArrival time.Time
	// ArrivalsPerHour is a decaying average.
	ArrivalsPerHour float64
}

// currentModelUse returns how this instance uses a model or adapter. Use of an
// adapter does not count for its base model.
func (s *State) currentModelUse(key ModelKey) modelUse {
	l := s.requests.lanes[key]
	if l == nil {
		return modelUse{}
	}
	return modelUse{
		Waiting:         l.waiting,
		Rank:            l.mostUrgentRank(),
		Oldest:          l.longestWait(s.now),
		InFlight:        l.inFlight,
		LastArrival:     l.lastArrival,
		ArrivalsPerHour: l.arrivals.Get(s.now, arrivalWindow),
	}
}

// mostUrgentRank returns the most urgent rank among the waiting requests, or
// the rank of the last arrival if none waits. It looks only at the first
// request of each queue.
func (l *lane) mostUrgentRank() rpdocument.Rank {
	for i := range l.queues {
		if len(l.queues[i]) > 0 {
			return l.queues[i][0].rank
		}
	}
	return l.lastRank
}

// dispatchWaiting dispatches requests that wait for a model or adapter after an
// endpoint began to serve it.
func (s *State) dispatchWaiting(key ModelKey) {
	if l := s.requests.lanes[key]; l != nil {
		s.dispatchLane(l)
	}
}

// refuseWaitingFor refuses requests that wait for a model or adapter that can't
// be loaded. Requests that an endpoint can still serve continue to wait.
func (s *State) refuseWaitingFor(key ModelKey, refusal rpverdict.Refusal) {
	l := s.requests.lanes[key]
	if l == nil || len(s.laneEndpoints(l)) > 0 {
		return
	}
	s.refuseAllWaiting(l, refusal)
}

// applyEndpointChange dispatches waiting requests after endpoints appeared,
// began to leave or are gone.
func (s *State) applyEndpointChange() {
	if !s.requests.started {
		return
	}
	s.checkReady()
	s.dispatchActiveLanes()
}

// applyDocumentToRequests applies a new document of a service to its lanes. It
// refuses requests that wait for a model or adapter that the document no longer
// declares.
func (s *State) applyDocumentToRequests(name string) {
	if !s.requests.started {
		return
	}
	s.checkReady()
	previous := s.requests.services[name]
	if previous == nil {
		return
	}
	service := s.serviceOf(name)
	for _, l := range slices.Clone(previous.lanes) {
		s.refuseUndeclared(l)
		if l.waiting == 0 && l.inFlight == 0 && !service.isDeclared(l.key) {
			s.removeLane(l)
			continue
		}
		s.dispatchLane(l)
	}
}

func (s *State) refuseUndeclared(l *lane) {
	for i := range l.queues {
		for _, r := range slices.Clone(l.queues[i]) {
			if refusal := s.undeclaredRefusal(r); refusal != nil {
				s.refuseRequestWith(r, *refusal)
			}
		}
	}
}

// undeclaredRefusal returns the refusal of a request whose target the current
// document no longer declares, or nil. Other changes of the document apply only
// to later requests.
func (s *State) undeclaredRefusal(r *request) *rpverdict.Refusal {
	service := s.serviceOf(r.key.Service)
	if service == nil {
		return s.unknownServiceRefusal(r.key.Service)
	}
	_, refusal := service.findTarget(r.key, &r.Request)
	return refusal
}

// isDeclared reports whether the document declares a model or adapter. The lane
// of a plain service always counts as declared.
func (service *serviceState) isDeclared(key ModelKey) bool {
	if service == nil {
		return false
	}
	if key.Name == "" {
		return true
	}
	_, isModel := service.models[key.Name]
	_, isAdapter := service.adapters[key.Name]
	return isModel || isAdapter
}

func (s *State) removeLane(l *lane) {
	delete(s.requests.lanes, l.key)
	l.service.lanes = slices.DeleteFunc(l.service.lanes, func(other *lane) bool { return other == l })
}
