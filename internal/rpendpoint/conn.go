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

// startRequest resets the byte count for a new request.
func (c *trackedConn) startRequest(mayWrite func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = 0
	c.mayWrite = mayWrite
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
	c.Conn.Close()
	return true
}
