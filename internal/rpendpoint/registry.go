package rpendpoint

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// connRegistry holds the open connections of a transport by the address of their
// endpoint. The transport itself can only close the idle connections to all
// endpoints at once. The zero value is ready to use.
type connRegistry struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]map[*trackedConn]struct{}
}

// watch adds the connections that a transport of newTransport opens from now on.
func (c *connRegistry) watch(t Transport) {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tracked, ok := conn.(*trackedConn); ok {
			c.add(tracked)
		}
		return conn, nil
	}
}

func (c *connRegistry) add(conn *trackedConn) {
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return
	}
	address := tcp.AddrPort()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[netip.AddrPort]map[*trackedConn]struct{}{}
	}
	if c.conns[address] == nil {
		c.conns[address] = map[*trackedConn]struct{}{}
	}
	c.conns[address][conn] = struct{}{}
	conn.onClose = func() { c.remove(address, conn) }
}

func (c *connRegistry) remove(address netip.AddrPort, conn *trackedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns[address], conn)
	if len(c.conns[address]) == 0 {
		delete(c.conns, address)
	}
}

// retire closes the connections to an address, each once it is idle.
func (c *connRegistry) retire(address netip.AddrPort) {
	c.mu.Lock()
	conns := make([]*trackedConn, 0, len(c.conns[address]))
	for conn := range c.conns[address] {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	for _, conn := range conns {
		conn.retire()
	}
}
