package rpendpoint

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// maxWindowBody is the length of a body that fits into the receive window of an
// endpoint that does not read yet.
const maxWindowBody = 32 << 10

var errWriteBlocked = errors.New("the request was given up; writes to its connection are blocked")

// trackedConn counts the bytes of the current request that were written. A
// failure gets the verdict not_run only if there were none.
type trackedConn struct {
	net.Conn
	mu           sync.Mutex
	blocked      bool
	activeWrites int
	written      int64
	// mayWrite is called before the first byte of a request and reports whether
	// it may still be written; nil means always.
	mayWrite func() bool
	// requests counts the requests that used the connection.
	requests int
	// idle says that the connection is kept without a request, and retired that
	// it is closed when it is next idle.
	idle, retired bool
	// onClose is called once, when the connection is closed; nil means nothing.
	onClose func()
	// ackTimeout is the AckTimeout of the limits; 0 means that none is set.
	ackTimeout time.Duration
	// unlimitedAck says that the connection has no AckTimeout now.
	unlimitedAck bool
}

// limitAck applies the AckTimeout, or removes it for a request with a long body: a
// sound endpoint may read it late, and the kernel counts the time in which the receive
// window is closed although the endpoint's host acknowledges all probes. After the
// body, keep-alive probes still detect a host that is down.
func (c *trackedConn) limitAck(bodyLength int64) error {
	unlimited := bodyLength > maxWindowBody
	conn, ok := c.Conn.(syscall.Conn)
	c.mu.Lock()
	unchanged := unlimited == c.unlimitedAck
	c.unlimitedAck = unlimited
	c.mu.Unlock()
	if !ok || unchanged || c.ackTimeout == 0 {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	if unlimited {
		return setAckTimeout(raw, 0)
	}
	return setAckTimeout(raw, c.ackTimeout)
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	onClose := c.onClose
	c.onClose = nil
	c.mu.Unlock()
	if onClose != nil {
		onClose()
	}
	return c.Conn.Close()
}

// setIdle marks the connection as idle after the request with the given number,
// or closes it if it is retired. The transport may report this only after the
// next request has begun to use the connection.
func (c *trackedConn) setIdle(request int) {
	c.mu.Lock()
	if c.requests != request {
		c.mu.Unlock()
		return
	}
	c.idle = true
	retired := c.retired
	c.blocked = c.blocked || retired
	c.mu.Unlock()
	if retired {
		_ = c.Close()
	}
}

// retire closes the connection, or lets setIdle close it if a request is in
// progress.
func (c *trackedConn) retire() {
	c.mu.Lock()
	c.retired = true
	idle := c.idle
	// The transport may take the connection before it is closed.
	c.blocked = c.blocked || idle
	c.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}

// Write fails if writes are blocked. It blocks them if mayWrite no longer permits
// the request.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.written == 0 && c.mayWrite != nil && !c.mayWrite() {
		c.blocked = true
	}
	if c.blocked {
		c.mu.Unlock()
		return 0, errWriteBlocked
	}
	c.activeWrites++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.activeWrites--
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

// startRequest resets the byte count for a new request. It returns the number of
// the request on this connection.
func (c *trackedConn) startRequest(mayWrite func() bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.idle = false
	c.written = 0
	c.mayWrite = mayWrite
	return c.requests
}

// hasWritten reports whether a byte of the request was written or a write is in
// progress.
func (c *trackedConn) hasWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written > 0 || c.activeWrites > 0
}

// closeIfUnwritten blocks writes and closes the connection, unless hasWritten. If
// it returns true, no byte of the request can be sent any more.
func (c *trackedConn) closeIfUnwritten() bool {
	c.mu.Lock()
	if c.written > 0 || c.activeWrites > 0 {
		c.mu.Unlock()
		return false
	}
	c.blocked = true
	c.mu.Unlock()
	_ = c.Close()
	return true
}
