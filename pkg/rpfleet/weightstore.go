package rpfleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	// slowLoadFactor is the multiple of its usual time from which a load shows
	// that the weight store had more concurrent loads than it serves at full
	// speed.
	slowLoadFactor = 1.15
	// limitDecreaseWeight is the weight of a slow load in the learned limit. A load
	// takes 6 to 13 s or longer, so a limit that is too high must fall with the first.
	// limitIncrease is what a load at full speed adds to the limit if the limit
	// was reached.
	limitDecreaseWeight = 0.8
	limitIncrease       = 0.5
	// maxWeightLoads bounds the learned limit.
	maxWeightLoads = 16.0
	// loadRateWindow is the time over which the users' rules count the loads
	// that begin.
	loadRateWindow = 5 * time.Second
)

// weightStore is the planner's view of the loads from the weight store. The
// configuration does not give the number of concurrent loads at full speed, so
// it is learned from load times, starting with Policy.WeightLoads.
type weightStore struct {
	loads []weightLoad
	// loadStarts are the start times of the loads within loadRateWindow.
	loadStarts []time.Time
	// limit is the learned number of concurrent loads at full speed; 0 before
	// the first load.
	limit float64
}

// weightLoad is a load from the weight store that is in progress.
type weightLoad struct {
	engine    rpcore.EndpointID
	model     string
	beganAt   time.Time
	usualTime time.Duration
	// concurrentAtStart is the number of loads in progress when this one began,
	// and maxConcurrent the maximum since then.
	concurrentAtStart int
	maxConcurrent     int
}

// weightLimit returns the number of concurrent loads that should run at full
// speed.
func (s *State) weightLimit() float64 {
	if s.plan.weightStore.limit == 0 {
		return float64(s.policy.WeightLoads)
	}
	return s.plan.weightStore.limit
}

// recordWeightLoad counts a load that was ordered.
func (s *State) recordWeightLoad(o *order) {
	w := &s.plan.weightStore
	w.loadStarts = append(w.loadStarts, s.now)
	w.loads = append(w.loads, weightLoad{
		engine: o.engine.ID, model: o.model, beganAt: s.now, usualTime: o.loadTime, concurrentAtStart: len(w.loads) + 1,
	})
	for i := range w.loads {
		w.loads[i].maxConcurrent = max(w.loads[i].maxConcurrent, len(w.loads))
	}
}

// cancelWeightLoad removes a load that did not begin.
func (s *State) cancelWeightLoad(o *order) {
	if o.kind != OrderLoad || o.adapter != "" || o.place != rpcore.PlaceRemote {
		return
	}
	w := &s.plan.weightStore
	if i := w.findLoad(o.engine.ID, o.model); i >= 0 {
		w.loads = slices.Delete(w.loads, i, i+1)
	}
}

// findLoad returns the index of a load at an engine, of any model if model is
// "", or -1.
func (w *weightStore) findLoad(engine rpcore.EndpointID, model string) int {
	return slices.IndexFunc(w.loads, func(l weightLoad) bool { return l.engine == engine && (model == "" || l.model == model) })
}

// finishWeightLoad removes a load and adjusts the limit by the time that it
// took.
func (s *State) finishWeightLoad(engine rpcore.EndpointID, model string) {
	w := &s.plan.weightStore
	i := w.findLoad(engine, model)
	if i < 0 {
		return
	}
	load := w.loads[i]
	concurrent := float64(load.concurrentAtStart+len(w.loads)) / 2
	w.loads = slices.Delete(w.loads, i, i+1)
	before := s.weightLimit()
	after := before
	slowdown := s.now.Sub(load.beganAt).Seconds() / load.usualTime.Seconds()
	switch {
	case slowdown >= slowLoadFactor:
		after += limitDecreaseWeight * (concurrent/slowdown - before)
	case float64(load.maxConcurrent) >= math.Round(before):
		after += limitIncrease
	}
	w.limit = min(max(1, after), maxWeightLoads)
	s.note("replicas", "a load from the weight store is complete", Field{"endpoint", string(engine)}, Field{"model", model},
		Field{"took", s.now.Sub(load.beganAt)}, Field{"usual", load.usualTime}, Field{"at_once", concurrent},
		Field{"limit_before", before}, Field{"limit", w.limit})
}

// dropOutdatedWeightLoads drops loads whose engine is gone or which did not end
// in time.
func (s *State) dropOutdatedWeightLoads() {
	w := &s.plan.weightStore
	w.loads = slices.DeleteFunc(w.loads, func(l weightLoad) bool {
		return s.endpoints[l.engine] == nil || s.now.Sub(l.beganAt) > l.usualTime+remoteLoadTimeout
	})
	w.loadStarts = slices.DeleteFunc(w.loadStarts, func(at time.Time) bool { return s.now.Sub(at) >= loadRateWindow })
}

// weightStoreAvailable reports whether one more load would run at full speed
// and stay within the configured rate of loads.
func (p *servicePlan) weightStoreAvailable(preload bool) bool {
	s := p.state
	limit := max(1, math.Round(s.weightLimit()))
	if preload {
		limit -= preloadReserve
	}
	rate := p.spec.WeightLoadsPerSecond
	inRate := rate <= 0 || float64(len(s.plan.weightStore.loadStarts))+1 <= max(1, rate*loadRateWindow.Seconds())
	return float64(len(s.plan.weightStore.loads)+p.countForeignLoads()) < limit && inRate
}

// countForeignLoads counts the engines that are busy with an order of the previous
// planner, which may be a load from the weight store.
func (p *servicePlan) countForeignLoads() int {
	n := 0
	for _, e := range p.engines {
		if e.engine.foreignOrder {
			n++
		}
	}
	return n
}

// applyWeightLimit stores the limit that the planner has learned, in case this
// instance becomes the planner.
func (s *State) applyWeightLimit(limit float64) {
	if limit >= 1 {
		s.plan.weightStore.limit = min(limit, maxWeightLoads)
	}
}

// weightLoadTime returns the time of a load of a model from the weight store at full
// speed.
func (p *servicePlan) weightLoadTime(m *modelDemand) time.Duration {
	return cmp.Or(m.spec.LoadTimes[rpcore.PlaceRemote], defaultLoadTime)
}

// duration returns how long a load should take with as many loads beside it as there
// were at most, of which limit run at full speed.
func (l *weightLoad) duration(limit float64) time.Duration {
	return time.Duration(float64(l.usualTime) * max(1, float64(l.maxConcurrent)/limit))
}

// weightLoadEnd returns when a load from the weight store should be complete, or the
// zero time if none is in progress.
func (s *State) weightLoadEnd(engine rpcore.EndpointID, model string) time.Time {
	w := &s.plan.weightStore
	i := w.findLoad(engine, model)
	if i < 0 {
		return time.Time{}
	}
	return w.loads[i].beganAt.Add(w.loads[i].duration(s.weightLimit()))
}

// estimateQueuedLoad estimates when a load from the weight store ends that can't begin
// yet. queued is the total time of all loads up to this one, and loadTime that of this
// one.
func (s *State) estimateQueuedLoad(queued, loadTime time.Duration) time.Duration {
	work := queued
	for _, load := range s.plan.weightStore.loads {
		work += max(0, load.usualTime-s.now.Sub(load.beganAt))
	}
	return max(loadTime, time.Duration(float64(work)/s.weightLimit()))
}
