package rpendpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// ErrReset means that the other side reset the connection. It is io.ErrUnexpectedEOF.
var ErrReset = fmt.Errorf("the connection was reset while the request was written: %w", io.ErrUnexpectedEOF)

// resetConn tells a reset from an end of the connection. The kernel reports a reset
// once: if a write gets it, the next read finds a plain end, which would complete a
// response without a length.
type resetConn struct {
	net.Conn
	// writes is held for reading by each write in progress.
	writes sync.RWMutex
	// writeFailed says that a write failed for another reason than the deadline that
	// wasReset sets.
	writeFailed atomic.Bool
}

// DialContext returns a dial function for an http.Transport. Its connections are those
// of NewDialer, and their reads fail after a reset.
func DialContext(l Limits) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := NewDialer(l)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &resetConn{Conn: conn}, nil
	}
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.wasReset() {
		err = ErrReset
	}
	return n, err
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writes.RLock()
	defer c.writes.RUnlock()
	n, err := c.Conn.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeFailed.Store(true)
	}
	return n, err
}

// wasReset reports whether a write has got the reset of the connection. A write in
// progress may be about to report it, so wasReset ends such a write: the other side has
// ended the connection and needs no more of the request.
func (c *resetConn) wasReset() bool {
	if !c.writes.TryLock() {
		if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
			// The connection is closed, so the write ends.
			return true
		}
		c.writes.Lock()
	}
	defer c.writes.Unlock()
	return c.writeFailed.Load()
}

// SyscallConn implements syscall.Conn.
func (c *resetConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}
