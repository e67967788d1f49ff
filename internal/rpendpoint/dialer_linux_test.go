package rpendpoint_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

const (
	// testAckTimeout is the AckTimeout of the gateway.
	testAckTimeout = 1500 * time.Millisecond
	// outage is the length of an outage that a connection with testAckTimeout does
	// not survive.
	outage = 3 * time.Second
)

// setReceive drops all segments that arrive on a connection, or accepts them again.
// The kernel acknowledges nothing that is dropped, like a host behind a cut link.
func setReceive(conn net.Conn, accept bool) error {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		if accept {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
	return errors.Join(err, optionErr)
}

// runThroughOutage runs a stream whose endpoint can't be reached for the time of
// outage between two events.
func runThroughOutage(t *testing.T, repeatable bool) rpfleet.AttemptEnded {
	serverErr := make(chan error, 1)
	address := withRawServer(t, func(conn net.Conn) {
		_, err := conn.Read(make([]byte, 4096))
		_, headErr := io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: token\n\n")
		// The caller's side acknowledges the first event before the outage.
		time.Sleep(100 * time.Millisecond)
		cutErr := setReceive(conn, false)
		time.Sleep(outage)
		healErr := setReceive(conn, true)
		_, _ = io.WriteString(conn, "id: 2\ndata: token\n\n")
		serverErr <- errors.Join(err, headErr, cutErr, healErr)
	})
	forwarder := rpendpoint.Forwarder{
		Limits:     rpendpoint.Limits{AckTimeout: testAckTimeout},
		SetHeaders: func(http.Header, rpfleet.StartAttempt, time.Duration) {},
		ReadHead:   func(*http.Response) rpfleet.ResponseHead { return rpfleet.ResponseHead{Signed: true, Request: "r"} },
	}
	defer forwarder.Close()
	ended, _ := forwarder.Run(context.Background(), rpendpoint.ForwardRequest{
		Method: http.MethodPost, Target: "/x", Header: http.Header{},
		Command: rpfleet.StartAttempt{
			Request: "r", Address: address, Kind: rpfleet.KindStream, Repeatable: repeatable, Deadline: time.Now().Add(20 * time.Second),
		},
	}, rpendpoint.Relay{
		SendHeader: func(int, http.Header) error { return nil }, Write: func([]byte) error { return nil }, OnFirstWrite: func() {},
	})
	NewWithT(t).Expect(<-serverErr).NotTo(HaveOccurred())
	return ended
}

// Guards against a stream that can't be repeated and is given up in an outage of
// the link to its endpoint, although the endpoint has the rest of the response.
func TestSingleRunSurvivesOutage(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	ended := runThroughOutage(t, false)
	g.Expect(ended.Reason).To(Equal(rpcore.AttemptComplete), ended.Detail)
	g.Expect(ended.LastEvent).To(Equal("2"))
}

// Guards against a request that another endpoint could run and that waits for a host
// that acknowledges nothing.
func TestRepeatableRequestLeavesSilentHost(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	ended := runThroughOutage(t, true)
	g.Expect(ended.Reason).To(Equal(rpcore.AttemptBroken))
	g.Expect(ended.Detail).To(ContainSubstring("timed out"))
}
