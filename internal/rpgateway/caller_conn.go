package rpgateway

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpcaller"
)

const (
	// retireTimeout limits the wait for callers that have sent a part of a header
	// on a kept connection when a planned stop begins to close connections.
	retireTimeout = time.Second
	// retirePollInterval is the time between two checks of that wait.
	retirePollInterval = 5 * time.Millisecond
	// newConnGrace is the age up to which a connection without a request is not
	// closed by a planned stop. Callers send a request right after they connect.
	newConnGrace = time.Second
	// lastReadTimeout is the time for the last read of an idle connection. It
	// returns at once what has already arrived.
	lastReadTimeout = time.Millisecond
)

// callerConns holds the open connections of callers and closes the idle ones in a
// planned stop. http.Server.Shutdown closes a connection as idle until it has read
// the whole header of the next request. A request that has arrived by then, or of
// which a part has arrived, would end without a response.
//
// It also bounds the number of connections and what arrives on them before a request
// is complete. The zero value is ready to use and has no bounds.
type callerConns struct {
	// budget bounds the memory of requests, including headers that are not
	// complete.
	budget rpcaller.Budget
	// maxOpen is the largest number of open connections; 0 means no bound.
	maxOpen int
	// headerLimits returns the limits of a header; nil means none.
	headerLimits func() headerLimits

	mu       sync.Mutex
	retiring bool
	open     map[*callerConn]bool
	// waiting contains the connections without a request in progress, by the time
	// at which they were accepted, became idle or began to send a header.
	waiting list.List
	stats   connStats
}

// connStats counts connections that ended because of the bounds.
type connStats struct {
	// closed counts those that were closed for a new one, rejected the new ones
	// that were closed because all others had requests in progress, and
	// headerTooLarge those whose header exceeded the limit.
	closed, rejected, headerTooLarge int64
}

// callerListener wraps the connections that it accepts in callerConns.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.add(conn); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// onState is the ConnState hook of the server.
func (s *callerConns) onState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
		s.setWaiting(c, false)
		c.hold.Release()
	case http.StateActive:
		c.setPhase(phaseActive)
		s.setWaiting(c, false)
	case http.StateIdle:
		c.setPhase(phaseIdle)
		s.setWaiting(c, s.open[c])
		if s.retiring {
			c.retire()
		}
	}
}

// retireIdle closes the connections without a request, and those that become idle
// later. It waits until the requests that have begun to arrive are read, at most
// retireTimeout. It returns how many connections it closed at once, and how many
// still have an incomplete header at the end.
func (s *callerConns) retireIdle(ctx context.Context) (closed, incomplete int) {
	s.mu.Lock()
	s.retiring = true
	for c := range s.open {
		if c.retire() {
			closed++
		}
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	ticker := time.NewTicker(retirePollInterval)
	defer ticker.Stop()
	for {
		if incomplete = s.countRetired(); incomplete == 0 {
			return closed, 0
		}
		select {
		case <-ctx.Done():
			return closed, incomplete
		case <-ticker.C:
		}
	}
}

// countRetired counts the retired connections whose next header is not read yet.
func (s *callerConns) countRetired() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.open {
		if c.isRetired() {
			n++
		}
	}
	return n
}

type connPhase int

// The phases of a caller's connection.
const (
	// phaseNew lasts until the first byte arrives.
	phaseNew connPhase = iota
	// phaseIdle lasts from a response to the first byte of the next request.
	phaseIdle
	// phaseHeader lasts from there until the header is read.
	phaseHeader
	// phaseActive lasts from there to the end of the response.
	phaseActive
	connPhases
)

// callerConn is a connection of a caller. retire makes reads fail as soon as
// nothing is left to read, so that net/http closes the connection itself, or serves
// the request that has arrived.
type callerConn struct {
	net.Conn
	conns      *callerConns
	acceptedAt time.Time
	// hold is the memory of the request that arrives or is in progress. Only the
	// goroutine that serves the connection uses it.
	hold rpcaller.Hold
	// header meters the header that arrives. Only Read uses it.
	header headerMeter
	// waiting is the connection's place in conns.waiting, guarded by conns.mu.
	waiting *list.Element

	mu      sync.Mutex
	phase   connPhase
	retired bool
	// deadline is the read deadline that net/http has set last.
	deadline time.Time
	// headerDeadline is the end of the time for the header that arrives; zero means
	// that there is none.
	headerDeadline time.Time
}

// retire ends the wait for the next request, and reports whether the connection
// was idle.
func (c *callerConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseActive, c.phase == phaseNew && time.Since(c.acceptedAt) < newConnGrace:
		return false
	}
	c.retired = true
	if c.phase == phaseHeader {
		return false
	}
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(c.acceptedAt)
	return true
}

func (c *callerConn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired && c.phase != phaseActive
}

// isWaiting reports whether no byte of a request has been read since retire.
// c.mu must be held.
func (c *callerConn) isWaiting() bool { return c.retired && c.phase < phaseHeader }

// setPhase changes the phase. It puts the deadline of net/http in force again when
// a request has begun to arrive.
func (c *callerConn) setPhase(phase connPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changePhase(phase)
}

// changePhase is setPhase with c.mu held.
func (c *callerConn) changePhase(phase connPhase) {
	waiting := c.isWaiting()
	c.phase = phase
	c.headerDeadline = time.Time{}
	if timeout := c.conns.limitsOfHeader().timeout; phase == phaseHeader && timeout > 0 {
		c.headerDeadline = time.Now().Add(timeout)
	}
	if waiting && !c.isWaiting() || !c.headerDeadline.IsZero() {
		_ = c.Conn.SetReadDeadline(c.readDeadline())
	}
}

// readDeadline returns the earlier one of the read deadline of net/http and that of
// the header. c.mu must be held.
func (c *callerConn) readDeadline() time.Time {
	if c.headerDeadline.IsZero() || !c.deadline.IsZero() && c.deadline.Before(c.headerDeadline) {
		return c.deadline
	}
	return c.headerDeadline
}

// Read reads from the connection. On a retired connection it fails if nothing has
// arrived.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.allowLastRead() {
		// A read may miss its deadline although data has arrived.
		n, err = c.Conn.Read(p)
	}
	if n > 0 && c.noteRead() {
		if refusal := c.meterHeader(p[:n]); refusal != nil {
			return 0, refusal
		}
	}
	return n, err
}

func (c *callerConn) allowLastRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isWaiting() && c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout)) == nil
}

// noteRead is called after bytes were read, and reports whether they belong to a
// header.
func (c *callerConn) noteRead() bool {
	c.mu.Lock()
	phase := c.phase
	if phase < phaseHeader {
		c.changePhase(phaseHeader)
	}
	c.mu.Unlock()
	if phase < phaseHeader {
		c.header = headerMeter{}
		c.conns.headerBegan(c)
	}
	return phase <= phaseHeader
}

// SetReadDeadline sets the read deadline, or stores it for the time after the
// first byte if the connection is retired.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.isWaiting() {
		return nil
	}
	if t.IsZero() {
		// net/http clears the deadline when it has read the header.
		c.headerDeadline = t
	}
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// Write writes to the caller. It fails if the caller takes nothing for
// writeTimeout.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// interrupt ends the request that arrives on the connection because its memory is
// needed. A header is cut; the read of a body fails, and the request is refused.
func (c *callerConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// An error means that the connection is closed already.
	if c.phase == phaseActive {
		_ = c.Conn.SetReadDeadline(c.acceptedAt)
		return
	}
	_ = c.Conn.Close()
}

// CloseWrite closes the sending direction. net/http does so after the last
// response, before it closes the connection.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets the behaviour of Close, as for a net.TCPConn.
func (c *callerConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}
