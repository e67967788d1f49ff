package rpsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// Bounds of the users' pages for work that is planned, which the settings of the
// soak repeat.
const (
	// leavingBound is the time after which an endpoint that told the store that it
	// leaves gets no request.
	leavingBound = 2 * time.Second
	// configBound is the time after which every instance follows a configuration.
	configBound = 2 * time.Second
	// readsPerSecond bounds the calls to the store of all instances.
	readsPerSecond = 2000
)

const (
	plannedTime = 14 * time.Second
	plannedGap  = 1200 * time.Millisecond
	// readyCheck is how often callers' balancer looks at the instances.
	readyCheck = 50 * time.Millisecond
)

// absence is a time in which an endpoint had left.
type absence struct {
	endpoint *rpfake.Endpoint
	from, to time.Time
}

// Guards against answers that planned work cuts: instances are stopped in turn,
// also two at a time, while the configuration changes, settings are read again
// and endpoints leave. Callers go on to use their connections.
func TestPlannedWork(t *testing.T) {
	for i := range max(1, *seedCount/2) {
		t.Run(strconv.FormatUint(*firstSeed+i, 10), func(t *testing.T) {
			t.Parallel()
			playPlannedWork(t, *firstSeed+i)
		})
	}
}

func playPlannedWork(t *testing.T, seed uint64) {
	w, c := withWorld(t, seed)
	ctx, stop := context.WithTimeout(context.Background(), plannedTime+5*time.Second)
	defer stop()
	w.balance(ctx)
	c.stay = true
	c.choose = w.inRotation
	var work sync.WaitGroup
	var absences []absence
	begin := time.Now()
	work.Go(func() { w.stopInTurn(seed, begin) })
	work.Go(func() { w.configureInTurn(begin) })
	work.Go(func() { absences = w.leaveInTurn(begin) })
	c.run(ctx)
	work.Wait()
	time.Sleep(300 * time.Millisecond)
	check := &checker{engines: w.engines, plains: w.plains, outcomes: c.outcomes, errorf: t.Errorf}
	check.all(begin)
	for _, o := range c.outcomes {
		check.notCut(o)
	}
	check.leaversSpared(absences)
	rate := float64(w.store.Readings()) / time.Since(begin).Seconds()
	if rate > readsPerSecond {
		t.Errorf("%.0f readings of the store a second", rate)
	}
	t.Logf("%d requests, %.1f readings of the store a second", len(c.outcomes), rate)
}

// balance keeps looking at which instances are ready, as the platform does.
func (w *world) balance(ctx context.Context) {
	look := func() {
		var ready []*process
		for _, p := range w.processes {
			if p.isReady() {
				ready = append(ready, p)
			}
		}
		if len(ready) > 0 {
			w.ready.Store(&ready)
		}
	}
	look()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(readyCheck)
			look()
		}
	}()
}

func (w *world) inRotation(rng *rand.Rand) *process {
	ready := *w.ready.Load()
	return ready[rng.IntN(len(ready))]
}

// stopInTurn stops instances one after the other; the next stop may begin before
// the last one is over.
func (w *world) stopInTurn(seed uint64, begin time.Time) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var running sync.WaitGroup
	defer running.Wait()
	for n := rng.IntN(len(w.processes)); time.Since(begin) < plannedTime-6*time.Second; n++ {
		p := w.processes[n%len(w.processes)]
		if rng.IntN(3) == 0 {
			p.signal(syscall.SIGHUP)
		}
		running.Go(func() { w.stopProcess(p) })
		time.Sleep(plannedGap + time.Duration(rng.Int64N(int64(plannedGap))))
		for !p.isReady() && rng.IntN(2) == 0 {
			time.Sleep(readyCheck)
		}
	}
}

// configureInTurn adds a route after the other, and asks each instance for it
// when it must know it.
func (w *world) configureInTurn(begin time.Time) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(begin) < plannedTime-3*time.Second {
		w.configureLocked()
		version := w.version
		time.Sleep(configBound)
		for _, p := range *w.ready.Load() {
			ask := rpfake.Ask{ID: fmt.Sprintf("probe-%d-%s", version, p.name), Path: fmt.Sprintf("/version-%d/x", version), Body: "x"}
			reply, err := ask.Do(context.Background(), client, p.callers)
			if err != nil {
				w.t.Error(err)
			}
			if reply.Status == http.StatusNotFound {
				w.t.Errorf("%s does not know the route of version %d after %s", p.name, version, configBound)
			}
		}
	}
}

// leaveInTurn lets endpoints leave one after the other and return as others.
func (w *world) leaveInTurn(begin time.Time) []absence {
	var absences []absence
	for n := 0; time.Since(begin) < plannedTime-5*time.Second; n++ {
		a := absence{endpoint: append(append([]*rpfake.Endpoint{}, w.plains...), w.engines...)[n%(plains+engines)]}
		if err := a.endpoint.Beat("draining"); err != nil {
			w.t.Error(err)
		}
		a.from = time.Now()
		time.Sleep(leavingBound + time.Second)
		a.to = time.Now()
		a.endpoint.Rejoin()
		absences = append(absences, a)
		time.Sleep(500 * time.Millisecond)
	}
	return absences
}

// notCut: a request that reached an endpoint gets a whole answer.
func (c *checker) notCut(o outcome) {
	if o.Whole && !o.NoAnswer {
		return
	}
	for _, e := range c.endpoints() {
		if e.Runs(o.id) > 0 {
			c.errorf("%s (%s) ran at %s and was cut", o.id, o.route, e.ID)
			return
		}
	}
}

// leaversSpared: no request reaches an endpoint that has left for leavingBound.
func (c *checker) leaversSpared(absences []absence) {
	for _, a := range absences {
		for _, arrival := range a.endpoint.Arrivals() {
			if arrival.At.After(a.from.Add(leavingBound)) && arrival.At.Before(a.to) {
				c.errorf("%s reached %s %s after it had left", arrival.ID, a.endpoint.ID, arrival.At.Sub(a.from))
			}
		}
	}
}
