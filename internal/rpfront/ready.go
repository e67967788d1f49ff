package rpfront

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// readiness is the state that /readyz reports. The zero value is not ready.
type readiness struct {
	mu       sync.Mutex
	ready    bool
	wasReady bool
	reason   string
}

// isDraining reports whether the instance was ready before and is not ready now.
func (r *readiness) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wasReady && !r.ready
}

// ReportReady sets the state that /readyz reports.
func (s *Server) ReportReady(effect rpcore.ReportReady) {
	s.ready.mu.Lock()
	defer s.ready.mu.Unlock()
	s.ready.ready = effect.Ready
	s.ready.wasReady = s.ready.wasReady || effect.Ready
	s.ready.reason = effect.Reason
}

// Healthz reports that the process is running. The operator server uses it too.
func (s *Server) Healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

// Readyz reports whether the balancer may send callers to this instance. The
// operator server uses it too.
func (s *Server) Readyz(w http.ResponseWriter, _ *http.Request) {
	s.ready.mu.Lock()
	ready, reason := s.ready.ready, s.ready.reason
	s.ready.mu.Unlock()
	if ready {
		writeJSON(w, http.StatusOK, map[string]string{"status": "ready"})
		return
	}
	writeJSON(w, http.StatusServiceUnavailable, map[string]string{"status": "not_ready", "reason": reason})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
