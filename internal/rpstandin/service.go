package rpstandin

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"
)

// ServiceConfig is the configuration of a stand-in for a plain service.
type ServiceConfig struct {
	// Delay is the duration of one execution.
	Delay time.Duration
	// FailAfterRun responds with 500 after each execution. DropAfterRun closes
	// the connection after each execution, and CutAnswer closes it in the middle
	// of the response. Busy refuses each request without executing it.
	FailAfterRun, DropAfterRun, CutAnswer, Busy bool
	TimeScale                                   float64
}

// ServiceState is the response to GET /standin/state. ByKey counts executions by
// Idempotency-Key, and ByPath counts them by method and path.
type ServiceState struct {
	Executions int            `json:"executions"`
	ByKey      map[string]int `json:"by_key"`
	ByPath     map[string]int `json:"by_path"`
}

// Service is a stand-in for a plain service. It executes every request and echoes
// its body.
type Service struct {
	mu    sync.Mutex
	cfg   ServiceConfig
	state ServiceState
}

// NewService returns a service with the given configuration.
func NewService(cfg ServiceConfig) *Service {
	return &Service{cfg: cfg, state: ServiceState{ByKey: map[string]int{}, ByPath: map[string]int{}}}
}

// Configure replaces the configuration. It affects only later requests.
func (s *Service) Configure(cfg ServiceConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg = cfg
}

// Run serves on a listener until ctx ends.
func (s *Service) Run(ctx context.Context, ln net.Listener) error { return serveListener(ctx, ln, s) }

// State returns the counters.
func (s *Service) State() ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceState{s.state.Executions, maps.Clone(s.state.ByKey), maps.Clone(s.state.ByPath)}
}

// ServeHTTP executes a request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/standin/state" {
		writeJSON(w, http.StatusOK, s.State())
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	cfg := s.countExecution(r, err == nil)
	switch {
	case cfg.Busy || err != nil:
		(&refusal{http.StatusServiceUnavailable, "busy", "the service takes no more work"}).send(w)
	case sleepContext(r.Context(), scaleDuration(cfg.Delay, cfg.TimeScale)) != nil || cfg.DropAfterRun:
		panic(http.ErrAbortHandler)
	case cfg.FailAfterRun:
		(&refusal{http.StatusInternalServerError, "failed", "the service failed after the run"}).send(w)
	default:
		echo(w, r, body, cfg.CutAnswer)
	}
}

// countExecution returns the configuration for a request, and counts the request if
// it will be executed. whole is false if its body could not be read.
func (s *Service) countExecution(r *http.Request, whole bool) ServiceConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Busy || !whole {
		return s.cfg
	}
	s.state.Executions++
	s.state.ByPath[r.Method+" "+r.URL.EscapedPath()]++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.state.ByKey[key]++
	}
	return s.cfg
}

func echo(w http.ResponseWriter, r *http.Request, body []byte, cut bool) {
	if value := r.Header.Get("Content-Type"); value != "" {
		w.Header().Set("Content-Type", value)
	}
	if cut {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}
