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

// DefaultAnswerTimeout is the default of Server.AnswerTimeout.
const DefaultAnswerTimeout = 10 * time.Second

// Limits of HTTP connections.
const (
	headerTimeout = 10 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	stopTimeout   = 5 * time.Second
	headerBytes   = 32 << 10
)

// Server serves the operators' interface. Set the fields before the first request.
// The functions are called concurrently. A nil function means that the data is not
// available.
type Server struct {
	// Document returns the document in force of a service.
	Document func(service string) (InForce, bool)
	// Documents returns the rows of all documents in force, ordered by
	// service.
	Documents func() []rpcore.DocumentRow
	// AcceptedRow reads the document row of a service from the table.
	AcceptedRow func(ctx context.Context, service string) (*rpcore.DocumentRow, error)
	// LoadBody reads a document body from the object store.
	LoadBody func(ctx context.Context, hash string) ([]byte, error)
	// Post sends an event to the reducer.
	Post func(rpcore.Event)
	// Status returns the status of the instance, as a value for encoding/json.
	Status func() any
	// Timeline returns the entries of the time line that match a query.
	Timeline func(rptimeline.Query) rptimeline.Page
	// Healthy returns an error if the process should be replaced.
	Healthy func() error
	// Ready reports whether the balancer may send callers to this instance, and
	// the reason if not.
	Ready func() (ready bool, reason string)
	// Metrics serves /metrics; nil means that there is no such path.
	Metrics http.Handler
	// BootstrapEditors holds the SHA-256 sums (hex) of the credentials that
	// may accept the first document of a service.
	BootstrapEditors []string
	// AnswerTimeout is the timeout for the result of a submission; 0 means
	// DefaultAnswerTimeout.
	AnswerTimeout time.Duration
	// Submitted is called with the result of each submission, for metrics.
	Submitted func(rpcore.SubmissionResult)
	Log       zerolog.Logger

	submissions submissions
}

// AnswerSubmission delivers the result of a submission to its request. It does not
// block.
func (s *Server) AnswerSubmission(answer rpcore.AnswerSubmission) {
	s.submissions.deliver(answer)
}

// Handler returns the HTTP handler of the interface.
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

// Serve serves requests on a listener until the context ends. It then waits up to
// stopTimeout for the requests in progress.
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
