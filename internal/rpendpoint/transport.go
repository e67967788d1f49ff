package rpendpoint

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

var errAlreadyWritten = errors.New("the request was already written to another connection")

// requestTracker tracks the connections to which the transport writes one request.
type requestTracker struct {
	cancel context.CancelCauseFunc

	mu   sync.Mutex
	conn *trackedConn
	// request is the number of the request on conn.
	request int
	// wroteEarlier is set if bytes of the request were written to an earlier
	// connection.
	wroteEarlier bool
	// reused says that the connection carried another request before.
	reused bool
	// mayWrite is called before the first byte is written and reports whether the
	// request may still be sent; nil means always.
	mayWrite func() bool
	// bodyLength is the length of the request's body.
	bodyLength int64
}

// trace returns a copy of the request that reports its connections to the tracker.
// It clears GetBody, so that the transport can't send a body twice.
func (t *requestTracker) trace(req *http.Request) *http.Request {
	ctx, cancel := context.WithCancelCause(req.Context())
	t.cancel = cancel
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn, PutIdleConn: t.putIdleConn})
	req = req.WithContext(ctx)
	req.GetBody = nil
	t.bodyLength = req.ContentLength
	return req
}

// gotConn is called before the request is written to a connection. The transport
// may retry a request without a body on a second connection, although the endpoint
// may have run it already. gotConn closes that connection before the first byte.
func (t *requestTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.hasWritten() {
		t.wroteEarlier = true
	}
	t.request = conn.startRequest(t.mayWrite)
	if err := conn.limitAck(t.bodyLength); err != nil {
		// The connection is closed already, or a write fails next.
		t.cancel(err)
	}
	t.conn = conn
	t.reused = info.Reused
	if t.wroteEarlier {
		conn.closeIfUnwritten()
		t.cancel(errAlreadyWritten)
	}
}

// putIdleConn is called when the transport keeps the connection for later requests.
func (t *requestTracker) putIdleConn(err error) {
	t.mu.Lock()
	conn, request := t.conn, t.request
	t.mu.Unlock()
	if err == nil && conn != nil {
		conn.setIdle(request)
	}
}

func (t *requestTracker) reusedConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// connected reports whether a connection was established for the request.
func (t *requestTracker) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil
}

// verdict returns whether a request without a response may have run. If it returns
// NotRun, no byte of the request can be sent any more.
func (t *requestTracker) verdict() rpverdict.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wroteEarlier {
		return rpverdict.MayHaveRun
	}
	if t.conn == nil || t.conn.closeIfUnwritten() {
		return rpverdict.NotRun
	}
	return rpverdict.MayHaveRun
}

// newTransport returns a transport with tracked connections. setup is called for
// each new connection, unless it is nil.
func newTransport(l Limits, keepAlive bool, setup func(net.Conn) error) Transport {
	dial := DialContext(l)
	return Transport{&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if setup != nil {
				if err := setup(conn); err != nil {
					return nil, errors.Join(err, conn.Close())
				}
			}
			return &trackedConn{Conn: conn, ackTimeout: l.AckTimeout}, nil
		},
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxIdleConns:           l.TotalIdleConnections,
		MaxIdleConnsPerHost:    l.IdleConnections,
		IdleConnTimeout:        l.IdleTimeout,
		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}}
}

// resetOnClose makes the kernel reset a connection on close and discard data that
// the other side has not received yet, even if this process is killed.
func resetOnClose(conn net.Conn) error {
	if tracked, ok := conn.(*resetConn); ok {
		conn = tracked.Conn
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.SetLinger(0)
}
