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

// requestTracker follows one HTTP request through the transport.
type requestTracker struct {
	cancel context.CancelCauseFunc

	mu   sync.Mutex
	conn *trackedConn
	// wroteEarlier says that an earlier connection took bytes of the request.
	wroteEarlier bool
	// mayWrite is asked before the first byte leaves; nil allows it.
	mayWrite func() bool
}

// trace returns a request that reports its connections to the exchange.
// GetBody is cleared so that the transport can't send a body twice.
func (x *requestTracker) trace(req *http.Request) *http.Request {
	ctx, cancel := context.WithCancelCause(req.Context())
	x.cancel = cancel
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn})
	req = req.WithContext(ctx)
	req.GetBody = nil
	return req
}

// gotConn runs before the request is written. The transport may repeat a
// request without a body on a second connection, although the endpoint may
// have run it; that connection is sealed before the first byte.
func (x *requestTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil && x.conn.hasWritten() {
		x.wroteEarlier = true
	}
	conn.startRequest(x.mayWrite)
	x.conn = conn
	if x.wroteEarlier {
		conn.closeIfUnwritten()
		x.cancel(errAlreadyWritten)
	}
}

// connected reports whether the request got a connection.
func (x *requestTracker) connected() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.conn != nil
}

// verdict says whether a request without an answer may have run. After
// NotRun, no byte of it can leave any more.
func (x *requestTracker) verdict() rpverdict.Verdict {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.wroteEarlier {
		return rpverdict.MayHaveRun
	}
	if x.conn == nil || x.conn.closeIfUnwritten() {
		return rpverdict.NotRun
	}
	return rpverdict.MayHaveRun
}

// newTransport returns a transport of tracked connections. setup is applied to
// each new connection; nil stands for none.
func newTransport(l Limits, keepAlive bool, setup func(net.Conn) error) *http.Transport {
	dialer := NewDialer(l)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if setup != nil {
				if err := setup(conn); err != nil {
					return nil, errors.Join(err, conn.Close())
				}
			}
			return &trackedConn{Conn: conn}, nil
		},
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    l.IdleConnections,
		IdleConnTimeout:        l.IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// resetOnClose makes the end of a connection discard what the other side has
// not received yet, also where this process is killed.
func resetOnClose(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.SetLinger(0)
}
