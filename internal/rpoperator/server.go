package rpoperator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// DefaultAnswerTimeout bounds the wait for the outcome of a submission.
const DefaultAnswerTimeout = 10 * time.Second

// Bounds of a connection.
const (
	headerTimeout = 10 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	stopTimeout   = 5 * time.Second
	headerBytes   = 32 << 10
)

// Server answers operators. Its functions are called from many goroutines at
// once. A nil function means that there is nothing to show; set them before
// the first request.
type Server struct {
	// Document returns the document of a service that is in force.
	Document func(service string) (InForce, bool)
	// Documents returns the rows of all documents in force, ordered by
	// service.
	Documents func() []rpcore.DocumentRow
	// AcceptedRow reads the row of a document from the table.
	AcceptedRow func(ctx context.Context, service string) (*rpcore.DocumentRow, error)
	// LoadBody reads a body from the object store.
	LoadBody func(ctx context.Context, hash string) ([]byte, error)
	// Post hands an event to the reducer.
	Post func(rpcore.Event)
	// Status returns a value for encoding/json.
	Status func() any
	// Timeline returns a selection of the time line.
	Timeline func(rptimeline.Query) rptimeline.Page
	// Healthy returns an error where the process should be replaced.
	Healthy func() error
	// Ready reports whether the balancer may send callers here, and why not.
	Ready func() (ready bool, reason string)
	// Metrics serves /metrics.
	Metrics http.Handler
	// BootstrapEditors holds the SHA-256 sums (hex) of the credentials that
	// may accept the first document of a service.
	BootstrapEditors []string
	// AnswerTimeout bounds the wait for the outcome of a submission; 0 stands
	// for DefaultAnswerTimeout.
	AnswerTimeout time.Duration
	// Submitted is told the result of each submission.
	Submitted func(rpcore.SubmissionResult)
	Log       zerolog.Logger

	submissions submissions
}

// AnswerSubmission takes in the outcome of a submission. It does not block.
func (s *Server) AnswerSubmission(answer rpcore.AnswerSubmission) {
	s.submissions.deliver(answer)
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/operator/v1/documents", s.listDocuments).Methods(http.MethodGet)
	router.HandleFunc("/operator/v1/documents/{service}", s.getDocument).Methods(http.MethodGet)
	router.HandleFunc("/operator/v1/documents/{service}", s.putDocument).Methods(http.MethodPut)
	router.HandleFunc("/operator/v1/documents/{service}/history", s.getHistory).Methods(http.MethodGet)
	router.HandleFunc("/operator/v1/documents/{service}/history/{version}", s.getVersion).Methods(http.MethodGet)
	router.HandleFunc("/operator/v1/status", s.status).Methods(http.MethodGet)
	router.HandleFunc("/operator/v1/timeline", s.timeline).Methods(http.MethodGet)
	router.HandleFunc("/healthz", s.healthz).Methods(http.MethodGet)
	router.HandleFunc("/readyz", s.readyz).Methods(http.MethodGet)
	if s.Metrics != nil {
		router.Handle("/metrics", s.Metrics).Methods(http.MethodGet)
	}
	handleProfiles(router)
	router.NotFoundHandler = refusalHandler(&Refusal{
		Status: http.StatusNotFound, Code: CodeNotFound, Detail: "The operators' interface has no such path.",
	})
	router.MethodNotAllowedHandler = refusalHandler(&Refusal{
		Status: http.StatusMethodNotAllowed, Code: CodeMethodNotAllowed, Detail: "The path does not have this method.",
	})
	return router
}

func handleProfiles(router *mux.Router) {
	router.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	router.HandleFunc("/debug/pprof/profile", pprof.Profile)
	router.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	router.HandleFunc("/debug/pprof/trace", pprof.Trace)
	router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
}

// Serve answers requests on a listener until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		stopped <- server.Shutdown(ctx)
	})
	err := server.Serve(listener)
	if !stop() {
		return <-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
