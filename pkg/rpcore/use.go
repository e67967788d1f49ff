package rpcore

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// modelUse says how a model or adapter is used by the callers of this
// instance.
type modelUse struct {
	Waiting int
	// Rank is the most urgent one that waits, or else that of the last
	// arrival.
	Rank     rpdocument.Rank
	Oldest   time.Duration
	InFlight int
	// LastArrival is zero where there was none.
	LastArrival time.Time
	// ArrivalsPerHour is a decaying average.
	ArrivalsPerHour float64
}

// currentModelUse returns how this instance uses a model or adapter. The use of an
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

// mostUrgentRank returns the most urgent rank that waits, or else that of the
// last arrival. The first request of each queue stands for all of it.
func (l *lane) mostUrgentRank() rpdocument.Rank {
	for i := range l.queues {
		if len(l.queues[i]) > 0 {
			return l.queues[i][0].rank
		}
	}
	return l.lastRank
}

// dispatchWaiting dispatches requests that wait for a model or adapter, after an
// endpoint began to serve it.
func (s *State) dispatchWaiting(key ModelKey) {
	if l := s.requests.lanes[key]; l != nil {
		s.dispatchLane(l)
	}
}

// refuseWaitingFor refuses requests that wait for a model or adapter that
// can't be loaded. Requests that an endpoint can still serve go on waiting.
func (s *State) refuseWaitingFor(key ModelKey, refused rpverdict.Refusal) {
	l := s.requests.lanes[key]
	if l == nil || len(s.laneEndpoints(l)) > 0 {
		return
	}
	s.refuseAllWaiting(l, refused)
}

// endpointsChanged reacts to endpoints that came, are leaving or are gone.
func (s *State) endpointsChanged() {
	if !s.requests.started {
		return
	}
	s.checkReady()
	s.dispatchActiveLanes()
}

// documentChanged reacts to a new document in force: requests that wait for
// what it no longer declares are refused.
func (s *State) documentChanged(name string) {
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
			if problem := s.undeclaredRefusal(r); problem != nil {
				s.refuseRequestWith(r, *problem)
			}
		}
	}
}

// undeclaredRefusal returns the refusal for a request whose target is not in the
// document in force any more. Whatever else the document changes applies to
// requests that arrive from then on.
func (s *State) undeclaredRefusal(r *request) *rpverdict.Refusal {
	service := s.serviceOf(r.key.Service)
	if service == nil {
		return s.unknownServiceRefusal(r.key.Service)
	}
	_, problem := service.findTarget(r.key, &r.Request)
	return problem
}

// isDeclared reports whether the document has a model or adapter. A plain
// service keeps its lane.
func (v *serviceState) isDeclared(key ModelKey) bool {
	if v == nil {
		return false
	}
	if key.Name == "" {
		return true
	}
	_, isModel := v.models[key.Name]
	_, isAdapter := v.adapters[key.Name]
	return isModel || isAdapter
}

func (s *State) removeLane(l *lane) {
	delete(s.requests.lanes, l.key)
	l.service.lanes = slices.DeleteFunc(l.service.lanes, func(other *lane) bool { return other == l })
}
