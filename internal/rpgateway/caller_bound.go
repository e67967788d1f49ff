package rpgateway

import (
	"net"
	"time"
)

// add adds a new connection. At the bound, it closes the one that has waited for
// longest. If all have requests in progress, it returns nil, and gives up the one
// whose body arrives most slowly.
func (s *callerConns) add(conn net.Conn) *callerConn {
	limitKernelBuffers(conn)
	c := &callerConn{Conn: conn, conns: s, acceptedAt: time.Now()}
	c.hold.Budget, c.hold.Evict = &s.budget, c.interrupt
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.maxOpen > 0 && len(s.open) >= s.maxOpen {
		if !s.closeLongestWaiting() {
			// A body that has stopped arriving leaves its connection to the next
			// new one.
			s.budget.EvictOldest()
			s.stats.rejected++
			return nil
		}
	}
	if s.open == nil {
		s.open = map[*callerConn]bool{}
	}
	s.open[c] = true
	s.setWaiting(c, true)
	return c
}

// closeLongestWaiting closes the connection that has waited for longest, and reports
// whether there was one. s.mu must be held.
func (s *callerConns) closeLongestWaiting() bool {
	first := s.waiting.Front()
	if first == nil {
		return false
	}
	c := first.Value.(*callerConn)
	s.setWaiting(c, false)
	delete(s.open, c)
	s.stats.closed++
	// Its goroutine then ends with a failed read.
	_ = c.Conn.Close()
	return true
}

// setWaiting puts a connection at the end of the waiting ones, or takes it out. s.mu
// must be held.
func (s *callerConns) setWaiting(c *callerConn, waiting bool) {
	if c.waiting != nil {
		s.waiting.Remove(c.waiting)
		c.waiting = nil
	}
	if waiting {
		c.waiting = s.waiting.PushBack(c)
	}
}

// headerBegan is called when the first byte of a request has arrived.
func (s *callerConns) headerBegan(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.waiting != nil {
		s.setWaiting(c, true)
	}
}
