package rpendpoint_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// relayed is what a caller got of a response, and how the attempt ended.
type relayed struct {
	rpfleet.AttemptEnded
	status int
	header http.Header
	body   string
}

// runForwarder runs an attempt at an endpoint whose responses are all signed.
func runForwarder(t *testing.T, address netip.AddrPort, kind rpfleet.RouteKind, body []byte) relayed {
	t.Helper()
	f := &rpendpoint.Forwarder{
		SetHeaders: func(http.Header, rpfleet.StartAttempt, time.Duration) {},
		ReadHead:   func(*http.Response) rpfleet.ResponseHead { return rpfleet.ResponseHead{Signed: true} },
	}
	t.Cleanup(f.Close)
	var result relayed
	var got strings.Builder
	result.AttemptEnded, _ = f.Run(t.Context(), rpendpoint.ForwardRequest{
		Method: http.MethodPost, Target: "/", Host: "shop.example", Header: http.Header{}, Body: [][]byte{body},
		Command: rpfleet.StartAttempt{
			Request: "r", Address: address, Kind: kind, Repeatable: kind != rpfleet.KindNonIdempotent, Deadline: time.Now().Add(time.Minute),
		},
	}, rpendpoint.Relay{
		SendHeader: func(status int, header http.Header) error {
			result.status, result.header = status, header
			return nil
		},
		Write: func(p []byte) error {
			_, err := got.Write(p)
			return err
		},
		OnFirstWrite: func() {},
	})
	result.body = got.String()
	return result
}

// Guards against a response without a length that counts as complete although its
// connection was reset: the kernel tells the reset only to the write of the request
// that is in progress, and the next read finds the end of the connection.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const plays = 60
	body := bytes.Repeat([]byte("x"), 8<<20)
	for _, kind := range []rpfleet.RouteKind{rpfleet.KindIdempotent, rpfleet.KindNonIdempotent, rpfleet.KindStream} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			g := NewWithT(t)
			complete := 0
			for range plays {
				address := withRawServer(t, func(conn net.Conn) {
					_, _ = conn.Read(make([]byte, 64<<10))
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n")
					time.Sleep(2 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				})
				if got := runForwarder(t, address, kind, body); got.Reason == rpcore.AttemptComplete {
					complete++
				}
			}
			g.Expect(complete).To(BeZero(), "of %d responses that were reset", plays)
		})
	}
}

// Guards against a complete response without a length that is lost because its endpoint
// ended it before it read the rest of a long body.
func TestEndDuringUploadIsEnd(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{})
	defer close(ended)
	address := withRawServer(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 64<<10))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nok")
		_ = conn.(*net.TCPConn).CloseWrite()
		<-ended
	})
	got := runForwarder(t, address, rpfleet.KindIdempotent, bytes.Repeat([]byte("x"), 8<<20))
	g.Expect(got.Reason).To(Equal(rpcore.AttemptComplete), got.Detail)
	g.Expect(got.body).To(Equal("ok"))
	g.Expect(got.Verdict).To(Equal(rpverdict.Ran))
}
