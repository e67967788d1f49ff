package rpestimate_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpestimate"
)

var start = time.Unix(1_800_000_000, 0)

// fleet plays the engines and instances of a deployment. Instances report every 580 ms
// and learn the pooled speeds of 10 engines with each answer.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	speeds    []float64
	pooled    []rpestimate.Pooled
	paces     []float64
	replicas  [][]int
	instances []*instance
}

type instance struct {
	times   rpestimate.Times
	engines []rpestimate.Engine
	turn    int
}

const (
	fleetEngines   = 89
	fleetModels    = 271
	fleetInstances = 58
	requestRate    = 7.0
	reportInterval = 580 * time.Millisecond
	playedPrefill  = 38.7
	playedSlots    = 12
	playedEvents   = 10
)

func withFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: start, pooled: make([]rpestimate.Pooled, fleetEngines)}
	for range fleetEngines {
		f.speeds = append(f.speeds, 0.55+0.65*f.rng.Float64())
	}
	for i := range fleetModels {
		f.paces = append(f.paces, 0.038*(0.85+0.3*f.rng.Float64()))
		copies := 1
		if i < 30 {
			copies = 4
		}
		var replicas []int
		for range copies {
			replicas = append(replicas, f.rng.IntN(fleetEngines))
		}
		f.replicas = append(f.replicas, replicas)
	}
	for i := range fleetInstances {
		f.instances = append(f.instances, &instance{engines: make([]rpestimate.Engine, fleetEngines), turn: i})
	}
	return f
}

// noise is 2.5 for 15% of the observations, and otherwise 1 give or take 5%.
func (f *fleet) noise() float64 {
	noise := 0.95 + 0.1*f.rng.Float64()
	if f.rng.Float64() < 0.15 {
		noise *= 2.5
	}
	return noise
}

// request plays a request at an instance. A tenth of the requests have long prompts.
func (f *fleet) request(v *instance) {
	model := int(float64(fleetModels) * math.Pow(f.rng.Float64(), 2))
	engine := f.replicas[model][f.rng.IntN(len(f.replicas[model]))]
	pause := f.paces[model] / f.speeds[engine] * f.noise()
	tokens := 646
	if f.rng.Float64() < 0.1 {
		tokens = 9190
	}
	first := time.Duration(float64(tokens) / playedPrefill / f.speeds[engine] * float64(time.Millisecond) * f.noise())
	span := time.Duration(pause * (playedEvents - 1) * float64(time.Second))
	v.times.RecordFirstEvent(rpestimate.Load{Slots: playedSlots, Running: 2, Speed: v.engines[engine].Speed(f.now)}, tokens, first)
	v.times.RecordAttempt(f.now, &v.engines[engine], fmt.Sprint(model), playedEvents, span, first+span)
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(reportInterval) {
		for _, v := range f.instances {
			for range f.rng.IntN(1 + int(2*requestRate*reportInterval.Seconds())) {
				f.request(v)
			}
			for i := range v.engines {
				samples, speed := v.engines[i].TakeReport()
				f.pooled[i].Add(f.now, samples, speed)
			}
			for range 10 {
				v.engines[v.turn].Learn(f.now, f.pooled[v.turn].Speed(f.now))
				v.turn = (v.turn + 1) % fleetEngines
			}
		}
	}
}

// speedErrors returns the sorted relative errors of the speeds that the instances know.
// Speeds are relative to the service, so the factor that is common to all doesn't count.
func (f *fleet) speedErrors() []float64 {
	var logs []float64
	for _, v := range f.instances {
		for i := range v.engines {
			if speed := v.engines[i].Speed(f.now); speed > 0 {
				logs = append(logs, math.Log(speed/f.speeds[i]))
			}
		}
	}
	slices.Sort(logs)
	middle := logs[len(logs)/2]
	for i := range logs {
		logs[i] = math.Exp(math.Abs(logs[i]-middle)) - 1
	}
	slices.Sort(logs)
	return logs
}

// timeErrors returns the sorted relative errors of the estimated times to the first
// event of a long prompt, or of the estimated pauses of the mean model.
func (f *fleet) timeErrors(pauses bool) []float64 {
	var errors []float64
	for _, v := range f.instances {
		for i := range v.engines {
			load := rpestimate.Load{Slots: playedSlots, Running: 2, Speed: v.engines[i].Speed(f.now)}
			expected, actual := v.times.FirstEvent(load, 9190).Seconds(), 9.190/playedPrefill/f.speeds[i]
			if pauses {
				expected, actual = v.times.Pause(load).Seconds(), 0.038/f.speeds[i]
			}
			errors = append(errors, math.Abs(math.Log(expected/actual)))
		}
	}
	slices.Sort(errors)
	return errors
}

func quantile(sorted []float64, q float64) float64 { return sorted[int(q*float64(len(sorted)-1))] }

// Guards against speeds that are learned too slowly, or wrongly because models differ or
// because single requests are slow.
func TestLearnsSpeedsOfEngines(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		f := withFleet(seed)
		for _, step := range []struct {
			run         time.Duration
			median, p90 float64
		}{
			{10 * time.Second, 0.08, 0.20},
			{20 * time.Second, 0.06, 0.16},
		} {
			f.run(step.run)
			speeds, first, pauses := f.speedErrors(), f.timeErrors(false), f.timeErrors(true)
			t.Logf("seed %d after %v: speed median %.3f p90 %.3f p99 %.3f; first event median %.3f p90 %.3f; pause median %.3f p90 %.3f",
				seed, f.now.Sub(start), quantile(speeds, 0.5), quantile(speeds, 0.9), quantile(speeds, 0.99),
				quantile(first, 0.5), quantile(first, 0.9), quantile(pauses, 0.5), quantile(pauses, 0.9))
			g.Expect(quantile(speeds, 0.5)).To(BeNumerically("<", step.median))
			g.Expect(quantile(speeds, 0.9)).To(BeNumerically("<", step.p90))
			// The paces of the models differ by up to 15%, and the pause is that of the mean
			// model, so the speeds also contain a part of that.
			for _, times := range [][]float64{first, pauses} {
				g.Expect(quantile(times, 0.5)).To(BeNumerically("<", 0.12))
				g.Expect(quantile(times, 0.9)).To(BeNumerically("<", 0.25))
			}
		}
	}
}

// Guards against zero values that panic or give estimates out of nothing.
func TestZeroValues(t *testing.T) {
	g := NewWithT(t)
	var times rpestimate.Times
	var engine rpestimate.Engine
	var pooled rpestimate.Pooled
	g.Expect(times.FirstEvent(rpestimate.Load{}, 3500)).To(Equal(100 * time.Millisecond))
	g.Expect(times.Pause(rpestimate.Load{})).To(BeZero())
	g.Expect(engine.Speed(start)).To(BeZero())
	samples, speed := engine.TakeReport()
	g.Expect([]float64{float64(samples), speed}).To(Equal([]float64{0, 0}))
	g.Expect(pooled.Speed(start)).To(BeZero())
	pooled.Add(start, -1, 2)
	pooled.Add(start, 3, 0)
	engine.Learn(start, -1)
	g.Expect(pooled.Speed(start) + engine.Speed(start)).To(BeZero())
}

// Guards against speeds that outlive what was observed.
func TestSpeedDecaysWithoutNews(t *testing.T) {
	g := NewWithT(t)
	var engine rpestimate.Engine
	var pooled rpestimate.Pooled
	pooled.Add(start, 100, 0.5)
	engine.Learn(start, pooled.Speed(start))
	g.Expect(engine.Speed(start)).To(BeNumerically("~", 0.5, 0.02))
	later := start.Add(30 * time.Second)
	g.Expect(engine.Speed(later)).To(BeNumerically("~", math.Exp(math.Log(0.5)/math.E), 0.02))
	g.Expect(pooled.Speed(later)).To(BeNumerically("~", math.Exp(math.Log(0.5)/math.E), 0.02))
	g.Expect(engine.Speed(start.Add(5 * time.Minute))).To(BeNumerically("~", 1, 0.01))
	pooled.Add(start.Add(time.Minute), 20, 1.2)
	g.Expect(pooled.Speed(start.Add(time.Minute))).To(BeNumerically(">", 1.1), "old observations lose their weight")
}

// Guards against estimates that ignore the queue, the prompts ahead or the speed of an
// engine.
func TestEstimatesFollowTheLoad(t *testing.T) {
	g := NewWithT(t)
	var times rpestimate.Times
	var engine rpestimate.Engine
	for range 20 {
		times.RecordAttempt(start, &engine, "m", 11, 400*time.Millisecond, 480*time.Millisecond)
	}
	free := times.FirstEvent(rpestimate.Load{Slots: 12, Running: 11}, 700)
	g.Expect(free).To(Equal(20 * time.Millisecond))
	g.Expect(times.FirstEvent(rpestimate.Load{Slots: 12, Running: 14}, 700)).To(BeNumerically("~", free+120*time.Millisecond, time.Millisecond))
	g.Expect(times.FirstEvent(rpestimate.Load{Slots: 12, PrefillTokens: 3500}, 700)).To(BeNumerically("~", free+100*time.Millisecond, time.Millisecond))
	g.Expect(times.FirstEvent(rpestimate.Load{Slots: 12, Speed: 0.5}, 700)).To(Equal(2 * free))
	g.Expect(times.Pause(rpestimate.Load{Speed: 0.5})).To(BeNumerically("~", 80*time.Millisecond, time.Millisecond))
	g.Expect(times.Pause(rpestimate.Load{PrefillTokens: 700})).To(BeNumerically("~", 60*time.Millisecond, time.Millisecond))
	g.Expect(times.Pause(rpestimate.Load{PrefillTokens: 1e6})).To(BeNumerically("<", 300*time.Millisecond))
}

// Guards against a prefill rate that is learned from queueing or from short prompts.
func TestPrefillRateNeedsIdleEngine(t *testing.T) {
	g := NewWithT(t)
	var times rpestimate.Times
	for range 50 {
		times.RecordFirstEvent(rpestimate.Load{Slots: 12, Running: 8}, 9000, 900*time.Millisecond)
		times.RecordFirstEvent(rpestimate.Load{Slots: 12, PrefillTokens: 1}, 9000, 900*time.Millisecond)
		times.RecordFirstEvent(rpestimate.Load{Slots: 12}, 600, 900*time.Millisecond)
	}
	g.Expect(times.PrefillRate()).To(Equal(35.0))
	for range 50 {
		times.RecordFirstEvent(rpestimate.Load{Slots: 12, Running: 1, Speed: 0.5}, 9000, 360*time.Millisecond)
	}
	g.Expect(times.PrefillRate()).To(BeNumerically("~", 50, 2))
}
