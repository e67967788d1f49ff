package rpload

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// pipeListener is an in-memory listener. Tests in a synctest bubble need it, because
// time in a bubble does not advance during network I/O.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(testTarget) }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	l.conns <- server
	return client, nil
}

// withServer starts an in-memory server and returns a configuration that sends it
// 10 requests/s for 10 s.
func withServer(t *testing.T, handler http.HandlerFunc) Config {
	t.Helper()
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: handler}}
	server.Start()
	t.Cleanup(server.Close)
	return Config{
		Targets: []netip.AddrPort{testTarget}, Dial: l.dial, RunID: "run",
		Kinds: []RequestKind{{Model: "a/1"}}, Arrivals: Constant, Rate: 10, Duration: 10 * time.Second, MaxTokens: 3,
	}
}

// writeTokens writes n tokens. It waits 20 ms before each.
func writeTokens(w http.ResponseWriter, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range n {
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":\"t%d\"}}]}\n\n", i)
		w.(http.Flusher).Flush()
	}
}

func writeDone(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "data: [DONE]\n\n") }

func writeRefusal(w http.ResponseWriter, status int, code, verdict string) {
	w.Header().Set("Content-Type", problemContentType)
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"code":%q,"verdict":%q,"detail":"No."}`, code, verdict)
}

// waitForCaller returns when the caller has disconnected. The server detects that
// only after the body has been read.
func waitForCaller(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}
