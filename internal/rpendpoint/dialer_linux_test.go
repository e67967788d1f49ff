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

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

const (
	// testAckTimeout is the AckTimeout of the forwarders under test.
	testAckTimeout = 1500 * time.Millisecond
	// outage is the length of an outage that a connection with testAckTimeout does
	// not survive.
	outage = 3 * time.Second
)

// runThroughOutage runs a stream whose endpoint can't be reached for the time of
// outage between two events.
func runThroughOutage(t *testing.T, repeatable bool) rpfleet.AttemptEnded {
	serverErr := make(chan error, 1)
	address := withRawServer(t, func(conn net.Conn) {
		_, err := conn.Read(make([]byte, 4096))
		_, headErr := io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: token\n\n")
		// The caller's side acknowledges the first event before the outage.
		time.Sleep(100 * time.Millisecond)
		cutErr := rpfake.DropArrivals(conn, true)
		time.Sleep(outage)
		healErr := rpfake.DropArrivals(conn, false)
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
