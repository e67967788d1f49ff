package rpfleet

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	// maxHoldOff bounds how long an endpoint can keep this instance from sending
	// to it with one response. It protects against a broken endpoint that would
	// otherwise never be used again.
	maxHoldOff = 10 * time.Minute
	// minHoldEndSpread is the minimum of the time over which the callers of a
	// hold-off come back, and maxHoldReturnsPerSecond bounds the instances that
	// return to an endpoint in one second.
	minHoldEndSpread        = 50 * time.Millisecond
	maxHoldReturnsPerSecond = 200.0
	// departedTTL is how long an incarnation that was leaving is remembered after
	// its entry was removed. An engine exits many seconds after it says that it
	// is leaving, but not minutes.
	departedTTL = 10 * time.Minute
	// planAnswerTime is the time until the planner's answer contains a plan that
	// was made after a request arrived: until then its estimate may be that of
	// the plan before the hold-off.
	planAnswerTime = 300 * time.Millisecond
)

// EndpointNotice is what an endpoint says about itself in the headers of any
// response.
type EndpointNotice struct {
	// Leaving says that the endpoint will stop and wants no new work.
	Leaving bool
	// HoldOff is how long the endpoint wants no requests from this instance, or
	// 0.
	HoldOff time.Duration
}

// departedEndpoint is an incarnation that was leaving when its entry was removed
// from the list.
type departedEndpoint struct {
	id          rpcore.EndpointID
	incarnation rpcore.Incarnation
	at          time.Time
}

// LeavingEndpoint is an incarnation that said that it is leaving.
type LeavingEndpoint struct {
	_ struct{} `cbor:",toarray"`

	ID          rpcore.EndpointID
	Incarnation rpcore.Incarnation
}

// handleEndpointNotice applies the notice in a response of an endpoint. The
// endpoint's own statement has precedence over its entry in the list, which may
// be older or not readable.
func (s *State) handleEndpointNotice(ev EndpointNoticed) {
	e := s.endpoints[ev.Endpoint]
	if e == nil || e.Incarnation != ev.Incarnation {
		if ev.Notice.Leaving {
			s.rememberDeparture(ev.Endpoint, ev.Incarnation)
		}
		return
	}
	if ev.Notice.Leaving {
		e.leavingNoticed = true
		s.markLeaving(e, "its response says so")
		s.dispatchAndSchedulePlan()
	}
	if ev.Notice.HoldOff > 0 {
		s.holdOff(e, ev.Notice.HoldOff)
	}
}

// markLeaving stops new work to an endpoint. An incarnation that has begun to
// leave never returns to service.
func (s *State) markLeaving(e *endpoint, reason string) {
	if e.Leaving {
		return
	}
	e.Leaving = true
	e.listChange, e.listChangedAt = s.nextListChange(), s.now
	s.note("members", "an endpoint is leaving", Field{"endpoint", string(e.ID)}, Field{"service", e.Service},
		Field{"reason", reason}, Field{"in_flight", e.inFlight}, Field{"entry_age", s.now.Sub(e.entrySeenAt)})
	s.emit(CloseIdleConnections{Address: e.Address})
}

// rememberDeparture keeps an entry of the same incarnation that is read later
// from returning the endpoint to service. Without a known incarnation, a later
// entry may be that of a new process.
func (s *State) rememberDeparture(id rpcore.EndpointID, incarnation rpcore.Incarnation) {
	if incarnation == "" || s.hasDeparted(id, incarnation) {
		return
	}
	s.departed = slices.DeleteFunc(s.departed, func(d departedEndpoint) bool {
		return d.id == id || s.now.Sub(d.at) > departedTTL
	})
	s.departed = append(s.departed, departedEndpoint{id: id, incarnation: incarnation, at: s.now})
}

func (s *State) hasDeparted(id rpcore.EndpointID, incarnation rpcore.Incarnation) bool {
	return slices.ContainsFunc(s.departed, func(d departedEndpoint) bool { return d.id == id && d.incarnation == incarnation })
}

// applyLeavingReports marks the endpoints that another instance reported as
// leaving. The planner passes them on with the changes of the list.
func (s *State) applyLeavingReports(reports []LeavingEndpoint) {
	for _, report := range reports {
		if e := s.endpoints[report.ID]; e != nil && e.Incarnation == report.Incarnation && !e.Leaving {
			s.markLeaving(e, "another instance reported it")
			s.dispatchAndSchedulePlan()
		}
	}
}

// leavingReports returns the endpoints that this instance knows to be leaving
// only from their responses.
func (s *State) leavingReports() []LeavingEndpoint {
	var reports []LeavingEndpoint
	for _, e := range s.sortedEndpoints() {
		if e.leavingNoticed && !e.leavingListed {
			reports = append(reports, LeavingEndpoint{ID: e.ID, Incarnation: e.Incarnation})
		}
	}
	return reports
}

// isHeldOff reports whether an endpoint wants no requests from this instance
// now.
func (e *endpoint) isHeldOff(now time.Time) bool { return now.Before(e.heldOffUntil) }

// holdOff keeps this instance from sending to an endpoint for d. Other instances
// may still send to it. The end is spread over the instances, so that not all of
// them return at once.
func (s *State) holdOff(e *endpoint, d time.Duration) {
	until := s.now.Add(min(d, maxHoldOff))
	if !until.After(e.heldOffUntil) {
		return
	}
	began := !e.isHeldOff(s.now)
	e.heldOffUntil = until.Add(s.randomHoldDelay())
	if began {
		s.note("members", "an endpoint wants no requests from this instance for a while", Field{"endpoint", string(e.ID)},
			Field{"service", e.Service}, Field{"for", d}, Field{"in_flight", e.inFlight})
	}
	if s.outlastsLoad(e) {
		// The next demand tells the planner.
		s.demand.fullSentAt = time.Time{}
	}
	s.runAt(e.heldOffUntil, (*State).dispatchAndSchedulePlan)
}

// randomHoldDelay returns a random time within the spread of the end of a
// hold-off.
func (s *State) randomHoldDelay() time.Duration {
	return time.Duration(s.rng.Float64() * float64(s.scaleInterval(minHoldEndSpread, maxHoldReturnsPerSecond)))
}

// heldOffRefusal returns a refusal if the endpoints that could serve a request
// want none before the given time and that is too late for it. Otherwise the
// request waits.
func (s *State) heldOffRefusal(r *request, until time.Time) *rpverdict.Refusal {
	if readyAt, ok := s.expectedReadyAt(r); ok && readyAt.After(s.now) && readyAt.Before(until) {
		until = readyAt
	}
	if !until.Add(s.serviceStats(r.service).latency).After(r.waitDeadline()) || s.mayLoadElsewhere(r) {
		return nil
	}
	return newRefusal(rpverdict.CodeDeadlineUnreachable, "All endpoints that could serve the request want none for now.",
		max(busyRetryAfter, until.Sub(s.now)+s.randomHoldDelay()))
}

// mayLoadElsewhere reports whether the planner can still answer that the model of
// a request will be loaded at another engine.
func (s *State) mayLoadElsewhere(r *request) bool {
	if r.engineSpec == nil {
		return false
	}
	_, known := s.expectedReadyAt(r)
	return (!known || s.now.Sub(r.arrivedAt) < planAnswerTime) && s.now.Sub(s.demand.placementAsOf) < postDemandAfter
}

// outlastsLoad reports whether an endpoint holds off this instance for longer
// than the shortest load of a model of its service takes, so that a load
// elsewhere serves callers earlier.
func (s *State) outlastsLoad(e *endpoint) bool {
	if !e.isHeldOff(s.now) || s.config == nil {
		return false
	}
	service := s.config.Services[e.Service]
	if service == nil || service.Engine == nil {
		return false
	}
	left := e.heldOffUntil.Sub(s.now)
	for _, spec := range service.Engine.Models {
		for _, loadTime := range spec.LoadTimes {
			if left > loadTime {
				return true
			}
		}
	}
	return false
}
