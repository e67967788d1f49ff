package rppeer

import (
	"errors"
	"io"

	"github.com/quic-go/quic-go"

	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// acceptConnections accepts connections until Close.
func (l *Links) acceptConnections() {
	for {
		conn, err := l.listener.Accept(l.closingCtx)
		if err != nil {
			return
		}
		if !l.addIncoming(conn) {
			_ = conn.CloseWithError(codeOverloaded, "too many links")
			continue
		}
		l.goroutines.Go(func() {
			defer l.removeIncoming(conn)
			l.serveIncoming(conn)
		})
	}
}

func (l *Links) addIncoming(conn *quic.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.incoming) >= maxLinks || l.closingCtx.Err() != nil {
		return false
	}
	l.incoming[conn] = struct{}{}
	return true
}

func (l *Links) removeIncoming(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.incoming, conn)
}

// closeIncoming closes all connections from peers. Close calls it.
func (l *Links) closeIncoming() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.incoming {
		_ = conn.CloseWithError(codeStopped, "the instance is stopping")
	}
}

// serveIncoming reads the messages of one connection until it ends, and posts
// PeerLost if its end may mean that the peer is gone.
func (l *Links) serveIncoming(conn *quic.Conn) {
	peer, err := peerIdentity(conn.ConnectionState().TLS)
	if err != nil {
		_ = conn.CloseWithError(codeProtocol, "")
		return
	}
	err = l.readMessages(conn, peer)
	switch {
	case l.closingCtx.Err() != nil:
	case errors.Is(err, io.EOF):
		_ = conn.CloseWithError(codeDone, "")
		l.postLost(peer)
	case isExpectedClose(err):
	default:
		l.Log.Warn().Err(err).Str("peer", string(peer)).Msg("connection from a peer broke")
		_ = conn.CloseWithError(codeProtocol, "")
		l.postLost(peer)
	}
}

// isExpectedClose reports whether an incoming connection ended for a reason that
// does not mean that the peer failed. A connection also times out if the peer has
// nothing to send; the reducer detects missing heartbeats itself.
func isExpectedClose(err error) bool {
	var idle *quic.IdleTimeoutError
	var closed *quic.ApplicationError
	return errors.As(err, &idle) ||
		errors.As(err, &closed) && closed.Remote && closed.ErrorCode == codeAddressChanged
}

func (l *Links) readMessages(conn *quic.Conn, peer rpcore.InstanceID) error {
	stream, err := conn.AcceptUniStream(l.closingCtx)
	if err != nil {
		return err
	}
	var buffer []byte
	for {
		data, err := readFrame(stream, buffer)
		if err != nil {
			return err
		}
		buffer = data
		if err := l.deliver(data, peer); err != nil {
			return err
		}
	}
}

// WrongSenderError reports a frame whose sender is not the instance in the
// certificate.
type WrongSenderError struct {
	Claimed     rpcore.InstanceID
	Certificate rpcore.InstanceID
}

func (e WrongSenderError) Error() string {
	return "a message claims to be from " + string(e.Claimed) + ", but the certificate names " + string(e.Certificate)
}

// deliver decodes a frame and posts its message. It drops frames that it
// can't decode and messages of an unknown kind, because later frames may be valid.
// An error means that the connection must be closed.
func (l *Links) deliver(data []byte, peer rpcore.InstanceID) error {
	envelope, err := decodeFrame(data)
	if err != nil {
		l.Log.Warn().Err(err).Str("peer", string(peer)).Msg("can't decode a message from a peer; dropping it")
		return nil
	}
	if envelope.From != peer {
		return WrongSenderError{Claimed: envelope.From, Certificate: peer}
	}
	if l.Merge != nil {
		l.Merge(rptimeline.Clock(envelope.Clock))
	}
	if !envelope.empty() {
		l.post(rpcore.PeerReceived{Stamp: stampNow(), From: peer, Message: envelope.Message})
	}
	return nil
}
