package rpmeasure

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// coldConcurrency is the number of requests that an engine runs at once in the
// cold start measures. It is larger than a burst of 50 requests, so that none of
// them waits for a free place on the one engine that loads the model.
const coldConcurrency = 64

// coldBurst sends 50 requests for one idle model to random instances within
// 20 ms. One engine has the checkpoint of the model in the given place.
func coldBurst(place rpcore.CheckpointPlace) measure {
	return func(d Deployment, o Options) figures {
		o.Concurrency = coldConcurrency
		w := NewWorld(d, o)
		keys := d.models()
		key := keys[w.rng.IntN(len(keys))]
		w.placeCheckpoint(key, place)
		w.Run(8*time.Second + time.Duration(w.rng.IntN(1000))*time.Millisecond)
		calls := w.sendBurst(key, 50, 20*time.Millisecond)
		w.Run(time.Minute)
		took := loadTimes[place].Seconds()
		return figures{
			"p50_ratio":     quantile(firstTokenSeconds(calls), 0.5) / took,
			"p99_ratio":     quantile(firstTokenSeconds(calls), 0.99) / took,
			"loads":         float64(len(w.loadOrders)),
			"without_token": float64(countWithoutToken(calls)),
		}
	}
}

var loadTimes = map[rpcore.CheckpointPlace]time.Duration{
	rpcore.PlaceMemory: loadFromMemory, rpcore.PlaceDisk: loadFromDisk, rpcore.PlaceRemote: loadFromStore,
}

// placeCheckpoint puts the checkpoint of a model into the given place of a random
// engine of its service.
func (w *World) placeCheckpoint(key rpcore.ModelKey, place rpcore.CheckpointPlace) {
	var engines []*engine
	for _, e := range w.engines {
		if e.member.Service == key.Service {
			engines = append(engines, e)
		}
	}
	e := engines[w.rng.IntN(len(engines))]
	switch place {
	case rpcore.PlaceMemory:
		e.cacheCheckpoint(checkpoint(key))
	case rpcore.PlaceDisk:
		e.onDisk[checkpoint(key)] = true
	}
}

func (w *World) sendBurst(key rpcore.ModelKey, n int, spread time.Duration) []*Call {
	calls := make([]*Call, n)
	for i := range calls {
		w.after(time.Duration(w.rng.Int64N(int64(spread))), func() {
			calls[i] = w.Send(w.rng.IntN(len(w.instances)), Call{Model: key, Tokens: 20})
		})
	}
	return calls
}

// wakeMany sends the first requests for 40 idle models within 10 s. About 20% of
// the checkpoints are in the memory of an engine, 30% are on the disk of one, and
// the others are only in the weight store.
func wakeMany(d Deployment, o Options) figures {
	o.Concurrency = coldConcurrency
	w := NewWorld(d, o)
	keys := d.models()
	w.rng.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	places := make([]rpcore.CheckpointPlace, 40)
	for i := range places {
		places[i] = rpcore.PlaceRemote
		if n := w.rng.IntN(10); n < 2 {
			places[i] = rpcore.PlaceMemory
		} else if n < 5 {
			places[i] = rpcore.PlaceDisk
		}
		w.placeCheckpoint(keys[i], places[i])
	}
	w.Run(8 * time.Second)
	wakes := make([]time.Duration, len(places))
	calls := make([]*Call, len(places))
	for i := range calls {
		wakes[i] = time.Duration(w.rng.Int64N(int64(10 * time.Second)))
		w.after(wakes[i], func() {
			calls[i] = w.Send(w.rng.IntN(len(w.instances)), Call{Model: keys[i], Tokens: 20})
		})
	}
	w.Run(2 * time.Minute)
	floor := quantile(minWakeTimes(wakes, places, d.StartsPerSecond), 0.99)
	return figures{
		"floor_p99_s": floor, "p99_s": quantile(firstTokenSeconds(calls), 0.99),
		"p99_ratio": quantile(firstTokenSeconds(calls), 0.99) / floor,
		"loads":     float64(len(w.loadOrders)), "loads_at_once": float64(w.store.maxActive), "without_token": float64(countWithoutToken(calls)),
	}
}

// minWakeTimes returns a lower bound for the time in seconds that each model
// needs: its load time plus, for a load from the weight store, the wait for one
// of the 4 loads at full speed and for the rate of load starts. Loads are served
// in the order of arrival, which minimizes the longest wait. Messages, table
// accesses and prefill take no time.
func minWakeTimes(wakes []time.Duration, places []rpcore.CheckpointPlace, perSecond float64) []float64 {
	order := make([]int, len(wakes))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return int(wakes[a] - wakes[b]) })
	var free [maxLoadsAtFullSpeed]time.Duration
	var next time.Duration
	floor := make([]float64, len(wakes))
	for _, i := range order {
		floor[i] = loadTimes[places[i]].Seconds()
		if places[i] == rpcore.PlaceRemote {
			slices.Sort(free[:])
			start := max(wakes[i], free[0], next)
			free[0] = start + loadFromStore
			next = start + time.Duration(float64(time.Second)/perSecond)
			floor[i] = (free[0] - wakes[i]).Seconds()
		}
	}
	return floor
}
