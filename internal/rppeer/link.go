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
	// maxQueuedFrames and queueBytes bound what waits for one peer; beyond them
	// the oldest frames are dropped.
	maxQueuedFrames = 64
	maxQueuedBytes  = 2 * FrameLimit

	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// linkIdleTimeout is the time after which a link without messages is forgotten.
	linkIdleTimeout = 30 * time.Second
)

// link sends messages to one peer.
type link struct {
	links *Links
	peer  rpcore.InstanceID
	// wake tells run about a new frame.
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

// enqueue queues a frame, drops the oldest ones beyond the bounds, and takes the
// address for the next connection.
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

// dequeue takes the first frame; nil where there is none.
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

// queueEmpty reports whether there is no frame to send. It drops old frames, so
// that a link to a peer that is gone for good becomes empty.
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

// run connects while there is something to send. It ends when the link was
// idle for long and at Close.
func (k *link) run() {
	for k.waitForFrame() {
		conn, err := k.dial()
		if err != nil {
			k.links.Log.Debug().Err(err).Str("peer", string(k.peer)).Msg("connection failed")
			k.backOff()
			continue
		}
		connectedAt := time.Now()
		err = k.sendFrames(conn)
		k.handleClose(err, time.Since(connectedAt))
	}
}

// waitForFrame reports whether there is a frame to send.
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
	// At Close, one try to connect is enough.
	return k.links.closingCtx.Err() == nil || k.failures == 0
}

func (k *link) dial() (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(k.links.abortCtx, dialTimeout)
	defer cancel()
	address := net.UDPAddrFromAddrPort(k.peerAddress())
	conn, err := k.links.transport.Dial(ctx, address, k.links.Credentials.clientTLS(k.peer), k.links.config(0))
	return conn, trace.Wrap(err)
}

// backOff waits before the next connection. The delay grows and is jittered,
// so that a peer that comes back is not dialed by all others at once.
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

// Reasons for the end of a connection that say nothing about the peer.
var (
	errAllSent        = errors.New("everything is sent")
	errAddressChanged = errors.New("the peer has another address")
	errIdle           = errors.New("there was nothing to send")
)

// handleClose reports a broken link. A peer that refuses this instance's
// certificate lets the handshake succeed and then closes, so a connection
// that ends at once counts as a failure.
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
	k.links.Log.Warn().Err(err).Str("peer", string(k.peer)).Msg("a link broke")
	k.links.postLost(k.peer)
	k.backOff()
}

// sendFrames sends frames on one connection and returns why it ended.
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

// finishStream ends the stream and waits until the peer has read all of it and
// closes the connection.
func finishStream(conn *quic.Conn, stream *quic.SendStream) error {
	if err := stream.Close(); err != nil {
		return trace.Wrap(err)
	}
	<-conn.Context().Done()
	return errAllSent
}

// closeReason tells a link that broke from one that ended because nothing was
// sent for the idle timeout.
func (k *link) closeReason(conn *quic.Conn, lastSent time.Time) error {
	err := context.Cause(conn.Context())
	var idle *quic.IdleTimeoutError
	if errors.As(err, &idle) && time.Since(lastSent) >= k.links.idleTimeout() {
		return errIdle
	}
	return trace.Wrap(err)
}

func stampNow() rpcore.Stamp { return rpcore.Stamp{At: time.Now()} }
