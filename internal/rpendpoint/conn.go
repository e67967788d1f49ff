package rpendpoint

import (
	"errors"
	"net"
	"sync"
)

var errWriteBlocked = errors.New("the connection is sealed: the request was given up")

// trackedConn counts the bytes that a request wrote, so that a failure can be
// called not_run only when none left.
type trackedConn struct {
	net.Conn
	mu           sync.Mutex
	blocked      bool
	activeWrites int
	written      int64
	// mayWrite is asked before the first byte of a request; nil allows it.
	mayWrite func() bool
}

// Write fails once the connection is sealed, and seals it where the request is not
// allowed any more.
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

// startRequest starts the count of a new request.
func (c *trackedConn) startRequest(allowed func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = 0
	c.mayWrite = allowed
}

// hasWritten reports whether a byte of the request left or may be leaving.
func (c *trackedConn) hasWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written > 0 || c.activeWrites > 0
}

// closeIfUnwritten closes the connection unless a byte of the request left. After it
// returns true, none can leave.
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
