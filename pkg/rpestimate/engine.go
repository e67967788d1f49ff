package rpestimate

import (
	"math"
	"time"
)

const (
	// speedDecayTime is the time constant with which a speed without news returns to
	// 1: engines restart, and their neighbours on a machine change.
	speedDecayTime = 30 * time.Second
	// poolDecayTime is the time constant with which the planner forgets observations.
	// The engine of a usual deployment gets about four a second.
	poolDecayTime = 15 * time.Second
	// priorSamples is the number of observations that an engine without any counts for
	// as one of speed 1. The speeds of the engines of a service differ about as much
	// as two observations of one engine.
	priorSamples = 1.0
	// minSpeed and maxSpeed bound speeds. Known engines run at 0.55 to 1.3.
	minSpeed = 0.2
	maxSpeed = 5.0
)

// decay returns the share that is left after a time.
func decay(age, window time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / window.Seconds())
}

// Engine is an instance's view of the speed of one incarnation of an engine.
type Engine struct {
	// samples and logSum are the observations that are not reported yet.
	samples int
	logSum  float64
	speed   float64
	at      time.Time
}

// observe adds an observation of the natural logarithm of the speed.
func (e *Engine) observe(logSpeed float64) {
	e.samples++
	e.logSum += logSpeed
}

// TakeReport returns the number of observations since the last call and their mean
// speed. The speed is 0 if there were none.
func (e *Engine) TakeReport() (samples int, speed float64) {
	if e.samples == 0 {
		return 0, 0
	}
	samples, speed = e.samples, math.Exp(e.logSum/float64(e.samples))
	e.samples, e.logSum = 0, 0
	return samples, speed
}

// HasReport reports whether there are observations to report.
func (e *Engine) HasReport() bool { return e.samples > 0 }

// Learn sets the speed that the observations of all instances show. A speed of 0 or
// less is ignored.
func (e *Engine) Learn(now time.Time, speed float64) {
	if speed > 0 && !math.IsInf(speed, 0) {
		e.speed, e.at = min(max(speed, minSpeed), maxSpeed), now
	}
}

// Speed returns the speed, or 0 if it is not known. It returns to 1 with the age of the
// last news.
func (e *Engine) Speed(now time.Time) float64 {
	if e.speed == 0 {
		return 0
	}
	return math.Exp(math.Log(e.speed) * decay(now.Sub(e.at), speedDecayTime))
}

// Pooled is the planner's view of the speed of one incarnation of an engine, from the
// reports of all instances.
type Pooled struct {
	weight float64
	logSum float64
	at     time.Time
}

// Add adds observations that an instance reported. Observations of an impossible speed
// are ignored.
func (p *Pooled) Add(now time.Time, samples int, speed float64) {
	if samples <= 0 || speed <= 0 || math.IsInf(speed, 0) {
		return
	}
	kept := decay(now.Sub(p.at), poolDecayTime)
	if p.at.IsZero() {
		kept = 0
	}
	n := float64(min(samples, maxReportSamples))
	p.weight = p.weight*kept + n
	p.logSum = p.logSum*kept + n*math.Log(min(max(speed, minSpeed), maxSpeed))
	p.at = now
}

// maxReportSamples bounds the weight of one report. An instance gets a few requests a
// second for each engine.
const maxReportSamples = 100

// Speed returns the speed, or 0 if nothing was reported. It returns to 1 with the age of
// the last report.
func (p *Pooled) Speed(now time.Time) float64 {
	if p.weight == 0 {
		return 0
	}
	return math.Exp(p.logSum / (p.weight + priorSamples) * decay(now.Sub(p.at), speedDecayTime))
}
