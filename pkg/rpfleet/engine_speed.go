package rpfleet

import (
	"math"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpestimate"
)

const (
	// speedUnit converts speeds into the unit of EngineObservation and EngineSummary.
	speedUnit = 1000
	// maxReportedEngines and maxAnsweredEngines bound the engines of a report and of an
	// answer, so that the traffic between instances grows by less than 0.5 KB/s an
	// instance. With a report every 0.58 s, as at 58 instances, 10 engines a second
	// are reported, and an instance gets the speeds of 89 engines within 5.3 s.
	maxReportedEngines = 6
	maxAnsweredEngines = 10
	// takeoverSamples is the number of observations for which the speeds count that a
	// new planner knows from the one before.
	takeoverSamples = 20
)

// loadOf returns the load that a request would meet at an engine.
func (s *State) loadOf(e *endpoint) rpestimate.Load {
	return rpestimate.Load{
		Slots: e.Slots, Running: s.load(e), PrefillTokens: float64(e.pendingPrefill), Speed: e.speed.Speed(s.now),
	}
}

// estimateFirstEvent returns what is expected of the running attempt of a request.
func (s *State) estimateFirstEvent(r *request) FirstEventEstimate {
	if r.engineSpec == nil || r.route.Kind != KindStream {
		return FirstEventEstimate{}
	}
	tokens := r.prefillTokens()
	return FirstEventEstimate{
		Expected:   s.serviceStats(r.service).times.FirstEvent(r.sentLoad, tokens),
		LongPrompt: tokens > minSpeedPrompt, BusyEngine: r.sentToBusy,
	}
}

// recordFirstEvent records the time to the first event of an attempt at an engine.
func (s *State) recordFirstEvent(r *request) {
	if r.engineSpec != nil {
		s.serviceStats(r.service).times.RecordFirstEvent(r.sentLoad, r.prefillTokens(), s.now.Sub(r.sentAt))
	}
}

// recordEvents records the pauses between the events of an attempt at an engine. Only a
// complete attempt counts: another one may have been held up before it ended.
func (s *State) recordEvents(r *request, ev *AttemptEnded) {
	if r.engineSpec != nil && ev.Reason == rpcore.AttemptComplete {
		times := &s.serviceStats(r.service).times
		times.RecordAttempt(s.now, &r.endpoint.speed, r.Model, ev.Events, ev.EventSpan, s.now.Sub(r.sentAt))
	}
}

// engineObservations returns what was observed of engines since the last report. If
// there are too many, the rest follows with the next one.
func (s *State) engineObservations() []EngineObservation {
	var observations []EngineObservation
	endpoints := s.sortedEndpoints()
	first := s.demand.observationTurn
	for i := range endpoints {
		turn := (first + i) % len(endpoints)
		e := endpoints[turn]
		if !e.speed.HasReport() {
			continue
		}
		if len(observations) == maxReportedEngines {
			s.demand.observationTurn = turn
			break
		}
		samples, speed := e.speed.TakeReport()
		observations = append(observations, EngineObservation{Endpoint: e.ID, Samples: samples, Speed: toSpeedUnit(speed)})
	}
	return observations
}

func toSpeedUnit(speed float64) int { return int(math.Round(speed * speedUnit)) }

// recordObservations pools what an instance observed. State of an earlier incarnation
// was dropped with its endpoint.
func (s *State) recordObservations(d *Demand) {
	if d.Load == nil {
		return
	}
	for _, o := range d.Load.Engines {
		if e := s.endpoints[o.Endpoint]; e != nil {
			e.pooledSpeed.Add(s.now, o.Samples, float64(o.Speed)/speedUnit)
		}
	}
}

// engineSummaries returns the next engines whose speed an instance gets, in turn.
func (s *State) engineSummaries(instance rpcore.InstanceID) []EngineSummary {
	known, endpoints := s.plan.demands[instance], s.sortedEndpoints()
	if known == nil {
		return nil
	}
	var summaries []EngineSummary
	first := known.engineTurn
	for i := range endpoints {
		turn := (first + i) % len(endpoints)
		e := endpoints[turn]
		speed := e.pooledSpeed.Speed(s.now)
		if speed == 0 {
			continue
		}
		if len(summaries) == maxAnsweredEngines {
			known.engineTurn = turn
			break
		}
		summaries = append(summaries, EngineSummary{Endpoint: e.ID, Speed: toSpeedUnit(speed)})
	}
	return summaries
}

// learnSpeeds applies the speeds of an answer of the planner.
func (s *State) learnSpeeds(engines []EngineSummary, asOf time.Time) {
	for _, summary := range engines {
		if e := s.endpoints[summary.Endpoint]; e != nil && !asOf.Before(e.joinedAt) {
			e.speed.Learn(asOf, float64(summary.Speed)/speedUnit)
		}
	}
}

// learnPooledSpeeds applies the speeds that this instance pooled as the planner.
func (s *State) learnPooledSpeeds() {
	if !s.exchangesLoad() {
		return
	}
	for _, e := range s.sortedEndpoints() {
		e.speed.Learn(s.now, e.pooledSpeed.Speed(s.now))
	}
}

// adoptSpeeds begins the pool of a new planner with the speeds that it knows from the
// one before.
func (s *State) adoptSpeeds() {
	for _, e := range s.sortedEndpoints() {
		e.pooledSpeed = rpestimate.Pooled{}
		e.pooledSpeed.Add(s.now, takeoverSamples, e.speed.Speed(s.now))
	}
}

const (
	// slownessCostPerPace is the cost, in seconds of load time, of a replica of a busy
	// model at an engine that takes twice as long as its service. An engine of speed
	// 0.8 costs one second more than one of 1.8. That decides between engines that have
	// the checkpoint, whose loads take about a second, but is no reason to load from
	// the weight store, which takes 6 s or more.
	slownessCostPerPace = 1.5
	// minCostSpeed and maxCostSpeed bound the speeds that the cost depends on.
	minCostSpeed = 0.5
	maxCostSpeed = 2.0
)

// slownessCost returns the cost, in seconds, of a replica of a busy model at an engine,
// relative to one as fast as its service. It is negative for a fast engine.
func (p *servicePlan) slownessCost(w wantedReplica, e *endpoint) float64 {
	if w.model.rate < domainSpreadRate {
		return 0
	}
	speed := e.speed.Speed(p.state.now)
	if speed == 0 {
		return 0
	}
	return slownessCostPerPace * (1/min(max(speed, minCostSpeed), maxCostSpeed) - 1)
}
