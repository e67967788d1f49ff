package rpoperator

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	var status any = struct{}{}
	if s.Status != nil {
		status = s.Status()
	}
	writeJSON(w, http.StatusOK, status)
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	if s.Healthy != nil {
		if err := s.Healthy(); err != nil {
			writeRefusal(w, &Refusal{Status: http.StatusServiceUnavailable, Code: CodeNotHealthy, Detail: err.Error()})
			return
		}
	}
	writeText(w, "The instance is healthy.\n")
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	ready, reason := false, "The instance is starting."
	if s.Ready != nil {
		ready, reason = s.Ready()
	}
	if !ready {
		writeRefusal(w, &Refusal{Status: http.StatusServiceUnavailable, Code: CodeNotReady, Detail: reason})
		return
	}
	writeText(w, "The instance is ready.\n")
}

func (s *Server) listDocuments(w http.ResponseWriter, _ *http.Request) {
	list := DocumentList{Documents: []rpcore.DocumentRow{}}
	if s.Documents != nil {
		list.Documents = append(list.Documents, s.Documents()...)
	}
	writeJSON(w, http.StatusOK, list)
}

func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(text))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", jsonContentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func writeRefusal(w http.ResponseWriter, refusal *Refusal) {
	refusal.Type, refusal.Title = "about:blank", http.StatusText(refusal.Status)
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	if refusal.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set("Content-Type", problemContentType)
	w.WriteHeader(refusal.Status)
	_ = json.NewEncoder(w).Encode(refusal)
}

func refusalHandler(refusal *Refusal) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		copied := *refusal
		writeRefusal(w, &copied)
	})
}
