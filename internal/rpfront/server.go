package rpfront

import (
	"context"
	"log"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Server is the HTTP server for callers.
type Server struct {
	// Post receives the events of requests and attempts.
	Post func(rpcore.Event)
	// Models returns the models that GET /v1/models lists.
	Models func(ctx context.Context) []Model
	// RunAttempt runs an attempt until it has ended; usually rpendpoint.Client.Run.
	RunAttempt func(context.Context, rpendpoint.Attempt, rpendpoint.Relay) rpendpoint.Result
	Limits     Limits
	Log        zerolog.Logger

	once         sync.Once
	limits       Limits
	handler      http.Handler
	server       *http.Server
	requestCount atomic.Int64
	ready        readiness
	inProgress   requestRegistry
}

func (s *Server) init() {
	s.once.Do(func() {
		s.limits = s.Limits.withDefaults()
		s.handler = s.routes()
		s.server = &http.Server{
			Handler:           s.handler,
			ReadHeaderTimeout: s.limits.ReadHeaderTimeout,
			IdleTimeout:       s.limits.IdleTimeout,
			// Twice the limit, so that moderately oversized headers get a refusal
			// with a code instead of the plain error of net/http.
			MaxHeaderBytes: 2 * s.limits.HeaderBytes,
			ErrorLog:       log.New(s.Log, "front: ", 0),
		}
	})
}

// Handler returns the handler for callers.
func (s *Server) Handler() http.Handler {
	s.init()
	return s.handler
}

func (s *Server) routes() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/v1/chat/completions", s.handleRequests(s.readInference)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.handleRequests(s.readInference)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.serveModels).Methods(http.MethodGet)
	r.HandleFunc("/healthz", s.Healthz).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.Readyz).Methods(http.MethodGet)
	r.PathPrefix("/services/").HandlerFunc(s.handleRequests(s.readService))
	r.NotFoundHandler = http.HandlerFunc(s.serveUnknownRoute)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.serveUnknownRoute)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		control := http.NewResponseController(w)
		// A reused connection still has the write deadline of its last response.
		_ = control.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
		// net/http reads the remainder of an unread body before it sends a
		// refusal. The deadline therefore applies until readBody has read the
		// complete body.
		_ = control.SetReadDeadline(time.Now().Add(s.limits.BodyTimeout))
		if s.ready.isDraining() {
			// The caller opens a new connection for its next request, which the
			// balancer sends to another instance.
			w.Header().Set("Connection", "close")
		}
		r.ServeHTTP(w, req)
	})
}

func (s *Server) post(ev rpcore.Event) {
	if s.Post != nil {
		s.Post(ev)
	}
}

func stamp() rpcore.Stamp { return rpcore.Stamp{At: time.Now()} }
