package rpsystem

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// datagramBytes exceeds the size of any datagram between instances.
const datagramBytes = 64 << 10

// peerNetwork holds the pairs of failure domains between which the forwarders
// drop datagrams.
type peerNetwork struct {
	mu  sync.Mutex
	cut map[[2]int]bool
}

func domainPair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (n *peerNetwork) isCut(a, b int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[domainPair(a, b)]
}

func (n *peerNetwork) setCut(a, b int, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[[2]int]bool)
	}
	n.cut[domainPair(a, b)] = cut
}

// domainOfAddress returns the failure domain that an address belongs to.
func domainOfAddress(address netip.Addr) int { return int(address.Unmap().As4()[2]) - domainOctet }

// udpForwarder forwards datagrams to and from the peer port of one instance. It
// tells the failure domain of a sender by the address.
type udpForwarder struct {
	network  *peerNetwork
	target   netip.AddrPort
	listener *net.UDPConn

	mu      sync.Mutex
	sockets map[netip.AddrPort]*net.UDPConn
}

func withUDPForwarder(t *testing.T, network *peerNetwork, listen, target netip.AddrPort) {
	t.Helper()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	f := &udpForwarder{network: network, target: target, listener: socket, sockets: make(map[netip.AddrPort]*net.UDPConn)}
	go f.run()
	t.Cleanup(f.close)
}

func (f *udpForwarder) run() {
	buffer := make([]byte, datagramBytes)
	for {
		n, from, err := f.listener.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if path := f.socketFor(from); path != nil && !f.isCut(from) {
			_, _ = path.Write(buffer[:n])
		}
	}
}

func (f *udpForwarder) isCut(from netip.AddrPort) bool {
	return f.network.isCut(domainOfAddress(from.Addr()), domainOfAddress(f.target.Addr()))
}

// socketFor returns the socket that forwards the datagrams of one sender. Each
// sender has its own, so that answers can be returned to it.
func (f *udpForwarder) socketFor(from netip.AddrPort) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if path := f.sockets[from]; path != nil {
		return path
	}
	path, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(f.target))
	if err != nil {
		return nil
	}
	f.sockets[from] = path
	go f.forwardAnswers(path, from)
	return path
}

func (f *udpForwarder) forwardAnswers(path *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, datagramBytes)
	for {
		n, err := path.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		// Other errors mean that no process listens at the target now.
		if err == nil && !f.isCut(to) {
			_, _ = f.listener.WriteToUDPAddrPort(buffer[:n], to)
		}
	}
}

func (f *udpForwarder) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, path := range f.sockets {
		_ = path.Close()
	}
}
