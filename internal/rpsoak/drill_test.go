package rpsoak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

const (
	// maxCopyAge is the greatest age of the copies that the store comes back from, and
	// copyInterval the time between two of them.
	maxCopyAge   = 5 * time.Second
	copyInterval = 100 * time.Millisecond
	// maxAway is the longest time for which the store is away in a drill. Operators and
	// endpoints write their rows again within maxRewrite after it.
	maxAway    = 1500 * time.Millisecond
	maxRewrite = time.Second
	drillCount = 3
)

// Guards against violations of the guarantees, above all of two planners that order one
// engine, when the store comes back from copies that are some seconds old beside other
// faults. The package comment lists the checks.
func TestSoakStoreDrills(t *testing.T) {
	for i := range *seedCount {
		t.Run(strconv.FormatUint(*firstSeed+i, 10), func(t *testing.T) {
			t.Parallel()
			env, load := withRunningEnvironment(t, *firstSeed+i, shape{drills: true})
			ctx, stop := context.WithTimeout(context.Background(), warmUpDuration+faultDuration+recoveryDuration+measuredDuration)
			defer stop()
			env.keepCopies(ctx)
			begin := time.Now()
			var faults sync.WaitGroup
			faults.Go(func() { env.runFaults(*firstSeed+i, begin.Add(warmUpDuration)) })
			load.run(ctx)
			faults.Wait()
			time.Sleep(300 * time.Millisecond)
			env.newChecker(load).checkAll(begin.Add(warmUpDuration + faultDuration + recoveryDuration))
		})
	}
}

// storeCopy is a copy of the store with its time.
type storeCopy struct {
	rpfake.StoreCopy
	at time.Time
}

// keepCopies takes copies of the store until the context ends.
func (env *environment) keepCopies(ctx context.Context) {
	go func() {
		for ctx.Err() == nil {
			env.faultMu.Lock()
			env.copies = append(env.copies, storeCopy{env.store.Copy(), time.Now()})
			env.faultMu.Unlock()
			time.Sleep(copyInterval)
		}
	}()
}

// copyAt returns the last copy of the store from before a time.
func (env *environment) copyAt(at time.Time) rpfake.StoreCopy {
	env.faultMu.Lock()
	defer env.faultMu.Unlock()
	found := env.copies[0]
	for _, c := range env.copies {
		if !c.at.After(at) {
			found = c
		}
	}
	return found.StoreCopy
}

// runDrills plays drills of the store at random times within faultDuration.
func (env *environment) runDrills(seed uint64, from time.Time) {
	rng := rand.New(rand.NewPCG(seed, 7))
	at := from
	for range drillCount {
		at = at.Add(time.Duration(rng.Int64N(int64(faultDuration / (drillCount + 1)))))
		time.Sleep(time.Until(at))
		age := time.Duration(rng.Int64N(int64(maxCopyAge)))
		env.drillStore(env.copyAt(time.Now().Add(-age)), time.Duration(rng.Int64N(int64(maxAway))), time.Duration(rng.Int64N(int64(maxRewrite))))
	}
}

func (env *environment) setStoreAway(away bool) {
	env.faultMu.Lock()
	defer env.faultMu.Unlock()
	env.storeAway = away
}

// drillStore lets the store come back from a copy after a time away. Operators and
// endpoints then write their rows again within rewrite.
func (env *environment) drillStore(from rpfake.StoreCopy, away, rewrite time.Duration) {
	env.setStoreAway(true)
	time.Sleep(away)
	env.store.Restore(from)
	env.setStoreAway(false)
	time.Sleep(rewrite / 2)
	env.faultMu.Lock()
	env.writeConfig()
	env.faultMu.Unlock()
	time.Sleep(rewrite / 2)
	for _, e := range append(append([]*rpfake.Endpoint{}, env.engines...), env.plainEndpoints...) {
		env.requireNoError(e.WriteEntryAgain())
	}
}
