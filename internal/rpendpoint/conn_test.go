package rpendpoint

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

func withRequestTracker(t *testing.T) (*requestTracker, *trackedConn, net.Conn) {
	near, far := net.Pipe()
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	tracker := &requestTracker{cancel: func(error) {}}
	conn := &trackedConn{Conn: near}
	tracker.gotConn(httptrace.GotConnInfo{Conn: conn})
	return tracker, conn, far
}

// Guards against the verdict may_have_run if the endpoint closed the connection
// before any byte of the request was sent. Such a request can be retried.
func TestClosedBeforeRequestBytes(t *testing.T) {
	g := NewWithT(t)
	x, conn, far := withRequestTracker(t)
	far.Close()
	_, err := conn.Write([]byte("POST"))
	g.Expect(err).To(HaveOccurred())
	result := roundTripFailure(context.Background(), x, err)
	g.Expect(result.Reason).To(Equal(rpcore.AttemptBroken))
	g.Expect(result.Verdict).To(Equal(rpverdict.NotRun))
}

// Guards against a request that is sent after it got the verdict not_run.
func TestBlockedConnectionSendsNothing(t *testing.T) {
	g := NewWithT(t)
	x, conn, far := withRequestTracker(t)
	g.Expect(x.verdict()).To(Equal(rpverdict.NotRun))
	_, err := conn.Write([]byte("POST"))
	g.Expect(err).To(MatchError(errWriteBlocked))
	n, err := far.Read(make([]byte, 1))
	g.Expect(n).To(BeZero())
	g.Expect(err).To(HaveOccurred())
}

// Guards against the verdict not_run while a write of the request is in progress.
func TestUnfinishedWriteMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	x, conn, far := withRequestTracker(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = conn.Write([]byte("POST"))
	}()
	_, err := far.Read(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(x.verdict()).To(Equal(rpverdict.MayHaveRun))
	far.Close()
	<-done
	g.Expect(x.verdict()).To(Equal(rpverdict.MayHaveRun))
}

// Guards against a request that is sent on a second connection after bytes of it
// were written to the first one.
func TestSecondConnectionIsBlocked(t *testing.T) {
	g := NewWithT(t)
	x, conn, far := withRequestTracker(t)
	go func() { _, _ = far.Read(make([]byte, 9)) }()
	_, err := conn.Write([]byte("POST"))
	g.Expect(err).NotTo(HaveOccurred())
	near, _ := net.Pipe()
	second := &trackedConn{Conn: near}
	x.gotConn(httptrace.GotConnInfo{Conn: second})
	_, err = second.Write([]byte("POST"))
	g.Expect(err).To(MatchError(errWriteBlocked))
	g.Expect(x.verdict()).To(Equal(rpverdict.MayHaveRun))
}

// Guards against the use of proxies from the environment. Endpoints are always
// connected to directly.
func TestTransportUsesNoProxy(t *testing.T) {
	NewWithT(t).Expect(newTransport(Limits{}.withDefaults(), true, nil).Proxy).To(BeNil())
}

// Guards against a connection that is closed under a request: the transport takes an
// idle connection just as it is retired, and the request may have run.
func TestRetiredConnectionTakesNoRequest(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	conn := &trackedConn{Conn: near}
	conn.setIdle(conn.startRequest(nil))
	// onClose runs between the decision to close and the close.
	conn.onClose = func() {
		conn.startRequest(nil)
		_, err := conn.Write([]byte("POST"))
		g.Expect(err).To(MatchError(errWriteBlocked))
	}
	conn.retire()
	g.Expect(conn.hasWritten()).To(BeFalse())
}
