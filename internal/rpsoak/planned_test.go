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
	plannedDuration = 14 * time.Second
	plannedStopGap  = 1200 * time.Millisecond
	// readyCheckInterval is how often callers' balancer looks at the instances.
	readyCheckInterval = 50 * time.Millisecond
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
			runPlannedWork(t, *firstSeed+i)
		})
	}
}

func runPlannedWork(t *testing.T, seed uint64) {
	env, c := startEnvironment(t, seed)
	ctx, stop := context.WithTimeout(context.Background(), plannedDuration+5*time.Second)
	defer stop()
	env.watchReadiness(ctx)
	c.neverCancel = true
	c.chooseTarget = env.chooseReady
	var work sync.WaitGroup
	var absences []absence
	begin := time.Now()
	work.Go(func() { env.stopInstances(seed, begin) })
	work.Go(func() { env.changeConfigs(begin) })
	work.Go(func() { absences = env.cycleEndpoints(begin) })
	c.run(ctx)
	work.Wait()
	time.Sleep(300 * time.Millisecond)
	check := &checker{engines: env.engines, plains: env.plains, outcomes: c.outcomes, errorf: t.Errorf}
	check.checkAll(begin)
	for _, o := range c.outcomes {
		check.checkNotTruncated(o)
	}
	check.checkNoWorkAfterLeaving(absences)
	rate := float64(env.store.FeedCalls()) / time.Since(begin).Seconds()
	if rate > readsPerSecond {
		t.Errorf("%.0f readings of the store a second", rate)
	}
	t.Logf("%d requests, %.1f readings of the store a second", len(c.outcomes), rate)
}

// balance keeps looking at which instances are ready, as the platform does.
func (env *environment) watchReadiness(ctx context.Context) {
	look := func() {
		var ready []*process
		for _, p := range env.processes {
			if p.isReady() {
				ready = append(ready, p)
			}
		}
		if len(ready) > 0 {
			env.ready.Store(&ready)
		}
	}
	look()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(readyCheckInterval)
			look()
		}
	}()
}

func (env *environment) chooseReady(rng *rand.Rand) *process {
	ready := *env.ready.Load()
	return ready[rng.IntN(len(ready))]
}

// stopInTurn stops instances one after the other; the next stop may begin before
// the last one is over.
func (env *environment) stopInstances(seed uint64, begin time.Time) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var running sync.WaitGroup
	defer running.Wait()
	for n := rng.IntN(len(env.processes)); time.Since(begin) < plannedDuration-6*time.Second; n++ {
		p := env.processes[n%len(env.processes)]
		if rng.IntN(3) == 0 {
			p.signal(syscall.SIGHUP)
		}
		running.Go(func() { env.stopProcess(p) })
		time.Sleep(plannedStopGap + time.Duration(rng.Int64N(int64(plannedStopGap))))
		for !p.isReady() && rng.IntN(2) == 0 {
			time.Sleep(readyCheckInterval)
		}
	}
}

// configureInTurn adds a route after the other, and asks each instance for it
// when it must know it.
func (env *environment) changeConfigs(begin time.Time) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(begin) < plannedDuration-3*time.Second {
		env.changeConfig()
		version := env.configVersion
		time.Sleep(configBound)
		for _, p := range *env.ready.Load() {
			ask := rpfake.CallerRequest{ID: fmt.Sprintf("probe-%d-%s", version, p.name), Path: fmt.Sprintf("/version-%d/x", version), Body: "x"}
			reply, err := ask.Do(context.Background(), client, p.callerAddress)
			if err != nil {
				env.t.Error(err)
			}
			if reply.Status == http.StatusNotFound {
				env.t.Errorf("%s does not know the route of version %d after %s", p.name, version, configBound)
			}
		}
	}
}

// leaveInTurn lets endpoints leave one after the other and return as others.
func (env *environment) cycleEndpoints(begin time.Time) []absence {
	var absences []absence
	for n := 0; time.Since(begin) < plannedDuration-5*time.Second; n++ {
		a := absence{endpoint: append(append([]*rpfake.Endpoint{}, env.plains...), env.engines...)[n%(plains+engines)]}
		if err := a.endpoint.Heartbeat("draining"); err != nil {
			env.t.Error(err)
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

// checkNotTruncated: a request that reached an endpoint gets a whole answer.
func (c *checker) checkNotTruncated(o outcome) {
	if o.Complete && !o.NoResponse {
		return
	}
	for _, e := range c.endpoints() {
		if e.Runs(o.id) > 0 {
			c.errorf("%s (%s) ran at %s and was cut", o.id, o.route, e.ID)
			return
		}
	}
}

// checkNoWorkAfterLeaving: no request reaches an endpoint that has left for leavingBound.
func (c *checker) checkNoWorkAfterLeaving(absences []absence) {
	for _, a := range absences {
		for _, arrival := range a.endpoint.Arrivals() {
			if arrival.At.After(a.from.Add(leavingBound)) && arrival.At.Before(a.to) {
				c.errorf("%s reached %s %s after it had left", arrival.ID, a.endpoint.ID, arrival.At.Sub(a.from))
			}
		}
	}
}
