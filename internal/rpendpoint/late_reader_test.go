package rpendpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// Guards against a request that is cut because its sound endpoint reads a long body
// late. While the receive window is zero, the kernel counts AckTimeout from the first
// window probe, although the endpoint's host acknowledges every probe.
func TestEndpointMayReadLongBodyLate(t *testing.T) {
	const ackTimeout = 1500 * time.Millisecond
	g := NewWithT(t)
	body := bytes.Repeat([]byte("x"), 4<<20)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Second)
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil || n != int64(len(body)) {
			t.Errorf("the endpoint read %d bytes of the body: %v", n, err)
			return
		}
		_, _ = io.WriteString(w, "ok")
	}))
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
		}
	}
	server.Start()
	defer server.Close()
	f := withForwarder(t)
	f.Limits.AckTimeout = ackTimeout
	var got []byte
	ended, _ := f.Run(context.Background(), ForwardRequest{
		Method: http.MethodPost, Target: "/x", Header: http.Header{}, Body: [][]byte{body},
		Command: rpfleet.StartAttempt{
			Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), Kind: rpfleet.KindNonIdempotent,
			Deadline: time.Now().Add(20 * time.Second),
		},
	}, Relay{
		SendHeader: func(int, http.Header) error { return nil },
		Write: func(p []byte) error {
			got = append(got, p...)
			return nil
		},
	})
	g.Expect(ended.Reason).To(Equal(rpcore.AttemptComplete), ended.Detail)
	g.Expect(string(got)).To(Equal("ok"))
}

// Guards against silence that is reported while the caller, not the endpoint, is
// slow: the stream would leave a sound endpoint whose events wait in the socket.
func TestSlowCallerIsNoSilence(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, event := range []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"} {
			_, _ = io.WriteString(w, event)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	defer server.Close()
	reports := 0
	ended, _ := withForwarder(t).Run(context.Background(), ForwardRequest{
		Method: http.MethodGet, Target: "/x", Header: http.Header{},
		Command: rpfleet.StartAttempt{
			Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), Kind: rpfleet.KindStream, Repeatable: true,
			Deadline: time.Now().Add(20 * time.Second), FirstTimeout: 10 * time.Second, EventTimeout: 200 * time.Millisecond,
		},
	}, Relay{
		SendHeader:   func(int, http.Header) error { return nil },
		OnFirstWrite: func() {},
		Write: func([]byte) error {
			time.Sleep(500 * time.Millisecond)
			return nil
		},
		OnSilence: func(bool) { reports++ },
	})
	g.Expect(ended.Reason).To(Equal(rpcore.AttemptComplete), ended.Detail)
	g.Expect(reports).To(BeZero())
}
