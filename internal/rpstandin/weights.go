package rpstandin

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// WeightsConfig is the configuration of a stand-in for the weight store.
// LoadsPerSecond limits the rate at which loads start; 0 means 12. It is divided by
// TimeScale. Up to FullSpeed concurrent loads take LoadTime each; 0 means 4. More
// loads share that total speed.
type WeightsConfig struct {
	LoadsPerSecond float64
	FullSpeed      int
	LoadTime       time.Duration
	TimeScale      float64
}

// WeightsState is the response to GET /standin/state.
type WeightsState struct {
	Loads       int            `json:"loads"`
	Running     int            `json:"running"`
	MostRunning int            `json:"most_running"`
	Checkpoints map[string]int `json:"checkpoints"`
}

// Weights is a stand-in for the weight store.
type Weights struct {
	cfg     WeightsConfig
	limiter *rate.Limiter
	mu      sync.Mutex
	state   WeightsState
}

// loadSteps is the number of steps of a load. The speed is determined anew for each
// step.
const loadSteps = 20

// NewWeights returns a weight store with the given configuration.
func NewWeights(cfg WeightsConfig) *Weights {
	cfg.FullSpeed = cmp.Or(cfg.FullSpeed, 4)
	limit := rate.Limit(cmp.Or(cfg.LoadsPerSecond, 12) / cmp.Or(cfg.TimeScale, 1))
	return &Weights{cfg: cfg, limiter: rate.NewLimiter(limit, 1), state: WeightsState{Checkpoints: map[string]int{}}}
}

// Run serves on a listener until ctx ends.
func (s *Weights) Run(ctx context.Context, ln net.Listener) error { return serveListener(ctx, ln, s) }

// State returns the counters.
func (s *Weights) State() WeightsState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state
	state.Checkpoints = maps.Clone(state.Checkpoints)
	return state
}

// ServeHTTP responds to GET /weights/{checkpoint} when the load is complete, and to
// other paths with the counters.
func (s *Weights) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	checkpoint, ok := strings.CutPrefix(r.URL.Path, "/weights/")
	if !ok {
		writeJSON(w, http.StatusOK, s.State())
		return
	}
	if s.limiter.Wait(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	s.beginLoad(checkpoint)
	defer s.endLoad()
	for range loadSteps {
		if sleepContext(r.Context(), s.stepTime()) != nil {
			panic(http.ErrAbortHandler)
		}
	}
	writeJSON(w, http.StatusOK, map[string]string{"checkpoint": checkpoint})
}

func (s *Weights) beginLoad(checkpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Loads++
	s.state.Checkpoints[checkpoint]++
	s.state.Running++
	s.state.MostRunning = max(s.state.MostRunning, s.state.Running)
}

func (s *Weights) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Running--
}

func (s *Weights) stepTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowdown := max(1, float64(s.state.Running)/float64(s.cfg.FullSpeed))
	return scaleDuration(time.Duration(float64(s.cfg.LoadTime)*slowdown/loadSteps), s.cfg.TimeScale)
}
