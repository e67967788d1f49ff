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
	// onAnswer is called before the answer to a request that contains
	// watched is passed on.
	watched  []byte
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
// contains the text is passed on.
func (g *gate) watch(text string, onAnswer func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watched, g.onAnswer = []byte(text), onAnswer
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
	found := make(chan func(), 1)
	go func() {
		_, _ = io.Copy(upstream, io.TeeReader(conn, &watcher{gate: g, found: found}))
		_ = upstream.Close()
	}()
	_, _ = io.Copy(answerWriter{conn, found}, upstream)
	g.mu.Lock()
	delete(g.conns, conn)
	g.mu.Unlock()
}

// watcher looks for the watched text in what a client sends.
type watcher struct {
	gate  *gate
	found chan func()
	tail  []byte
}

func (w *watcher) Write(data []byte) (int, error) {
	w.gate.mu.Lock()
	defer w.gate.mu.Unlock()
	w.tail = append(w.tail, data...)
	if w.gate.onAnswer != nil && bytes.Contains(w.tail, w.gate.watched) {
		w.found <- w.gate.onAnswer
		w.gate.onAnswer = nil
	}
	w.tail = w.tail[max(0, len(w.tail)-len(w.gate.watched)):]
	return len(data), nil
}

// answerWriter calls what the watcher found before it passes data on.
type answerWriter struct {
	net.Conn
	found chan func()
}

func (w answerWriter) Write(data []byte) (int, error) {
	select {
	case call := <-w.found:
		call()
	default:
	}
	return w.Conn.Write(data)
}
