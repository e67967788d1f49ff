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

type proxyMode int

const (
	proxyForward proxyMode = iota
	// proxyRefuse closes new connections immediately.
	proxyRefuse
	// proxyBlackHole accepts new connections and never answers.
	proxyBlackHole
)

// tcpProxy is a TCP forwarder that a test can cut off.
type tcpProxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]struct{}
	// onAnswer is called once, before the proxy forwards the answer to a
	// request that contains all watched texts.
	watchedTexts []string
	onAnswer     func()
}

func withTCPProxy(t *testing.T, listen, target netip.AddrPort) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", listen.String())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	p := &tcpProxy{listener: listener, target: target.String(), conns: make(map[net.Conn]struct{})}
	go p.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		p.setMode(proxyRefuse)
	})
	return p
}

// setMode changes the mode and closes all connections.
func (p *tcpProxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for conn := range p.conns {
		_ = conn.Close()
	}
	clear(p.conns)
}

// watch makes the proxy call onAnswer once, before it forwards the answer to the
// first request that contains all the texts.
func (p *tcpProxy) watch(onAnswer func(), texts ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchedTexts, p.onAnswer = texts, onAnswer
}

func (p *tcpProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.admit(conn) {
			go p.forward(conn)
		}
	}
}

// admit registers a connection, so that setMode can close it, and reports
// whether to forward it.
func (p *tcpProxy) admit(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == proxyRefuse {
		_ = conn.Close()
		return false
	}
	p.conns[conn] = struct{}{}
	return p.mode == proxyForward
}

func (p *tcpProxy) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	e := &exchange{proxy: p, client: conn}
	go func() {
		_, _ = io.Copy(upstream, io.TeeReader(conn, (*requestRecorder)(e)))
		_ = upstream.Close()
	}()
	_, _ = io.Copy(e, upstream)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// exchange is the request in progress on a connection and its answer.
type exchange struct {
	proxy        *tcpProxy
	client       net.Conn
	mu           sync.Mutex
	requestBytes []byte
}

// requestRecorder collects the bytes that the client sends.
type requestRecorder exchange

func (r *requestRecorder) Write(data []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestBytes = append(r.requestBytes, data...)
	return len(data), nil
}

// Write forwards data of the answer to the client.
func (e *exchange) Write(data []byte) (int, error) {
	e.mu.Lock()
	request := e.requestBytes
	e.requestBytes = nil
	e.mu.Unlock()
	if call := e.proxy.matchedCallback(request); call != nil {
		call()
	}
	return e.client.Write(data)
}

// matchedCallback returns the function to call before the answer to a request is
// forwarded, or nil.
func (p *tcpProxy) matchedCallback(request []byte) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, text := range p.watchedTexts {
		if !bytes.Contains(request, []byte(text)) {
			return nil
		}
	}
	call := p.onAnswer
	p.onAnswer = nil
	return call
}
