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

// Server is the HTTP interface for callers.
type Server struct {
	// Post receives the events of requests and attempts.
	Post func(rpcore.Event)
	// Models lists what GET /v1/models shows.
	Models func(ctx context.Context) []Model
	// RunAttempt runs an attempt to its end; it is Run of the endpoint
	// client.
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

func (f *Server) init() {
	f.once.Do(func() {
		f.limits = f.Limits.withDefaults()
		f.handler = f.routes()
		f.server = &http.Server{
			Handler:           f.handler,
			ReadHeaderTimeout: f.limits.ReadHeaderTimeout,
			IdleTimeout:       f.limits.IdleTimeout,
			// Above twice the limit net/http answers by itself; up to there
			// the caller gets a refusal with a code.
			MaxHeaderBytes: 2 * f.limits.HeaderBytes,
			ErrorLog:       log.New(f.Log, "front: ", 0),
		}
	})
}

// Handler returns the handler for callers.
func (f *Server) Handler() http.Handler {
	f.init()
	return f.handler
}

func (f *Server) routes() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/v1/chat/completions", f.handleRequests(f.readInference)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", f.handleRequests(f.readInference)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", f.serveModels).Methods(http.MethodGet)
	r.HandleFunc("/healthz", f.Healthz).Methods(http.MethodGet)
	r.HandleFunc("/readyz", f.Readyz).Methods(http.MethodGet)
	r.PathPrefix("/services/").HandlerFunc(f.handleRequests(f.readService))
	r.NotFoundHandler = http.HandlerFunc(f.serveUnknownRoute)
	r.MethodNotAllowedHandler = http.HandlerFunc(f.serveUnknownRoute)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		control := http.NewResponseController(w)
		// A kept connection has the write deadline of its last answer.
		_ = control.SetWriteDeadline(time.Now().Add(f.limits.WriteTimeout))
		// net/http reads the rest of an unread body before it sends a
		// refusal, so the deadline holds until readBody has the whole body.
		_ = control.SetReadDeadline(time.Now().Add(f.limits.BodyTimeout))
		if f.ready.isDraining() {
			// The caller's next request goes to another instance.
			w.Header().Set("Connection", "close")
		}
		r.ServeHTTP(w, req)
	})
}

func (f *Server) post(ev rpcore.Event) {
	if f.Post != nil {
		f.Post(ev)
	}
}

func stamp() rpcore.Stamp { return rpcore.Stamp{At: time.Now()} }
