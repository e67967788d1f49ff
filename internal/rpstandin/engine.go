package rpstandin

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// EngineConfig is the configuration of a stand-in for a model engine. All times
// are multiplied by TimeScale; 0 means 1.
type EngineConfig struct {
	ID          rpcore.EndpointID
	Incarnation rpcore.Incarnation
	Memory      rpdocument.Bytes
	// EnforceFencing rejects orders with an old fencing number or for another
	// incarnation.
	EnforceFencing bool
	// Concurrency is the maximum number of running requests; 0 means 8.
	// MaxWaiting is the maximum length of the queue; 0 means 64.
	Concurrency, MaxWaiting int
	// TokenTime is the minimum time per token. PrefillTime is the time per
	// prompt block that is not in the prefix cache. TokenRate is the total
	// number of tokens per second of all running requests; 0 means no limit.
	TokenTime, PrefillTime time.Duration
	TokenRate              float64
	// LoadTime is the duration of a load by the place of the checkpoint. A
	// remote checkpoint is first read from Weights, the base URL of the weight
	// store. AdapterTime is the duration of loading an adapter. Cached lists
	// the checkpoints that are not remote at the start.
	LoadTime    map[rpcore.CheckpointPlace]time.Duration
	AdapterTime time.Duration
	Weights     string
	Cached      []rpcore.CachedCheckpoint
	// ReportLag is the maximum age of a report; younger reports are served again.
	ReportLag time.Duration
	// CacheBlocks is the maximum number of blocks in the prefix cache; 0 means
	// 256. Every CacheGapEvery-th batch of cache events lacks its first event;
	// 0 means that no batch does.
	CacheBlocks, CacheGapEvery int
	TimeScale                  float64
}

// EngineState is the response to GET /standin/state. Executions counts the started
// requests by X-Request-Id, and ByKey counts them by Idempotency-Key.
type EngineState struct {
	Loads         int              `json:"loads"`
	Unloads       int              `json:"unloads"`
	HighestMemory rpdocument.Bytes `json:"highest_memory"`
	Overcommits   int              `json:"overcommits"`
	Running       int              `json:"running"`
	Waiting       int              `json:"waiting"`
	Canceled      int              `json:"canceled"`
	Executions    map[string]int   `json:"executions"`
	ByKey         map[string]int   `json:"by_key"`
}

// Engine is a stand-in for a model engine.
type Engine struct {
	*mux.Router
	cfg EngineConfig

	mu               sync.Mutex
	changed          *sync.Cond
	state            EngineState
	leaving          bool
	breakAfter       []int
	highestFence     uint64
	models           map[string]*engineModel
	checkpointPlaces map[string]rpcore.CheckpointPlace
	queue            []*engineRequest
	arrivals         int
	cancelFuncs      map[string]context.CancelCauseFunc
	report           rpcore.EngineReport
	cache            engineCache
}

// NewEngine returns an engine without loaded models.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.Concurrency = cmp.Or(cfg.Concurrency, 8)
	cfg.MaxWaiting = cmp.Or(cfg.MaxWaiting, 64)
	e := &Engine{
		Router:           mux.NewRouter().UseEncodedPath(),
		cfg:              cfg,
		state:            EngineState{Executions: map[string]int{}, ByKey: map[string]int{}},
		models:           map[string]*engineModel{},
		checkpointPlaces: map[string]rpcore.CheckpointPlace{},
		cancelFuncs:      map[string]context.CancelCauseFunc{},
		cache:            engineCache{limit: cmp.Or(cfg.CacheBlocks, 256), gapEvery: cfg.CacheGapEvery},
	}
	e.changed = sync.NewCond(&e.mu)
	for _, c := range cfg.Cached {
		e.checkpointPlaces[c.Checkpoint] = c.Place
	}
	e.HandleFunc("/v1/{kind:chat/completions|completions}", e.serveInference).Methods(http.MethodPost)
	e.HandleFunc("/v1/requests/{id}", e.serveCancel).Methods(http.MethodDelete)
	e.HandleFunc("/v2/repository/models/{name}/{action:load|unload}", e.serveOrder).Methods(http.MethodPost)
	e.HandleFunc("/v2/repository/index", e.serveIndex).Methods(http.MethodGet)
	e.HandleFunc("/v1/engine/report", e.serveReport).Methods(http.MethodGet)
	e.HandleFunc("/v1/engine/cache_events", e.serveCacheEvents).Methods(http.MethodGet)
	e.HandleFunc("/standin/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, e.State()) })
	return e
}

// Run serves on a listener until ctx ends.
func (e *Engine) Run(ctx context.Context, ln net.Listener) error { return serveListener(ctx, ln, e) }

// SetLeaving sets whether the engine is leaving and refuses new work.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// BreakAfter makes the engine abort the next streams, each after the given number
// of tokens.
func (e *Engine) BreakAfter(tokens ...int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakAfter = append(e.breakAfter, tokens...)
}

// State returns the counters.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.Waiting = len(e.queue)
	state.Executions, state.ByKey = maps.Clone(state.Executions), maps.Clone(state.ByKey)
	return state
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	if e.report.Sequence == 0 || now.Sub(e.report.TakenAt) >= scaleDuration(e.cfg.ReportLag, e.cfg.TimeScale) {
		e.report = rpcore.EngineReport{
			Endpoint: e.cfg.ID, Incarnation: e.cfg.Incarnation, Sequence: e.report.Sequence + 1, TakenAt: now,
			Memory: e.cfg.Memory, Running: e.state.Running, Waiting: len(e.queue), Leaving: e.leaving,
			HighestFence: e.highestFence, Loaded: e.loadedModels(),
		}
		for _, checkpoint := range slices.Sorted(maps.Keys(e.checkpointPlaces)) {
			e.report.Cached = append(e.report.Cached, rpcore.CachedCheckpoint{Checkpoint: checkpoint, Place: e.checkpointPlaces[checkpoint]})
		}
	}
	report := e.report
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) loadedModels() []rpcore.LoadedModel {
	loaded := []rpcore.LoadedModel{}
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		if e.models[name].ready {
			loaded = append(loaded, e.models[name].LoadedModel)
		}
	}
	return loaded
}

func (e *Engine) serveIndex(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	index := []map[string]string{}
	for _, m := range e.loadedModels() {
		index = append(index, map[string]string{"name": m.Key.String(), "version": m.Version, "state": "READY"})
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, index)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		(&refusal{http.StatusBadRequest, "invalid_request", "after is not a number"}).send(w)
		return
	}
	e.mu.Lock()
	batch := e.cache.eventBatch(e.cfg.Incarnation, after)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, batch)
}

func scaleDuration(d time.Duration, scale float64) time.Duration {
	return time.Duration(float64(d) * cmp.Or(scale, 1))
}

// sleepContext sleeps for d or until ctx ends. It returns the cause of the end of
// ctx, if any.
func sleepContext(ctx context.Context, d time.Duration) error {
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	return context.Cause(ctx)
}

func serveListener(ctx context.Context, ln net.Listener, handler http.Handler) error {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
