package rpsoak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

const (
	// silenceDuration is the time in which engines fall silent.
	silenceDuration = 12 * time.Second
	// silentEventDelay makes streams long enough that most of those that run on a
	// silent engine have sent events before.
	silentEventDelay = 60 * time.Millisecond
	// silentModels is so small that each engine holds all models: a stream is given up
	// only if another engine could go on with it.
	silentModels = 3
	// silentRetryRatio and silentRetrySlack make the retry budget cover only a small
	// part of the running streams. The streams of the users last some ten times
	// longer than these, so that far more of them run for each request of the
	// budget's window.
	silentRetryRatio = 0.02
	silentRetrySlack = 5
	// minSilence and maxSilence limit one silence. The users see about a second.
	minSilence = 800 * time.Millisecond
	maxSilence = 1500 * time.Millisecond
	// minSilenceGap and maxSilenceGap limit the time between two silences.
	minSilenceGap = 300 * time.Millisecond
	maxSilenceGap = 1200 * time.Millisecond
)

// silence is a time in which a sound engine sent nothing and then went on.
type silence struct {
	endpoint *rpfake.Endpoint
	from, to time.Time
}

// Guards against streams that are cut because their engine is silent for a second,
// although it is sound and goes on. Most engines of the service are silent together,
// again and again, so that the retry budget is used up, beside configurations.
func TestSoakSilentEngines(t *testing.T) {
	for i := range max(1, *seedCount/2) {
		t.Run(strconv.FormatUint(*firstSeed+i, 10), func(t *testing.T) {
			t.Parallel()
			runSilentEngines(t, *firstSeed+i)
		})
	}
}

func runSilentEngines(t *testing.T, seed uint64) {
	env, load := withRunningEnvironment(t, seed, shape{
		models: silentModels, eventDelay: silentEventDelay, retryRatio: silentRetryRatio, retrySlack: silentRetrySlack,
	})
	load.neverCancel = true
	ctx, stop := context.WithTimeout(context.Background(), warmUpDuration+silenceDuration+recoveryDuration+measuredDuration)
	defer stop()
	begin := time.Now()
	var faults sync.WaitGroup
	faults.Go(func() { env.silenceEngines(seed, begin.Add(warmUpDuration)) })
	load.run(ctx)
	faults.Wait()
	check := env.newChecker(load)
	check.checkAll(begin.Add(warmUpDuration + silenceDuration + recoveryDuration))
	for _, o := range load.outcomes {
		check.checkAnswered(o)
	}
}

// silenceEngines silences random engines together, one time after another.
func (env *environment) silenceEngines(seed uint64, from time.Time) {
	rng := rand.New(rand.NewPCG(seed, 4))
	time.Sleep(time.Until(from))
	for time.Since(from) < silenceDuration-maxSilence {
		d := minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence)))
		for _, i := range rng.Perm(engineCount)[:1+rng.IntN(engineCount-1)] {
			now := time.Now()
			env.engines[i].Silence(d)
			env.silences = append(env.silences, silence{endpoint: env.engines[i], from: now, to: now.Add(d)})
		}
		if rng.IntN(2) == 0 {
			env.changeConfig()
		}
		time.Sleep(d + minSilenceGap + time.Duration(rng.Int64N(int64(maxSilenceGap-minSilenceGap))))
	}
}

// checkSilences verifies that no stream ended without its last event whose engine was
// silent while the stream ran there. It skips streams that reached their deadline,
// and those of processes and endpoints that were disrupted.
func (c *checker) checkSilences() {
	requests := c.requests()
	for _, s := range c.silences {
		for _, a := range s.endpoint.Arrivals() {
			o := requests[a.ID]
			ranMeanwhile := a.Ran && a.At.Before(s.to) && o.endedAt.After(s.from)
			if !ranMeanwhile || !o.stream() || o.endedAt.Sub(o.sentAt) >= requestDeadline || c.disrupted(o.target, s.endpoint.ID, o.sentAt, o.endedAt) {
				continue
			}
			if o.NoResponse || o.Status == http.StatusOK && (!o.Complete || len(o.EventIDs()) < streamEvents) {
				c.errorf("%s (%s) ended at %s after %d of %d events; its engine %s was only silent from %s to %s", o.id, o.route,
					o.endedAt.Format(time.StampMilli), len(o.EventIDs()), streamEvents, s.endpoint.ID, s.from.Format(time.StampMilli), s.to.Format(time.StampMilli))
			}
		}
	}
}
