package rpfleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseDone
)

// request is one request of a caller.
type request struct {
	Request
	route   *Route
	service string
	// engine is nil for a plain service.
	engine    *EngineSpec
	phase     phase
	arrivedAt time.Time
	// cutoff is when the caller has to have its whole answer, and patience
	// when it gives up waiting for the first byte.
	cutoff   time.Time
	patience time.Time
	// tried holds the endpoints that must not get the request again.
	tried map[rpcore.EndpointID]bool
	// runs counts the endpoints that may have run it, sends the attempts.
	runs    int
	sends   int
	attempt rpcore.AttemptID
	// prefill is what the attempt adds to the prefill of its endpoint.
	prefill   int
	endpoint  *endpoint
	sentAt    time.Time
	started   bool
	startedAt time.Time
	lastEvent string
	version   string
	// unreached counts the attempts that got no connection.
	unreached int
	// notBefore is the end of the pause after a refusal by an endpoint.
	notBefore time.Time
	// lastFailure is what the last attempt met.
	lastFailure string
}

const (
	// startingRetry is the Retry-After of an instance that has no
	// configuration or no endpoints yet. A start takes about as long.
	startingRetry = 500 * time.Millisecond
	// noEndpointRetry is that of a service without endpoints: the list is
	// read more often than that.
	noEndpointRetry = time.Second
	// busyRetry is that of a service whose endpoints are all full.
	busyRetry = 300 * time.Millisecond
	// answerMargin is the time that an answer needs to reach the caller.
	answerMargin = 30 * time.Millisecond
)

// Callers give up on a stream after a gap of two seconds, four times the
// target or eight times the longest pause, whichever is longest. The figures
// are those of the users' clients.
const (
	leastPatience     = 2 * time.Second
	patienceByTarget  = 4
	patienceByPause   = 8
	patienceTolerance = 200 * time.Millisecond
)

func (r *Route) patience() time.Duration {
	return max(leastPatience, patienceByTarget*r.Target, patienceByPause*r.EventGap) - patienceTolerance
}

func (s *State) requestArrived(asked Request) {
	r := &request{Request: asked, arrivedAt: s.now, tried: map[rpcore.EndpointID]bool{}, lastEvent: asked.ResumeAfter}
	if refusal := s.resolve(r); refusal != nil {
		s.noteRequest(r, "refused a request", Field{"refusal", string(refusal.Code)}, Field{"detail", refusal.Detail},
			Field{"config_version", s.configVersion()}, Field{"config_age", s.now.Sub(s.configAt)},
			Field{"retry_after", refusal.RetryAfter})
		s.emit(RefuseRequest{Request: r.ID, Refusal: *refusal})
		return
	}
	s.requests[r.ID] = r
	s.countRequest(r.service)
	s.countArrival(r)
	s.at(r.cutoff.Add(-answerMargin), func(s *State) { s.expire(r) })
	if r.patience.Before(r.cutoff) {
		s.at(r.patience.Add(-answerMargin), func(s *State) { s.expire(r) })
	}
	s.enqueue(r)
	s.dispatch(r)
}

func (s *State) configVersion() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// resolve finds the route and the service of a request.
func (s *State) resolve(r *request) *rpverdict.Refusal {
	if s.config == nil || !s.listed {
		return refusal(rpverdict.CodeNoDocument, "This instance has not read the configuration yet.", startingRetry)
	}
	r.route = s.config.Route(r.Host, r.Path)
	if r.route == nil {
		return refusal(rpverdict.CodeUnknownRoute, "No route matches the host and path.", 0)
	}
	r.service = r.route.service(r.ID)
	service := s.config.Services[r.service]
	if service == nil {
		return refusal(rpverdict.CodeNoEndpoint, "The configuration has no service for the route.", noEndpointRetry)
	}
	if r.Model != "" {
		r.engine = service.Engine
	}
	if r.engine != nil {
		if _, ok := r.engine.Models[r.Model]; !ok {
			return refusal(rpverdict.CodeUnknownModel, "The configuration does not have the model.", 0)
		}
	}
	r.cutoff = s.now.Add(r.route.Timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(r.cutoff) {
		r.cutoff = r.Deadline
	}
	r.patience = r.cutoff
	if until := s.now.Add(r.route.patience()); r.route.Kind == KindStream && until.Before(r.cutoff) {
		r.patience = until
	}
	return nil
}

func refusal(code rpverdict.Code, detail string, retryAfter time.Duration) *rpverdict.Refusal {
	refused := rpverdict.Refuse(code, detail)
	refused.RetryAfter = retryAfter
	return &refused
}

// enqueue makes a request wait, behind those of its rank that came before.
func (s *State) enqueue(r *request) {
	r.phase = phaseWaiting
	queue := s.waiting[r.service]
	at, _ := slices.BinarySearchFunc(queue, r, compareWaiting)
	s.waiting[r.service] = slices.Insert(queue, at, r)
}

func compareWaiting(a, b *request) int {
	if a.route.Rank != b.route.Rank {
		return a.route.Rank - b.route.Rank
	}
	if c := a.arrivedAt.Compare(b.arrivedAt); c != 0 {
		return c
	}
	return slices.Compare([]byte(a.ID), []byte(b.ID))
}

func (s *State) dequeue(r *request) {
	queue := s.waiting[r.service]
	if at := slices.Index(queue, r); at >= 0 {
		s.waiting[r.service] = slices.Delete(queue, at, at+1)
	}
}

// dispatchAll looks at all waiting requests.
func (s *State) dispatchAll() {
	for _, service := range sortedKeys(s.waiting) {
		s.dispatchService(service)
	}
}

// dispatchService starts the waiting requests of a service in their order.
func (s *State) dispatchService(service string) {
	for _, r := range slices.Clone(s.waiting[service]) {
		if r.phase == phaseWaiting {
			s.dispatch(r)
		}
	}
}

// dispatch starts a waiting request, leaves it waiting, or refuses it where it
// can't be served in time.
func (s *State) dispatch(r *request) {
	if s.now.Before(r.notBefore) {
		return
	}
	if e := s.choose(r); e != nil {
		s.startAttempt(r, e)
		return
	}
	if refused := s.unreachable(r); refused != nil {
		s.refuse(r, refused)
		return
	}
	if r.engine != nil {
		s.need()
	}
}

// unreachable refuses a request that can't get its answer in time as far as is
// known.
func (s *State) unreachable(r *request) *rpverdict.Refusal {
	usable, full := 0, 0
	for _, e := range s.endpointsOf(r.service) {
		if e.Leaving {
			continue
		}
		usable++
		if r.engine == nil || e.serves(r.Model, s.now) && e.hasAdapter(r.Model, r.Adapter, s.now) && !e.health.ejected(s.now) {
			full++
		}
	}
	if usable == 0 {
		return refusal(rpverdict.CodeNoEndpoint, "The service has no endpoint.", noEndpointRetry)
	}
	if full > 0 {
		return s.overloaded(r)
	}
	readyAt, ok := s.expectedReplica(r)
	if ok && readyAt.After(r.patience) {
		return refusal(rpverdict.CodeDeadlineUnreachable, "The model is not loaded before the deadline.", readyAt.Sub(s.now))
	}
	return nil
}

// overloaded refuses a request where those ahead of it fill the time that it
// has, at the rate at which the service's requests end.
func (s *State) overloaded(r *request) *rpverdict.Refusal {
	ahead := 0
	for _, other := range s.waiting[r.service] {
		if other == r {
			break
		}
		ahead++
	}
	if len(r.tried) > 0 && ahead == 0 {
		return nil
	}
	rate := s.stats(r.service).departures.perSecond(s.now)
	if rate <= 0 {
		return nil
	}
	wait := time.Duration(float64(ahead+1) / rate * float64(time.Second))
	if !s.now.Add(wait).After(r.patience) {
		return nil
	}
	return refusal(rpverdict.CodeDeadlineUnreachable, fmt.Sprintf("%d requests wait ahead.", ahead),
		max(busyRetry, wait-r.patience.Sub(s.now)))
}

// expire refuses a request that still waits when its time is up. One that runs
// is ended by the deadline of its attempt.
func (s *State) expire(r *request) {
	if r.phase != phaseWaiting || !s.expired(r) {
		return
	}
	s.refuse(r, s.giveUp(r, rpverdict.CodeDeadlineExceeded, timeUp))
}

// timeUp is the detail of a refusal of a request whose time is up.
const timeUp = "The deadline or the caller's patience ran out."

// expired reports whether the caller of a request that does not run would be
// gone before another attempt could answer. Patience bounds the first event of
// a stream only.
func (s *State) expired(r *request) bool {
	end := r.patience
	if r.started {
		end = r.cutoff
	}
	return !s.now.Add(answerMargin).Before(end)
}

// giveUp returns the refusal of a request that was not answered. A request
// that did not run is told when to come back.
func (s *State) giveUp(r *request, code rpverdict.Code, detail string) *rpverdict.Refusal {
	if r.runs > 0 {
		refused := refusal(code, detail, 0)
		refused.Verdict = rpverdict.MayHaveRun
		return refused
	}
	refused := refusal(rpverdict.CodeNoEndpoint, detail, busyRetry)
	if readyAt, ok := s.expectedReplica(r); ok && r.engine != nil && readyAt.After(s.now) {
		refused.RetryAfter = max(busyRetry, readyAt.Sub(s.now))
	}
	return refused
}

func (s *State) refuse(r *request, refused *rpverdict.Refusal) {
	s.noteRequest(r, "refused a request", Field{"refusal", string(refused.Code)}, Field{"verdict", refused.Verdict.String()},
		Field{"detail", refused.Detail}, Field{"route", r.route.Name}, Field{"service", r.service}, Field{"model", r.Model},
		Field{"adapter", r.Adapter}, Field{"waited", s.now.Sub(r.arrivedAt)}, Field{"attempts", r.sends},
		Field{"last_failure", r.lastFailure}, Field{"retry_after", refused.RetryAfter},
		Field{"config_version", s.configVersion()}, Field{"placement_age", s.now.Sub(s.demand.placementAt)})
	if refused.Verdict == rpverdict.NotRun {
		s.promiseModel(r, refused.RetryAfter)
	}
	s.end(r)
	s.emit(RefuseRequest{Request: r.ID, Refusal: *refused})
}

func (s *State) end(r *request) {
	if r.phase == phaseWaiting {
		s.dequeue(r)
	}
	r.phase = phaseDone
	delete(s.requests, r.ID)
}

func (s *State) requestAbandoned(id rpcore.RequestID) {
	r := s.requests[id]
	if r == nil {
		return
	}
	s.noteRequest(r, "the caller is gone", Field{"route", r.route.Name}, Field{"after", s.now.Sub(r.arrivedAt)},
		Field{"attempts", r.sends}, Field{"answer_started", r.started})
	if r.phase == phaseRunning {
		s.emit(CancelAttempt{Request: r.ID, Attempt: r.attempt})
		s.release(r)
	}
	s.end(r)
}

// stopQueued refuses what still waits when a planned stop has no time left.
func (s *State) stopQueued() {
	for _, service := range sortedKeys(s.waiting) {
		for _, r := range slices.Clone(s.waiting[service]) {
			s.refuse(r, s.giveUp(r, rpverdict.CodeDraining, "This instance stops."))
		}
	}
}

// endpointsChanged looks at the waiting requests after news of the endpoints.
func (s *State) endpointsChanged() {
	s.dispatchAll()
	s.planSoon()
}
