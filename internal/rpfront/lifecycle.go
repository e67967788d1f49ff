package rpfront

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// Serve serves callers on a listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	s.init()
	if err := s.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown closes the listener and waits until all requests in progress have
// ended. If ctx ends first, it closes their connections and returns the error of
// ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.init()
	err := s.server.Shutdown(ctx)
	if err != nil {
		s.server.Close()
	}
	return err
}
