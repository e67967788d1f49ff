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
func (lk *link) enqueue(address netip.AddrPort, frame []byte) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.address = address
	lk.queue = append(lk.queue, queuedFrame{queuedAt: time.Now(), data: frame})
	lk.queuedBytes += len(frame)
	for len(lk.queue) > maxQueuedFrames || lk.queuedBytes > maxQueuedBytes {
		lk.dropOldest()
	}
	select {
	case lk.wake <- struct{}{}:
	default:
	}
}

func (lk *link) dropOldest() {
	lk.queuedBytes -= len(lk.queue[0].data)
	lk.queue[0].data = nil
	lk.queue = lk.queue[1:]
}

// dequeue removes and returns the first frame that has not expired, or nil.
func (lk *link) dequeue() []byte {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.dropExpired()
	if len(lk.queue) == 0 {
		return nil
	}
	frame := lk.queue[0].data
	lk.dropOldest()
	return frame
}

// queueEmpty reports whether there is no frame to send. It drops expired frames
// first, so that the queue of a peer that never comes back becomes empty.
func (lk *link) queueEmpty() bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.dropExpired()
	return len(lk.queue) == 0
}

func (lk *link) dropExpired() {
	oldest := time.Now().Add(-lk.links.queueAge())
	for len(lk.queue) > 0 && lk.queue[0].queuedAt.Before(oldest) {
		lk.dropOldest()
	}
}

func (lk *link) peerAddress() netip.AddrPort {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return lk.address
}

// run connects to the peer whenever there are frames to send, and sends them. It
// returns after linkIdleTimeout without frames, or at Close.
func (lk *link) run() {
	for lk.waitForFrame() {
		conn, err := lk.dial()
		if err != nil {
			lk.links.Log.Debug().Err(err).Str("peer", string(lk.peer)).Msg("failed to connect to a peer")
			lk.backOff()
			continue
		}
		connectedAt := time.Now()
		err = lk.sendFrames(conn)
		lk.handleClose(err, time.Since(connectedAt))
	}
}

// waitForFrame waits until there is a frame to send. It returns false if run must
// return.
func (lk *link) waitForFrame() bool {
	idle := time.NewTimer(linkIdleTimeout)
	defer idle.Stop()
	for lk.queueEmpty() {
		select {
		case <-lk.wake:
		case <-idle.C:
			if lk.links.removeIdle(lk) {
				return false
			}
		case <-lk.links.closingCtx.Done():
			return false
		}
	}
	// During Close, don't retry a failed connection attempt.
	return lk.links.closingCtx.Err() == nil || lk.failures == 0
}

func (lk *link) dial() (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(lk.links.abortCtx, dialTimeout)
	defer cancel()
	address := net.UDPAddrFromAddrPort(lk.peerAddress())
	conn, err := lk.links.transport.Dial(ctx, address, lk.links.Credentials.clientTLS(lk.peer), lk.links.config(0))
	return conn, trace.Wrap(err)
}

// backOff waits before the next connection attempt. The delay grows exponentially
// and has jitter, so that the instances don't all dial a peer at once when it
// returns.
func (lk *link) backOff() {
	delay := min(initialBackoff<<min(lk.failures, 10), maxBackoff)
	lk.failures++
	timer := time.NewTimer(delay/2 + rand.N(delay/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-lk.links.closingCtx.Done():
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
func (lk *link) handleClose(err error, lasted time.Duration) {
	if lasted > maxBackoff {
		lk.failures = 0
	}
	if errors.Is(err, errAllSent) || errors.Is(err, errAddressChanged) || errors.Is(err, errIdle) {
		return
	}
	if lk.links.closingCtx.Err() != nil {
		lk.failures++
		return
	}
	lk.links.Log.Warn().Err(err).Str("peer", string(lk.peer)).Msg("connection to a peer broke")
	lk.links.postLost(lk.peer)
	lk.backOff()
}

// sendFrames sends frames on a connection until it ends, and returns the reason.
func (lk *link) sendFrames(conn *quic.Conn) error {
	defer context.AfterFunc(lk.links.abortCtx, func() { _ = conn.CloseWithError(codeStopped, "") })()
	stream, err := conn.OpenUniStreamSync(conn.Context())
	if err != nil {
		return trace.Wrap(err)
	}
	address := lk.peerAddress()
	lastSent := time.Now()
	for {
		if lk.peerAddress() != address {
			_ = conn.CloseWithError(codeAddressChanged, "")
			return errAddressChanged
		}
		if frame := lk.dequeue(); frame != nil {
			lastSent = time.Now()
			if _, err := stream.Write(frame); err != nil {
				return trace.Wrap(err)
			}
			continue
		}
		select {
		case <-lk.wake:
		case <-conn.Context().Done():
			return lk.closeReason(conn, lastSent)
		case <-lk.links.closingCtx.Done():
			if lk.queueEmpty() {
				return finishStream(conn, stream)
			}
		}
	}
}

// finishStream closes the stream and waits until the peer closes the connection.
// The peer does so after it has read the whole stream.
func finishStream(conn *quic.Conn, stream *quic.SendStream) error {
	if err := stream.Close(); err != nil {
		return trace.Wrap(err)
	}
	<-conn.Context().Done()
	return errAllSent
}

// closeReason returns errIdle if the connection timed out because nothing was
// sent, and otherwise the error that broke it.
func (lk *link) closeReason(conn *quic.Conn, lastSent time.Time) error {
	err := context.Cause(conn.Context())
	var idle *quic.IdleTimeoutError
	if errors.As(err, &idle) && time.Since(lastSent) >= lk.links.idleTimeout() {
		return errIdle
	}
	return trace.Wrap(err)
}

func stampNow() rpcore.Stamp { return rpcore.Stamp{At: time.Now()} }
