package rpendpoint

import (
	"errors"
	"net"
	"sync"
)

var errSealed = errors.New("the connection is sealed: the request was given up")

// trackedConn counts the bytes that a request wrote, so that a failure can be
// called not_run only when none left.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	sealed  bool
	writing int
	written int64
	// allowed is asked before the first byte of a request; nil allows it.
	allowed func() bool
}

// Write fails once the connection is sealed, and seals it where the request is not
// allowed any more.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.written == 0 && c.allowed != nil && !c.allowed() {
		c.sealed = true
	}
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing--
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

// begin starts the count of a new request.
func (c *trackedConn) begin(allowed func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = 0
	c.allowed = allowed
}

// touched reports whether a byte of the request left or may be leaving.
func (c *trackedConn) touched() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written > 0 || c.writing > 0
}

// seal closes the connection unless a byte of the request left. After it
// returns true, none can leave.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	if c.written > 0 || c.writing > 0 {
		c.mu.Unlock()
		return false
	}
	c.sealed = true
	c.mu.Unlock()
	c.Conn.Close()
	return true
}
