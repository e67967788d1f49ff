package rpfront

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// Serve answers callers on a listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	s.init()
	if err := s.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops accepting connections and waits until every request in
// progress has its answer. When ctx ends first, the rest is cut off and the
// error of ctx is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	s.init()
	err := s.server.Shutdown(ctx)
	if err != nil {
		s.server.Close()
	}
	return err
}
