package rpmeasure

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Times and limits of the engines.
const (
	loadFromMemory = 300 * time.Millisecond
	loadFromDisk   = 900 * time.Millisecond
	loadFromStore  = 1800 * time.Millisecond
	loadAdapter    = 10 * time.Millisecond
	prefillTime    = 10 * time.Millisecond
	tokenTime      = 30 * time.Millisecond
	reportLag      = 500 * time.Millisecond
	// checkpointsInMemory is the number of checkpoints in the host memory of an
	// engine. Its disk holds every checkpoint that it has loaded.
	checkpointsInMemory = 3
)

// engine is a fake of a model engine with continuous batching. Up to concurrency
// requests run at once at full speed; the others wait in the order of their
// ranks.
type engine struct {
	world        *World
	member       rpcore.Member
	concurrency  int
	loaded       map[rpcore.ModelKey]*loadedModel
	loading      map[rpcore.ModelKey]bool
	highestFence uint64
	sequence     uint64
	running      int
	waiting      [rpdocument.RankCount][]*engineAttempt
	inMemory     []string
	onDisk       map[string]bool
}

type loadedModel struct {
	rpcore.LoadedModel
	requests  int
	idleSince time.Time
}

// engineAttempt is one attempt at an engine.
type engineAttempt struct {
	rpcore.StartAttempt
	call     *Call
	from     *instance
	canceled bool
	started  bool
}

func (e *engine) checkpointPlace(name string) rpcore.CheckpointPlace {
	switch {
	case slices.Contains(e.inMemory, name):
		return rpcore.PlaceMemory
	case e.onDisk[name]:
		return rpcore.PlaceDisk
	default:
		return rpcore.PlaceRemote
	}
}

func (e *engine) report() rpcore.EngineReport {
	e.sequence++
	r := rpcore.EngineReport{
		Endpoint: rpcore.EndpointID(e.member.ID), Incarnation: e.member.Incarnation, Sequence: e.sequence,
		TakenAt: e.world.now, Memory: e.member.Memory, Running: e.running, HighestFence: e.highestFence,
	}
	for _, queue := range e.waiting {
		r.Waiting += len(queue)
	}
	for _, m := range e.loaded {
		r.Loaded = append(r.Loaded, m.LoadedModel)
	}
	slices.SortFunc(r.Loaded, func(a, b rpcore.LoadedModel) int { return a.Key.Compare(b.Key) })
	for name := range e.onDisk {
		r.Cached = append(r.Cached, rpcore.CachedCheckpoint{Checkpoint: name, Place: e.checkpointPlace(name)})
	}
	slices.SortFunc(r.Cached, func(a, b rpcore.CachedCheckpoint) int {
		return slices.Compare([]byte(a.Checkpoint), []byte(b.Checkpoint))
	})
	return r
}

// executeOrder executes an order and calls answer with the result.
func (e *engine) executeOrder(o rpcore.SendOrder, answer func(rpcore.OrderResult)) {
	if o.Fence < e.highestFence {
		answer(rpcore.OrderFenced)
		return
	}
	e.highestFence = o.Fence
	if o.Kind == rpcore.OrderUnloadModel || o.Kind == rpcore.OrderUnloadAdapter {
		e.unload(o.Model)
		answer(rpcore.OrderDone)
		return
	}
	e.loading[o.Model] = true
	e.world.loadOrders = append(e.world.loadOrders, o)
	done := func() { e.finishLoad(o, answer) }
	switch place := e.checkpointPlace(o.Checkpoint); {
	case o.Kind == rpcore.OrderLoadAdapter:
		e.world.after(loadAdapter, done)
	case place == rpcore.PlaceMemory:
		e.world.after(loadFromMemory, done)
	case place == rpcore.PlaceDisk:
		e.world.after(loadFromDisk, done)
	default:
		e.world.store.load(loadFromStore, done)
	}
}

func (e *engine) finishLoad(o rpcore.SendOrder, answer func(rpcore.OrderResult)) {
	if !e.loading[o.Model] {
		answer(rpcore.OrderRejected)
		return
	}
	delete(e.loading, o.Model)
	model := rpcore.LoadedModel{Key: o.Model, Version: o.Version, BaseModel: o.BaseModel, Memory: o.Memory}
	e.loaded[o.Model] = &loadedModel{LoadedModel: model, idleSince: e.world.now}
	e.cacheCheckpoint(o.Checkpoint)
	answer(rpcore.OrderDone)
}

// cacheCheckpoint stores a checkpoint on the disk and as the most recently used
// one in the host memory.
func (e *engine) cacheCheckpoint(name string) {
	e.onDisk[name] = true
	e.inMemory = slices.DeleteFunc(e.inMemory, func(other string) bool { return other == name })
	e.inMemory = slices.Insert(e.inMemory, 0, name)
	e.inMemory = e.inMemory[:min(len(e.inMemory), checkpointsInMemory)]
}

func (e *engine) unload(key rpcore.ModelKey) {
	delete(e.loading, key)
	if m := e.loaded[key]; m != nil && m.requests == 0 {
		e.world.addIdle(m)
	}
	delete(e.loaded, key)
}

func (e *engine) submit(a *engineAttempt) {
	m := e.loaded[a.servedName()]
	if m == nil {
		a.reportEnd(rpcore.AttemptNotLoaded, rpverdict.NotRun)
		return
	}
	if m.requests == 0 {
		e.world.addIdle(m)
	}
	m.requests++
	queue := &e.waiting[max(0, a.Rank.Index())]
	*queue = append(*queue, a)
	e.schedule()
}

func (a *engineAttempt) servedName() rpcore.ModelKey {
	if a.Adapter != "" {
		return rpcore.ModelKey{Service: a.Model.Service, Name: a.Adapter}
	}
	return a.Model
}

// schedule starts waiting attempts, those of the most urgent rank first.
func (e *engine) schedule() {
	for i := range e.waiting {
		for len(e.waiting[i]) > 0 && e.running < e.concurrency {
			a := e.waiting[i][0]
			e.waiting[i] = e.waiting[i][1:]
			e.start(a)
		}
	}
}

func (e *engine) start(a *engineAttempt) {
	e.running++
	a.started = true
	e.world.after(prefillTime, func() {
		if !a.canceled {
			a.reportFirstToken()
		}
	})
	e.world.after(prefillTime+time.Duration(a.call.Tokens)*tokenTime, func() {
		if !a.canceled {
			e.finish(a)
			a.reportEnd(rpcore.AttemptComplete, rpverdict.Ran)
		}
	})
}

func (e *engine) finish(a *engineAttempt) {
	if a.started {
		e.running--
	}
	if m := e.loaded[a.servedName()]; m != nil {
		m.requests--
		m.idleSince = e.world.now
	}
	e.schedule()
}

func (e *engine) cancel(a *engineAttempt) {
	if a.canceled {
		return
	}
	a.canceled = true
	for i := range e.waiting {
		e.waiting[i] = slices.DeleteFunc(e.waiting[i], func(other *engineAttempt) bool { return other == a })
	}
	e.finish(a)
	a.reportEnd(rpcore.AttemptCanceled, rpverdict.MayHaveRun)
}
