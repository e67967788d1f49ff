package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// requestView holds the requests of this instance's callers.
type requestView struct{}

// claimView holds the claims of requests that may run only once.
type claimView struct{}

// endpointHealth is the failure history of an endpoint.
type endpointHealth struct{}

// cacheView is what is known of an engine's prefix cache.
type cacheView struct{}

// modelUse says how a model or adapter is used by the callers of this
// instance.
type modelUse struct {
	Waiting  int
	Rank     rpdocument.Rank
	Oldest   time.Duration
	InFlight int
	// LastArrival is zero where there was none.
	LastArrival time.Time
	// ArrivalsPerHour is a decaying average.
	ArrivalsPerHour float64
}

func (s *State) startRequests() {}

func (s *State) requestArrived(_ Request) {}

func (s *State) requestAbandoned(_ RequestID) {}

func (s *State) attemptFirstToken(_ AttemptFirstToken) {}

func (s *State) attemptEnded(_ AttemptEnded) {}

func (s *State) cacheEventsReceived(_ CacheEventsReceived) {}

func (s *State) drainRequested() {}

// modelUse returns how this instance uses a model or adapter.
func (s *State) modelUse(_ ModelKey) modelUse { return modelUse{} }

// replicaReady dispatches requests that wait for a model or adapter, after an
// endpoint began to serve it.
func (s *State) replicaReady(_ ModelKey) {}

// replicaImpossible refuses requests that wait for a model or adapter that
// can't be loaded, with the reason.
func (s *State) replicaImpossible(_ ModelKey, _ string) {}

// endpointsChanged reacts to endpoints that came, are leaving or are gone.
func (s *State) endpointsChanged() {}

// documentChanged reacts to a new document in force.
func (s *State) documentChanged(_ string) {}

// reportReadiness tells the front whether callers may come.
func (s *State) reportReadiness() {}
