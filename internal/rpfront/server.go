package rpfront

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// Serve answers callers on a listener until Shutdown.
func (f *Server) Serve(ln net.Listener) error {
	f.init()
	if err := f.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops accepting connections and waits until every request in
// progress has its answer. When ctx ends first, the rest is cut off and the
// error of ctx is returned.
func (f *Server) Shutdown(ctx context.Context) error {
	f.init()
	err := f.server.Shutdown(ctx)
	if err != nil {
		f.server.Close()
	}
	return err
}
