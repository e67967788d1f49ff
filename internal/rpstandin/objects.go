package rpstandin

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
)

// Objects is a stand-in for an object store with the S3 protocol. It implements
// PutObject and GetObject with the bucket in the path. Every bucket exists.
type Objects struct {
	Faults

	mu     sync.Mutex
	bodies map[string][]byte
}

// Run serves the object store until the context ends.
func (o *Objects) Run(ctx context.Context, listen netip.AddrPort) error {
	return listenAndServe(ctx, listen, o)
}

// ServeHTTP implements http.Handler.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.serveWithFaults(w, r, "<Error><Code>SlowDown</Code></Error>", o.serve)
}

func (o *Objects) serve(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	body, ok := o.bodies[r.URL.Path]
	switch {
	case r.Method == http.MethodPut:
		if o.bodies == nil {
			o.bodies = make(map[string][]byte)
		}
		// This can't fail, because serveWithFaults has read the body.
		o.bodies[r.URL.Path], _ = io.ReadAll(r.Body)
	case r.Method == http.MethodGet && ok:
		_, _ = w.Write(body)
	default:
		http.Error(w, "<Error><Code>NoSuchKey</Code></Error>", http.StatusNotFound)
	}
}
