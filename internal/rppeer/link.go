package rppeer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	// maxQueuedFrames and maxQueuedBytes limit the queue of one peer. When the
	// queue exceeds a limit, the oldest frames are dropped.
	maxQueuedFrames = 64
	maxQueuedBytes  = 2 * FrameLimit

	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// linkIdleTimeout is the time without messages after which a link is removed.
	linkIdleTimeout = 30 * time.Second
)

// link queues messages for one peer and sends them. Its run method owns the
// connection.
type link struct {
	links *Links
	peer  rpcore.InstanceID
	// wake signals run that a frame was queued.
	wake chan struct{}

	mu          sync.Mutex
	address     netip.AddrPort
	queue       []queuedFrame
	queuedBytes int

	failures int
}

type queuedFrame struct {
	queuedAt time.Time
	data     []byte
}

func newLink(links *Links, peer rpcore.InstanceID) *link {
	return &link{links: links, peer: peer, wake: make(chan struct{}, 1)}
}

// enqueue adds a frame to the queue and drops the oldest frames if the queue
// exceeds its limits. If the address differs from the one in use, the link
// reconnects to it.
func (k *link) enqueue(address netip.AddrPort, frame []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.address = address
	k.queue = append(k.queue, queuedFrame{queuedAt: time.Now(), data: frame})
	k.queuedBytes += len(frame)
	for len(k.queue) > maxQueuedFrames || k.queuedBytes > maxQueuedBytes {
		k.dropOldest()
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *link) dropOldest() {
	k.queuedBytes -= len(k.queue[0].data)
	k.queue[0].data = nil
	k.queue = k.queue[1:]
}

// dequeue removes and returns the first frame that has not expired, or nil.
func (k *link) dequeue() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropExpired()
	if len(k.queue) == 0 {
		return nil
	}
	frame := k.queue[0].data
	k.dropOldest()
	return frame
}

// queueEmpty reports whether there is no frame to send. It drops expired frames
// first, so that the queue of a peer that never comes back becomes empty.
func (k *link) queueEmpty() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropExpired()
	return len(k.queue) == 0
}

func (k *link) dropExpired() {
	oldest := time.Now().Add(-k.links.queueAge())
	for len(k.queue) > 0 && k.queue[0].queuedAt.Before(oldest) {
		k.dropOldest()
	}
}

func (k *link) peerAddress() netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.address
}

// run connects to the peer whenever there are frames to send, and sends them. It
// returns after linkIdleTimeout without frames, or at Close.
func (k *link) run() {
	for k.waitForFrame() {
		conn, err := k.dial()
		if err != nil {
			k.links.Log.Debug().Err(err).Str("peer", string(k.peer)).Msg("failed to connect to a peer")
			k.backOff()
			continue
		}
		connectedAt := time.Now()
		err = k.sendFrames(conn)
		k.handleClose(err, time.Since(connectedAt))
	}
}

// waitForFrame waits until there is a frame to send. It returns false if run must
// return.
func (k *link) waitForFrame() bool {
	idle := time.NewTimer(linkIdleTimeout)
	defer idle.Stop()
	for k.queueEmpty() {
		select {
		case <-k.wake:
		case <-idle.C:
			if k.links.removeIdle(k) {
				return false
			}
		case <-k.links.closingCtx.Done():
			return false
		}
	}
	// During Close, don't retry a failed connection attempt.
	return k.links.closingCtx.Err() == nil || k.failures == 0
}

func (k *link) dial() (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(k.links.abortCtx, dialTimeout)
	defer cancel()
	address := net.UDPAddrFromAddrPort(k.peerAddress())
	conn, err := k.links.transport.Dial(ctx, address, k.links.Credentials.clientTLS(k.peer), k.links.config(0))
	return conn, trace.Wrap(err)
}

// backOff waits before the next connection attempt. The delay grows exponentially
// and has jitter, so that the others don't all dial a returning peer at once.
func (k *link) backOff() {
	delay := min(initialBackoff<<min(k.failures, 10), maxBackoff)
	k.failures++
	timer := time.NewTimer(delay/2 + rand.N(delay/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.links.closingCtx.Done():
	}
}

// Reasons for closing a connection that don't mean that the peer failed.
var (
	errAllSent        = errors.New("all messages were sent")
	errAddressChanged = errors.New("the address of the peer changed")
	errIdle           = errors.New("connection was idle")
)

// handleClose handles the end of a connection. If it broke, handleClose posts
// PeerLost and waits before the next attempt. A connection that ended soon counts
// as a failure too: if a peer rejects this instance's certificate, the handshake
// succeeds on this side and the peer closes the connection afterwards.
func (k *link) handleClose(err error, lasted time.Duration) {
	if lasted > maxBackoff {
		k.failures = 0
	}
	if errors.Is(err, errAllSent) || errors.Is(err, errAddressChanged) || errors.Is(err, errIdle) {
		return
	}
	if k.links.closingCtx.Err() != nil {
		k.failures++
		return
	}
	k.links.Log.Warn().Err(err).Str("peer", string(k.peer)).Msg("connection to a peer broke")
	k.links.postLost(k.peer)
	k.backOff()
}

// sendFrames sends frames on a connection until it ends, and returns the reason.
func (k *link) sendFrames(conn *quic.Conn) error {
	defer context.AfterFunc(k.links.abortCtx, func() { _ = conn.CloseWithError(codeStopped, "") })()
	stream, err := conn.OpenUniStreamSync(conn.Context())
	if err != nil {
		return trace.Wrap(err)
	}
	address := k.peerAddress()
	lastSent := time.Now()
	for {
		if k.peerAddress() != address {
			_ = conn.CloseWithError(codeAddressChanged, "")
			return errAddressChanged
		}
		if frame := k.dequeue(); frame != nil {
			lastSent = time.Now()
			if _, err := stream.Write(frame); err != nil {
				return trace.Wrap(err)
			}
			continue
		}
		select {
		case <-k.wake:
		case <-conn.Context().Done():
			return k.closeReason(conn, lastSent)
		case <-k.links.closingCtx.Done():
			if k.queueEmpty() {
				return finishStream(conn, stream)
			}
		}
	}
}

// finishStream closes the stream and waits until the peer, which has then read
// all of it, closes the connection.
func finishStream(conn *quic.Conn, stream *quic.SendStream) error {
	if err := stream.Close(); err != nil {
		return trace.Wrap(err)
	}
	<-conn.Context().Done()
	return errAllSent
}

// closeReason returns errIdle if the connection timed out because nothing was
// sent, and otherwise the error that broke it.
func (k *link) closeReason(conn *quic.Conn, lastSent time.Time) error {
	err := context.Cause(conn.Context())
	var idle *quic.IdleTimeoutError
	if errors.As(err, &idle) && time.Since(lastSent) >= k.links.idleTimeout() {
		return errIdle
	}
	return trace.Wrap(err)
}

func stampNow() rpcore.Stamp { return rpcore.Stamp{At: time.Now()} }
