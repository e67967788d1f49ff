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

const (
	// taintKnownWithin limits the time until a deadly part is in quarantine.
	taintKnownWithin = 20 * time.Second
	// restartSettle is the time for engines to return and to load their models.
	restartSettle = maxDown + 3*time.Second
	// restartWatched is the time after the start of the last instance in which
	// requests with the deadly part are sent.
	restartWatched = 3 * time.Second
	// taintedRestartInterval is the time between two such requests to an instance: one
	// arrives within milliseconds after the instance listens.
	taintedRestartInterval = 5 * time.Millisecond
)

// Guards against requests with a part in quarantine that reach engines again after all
// instances, or one after another, were killed and started, or after the store came back
// from a copy without the quarantine.
func TestSoakQuarantineOutlivesInstances(t *testing.T) {
	for name, restart := range map[string]func(*environment){
		"together": (*environment).restartTogether, "in turn": (*environment).restartInTurn,
		"drill": (*environment).drillToBegin, "drill and in turn": func(env *environment) {
			env.drillToBegin()
			env.restartInTurn()
		},
	} {
		for i := range max(1, *seedCount/4) {
			t.Run(name+" "+strconv.FormatUint(*firstSeed+i, 10), func(t *testing.T) {
				t.Parallel()
				runTaintedRestart(t, *firstSeed+i, restart)
			})
		}
	}
}

func runTaintedRestart(t *testing.T, seed uint64, restart func(*environment)) {
	env, load := withRunningEnvironment(t, seed, shape{directEngines: true, eventDelay: taintEventDelay, models: taintFewModels, drills: true})
	env.copies = append(env.copies, storeCopy{env.store.Copy(), time.Now()})
	load.neverCancel = true
	load.choosePrompt = func(rng *rand.Rand) []rpfake.PromptPart { return soundPrompt(rng, rng.IntN(soundCallers)) }
	rng := rand.New(rand.NewPCG(seed, 6))
	found := taint{part: fmt.Sprintf("%x", rng.Uint32()), down: minDown}
	env.faultMu.Lock()
	env.deadlyParts = map[string]time.Duration{found.part: found.down}
	env.faultMu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var sending sync.WaitGroup
	sending.Go(func() { load.run(ctx) })
	sending.Go(func() { load.sendTainted(ctx, rng, 0, found.part) })
	env.waitQuarantineStored()
	time.Sleep(restartSettle)
	from := time.Now()
	for _, p := range env.processes {
		sending.Go(func() { load.floodTainted(ctx, p, found.part) })
	}
	restart(env)
	env.waitReady(startTimeout)
	time.Sleep(restartWatched)
	stop()
	sending.Wait()
	env.newChecker(load).checkTaintedRestart(found, from)
}

// waitQuarantineStored waits until the planner has written a quarantine to the store.
func (env *environment) waitQuarantineStored() {
	for deadline := time.Now().Add(taintKnownWithin); env.store.Value("rattanpaddle_crashes", "/quarantine") == nil; {
		if time.Now().After(deadline) {
			env.t.Fatalf("no quarantine is in the store after %s", taintKnownWithin)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (env *environment) restartTogether() {
	for _, p := range env.processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range env.processes {
		p.waitExit()
	}
	for _, p := range env.processes {
		env.restart(p)
	}
}

// drillToBegin lets the store come back from its first copy.
func (env *environment) drillToBegin() {
	env.drillStore(env.copies[0].StoreCopy, 500*time.Millisecond, 100*time.Millisecond)
}

func (env *environment) restartInTurn() {
	for _, p := range env.processes {
		env.killProcess(p, 0)
		env.waitReady(startTimeout)
	}
}

// floodTainted sends requests with the deadly part to one instance, also while it does
// not run.
func (g *loadGenerator) floodTainted(ctx context.Context, target *process, part string) {
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		prompt := []rpfake.PromptPart{{ID: "c0", Tokens: 40}, {ID: part, Tokens: 20}, {ID: fmt.Sprint("own", n), Tokens: 10}}
		id := fmt.Sprintf("%s-flood%d", target.name, n)
		o := outcome{id: id, route: "later", body: id, model: rpfake.ModelName(n % taintFewModels), prompt: prompt, deadlyPart: part}
		running.Go(func() { g.send(o, target, false) })
		time.Sleep(taintedRestartInterval)
	}
}

// checkTaintedRestart verifies that no request with the deadly part reached an engine
// from a time on, and that sound requests were served and deadly ones refused then.
func (c *checker) checkTaintedRestart(t taint, from time.Time) {
	for _, a := range c.taintedArrivals(t) {
		if a.At.After(from) {
			c.errorf("a request with the part %s in quarantine reached an engine %s after the restart began", t.part, a.At.Sub(from))
		}
	}
	served, refused := 0, 0
	for _, o := range c.outcomes {
		switch {
		case o.sentAt.Before(from) || !o.stream():
		case o.deadlyPart != "" && o.Status == http.StatusServiceUnavailable:
			refused++
		case o.deadlyPart == "" && o.Status == http.StatusOK && len(o.EventIDs()) > 0:
			served++
		}
	}
	if served == 0 || refused == 0 {
		c.errorf("%d sound requests were served and %d with the part %s refused after the restart began", served, refused, t.part)
	}
}
