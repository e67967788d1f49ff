package rppeer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	// DefaultIdleTimeout is five heartbeats.
	DefaultIdleTimeout = 5 * time.Second
	// DefaultQueueAge is twice the time after which heartbeats, demands and
	// ticket requests are repeated.
	DefaultQueueAge = 2 * time.Second

	dialTimeout = 2 * time.Second
	// maxLinks bounds the links of each direction. An instance of the
	// designed size has about 70 peers.
	maxLinks = 1024
	// The receive windows bound the memory of a link. The larger one holds
	// two frames of the largest size.
	initialWindow = 64 << 10
	maxWindow     = 2 * FrameLimit
)

// Codes with which connections are closed.
const (
	codeDone           quic.ApplicationErrorCode = 0
	codeProtocol       quic.ApplicationErrorCode = 1
	codeAddressChanged quic.ApplicationErrorCode = 2
	codeOverloaded     quic.ApplicationErrorCode = 3
	codeStopped        quic.ApplicationErrorCode = 4
)

// Links holds the connections to and from other instances. Its exported
// fields must be set before Start.
type Links struct {
	// Self is the id in this instance's certificate.
	Self        rpcore.InstanceID
	Listen      netip.AddrPort
	Credentials Credentials
	// IdleTimeout is the time without a packet of the peer after which a link
	// counts as broken; 0 is DefaultIdleTimeout.
	IdleTimeout time.Duration
	// QueueAge bounds how late a message is sent; older ones are dropped. 0 is
	// DefaultQueueAge.
	QueueAge time.Duration
	// ListenPacket opens the socket. Nil opens a UDP socket.
	ListenPacket func(netip.AddrPort) (net.PacketConn, error)
	// Post takes the events. It must be safe for concurrent use; while it
	// blocks, the senders are slowed down.
	Post func(rpcore.Event)
	// Tick returns the clock that goes out with a message, and Merge takes in
	// the clock of a received one before the message is posted. Both may be
	// nil. Merge must be safe for concurrent use.
	Tick  func() rptimeline.Clock
	Merge func(rptimeline.Clock)
	// Log gets failures; its zero value drops them.
	Log zerolog.Logger

	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	// closingCtx ends with the begin of Close, stopped when its context ends.
	closingCtx context.Context
	close      context.CancelFunc
	abortCtx   context.Context
	abortAll   context.CancelFunc
	goroutines sync.WaitGroup

	mu       sync.Mutex
	links    map[rpcore.InstanceID]*link
	incoming map[*quic.Conn]struct{}
}

// Start opens the socket and accepts connections.
func (l *Links) Start() error {
	if l.ListenPacket == nil {
		l.ListenPacket = listenUDP
	}
	resetKey, err := l.Credentials.statelessResetKey()
	if err != nil {
		return err
	}
	if l.socket, err = l.ListenPacket(l.Listen); err != nil {
		return trace.Wrap(err)
	}
	l.transport = &quic.Transport{Conn: l.socket, StatelessResetKey: resetKey}
	if l.listener, err = l.transport.Listen(l.Credentials.serverTLS(), l.config(1)); err != nil {
		_ = l.transport.Close()
		_ = l.socket.Close()
		return trace.Wrap(err)
	}
	l.closingCtx, l.close = context.WithCancel(context.Background())
	l.abortCtx, l.abortAll = context.WithCancel(context.Background())
	l.links = make(map[rpcore.InstanceID]*link)
	l.incoming = make(map[*quic.Conn]struct{})
	l.goroutines.Go(l.acceptConnections)
	return nil
}

func listenUDP(listen netip.AddrPort) (net.PacketConn, error) {
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
}

// Addr returns the address of the socket after Start.
func (l *Links) Addr() netip.AddrPort {
	if udp, ok := l.socket.LocalAddr().(*net.UDPAddr); ok {
		return udp.AddrPort()
	}
	return l.Listen
}

// config allows the peer a number of unidirectional streams. Probes for a
// larger packet size are off: they cost several packets per connection, and
// the messages are small.
func (l *Links) config(streams int64) *quic.Config {
	if streams == 0 {
		streams = -1 // 0 would stand for the default of quic-go.
	}
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 l.idleTimeout(),
		MaxIncomingStreams:             -1,
		MaxIncomingUniStreams:          streams,
		InitialStreamReceiveWindow:     initialWindow,
		InitialConnectionReceiveWindow: initialWindow,
		MaxStreamReceiveWindow:         maxWindow,
		MaxConnectionReceiveWindow:     maxWindow,
		DisablePathMTUDiscovery:        true,
	}
}

func (l *Links) idleTimeout() time.Duration {
	if l.IdleTimeout > 0 {
		return l.IdleTimeout
	}
	return DefaultIdleTimeout
}

func (l *Links) queueAge() time.Duration {
	if l.QueueAge > 0 {
		return l.QueueAge
	}
	return DefaultQueueAge
}

// SendPeer queues a message for another instance. It encodes the message
// before it returns, because the reducer may go on to change what it refers
// to.
func (l *Links) SendPeer(effect rpcore.SendPeer) {
	envelope := Envelope{Version: Version, From: l.Self, Message: effect.Message}
	if l.Tick != nil {
		envelope.Clock = uint64(l.Tick())
	}
	frame, err := encodeFrame(&envelope)
	if err != nil {
		l.Log.Error().Err(err).Str("peer", string(effect.To)).Msg("a message can't be sent")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links == nil || l.closingCtx.Err() != nil {
		return
	}
	to := l.links[effect.To]
	if to == nil {
		if len(l.links) >= maxLinks {
			l.Log.Error().Str("peer", string(effect.To)).Msg("too many links")
			return
		}
		to = newLink(l, effect.To)
		l.links[effect.To] = to
		l.goroutines.Go(to.run)
	}
	to.enqueue(effect.Address, frame)
}

// removeIdle removes a link that has nothing to send. It reports whether it
// did.
func (l *Links) removeIdle(idle *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !idle.queueEmpty() {
		return false
	}
	delete(l.links, idle.peer)
	return true
}

func (l *Links) post(ev rpcore.Event) {
	if l.Post != nil {
		l.Post(ev)
	}
}

func (l *Links) postLost(peer rpcore.InstanceID) {
	l.post(rpcore.PeerLost{Stamp: stampNow(), Peer: peer})
}

// Close sends what is queued, tells the peers, and closes the socket. When
// the context ends first, it gives up what is not sent and returns the
// context's error.
func (l *Links) Close(ctx context.Context) error {
	if l.transport == nil {
		return nil
	}
	l.mu.Lock()
	l.close()
	l.mu.Unlock()
	_ = l.listener.Close()
	l.closeIncoming()
	ended := make(chan struct{})
	go func() {
		l.goroutines.Wait()
		close(ended)
	}()
	var err error
	select {
	case <-ended:
	case <-ctx.Done():
		err = ctx.Err()
		l.abortAll()
		<-ended
	}
	l.abortAll()
	_ = l.transport.Close()
	_ = l.socket.Close()
	return err
}
