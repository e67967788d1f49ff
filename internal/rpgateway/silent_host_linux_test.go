package rpgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// silentHost is an engine whose host is silent once, for a time or for good.
type silentHost struct {
	// before is the number of events that the engine sends before the silence; 0
	// means that its host does not receive the request either.
	before int
	// silence is the length of the silence; 0 means for good.
	silence time.Duration
}

const silentHostEvents = 12

// errStopped says that the test has ended.
var errStopped = errors.New("the test has ended")

// start returns the address of the engine. It serves one request.
func (s silentHost) start(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	done, stop := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() {
		_ = listener.Close()
		close(stop)
		<-done
	})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if err := s.serve(conn, stop); err != nil && !errors.Is(err, errStopped) {
			t.Error(err)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func (s silentHost) serve(conn net.Conn, stop <-chan struct{}) error {
	if s.before == 0 {
		if err := s.beSilent(conn, stop); err != nil {
			return err
		}
	}
	// The gateway may have given the connection up. The test sees that.
	_, _ = conn.Read(make([]byte, 2048))
	_, _ = io.WriteString(conn, streamHead+"\r\n")
	for i := range silentHostEvents {
		if i > 0 && i == s.before {
			if err := s.beSilent(conn, stop); err != nil {
				return err
			}
		}
		_, _ = fmt.Fprintf(conn, "id: %d\ndata: token\n\n", i+1)
	}
	return nil
}

func (s silentHost) beSilent(conn net.Conn, stop <-chan struct{}) error {
	if err := rpfake.DropArrivals(conn, true); err != nil {
		return err
	}
	if s.silence == 0 {
		<-stop
		return errStopped
	}
	time.Sleep(s.silence)
	return rpfake.DropArrivals(conn, false)
}

// run sends a request to the engine. It may be repeated: one that may run only once
// waits for its engine until its deadline (TestSingleRunSurvivesOutage).
func (s silentHost) run(t *testing.T) rpfleet.AttemptEnded {
	t.Helper()
	ended, _ := newTestForwarder(endpointLimits).Run(context.Background(), rpendpoint.ForwardRequest{
		Method: http.MethodPost, Target: "/x", Header: http.Header{}, Body: [][]byte{[]byte("prompt")},
		Command: rpfleet.StartAttempt{
			Request: "r", Address: s.start(t), Kind: rpfleet.KindStream, Repeatable: true, Deadline: time.Now().Add(20 * time.Second),
		},
	}, rpendpoint.Relay{
		SendHeader: func(int, http.Header) error { return nil }, Write: func([]byte) error { return nil }, OnFirstWrite: func() {},
	})
	return ended
}

// Guards against a request that is given up because the host of its engine sends no
// acknowledgement for a while: before it has received the request, or in the middle
// of the stream.
func TestSilentHostKeepsRequest(t *testing.T) {
	for name, host := range map[string]silentHost{
		"request": {silence: 1300 * time.Millisecond},
		"stream":  {silence: 2200 * time.Millisecond, before: 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			ended := host.run(t)
			g.Expect(ended.Reason).To(Equal(rpcore.AttemptComplete), ended.Detail)
			g.Expect(ended.LastEvent).To(Equal(fmt.Sprint(silentHostEvents)))
		})
	}
}

// Guards against requests that wait until their deadline for a host that went down
// without closing its connections.
func TestDeadHostEndsRequest(t *testing.T) {
	// margin is the time between two probes or retransmissions at that age.
	const margin = 2 * time.Second
	for name, host := range map[string]silentHost{"request": {}, "stream": {before: 5}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			begin := time.Now()
			ended := host.run(t)
			g.Expect(ended.Reason).To(Equal(rpcore.AttemptBroken), ended.Detail)
			g.Expect(time.Since(begin)).To(BeNumerically("<", rpendpoint.DefaultAckTimeout+margin))
		})
	}
}
