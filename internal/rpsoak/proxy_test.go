package rpsoak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// linkMode is how a proxy treats the connections to its target.
type linkMode int32

const (
	linkPass linkMode = iota
	// linkDelay delays each chunk by linkDelayTime.
	linkDelay
	// linkReset resets all open and new connections.
	linkReset
	// linkSilent forwards nothing and keeps connections open.
	linkSilent
	// linkOneWay forwards requests and holds responses back.
	linkOneWay
	linkModes
)

const linkDelayTime = 50 * time.Millisecond

// proxy forwards TCP connections to a target and injects faults.
type proxy struct {
	listener net.Listener
	target   atomic.Pointer[netip.AddrPort]
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, conns: map[net.Conn]bool{}}
	p.target.Store(&target)
	go p.accept()
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *proxy) setMode(mode linkMode) {
	p.mode.Store(int32(mode))
	if mode == linkReset {
		p.resetAll()
	}
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(conn)
	}
}

func (p *proxy) connect(client net.Conn) {
	p.track(client)
	if linkMode(p.mode.Load()) == linkReset {
		p.resetAll()
		return
	}
	server, err := net.Dial("tcp", p.target.Load().String())
	if err != nil {
		p.resetOnClose(client)
		p.untrack(client)
		return
	}
	p.track(server)
	go p.pipe(server, client, false)
	p.pipe(client, server, true)
}

func (p *proxy) track(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
}

func (p *proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

// chunkBuffer is the number of chunks that a proxy buffers per direction.
const chunkBuffer = 64

// pipe copies one direction of a connection as the current mode allows. If the
// sender resets the connection, held-back data is dropped, as in a real network.
func (p *proxy) pipe(to, from net.Conn, isResponse bool) {
	defer p.untrack(to)
	defer p.untrack(from)
	chunks := make(chan []byte, chunkBuffer)
	var reset atomic.Bool
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				chunks <- buf[:n]
			}
			if err != nil {
				reset.Store(err != io.EOF)
				return
			}
		}
	}()
	for chunk := range chunks {
		for p.blocked(isResponse) && !reset.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		if linkMode(p.mode.Load()) == linkDelay {
			time.Sleep(linkDelayTime)
		}
		if p.blocked(isResponse) {
			break
		}
		if _, err := to.Write(chunk); err != nil {
			break
		}
	}
	if reset.Load() {
		p.resetOnClose(to)
	}
	p.untrack(from)
	for range chunks {
		// Drains the channel until the reader ends, which it does because its
		// connection is closed.
	}
}

func (p *proxy) blocked(isResponse bool) bool {
	mode := linkMode(p.mode.Load())
	return mode == linkSilent || mode == linkOneWay && isResponse
}

// resetOnClose makes the close of a connection reset it, so that a truncated
// response does not end cleanly.
func (p *proxy) resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
