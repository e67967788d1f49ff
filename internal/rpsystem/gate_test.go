package rpsystem

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

type gateMode int

const (
	gateOpen gateMode = iota
	// gateRefuse closes new connections at once.
	gateRefuse
	// gateBlackHole takes new connections and never answers.
	gateBlackHole
)

// gate is a TCP forwarder that can be cut.
type gate struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  gateMode
	conns map[net.Conn]struct{}
	// onAnswer is called once, before the answer to a request that contains
	// all watched texts is passed on.
	watched  []string
	onAnswer func()
}

func withGate(t *testing.T, listen, target netip.AddrPort) *gate {
	t.Helper()
	listener, err := net.Listen("tcp", listen.String())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	g := &gate{listener: listener, target: target.String(), conns: make(map[net.Conn]struct{})}
	go g.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		g.set(gateRefuse)
	})
	return g
}

// set changes the mode and closes all connections.
func (g *gate) set(mode gateMode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = mode
	for conn := range g.conns {
		_ = conn.Close()
	}
	clear(g.conns)
}

// watch calls a function once, before the answer to the first request that
// contains all the texts is passed on.
func (g *gate) watch(onAnswer func(), texts ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watched, g.onAnswer = texts, onAnswer
}

func (g *gate) accept() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		if g.admit(conn) {
			go g.forward(conn)
		}
	}
}

// admit keeps a connection for set and reports whether to forward it.
func (g *gate) admit(conn net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mode == gateRefuse {
		_ = conn.Close()
		return false
	}
	g.conns[conn] = struct{}{}
	return g.mode == gateOpen
}

func (g *gate) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	upstream, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	e := &exchange{gate: g, caller: conn}
	go func() {
		_, _ = io.Copy(upstream, io.TeeReader(conn, (*requestReader)(e)))
		_ = upstream.Close()
	}()
	_, _ = io.Copy(e, upstream)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, conn)
}

// exchange is the request and answer under way on a connection.
type exchange struct {
	gate    *gate
	caller  net.Conn
	mu      sync.Mutex
	request []byte
}

// requestReader collects what the client sends.
type requestReader exchange

func (r *requestReader) Write(data []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.request = append(r.request, data...)
	return len(data), nil
}

// Write passes data of the answer on.
func (e *exchange) Write(data []byte) (int, error) {
	e.mu.Lock()
	request := e.request
	e.request = nil
	e.mu.Unlock()
	if call := e.gate.found(request); call != nil {
		call()
	}
	return e.caller.Write(data)
}

// found returns what to call before the answer to a request.
func (g *gate) found(request []byte) func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, text := range g.watched {
		if !bytes.Contains(request, []byte(text)) {
			return nil
		}
	}
	call := g.onAnswer
	g.onAnswer = nil
	return call
}
