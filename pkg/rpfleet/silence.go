package rpfleet

import (
	"math"
	"time"
)

const (
	// firstByteStallFactor is the multiple of the service's usual time to the
	// first byte after which a repeatable request may go to another endpoint.
	firstByteStallFactor = 5
	// minFirstByteStall is the lower bound of that time, since single slow
	// responses are normal.
	minFirstByteStall = 120 * time.Millisecond
	// streamStallTargetShare is the share of the route's target that an attempt
	// of a stream may use before the request may go to another endpoint.
	streamStallTargetShare = 0.75
	// busyStallTargetShare is the same if the engine was busy when it got the request.
	// Its silence then means that it queues the request, and three of four requests
	// that leave it within the target are late at the next engine, too.
	busyStallTargetShare = 1.5
	// plainStallTargetShare is the same for routes without streams, whose
	// responses start only after the whole work.
	plainStallTargetShare = 0.8
	// eventStallFactor is the multiple of the route's longest pause between
	// events after which a resumable stream may continue at another endpoint.
	eventStallFactor = 1.5
	// minEventStall is the lower bound of that time. Sound engines may be silent
	// for a second or somewhat longer, and a pause above the route's longest one
	// makes the answer late wherever it continues.
	minEventStall = 2 * time.Second
	// eventStallPatienceShare is the upper bound of that time, as a share of the
	// time after which the caller gives up. The rest is for the next endpoint.
	eventStallPatienceShare = 0.5
)

// silenceTimeouts returns after how long without its first byte and without its
// next event an attempt counts as silent. Zero means never. Whether the request
// then leaves its endpoint is decided by handleAttemptStalled: the retry budget and
// the other endpoints may have changed by then.
func (s *State) silenceTimeouts(r *request) (first, event time.Duration) {
	if !r.mayRunAgain() {
		return 0, 0
	}
	share := plainStallTargetShare
	if r.route.Kind == KindStream {
		share = streamStallTargetShare
		if r.sentToBusy {
			share = busyStallTargetShare
		}
		event = r.route.eventTimeout()
	}
	usual := firstByteStallFactor * s.serviceStats(r.service).latency
	first = max(minFirstByteStall, usual, time.Duration(share*float64(r.route.Target)))
	return first, event
}

func (r *Route) eventTimeout() time.Duration {
	stall := max(minEventStall, time.Duration(eventStallFactor*float64(r.EventGap)))
	return min(stall, time.Duration(eventStallPatienceShare*float64(r.firstByteTimeout())))
}

// mayRunAgain reports whether the route allows another run after that of the
// running attempt.
func (r *request) mayRunAgain() bool {
	return r.route.Repeatable() && r.possibleRuns+1 < r.route.MaxEndpoints
}

// handleAttemptStalled moves a request away from a silent endpoint if it can be
// sent again now. Otherwise the attempt goes on: the endpoint may be sound, and
// without it the caller would get no answer.
func (s *State) handleAttemptStalled(ev AttemptStalled) {
	r := s.requests[ev.Request]
	if r == nil || r.attemptID != ev.Attempt || r.phase != phaseRunning || r.retryReserved {
		return
	}
	if reason := s.stayReason(r, ev.Unresumable); reason != "" {
		if reason == budgetUsedUpDetail {
			s.recordSilence(r)
		}
		s.noteStay(r, reason)
		return
	}
	// The retry is counted before the attempt has ended. Otherwise other requests
	// could use up the budget in between, and this one would be refused.
	s.countBudgetRetry(r.service)
	r.retryReserved = true
	s.movingRequests[r.service]++
	s.noteRequest(r, "cancels an attempt at a silent endpoint", s.silenceFields(r)...)
	s.emit(CancelAttempt{Request: r.ID, Attempt: r.attemptID})
}

// recordSilence records the silence of an endpoint without a first byte as a failure,
// once for each attempt, so that other requests avoid it. The last endpoint of a
// service is not ejected for it.
func (s *State) recordSilence(r *request) {
	if r.silenceRecorded || r.responseStarted || !s.hasOtherEndpoint(r, r.endpoint, true) {
		return
	}
	r.silenceRecorded = true
	s.serviceStats(r.service).recordOutcome(true)
	s.recordEndpointFailure(r.endpoint, false, "no answer in time")
}

// stayReason returns why a request must stay at its silent endpoint, or "".
func (s *State) stayReason(r *request, unresumable bool) string {
	switch {
	case unresumable:
		return unresumableDetail
	case !r.mayRunAgain():
		return "The route allows no other run."
	case s.hasExpired(r):
		return timeoutDetail
	case !s.retryBudgetAllows(r.service):
		return budgetUsedUpDetail
	case s.roomElsewhere(r) <= s.movingRequests[r.service]:
		return "No other endpoint can take the request now."
	}
	return ""
}

// roomElsewhere returns how many requests like r the healthy endpoints other than
// its own can take now. Many requests leave a silent endpoint at the same time, and
// none of them counts at its next endpoint before its attempt has ended.
func (s *State) roomElsewhere(r *request) int {
	room := 0
	for _, other := range s.endpointsOf(r.service) {
		if other != r.endpoint && s.canServe(r, other) && !other.health.isEjected(s.now) {
			room += int(math.Ceil(s.freeCapacity(r, other)))
		}
	}
	return room
}

// noteStay logs only the first reason of an attempt, because the runtime reports
// silence again and again.
func (s *State) noteStay(r *request, reason string) {
	if r.stayNoted {
		return
	}
	r.stayNoted = true
	s.noteRequest(r, "keeps an attempt at a silent endpoint", append(s.silenceFields(r), Field{"reason", reason})...)
}

func (s *State) silenceFields(r *request) []Field {
	return []Field{
		{"attempt", r.attemptCount},
		{"endpoint", string(r.endpoint.ID)},
		{"route", r.route.Name},
		{"took", s.now.Sub(r.sentAt)},
		{"answer_started", r.responseStarted},
	}
}
