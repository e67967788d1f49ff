package rpendpoint

import (
	"errors"
	"net"
	"sync"
)

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
