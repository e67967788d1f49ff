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

// Limits that the users' documentation sets for planned work. The settings of the
// soak use the same values.
const (
	// leavingBound is the time after which an endpoint gets no more requests, from
	// when it is marked as leaving in the store.
	leavingBound = 2 * time.Second
	// configBound is the time after which every instance uses a new configuration.
	configBound = 2 * time.Second
	// readsPerSecond limits the long polls of the store by all instances together.
	readsPerSecond = 2000
)

const (
	plannedDuration = 14 * time.Second
	plannedStopGap  = 1200 * time.Millisecond
	// readyCheckInterval is how often the balancer checks the readiness of the
	// instances.
	readyCheckInterval = 50 * time.Millisecond
)

// absence is the period between an endpoint leaving and rejoining.
type absence struct {
	endpoint *rpfake.Endpoint
	from, to time.Time
}

// Guards against responses that are truncated by planned work. Instances stop one
// after another, sometimes two at a time, while the configuration changes, settings
// are reloaded and endpoints leave. Callers keep using their connections.
func TestPlannedWork(t *testing.T) {
	for i := range max(1, *seedCount/2) {
		t.Run(strconv.FormatUint(*firstSeed+i, 10), func(t *testing.T) {
			t.Parallel()
			runPlannedWork(t, *firstSeed+i)
		})
	}
}

func runPlannedWork(t *testing.T, seed uint64) {
	env, load := withRunningEnvironment(t, seed, shape{})
	ctx, stop := context.WithTimeout(context.Background(), plannedDuration+5*time.Second)
	defer stop()
	env.watchReadiness(ctx)
	load.neverCancel = true
	load.chooseTarget = env.chooseReady
	var work sync.WaitGroup
	var absences []absence
	begin := time.Now()
	work.Go(func() { env.stopInstances(seed, begin) })
	work.Go(func() { env.changeConfigs(begin) })
	work.Go(func() { absences = env.cycleEndpoints(begin) })
	load.run(ctx)
	work.Wait()
	time.Sleep(300 * time.Millisecond)
	check := env.newChecker(load)
	check.checkAll(begin)
	for _, o := range load.outcomes {
		check.checkNotTruncated(o)
	}
	check.checkNoWorkAfterLeaving(absences)
	rate := float64(env.store.FeedCalls()) / time.Since(begin).Seconds()
	if rate > readsPerSecond {
		t.Errorf("%.0f long polls of the store per second", rate)
	}
	t.Logf("%d requests, %.1f long polls of the store per second", len(load.outcomes), rate)
}

// watchReadiness keeps the list of ready instances up to date, as the platform's
// balancer does.
func (env *environment) watchReadiness(ctx context.Context) {
	update := func() {
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
	update()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(readyCheckInterval)
			update()
		}
	}()
}

func (env *environment) chooseReady(rng *rand.Rand) *process {
	ready := *env.ready.Load()
	return ready[rng.IntN(len(ready))]
}

// stopInstances stops instances one after another. The next stop may begin before
// the previous one is complete.
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

// changeConfigs repeatedly writes a configuration with a new route. After
// configBound, it checks that each ready instance serves the route.
func (env *environment) changeConfigs(begin time.Time) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(begin) < plannedDuration-3*time.Second {
		env.changeConfig()
		version := env.configVersion
		time.Sleep(configBound)
		for _, p := range *env.ready.Load() {
			request := rpfake.CallerRequest{ID: fmt.Sprintf("probe-%d-%s", version, p.name), Path: fmt.Sprintf("/version-%d/x", version), Body: "x"}
			response, err := request.Do(context.Background(), client, p.callerAddress)
			if err != nil {
				env.t.Error(err)
			}
			if response.Status == http.StatusNotFound {
				env.t.Errorf("%s does not know the route of version %d after %s", p.name, version, configBound)
			}
		}
	}
}

// cycleEndpoints lets endpoints leave one after another and rejoin as new
// incarnations.
func (env *environment) cycleEndpoints(begin time.Time) []absence {
	var absences []absence
	for n := 0; time.Since(begin) < plannedDuration-5*time.Second; n++ {
		a := absence{endpoint: append(append([]*rpfake.Endpoint{}, env.plainEndpoints...), env.engines...)[n%(plainCount+engineCount)]}
		if err := a.endpoint.Heartbeat("draining"); err != nil {
			env.t.Error(err)
		}
		a.endpoint.SetLeaving(true)
		a.from = time.Now()
		time.Sleep(leavingBound + time.Second)
		a.to = time.Now()
		a.endpoint.Rejoin()
		absences = append(absences, a)
		time.Sleep(500 * time.Millisecond)
	}
	return absences
}

// checkNotTruncated verifies that a request that ran at an endpoint got a complete
// response.
func (c *checker) checkNotTruncated(o outcome) {
	if o.Complete && !o.NoResponse {
		return
	}
	for _, e := range c.endpoints() {
		if e.Runs(o.id) > 0 {
			c.errorf("%s (%s) ran at %s and was truncated", o.id, o.route, e.ID)
			return
		}
	}
}

// checkNoWorkAfterLeaving verifies that no request reached an endpoint in the time
// from leavingBound after it left until it rejoined.
func (c *checker) checkNoWorkAfterLeaving(absences []absence) {
	for _, a := range absences {
		for _, arrival := range a.endpoint.Arrivals() {
			if arrival.At.After(a.from.Add(leavingBound)) && arrival.At.Before(a.to) {
				c.errorf("%s reached %s %s after it had left", arrival.ID, a.endpoint.ID, arrival.At.Sub(a.from))
			}
		}
	}
}
