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
	// DefaultIdleTimeout is five heartbeat intervals.
	DefaultIdleTimeout = 5 * time.Second
	// DefaultQueueAge is twice the interval at which heartbeats, demands and
	// ticket requests are repeated. Older messages are superseded.
	DefaultQueueAge = 2 * time.Second

	dialTimeout = 2 * time.Second
	// maxLinks limits the connections of each direction. In a deployment of the
	// design size, an instance has about 70 peers.
	maxLinks = 1024
	// The receive windows limit the memory of a connection. maxWindow holds two
	// frames of the maximum size.
	initialWindow = 64 << 10
	maxWindow     = 2 * FrameLimit
)

// Application error codes with which connections are closed.
const (
	codeDone           quic.ApplicationErrorCode = 0
	codeProtocol       quic.ApplicationErrorCode = 1
	codeAddressChanged quic.ApplicationErrorCode = 2
	codeOverloaded     quic.ApplicationErrorCode = 3
	codeStopped        quic.ApplicationErrorCode = 4
)

// Links manages the connections to and from other instances. Set the exported
// fields before Start.
type Links struct {
	// Self is the ID of this instance, as in its certificate.
	Self        rpcore.InstanceID
	Listen      netip.AddrPort
	Credentials Credentials
	// IdleTimeout is the time without packets from the peer after which a
	// connection is considered broken; 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// QueueAge is the time after which a queued message is dropped instead of
	// sent; 0 means DefaultQueueAge.
	QueueAge time.Duration
	// ListenPacket opens the socket. Nil means a UDP socket.
	ListenPacket func(netip.AddrPort) (net.PacketConn, error)
	// Post receives the events. It must be safe for concurrent use. While it
	// blocks, flow control slows the senders down.
	Post func(rpcore.Event)
	// Tick returns the clock value to send with a message. Merge updates the
	// local clock with the clock value of a received message, before the message
	// is posted. Both may be nil. Merge must be safe for concurrent use.
	Tick  func() rptimeline.Clock
	Merge func(rptimeline.Clock)
	// Log receives failures; the zero value discards them.
	Log zerolog.Logger

	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	// closingCtx is canceled when Close begins. abortCtx is canceled when the
	// context of Close ends, which aborts the connections.
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

// config returns the QUIC configuration. streams is the number of unidirectional
// streams that the peer may open. Path MTU discovery is off, because it costs
// several packets per connection and the messages are small.
func (l *Links) config(streams int64) *quic.Config {
	if streams == 0 {
		streams = -1 // quic-go uses its default for 0.
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

// SendPeer queues a message for another instance. It encodes the message before
// it returns, because the reducer may change the data that the message refers to.
func (l *Links) SendPeer(effect rpcore.SendPeer) {
	envelope := Envelope{Version: Version, From: l.Self, Message: effect.Message}
	if l.Tick != nil {
		envelope.Clock = uint64(l.Tick())
	}
	frame, err := encodeFrame(&envelope)
	if err != nil {
		l.Log.Error().Err(err).Str("peer", string(effect.To)).Msg("can't encode a message to a peer; dropping it")
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
			l.Log.Error().Str("peer", string(effect.To)).Msg("too many peer links; dropping a message")
			return
		}
		to = newLink(l, effect.To)
		l.links[effect.To] = to
		l.goroutines.Go(to.run)
	}
	to.enqueue(effect.Address, frame)
}

// removeIdle removes a link if its queue is empty, and reports whether it removed
// it.
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

// Close sends the queued messages, closes the connections and the socket, and
// waits for all goroutines. If the context ends first, Close drops the messages
// that were not sent and returns the context's error.
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
