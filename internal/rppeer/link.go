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
	// queueFrames and queueBytes bound what waits for one peer; beyond them
	// the oldest frames are dropped.
	queueFrames = 64
	queueBytes  = 2 * FrameLimit

	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// linkIdle is the time after which a link without messages is forgotten.
	linkIdle = 30 * time.Second
)

// link sends messages to one peer.
type link struct {
	links *Links
	peer  rpcore.InstanceID
	// wake tells run about a new frame.
	wake chan struct{}

	mu      sync.Mutex
	address netip.AddrPort
	queue   []queuedFrame
	bytes   int

	failures int
}

type queuedFrame struct {
	at   time.Time
	data []byte
}

func newLink(links *Links, peer rpcore.InstanceID) *link {
	return &link{links: links, peer: peer, wake: make(chan struct{}, 1)}
}

// put queues a frame, drops the oldest ones beyond the bounds, and takes the
// address for the next connection.
func (k *link) put(address netip.AddrPort, frame []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.address = address
	k.queue = append(k.queue, queuedFrame{at: time.Now(), data: frame})
	k.bytes += len(frame)
	for len(k.queue) > queueFrames || k.bytes > queueBytes {
		k.dropFirst()
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *link) dropFirst() {
	k.bytes -= len(k.queue[0].data)
	k.queue[0].data = nil
	k.queue = k.queue[1:]
}

// next takes the first frame; nil where there is none.
func (k *link) next() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropOld()
	if len(k.queue) == 0 {
		return nil
	}
	frame := k.queue[0].data
	k.dropFirst()
	return frame
}

// empty reports whether there is no frame to send. It drops old frames, so
// that a link to a peer that is gone for good becomes empty.
func (k *link) empty() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropOld()
	return len(k.queue) == 0
}

func (k *link) dropOld() {
	oldest := time.Now().Add(-k.links.queueAge())
	for len(k.queue) > 0 && k.queue[0].at.Before(oldest) {
		k.dropFirst()
	}
}

func (k *link) target() netip.AddrPort {
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
		began := time.Now()
		err = k.serve(conn)
		k.ended(err, time.Since(began))
	}
}

// waitForFrame reports whether there is a frame to send.
func (k *link) waitForFrame() bool {
	idle := time.NewTimer(linkIdle)
	defer idle.Stop()
	for k.empty() {
		select {
		case <-k.wake:
		case <-idle.C:
			if k.links.removeIdle(k) {
				return false
			}
		case <-k.links.closing.Done():
			return false
		}
	}
	// At Close, one try to connect is enough.
	return k.links.closing.Err() == nil || k.failures == 0
}

func (k *link) dial() (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(k.links.stopped, dialTimeout)
	defer cancel()
	address := net.UDPAddrFromAddrPort(k.target())
	conn, err := k.links.transport.Dial(ctx, address, k.links.Credentials.clientTLS(k.peer), k.links.config(0))
	return conn, trace.Wrap(err)
}

// backOff waits before the next connection. The delay grows and is jittered,
// so that a peer that comes back is not dialed by all others at once.
func (k *link) backOff() {
	limit := min(firstBackoff<<min(k.failures, 10), maxBackoff)
	k.failures++
	timer := time.NewTimer(limit/2 + rand.N(limit/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.links.closing.Done():
	}
}

// Reasons for the end of a connection that say nothing about the peer.
var (
	errFinished = errors.New("everything is sent")
	errReplaced = errors.New("the peer has another address")
	errUnused   = errors.New("there was nothing to send")
)

// ended reports a broken link. A peer that refuses this instance's
// certificate lets the handshake succeed and then closes, so a connection
// that ends at once counts as a failure.
func (k *link) ended(err error, lasted time.Duration) {
	if lasted > maxBackoff {
		k.failures = 0
	}
	if errors.Is(err, errFinished) || errors.Is(err, errReplaced) || errors.Is(err, errUnused) {
		return
	}
	if k.links.closing.Err() != nil {
		k.failures++
		return
	}
	k.links.Log.Warn().Err(err).Str("peer", string(k.peer)).Msg("a link broke")
	k.links.postLost(k.peer)
	k.backOff()
}

// serve sends frames on one connection and returns why it ended.
func (k *link) serve(conn *quic.Conn) error {
	defer context.AfterFunc(k.links.stopped, func() { _ = conn.CloseWithError(codeStopped, "") })()
	stream, err := conn.OpenUniStreamSync(conn.Context())
	if err != nil {
		return trace.Wrap(err)
	}
	address := k.target()
	lastSent := time.Now()
	for {
		if k.target() != address {
			_ = conn.CloseWithError(codeReplaced, "")
			return errReplaced
		}
		if frame := k.next(); frame != nil {
			lastSent = time.Now()
			if _, err := stream.Write(frame); err != nil {
				return trace.Wrap(err)
			}
			continue
		}
		select {
		case <-k.wake:
		case <-conn.Context().Done():
			return k.endReason(conn, lastSent)
		case <-k.links.closing.Done():
			if k.empty() {
				return finish(conn, stream)
			}
		}
	}
}

// finish ends the stream and waits until the peer has read all of it and
// closes the connection.
func finish(conn *quic.Conn, stream *quic.SendStream) error {
	if err := stream.Close(); err != nil {
		return trace.Wrap(err)
	}
	<-conn.Context().Done()
	return errFinished
}

// endReason tells a link that broke from one that ended because nothing was
// sent for the idle timeout.
func (k *link) endReason(conn *quic.Conn, lastSent time.Time) error {
	err := context.Cause(conn.Context())
	var idle *quic.IdleTimeoutError
	if errors.As(err, &idle) && time.Since(lastSent) >= k.links.idleTimeout() {
		return errUnused
	}
	return trace.Wrap(err)
}

func stampNow() rpcore.Stamp { return rpcore.Stamp{At: time.Now()} }
