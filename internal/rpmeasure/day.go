package rpmeasure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// The trace of a day. Sessions of each model arrive as a Poisson process. Its
// rate depends on the popularity rank of the model, by a power law, and on the
// hour. A session has a geometrically distributed number of requests with
// exponentially distributed gaps.
const (
	dayLength           = 24 * time.Hour
	topModelSessions    = 150.0
	popularityExponent  = 0.8
	meanSessionRequests = 10.0
	meanRequestGap      = 8 * time.Second
	// dayInstances is one instance for each failure domain, so that a run takes
	// only minutes. More instances would not change the decisions about idle
	// replicas, because each is made by one home alone.
	dayInstances = 3
)

// hourlyRateFactor returns the rate of sessions in an hour of the day relative to
// the mean.
func hourlyRateFactor(hour int) float64 {
	switch {
	case hour < 7:
		return 0.3
	case hour >= 9 && hour < 17:
		return 1.7
	default:
		return 0.9
	}
}

// idleDay runs a day of bursty arrivals and sums up the time during which
// accelerators held a replica without requests.
func idleDay(d Deployment, o Options) figures {
	o.Concurrency = coldConcurrency
	d.Instances = dayInstances
	w := NewWorld(d, o)
	trace := rand.New(rand.NewPCG(o.Seed, 99))
	for i, place := range trace.Perm(len(d.models())) {
		w.placeCheckpoint(d.models()[i], []rpcore.CheckpointPlace{rpcore.PlaceDisk, rpcore.PlaceRemote}[i%2])
		rate := topModelSessions / math.Pow(float64(place+1), popularityExponent)
		w.scheduleSessions(d.models()[i], rate/(24*time.Hour).Seconds(), trace)
	}
	w.Run(dayLength + time.Minute)
	w.addRemainingIdle()
	var calls []*Call
	for _, call := range w.calls {
		calls = append(calls, call)
	}
	times := firstTokenSeconds(calls)
	return figures{
		"idle_hours": w.idleTime.Hours(), "p99_s": quantile(times, 0.99), "p99_9_s": quantile(times, 0.999),
		"urgent_p99_s":  quantile(firstTokenSeconds(filterByRank(calls, rpdocument.RankUrgent)), 0.99),
		"loads":         float64(len(w.loadOrders)),
		"requests":      float64(len(calls)),
		"without_token": float64(countWithoutToken(calls)),
	}
}

// scheduleSessions schedules the sessions of one model over the day. All random
// numbers are drawn before the run, so the trace is the same for every policy.
func (w *World) scheduleSessions(key rpcore.ModelKey, perSecond float64, trace *rand.Rand) {
	at := time.Duration(0)
	for {
		// Thinning: draw candidates at the highest rate and keep each with a
		// probability that depends on its hour.
		at += secondsToDuration(trace.ExpFloat64() / (perSecond * hourlyRateFactor(12)))
		if at >= dayLength {
			return
		}
		if trace.Float64()*hourlyRateFactor(12) > hourlyRateFactor(int(at.Hours())) {
			continue
		}
		rank := []rpdocument.Rank{rpdocument.RankUrgent, rpdocument.RankNormal, rpdocument.RankBackground}[[]int{0, 1, 1, 1, 2}[trace.IntN(5)]]
		for next := at; ; next += secondsToDuration(trace.ExpFloat64() * meanRequestGap.Seconds()) {
			call, i := Call{Model: key, Rank: rank, Tokens: 10 + trace.IntN(50)}, trace.IntN(dayInstances)
			w.after(10*time.Second+next, func() { w.Send(i, call) })
			if trace.Float64() < 1/meanSessionRequests {
				break
			}
		}
	}
}

// addRemainingIdle adds the idle time of the replicas that are idle at the end.
func (w *World) addRemainingIdle() {
	for _, e := range w.engines {
		for _, m := range e.loaded {
			if m.requests == 0 {
				w.addIdle(m)
			}
		}
	}
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
