package rpsoak

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed of the soak")
	seedCount = flag.Uint64("soak.seeds", 2, "number of seeds of the soak")
)

// regressions maps seeds that failed before to the cause of the failure.
var regressions = map[uint64]string{
	2013: portTaken,
	2022: portTaken,
	3018: portTaken,
	3000: lateOrder,
	3034: lateOrder,
}

// regressionFaults is the number of faults that regressions choose from. Faults that
// were added later would change what their seeds play.
const regressionFaults = 18

const lateOrder = "an order was in flight when its planner lost the lease, and reached the engine after an order of the next planner"

const portTaken = "an outgoing connection of another program used the port of an instance before the instance listened on it"

const (
	warmUpDuration   = 2 * time.Second
	faultDuration    = 7 * time.Second
	recoveryDuration = 5 * time.Second
	measuredDuration = 2 * time.Second
	faultCount       = 10
)

var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err == nil {
		binary = filepath.Join(dir, "rattanpaddle")
		build := exec.Command("go", "build", "-o", binary, "github.com/rattanpaddle/rattanpaddle/cmd/rattanpaddle")
		build.Stderr = os.Stderr
		err = build.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// Guards against violations of the guarantees to callers and endpoints under random
// faults. The package comment lists the faults and checks.
func TestSoak(t *testing.T) {
	seeds := map[uint64]bool{}
	for i := range *seedCount {
		seeds[*firstSeed+i] = true
	}
	for seed := range regressions {
		seeds[seed] = true
	}
	for seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSoak(t, seed)
		})
	}
}

func runSoak(t *testing.T, seed uint64) {
	env, load := withRunningEnvironment(t, seed, shape{})
	ctx, stop := context.WithTimeout(context.Background(), warmUpDuration+faultDuration+recoveryDuration+measuredDuration)
	defer stop()
	begin := time.Now()
	var faults sync.WaitGroup
	faults.Go(func() { env.runFaults(seed, begin.Add(warmUpDuration)) })
	load.run(ctx)
	faults.Wait()
	// Requests of callers that disconnected may still be in progress.
	time.Sleep(300 * time.Millisecond)
	env.newChecker(load).checkAll(begin.Add(warmUpDuration + faultDuration + recoveryDuration))
}

// withRunningEnvironment starts an environment, waits until its instances are ready, and
// returns it with a load generator. If the test fails, the logs are saved.
func withRunningEnvironment(t *testing.T, seed uint64, shape shape) (*environment, *loadGenerator) {
	t.Helper()
	env := withEnvironment(t, binary, shape)
	delays := watchScheduling(t)
	t.Cleanup(func() {
		if t.Failed() {
			env.saveLogs()
			t.Logf("the stand-ins were not scheduled in time: %v", delays())
		}
	})
	env.waitReady(startTimeout)
	return env, newLoadGenerator(env, seed)
}

// startTimeout limits the wait until the instances are ready.
const startTimeout = 20 * time.Second

func (env *environment) waitReady(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for _, p := range env.processes {
		for !p.isReady() {
			if time.Now().After(deadline) {
				env.t.Fatalf("%s is not ready after %s", p.name, timeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// saveLogs copies the logs to a directory that is kept after the test. Its name is that
// of the test, because several tests play the same seeds.
func (env *environment) saveLogs() {
	dir := filepath.Join(os.TempDir(), "soak-"+strings.ReplaceAll(env.t.Name(), "/", "-"))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		env.t.Log(err)
		return
	}
	for _, p := range env.processes {
		body, err := os.ReadFile(p.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, p.name+".log"), body, 0o600)
		}
		if err != nil {
			env.t.Log(err)
		}
	}
	env.t.Logf("the logs are in %s", dir)
}

// runFaults injects faults at random times within faultDuration. Each fault ends
// before faultDuration has passed.
func (env *environment) runFaults(seed uint64, from time.Time) {
	rng := rand.New(rand.NewPCG(seed, 2))
	var running sync.WaitGroup
	defer running.Wait()
	type entry struct {
		at       time.Duration
		run      func(d time.Duration)
		duration time.Duration
	}
	kinds := math.MaxInt
	if _, ok := regressions[seed]; ok {
		kinds = regressionFaults
	}
	if env.shape.drills {
		running.Go(func() { env.runDrills(seed, from) })
	}
	for range faultCount {
		at := time.Duration(rng.Int64N(int64(faultDuration - 2*time.Second)))
		e := entry{at: at, duration: 500*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond))), run: env.pickFault(rng, kinds)}
		running.Go(func() {
			time.Sleep(time.Until(from.Add(e.at)))
			e.run(e.duration)
		})
	}
}

// pickFault returns a random one of the first kinds faults, as a function of its
// duration.
func (env *environment) pickFault(rng *rand.Rand, kinds int) func(time.Duration) {
	p := env.processes[rng.IntN(len(env.processes))]
	linkIndex := rng.IntN(len(env.links))
	link := env.links[linkIndex]
	mode := linkMode(1 + rng.IntN(int(linkModes)-1))
	endpoint := append(append([]*rpfake.Endpoint{}, env.engines...), env.plainEndpoints...)[rng.IntN(engineCount+plainCount)]
	leaver := env.plainEndpoints[rng.IntN(len(env.plainEndpoints))]
	every := 2 + rng.IntN(4)
	faults := []func(time.Duration){
		func(d time.Duration) { env.killProcess(p, d) },
		func(d time.Duration) { env.pauseProcess(p, d) },
		func(time.Duration) { env.stopProcess(p) },
		func(time.Duration) { p.signal(syscall.SIGHUP) },
		func(d time.Duration) {
			defer env.disrupt(env.endpointIDs()[linkIndex])()
			applyFor(d, func() { link.setMode(mode) }, func() { link.setMode(linkPass) })
		},
		func(d time.Duration) {
			applyFor(d, func() { env.storeLink.setMode(mode) }, func() { env.storeLink.setMode(linkPass) })
		},
		func(d time.Duration) {
			env.injectStoreFault(d, rpfake.StoreFault{Status: http.StatusServiceUnavailable})
		},
		func(d time.Duration) { env.injectStoreFault(d, rpfake.StoreFault{DropResponse: true}) },
		func(d time.Duration) { env.injectStoreFault(d, rpfake.StoreFault{Slow: 200 * time.Millisecond}) },
		func(time.Duration) { env.store.Compact() },
		func(time.Duration) { env.changeConfig() },
		func(d time.Duration) {
			env.injectEndpointFault(endpoint, d, every, rpfake.EndpointFault{DropResponse: true})
		},
		func(d time.Duration) {
			env.injectEndpointFault(endpoint, d, every, rpfake.EndpointFault{TruncateAfter: 3})
		},
		func(d time.Duration) {
			env.injectEndpointFault(endpoint, d, every, rpfake.EndpointFault{Unsigned: true})
		},
		func(d time.Duration) {
			env.injectEndpointFault(endpoint, d, every, rpfake.EndpointFault{WrongRequestID: true})
		},
		func(d time.Duration) { env.injectEndpointFault(endpoint, d, 1, rpfake.EndpointFault{Shed: true}) },
		func(d time.Duration) { env.injectEndpointFault(endpoint, d, every, rpfake.EndpointFault{Hang: true}) },
		func(d time.Duration) { env.leaveAndRejoin(leaver, d) },
		func(time.Duration) { env.leaveByResponse(endpoint) },
		func(d time.Duration) {
			env.injectEndpointFault(endpoint, d, every, rpfake.EndpointFault{Shed: true, RetryAfter: retryAfter})
		},
		func(d time.Duration) {
			env.injectEndpointFault(endpoint, d, every, rpfake.EndpointFault{Endless: true})
		},
		func(d time.Duration) { env.injectEndpointFault(leaver, d, every, rpfake.EndpointFault{LateCopy: true}) },
		func(d time.Duration) {
			env.injectEndpointFault(leaver, d, every, rpfake.EndpointFault{LateCopy: true, AnonymousCopy: true})
		},
		func(d time.Duration) { env.crashEndpoint(endpoint, d) },
		func(d time.Duration) { endpoint.Silence(d) },
		func(d time.Duration) {
			env.injectEndpointFault(endpoint, d, every, rpfake.EndpointFault{Unframed: true})
		},
		func(d time.Duration) {
			env.injectEndpointFault(endpoint, d, every, rpfake.EndpointFault{Unframed: true, TruncateAfter: 3})
		},
	}
	return faults[rng.IntN(min(kinds, len(faults)))]
}

func applyFor(d time.Duration, begin, end func()) {
	begin()
	time.Sleep(d)
	end()
}

func (env *environment) killProcess(p *process, d time.Duration) {
	defer env.disrupt(p.name)()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.waitExit()
	time.Sleep(d / 4)
	env.restart(p)
}

func (env *environment) stopProcess(p *process) {
	defer env.disrupt(p.name)()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	p.waitExit()
	env.restart(p)
}

// restart starts a process unless another fault has already restarted it.
func (env *environment) restart(p *process) {
	env.faultMu.Lock()
	defer env.faultMu.Unlock()
	select {
	case <-p.exited:
		env.endFirstStart(p)
		env.start(p)
	default:
	}
}

func (env *environment) pauseProcess(p *process, d time.Duration) {
	defer env.disrupt(p.name)()
	applyFor(d, func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
}

// crashEndpoint crashes an endpoint and waits until it is back.
func (env *environment) crashEndpoint(e *rpfake.Endpoint, down time.Duration) {
	defer env.disrupt(e.ID)()
	e.Crash(down)
	time.Sleep(down)
}

func (env *environment) changeConfig() {
	env.faultMu.Lock()
	defer env.faultMu.Unlock()
	env.writeNextConfig()
}

func (env *environment) injectStoreFault(d time.Duration, fault rpfake.StoreFault) {
	applyFor(d, func() { env.setStoreFault(fault) }, func() { env.setStoreFault(rpfake.StoreFault{}) })
}

func (env *environment) injectEndpointFault(e *rpfake.Endpoint, d time.Duration, every int, fault rpfake.EndpointFault) {
	applyFor(d, func() {
		env.setEndpointFault(e.ID, func(n int) rpfake.EndpointFault {
			if n%every == 0 {
				return fault
			}
			return rpfake.EndpointFault{}
		})
	}, func() { env.setEndpointFault(e.ID, nil) })
}

// leaveAndRejoin marks an endpoint as leaving and later lets it rejoin as a new
// incarnation.
func (env *environment) leaveAndRejoin(e *rpfake.Endpoint, d time.Duration) {
	if e.Heartbeat("draining") != nil {
		return
	}
	e.SetLeaving(true)
	time.Sleep(d)
	e.Rejoin()
}

// minReportedDelay is the delay of a timer from which watchScheduling reports it.
const minReportedDelay = 200 * time.Millisecond

// watchScheduling returns a function that lists when this process, which runs the
// stand-ins, was not scheduled in time, and for how long. On a machine that is busy,
// a stand-in handles what it has received late.
func watchScheduling(t *testing.T) func() []string {
	const interval = 10 * time.Millisecond
	var mu sync.Mutex
	var delays []string
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		for last := time.Now(); ctx.Err() == nil; last = time.Now() {
			time.Sleep(interval)
			if delay := time.Since(last) - interval; delay >= minReportedDelay {
				mu.Lock()
				delays = append(delays, fmt.Sprintf("%s at %s", delay.Round(time.Millisecond), time.Now().Format(time.StampMilli)))
				mu.Unlock()
			}
		}
	}()
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		return delays
	}
}
