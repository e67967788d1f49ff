package rppeer

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// eventTimeout is the timeout for events that must happen. No passing test waits
// that long.
const eventTimeout = 20 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func withAuthority(t testing.TB) *Authority {
	t.Helper()
	authority, err := NewAuthority(time.Hour)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return authority
}

func withCredentials(t testing.TB, authority *Authority, id rpcore.InstanceID) Credentials {
	t.Helper()
	g := NewWithT(t)
	issued, err := authority.Issue(id, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	credentials, err := ParseCredentials(authority.PEM(), issued.Certificate, issued.Key)
	g.Expect(err).NotTo(HaveOccurred())
	return credentials
}

// testLinks records the events of a Links in channels.
type testLinks struct {
	*Links
	received chan rpcore.PeerReceived
	lost     chan rpcore.InstanceID
}

// withLinks starts a Links. If change is not nil, it is called before the start.
func withLinks(t testing.TB, authority *Authority, id rpcore.InstanceID, change func(*Links)) *testLinks {
	t.Helper()
	links := &testLinks{
		received: make(chan rpcore.PeerReceived, 1000),
		lost:     make(chan rpcore.InstanceID, 1000),
	}
	links.Links = &Links{Self: id, Listen: loopback, Credentials: withCredentials(t, authority, id), QueueAge: eventTimeout, Post: links.recordEvent}
	if change != nil {
		change(links.Links)
	}
	NewWithT(t).Expect(links.Start()).To(Succeed())
	t.Cleanup(links.abort)
	return links
}

func (l *testLinks) recordEvent(ev rpcore.Event) {
	switch ev := ev.(type) {
	case rpcore.PeerReceived:
		l.received <- ev
	case rpcore.PeerLost:
		l.lost <- ev.Peer
	}
}

// abort closes the links without sending queued messages.
func (l *testLinks) abort() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = l.Close(ctx)
}

func (l *testLinks) sendDemand(to *testLinks, waiting int) {
	l.SendPeer(rpcore.SendPeer{
		To: to.Self, Address: to.Addr(),
		Message: rpcore.PeerMessage{Demand: &rpcore.Demand{Waiting: waiting}},
	})
}

// Guards against messages that are lost, reordered or attributed to another
// instance while both directions work, and against a Close that drops the last
// messages or does not inform the peer.
func TestMessagesArriveInOrder(t *testing.T) {
	const messages = 50 // Less than maxQueuedFrames.
	g := NewWithT(t)
	authority := withAuthority(t)
	a, b := withLinks(t, authority, "a", nil), withLinks(t, authority, "b/1 ü", nil)
	for n := range messages {
		a.sendDemand(b, n)
		b.sendDemand(a, n)
	}
	for n := range messages {
		var atA, atB rpcore.PeerReceived
		g.Eventually(b.received).WithTimeout(eventTimeout).Should(Receive(&atB))
		g.Eventually(a.received).WithTimeout(eventTimeout).Should(Receive(&atA))
		g.Expect([]any{atB.From, atB.Message.Demand.Waiting}).To(Equal([]any{a.Self, n}))
		g.Expect([]any{atA.From, atA.Message.Demand.Waiting}).To(Equal([]any{b.Self, n}))
	}
	a.sendDemand(b, messages)
	g.Expect(a.Close(t.Context())).To(Succeed())
	var last rpcore.PeerReceived
	g.Eventually(b.received).WithTimeout(eventTimeout).Should(Receive(&last))
	g.Expect(last.Message.Demand.Waiting).To(Equal(messages))
	g.Eventually(b.lost).WithTimeout(eventTimeout).Should(Receive(Equal(a.Self)))
	a.sendDemand(b, 0) // Close drops later messages.
}

// Guards against accepting or dialing an instance whose certificate is of another
// authority.
func TestPeerOfAnotherAuthority(t *testing.T) {
	g := NewWithT(t)
	authority := withAuthority(t)
	b := withLinks(t, authority, "b", nil)
	untrusted := withLinks(t, withAuthority(t), "a", nil)
	_, err := untrusted.dialWithTLS(t, b, untrusted.Credentials.clientTLS("b"))
	g.Expect(err).To(MatchError(ContainSubstring("unknown authority")))

	// If the untrusted instance trusts b's authority, b still rejects it.
	untrusted.Credentials.Authority = b.Credentials.Authority
	conn, err := untrusted.dialWithTLS(t, b, untrusted.Credentials.clientTLS("b"))
	if err == nil {
		g.Eventually(conn.Context().Done()).WithTimeout(eventTimeout).Should(BeClosed())
		err = context.Cause(conn.Context())
	}
	g.Expect(err).To(MatchError(ContainSubstring("CRYPTO_ERROR")))
	trusted := withLinks(t, authority, "c", nil)
	trusted.sendDemand(b, 1)
	g.Eventually(b.received).WithTimeout(eventTimeout).Should(Receive(HaveField("From", trusted.Self)))
	g.Expect(b.received).To(BeEmpty())
}

// Guards against delivering a message to the wrong instance after its address was
// reassigned.
func TestWrongInstanceAtTheAddress(t *testing.T) {
	g := NewWithT(t)
	authority := withAuthority(t)
	a, b := withLinks(t, authority, "a", nil), withLinks(t, authority, "b", nil)
	_, err := a.dialWithTLS(t, b, a.Credentials.clientTLS("c"))
	g.Expect(err).To(MatchError(ContainSubstring(`it names the instance "b" in place of "c"`)))
}

// dialWithTLS connects with the given TLS configuration.
func (l *testLinks) dialWithTLS(t *testing.T, to *testLinks, config *tls.Config) (*quic.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	return l.transport.Dial(ctx, net.UDPAddrFromAddrPort(to.Addr()), config, l.config(0))
}

// Guards against a peer that impersonates another instance or exhausts memory, and
// against closing a connection because of an unknown or malformed message.
func TestMisbehavingPeer(t *testing.T) {
	encodeDemand := func(from rpcore.InstanceID) []byte {
		frame, err := encodeFrame(&Envelope{Version: 99, From: from, Message: rpcore.PeerMessage{Demand: &rpcore.Demand{Waiting: 1}}})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return frame
	}
	cases := map[string]struct {
		frame      []byte
		wantClosed bool
	}{
		"wrong sender":  {encodeDemand("c"), true},
		"oversize":      {binary.BigEndian.AppendUint32(nil, FrameLimit+1), true},
		"not CBOR":      {[]byte{0, 0, 0, 1, 0xff}, false},
		"empty frame":   {[]byte{0, 0, 0, 0}, false},
		"newer version": {encodeDemand("a"), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			authority := withAuthority(t)
			a, b := withLinks(t, authority, "a", nil), withLinks(t, authority, "b", nil)
			conn, err := a.dialWithTLS(t, b, a.Credentials.clientTLS("b"))
			g.Expect(err).NotTo(HaveOccurred())
			stream, err := conn.OpenUniStream()
			g.Expect(err).NotTo(HaveOccurred())
			_, err = stream.Write(append(c.frame, encodeDemand("a")...))
			g.Expect(err).NotTo(HaveOccurred())
			if c.wantClosed {
				g.Eventually(conn.Context().Done()).WithTimeout(eventTimeout).Should(BeClosed())
				g.Eventually(b.lost).WithTimeout(eventTimeout).Should(Receive(Equal(a.Self)))
				g.Expect(b.received).To(BeEmpty())
				return
			}
			g.Eventually(b.received).WithTimeout(eventTimeout).Should(Receive(HaveField("From", a.Self)))
			g.Expect(b.lost).To(BeEmpty())
		})
	}
}

// Guards against a peer that stays unreachable after a restart on the same
// address, and against a missing PeerLost event.
func TestReconnectAfterRestart(t *testing.T) {
	g := NewWithT(t)
	authority := withAuthority(t)
	a, b := withLinks(t, authority, "a", nil), withLinks(t, authority, "b", nil)
	address := b.Addr()
	g.Eventually(a.sendUntilReceived(b)).WithTimeout(eventTimeout).Should(BeTrue())
	b.abort()
	g.Eventually(a.lost).WithTimeout(eventTimeout).Should(Receive(Equal(b.Self)))
	restarted := withLinks(t, authority, "b", func(l *Links) { l.Listen = address })
	g.Eventually(a.sendUntilReceived(restarted)).WithTimeout(eventTimeout).Should(BeTrue())
}

// sendUntilReceived returns a function that sends a message and reports whether
// one has arrived. Each call sends again, because messages may be lost.
func (l *testLinks) sendUntilReceived(to *testLinks) func() bool {
	return func() bool {
		l.sendDemand(to, 1)
		return len(to.received) > 0
	}
}

// partitionSocket drops outgoing packets while partitioned is set.
type partitionSocket struct {
	net.PacketConn
	partitioned *atomic.Bool
}

func (s partitionSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	if s.partitioned.Load() {
		return len(p), nil
	}
	return s.PacketConn.WriteTo(p, to)
}

// Guards against a partition without a PeerLost event while messages are sent,
// and against connections that are not restored after it.
func TestPartition(t *testing.T) {
	g := NewWithT(t)
	authority := withAuthority(t)
	var partitioned atomic.Bool
	configure := func(l *Links) {
		l.IdleTimeout = 300 * time.Millisecond
		l.ListenPacket = func(listen netip.AddrPort) (net.PacketConn, error) {
			socket, err := listenUDP(listen)
			return partitionSocket{socket, &partitioned}, err
		}
	}
	a, b := withLinks(t, authority, "a", configure), withLinks(t, authority, "b", configure)
	g.Eventually(a.sendUntilReceived(b)).WithTimeout(eventTimeout).Should(BeTrue())
	partitioned.Store(true)
	g.Eventually(func() int {
		a.sendDemand(b, 2)
		return len(a.lost)
	}).WithTimeout(eventTimeout).Should(BeNumerically(">", 0))
	for len(b.received) > 0 {
		<-b.received
	}
	partitioned.Store(false)
	g.Eventually(a.sendUntilReceived(b)).WithTimeout(eventTimeout).Should(BeTrue())
}

// Guards against a queue that grows without limit or drops new messages instead
// of old ones while a peer is unreachable.
func TestQueueDropsOldest(t *testing.T) {
	g := NewWithT(t)
	lk := newLink(&Links{QueueAge: eventTimeout}, "b")
	for n := range 3 * maxQueuedFrames {
		lk.enqueue(loopback, fmt.Append(nil, n))
	}
	g.Expect(lk.queue).To(HaveLen(maxQueuedFrames))
	g.Expect(string(lk.dequeue())).To(Equal(fmt.Sprint(2 * maxQueuedFrames)))
	for range 10 {
		lk.enqueue(loopback, make([]byte, FrameLimit))
	}
	g.Expect(lk.queuedBytes).To(BeNumerically("<=", maxQueuedBytes))
	g.Expect(lk.dequeue()).To(HaveLen(FrameLimit))
}
