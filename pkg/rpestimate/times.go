package rpestimate

import (
	"math"
	"time"
)

const (
	// defaultPrefillRate is the number of prompt tokens that an engine reads in a
	// millisecond as long as nothing was learned. Known engines read 38 while they do
	// nothing else.
	defaultPrefillRate = 35.0
	// minLearnedPrompt is the number of prompt tokens from which the time to the first
	// event shows the prefill rate. That of shorter prompts is mostly the network.
	minLearnedPrompt = 2000
	// idleShare is the share of the request slots in use up to which an engine reads a
	// prompt at once.
	idleShare = 0.5
	// minEvents is the least number of events whose pauses are used. The mean of
	// fewer depends too much on a single one.
	minEvents = 4
	// paceWindow is the time constant with which observations of a model are
	// forgotten.
	paceWindow = time.Minute
	// paceSamples is the number of observations that a model without any counts for as
	// one with the pace of the service. Models differ less than single observations.
	paceSamples = 4.0
	// maxDeviation bounds how far a single observation counts as deviating, as a
	// natural logarithm (a factor of 1.65). Pauses of single requests are up to 2.5
	// times longer without any fault of the engine.
	maxDeviation = 0.5
	// rateSamples is the number of observations for which the default prefill rate
	// counts, and maxSamples the number after which older ones are forgotten.
	rateSamples = 5.0
	maxSamples  = 50.0
	// maxEventPrefill is the number of prompt tokens that an engine reads at most
	// between two events of a stream: chunks of 1,024 tokens between the steps of one
	// event, which holds up to 8 tokens.
	maxEventPrefill = 8 * 1024
)

// Load is what is known of the load of an engine.
type Load struct {
	Slots   int
	Running float64
	// PrefillTokens is the number of prompt tokens that the engine has to read before.
	PrefillTokens float64
	// Speed is 1 for an engine as fast as its service, and 0 if it is not known.
	Speed float64
}

func (l *Load) speed() float64 {
	if l.Speed <= 0 {
		return 1
	}
	return l.Speed
}

// Times holds what was learned of the engines of one service. The zero value works.
type Times struct {
	// pace is the mean logarithm of the pause between events, in seconds.
	pace   mean
	models map[string]*modelPace
	// prefill is the mean logarithm of the prefill rate of an engine of speed 1.
	prefill mean
	// duration is the mean duration of an attempt at an engine of speed 1, in seconds.
	duration mean
}

// mean is a mean in which observations after the first maxSamples have equal weight.
type mean struct {
	samples float64
	value   float64
}

func (m *mean) add(x float64) {
	m.samples = min(m.samples+1, maxSamples)
	m.value += (x - m.value) / m.samples
}

// modelPace is how far the pauses of a model deviate from those of the service, as a
// logarithm.
type modelPace struct {
	weight float64
	sum    float64
	at     time.Time
}

func (m *modelPace) deviation() float64 { return m.sum / (m.weight + paceSamples) }

func (m *modelPace) add(now time.Time, x float64) {
	kept := decay(now.Sub(m.at), paceWindow)
	m.weight, m.sum, m.at = m.weight*kept+1, m.sum*kept+x, now
}

func bound(x float64) float64 { return min(max(x, -maxDeviation), maxDeviation) }

// RecordAttempt records a complete attempt that took a time and whose events arrived
// within span. Attempts with few events only show the duration.
func (t *Times) RecordAttempt(now time.Time, e *Engine, model string, events int, span, took time.Duration) {
	known := Load{Speed: e.Speed(now)}
	if took > 0 {
		t.duration.add(took.Seconds() * known.speed())
	}
	if events < minEvents || span <= 0 {
		return
	}
	pause := math.Log(span.Seconds() / float64(events-1))
	logSpeed := math.Log(known.speed())
	m := t.modelPace(model)
	if t.pace.samples >= minEvents {
		observed := t.pace.value + m.deviation() - pause
		e.observe(logSpeed + bound(observed-logSpeed))
		m.add(now, m.deviation()+bound(pause+logSpeed-t.pace.value-m.deviation()))
	}
	t.addPace(pause)
}

// addPace adds the logarithm of a pause. The pace is that of the mean engine, whatever
// the learned speeds are. Otherwise, all speeds together could drift.
func (t *Times) addPace(pause float64) {
	if t.pace.samples >= minEvents {
		pause = t.pace.value + bound(pause-t.pace.value)
	}
	t.pace.add(pause)
}

func (t *Times) modelPace(model string) *modelPace {
	m := t.models[model]
	if m == nil {
		if t.models == nil {
			t.models = map[string]*modelPace{}
		}
		m = &modelPace{}
		t.models[model] = m
	}
	return m
}

// RecordFirstEvent records the time to the first event of an attempt at an engine that
// had the load l when it got the request.
func (t *Times) RecordFirstEvent(l Load, promptTokens int, took time.Duration) {
	if promptTokens < minLearnedPrompt || took <= 0 || l.PrefillTokens > 0 || l.Running >= idleShare*float64(max(1, l.Slots)) {
		return
	}
	rate := math.Log(float64(promptTokens) / float64(took) * float64(time.Millisecond) / l.speed())
	if t.prefill.samples == 0 {
		t.prefill = mean{samples: rateSamples, value: math.Log(defaultPrefillRate)}
	}
	t.prefill.add(t.prefill.value + bound(rate-t.prefill.value))
}

// PrefillRate returns the number of prompt tokens that an engine of speed 1 reads in a
// millisecond.
func (t *Times) PrefillRate() float64 {
	if t.prefill.samples == 0 {
		return defaultPrefillRate
	}
	return math.Exp(t.prefill.value)
}

// Duration returns the mean duration of an attempt at an engine of speed 1, or 0 if none
// was recorded.
func (t *Times) Duration() time.Duration {
	return time.Duration(t.duration.value * float64(time.Second))
}

// FirstEvent returns the expected time to the first event of a request with a prompt.
// At an engine without a free slot, the request waits until enough others have ended.
func (t *Times) FirstEvent(l Load, promptTokens int) time.Duration {
	slots := float64(max(1, l.Slots))
	ends := max(0, l.Running-slots+1)
	wait := time.Duration(ends / slots * float64(t.Duration()) / l.speed())
	return wait + t.readTime(&l, l.PrefillTokens+float64(promptTokens))
}

// Pause returns the expected pause between two events of a stream, or 0 if no pause was
// recorded. It is longer while the engine reads prompts.
func (t *Times) Pause(l Load) time.Duration {
	if t.pace.samples == 0 {
		return 0
	}
	pause := time.Duration(math.Exp(t.pace.value) / l.speed() * float64(time.Second))
	return pause + t.readTime(&l, min(l.PrefillTokens, maxEventPrefill))
}

func (t *Times) readTime(l *Load, tokens float64) time.Duration {
	return time.Duration(tokens / t.PrefillRate() / l.speed() * float64(time.Millisecond))
}
