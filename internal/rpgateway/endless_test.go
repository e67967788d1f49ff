package rpgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// endless is a response that never ends: first, and then repeated for as long as
// the connection is open.
type endless struct {
	first    string
	repeated string
	// interval is the time between two repetitions; 0 sends as fast as possible.
	interval time.Duration
}

const (
	plainHead  = "HTTP/1.1 200 OK\r\n" + rpfake.HeaderRequestID + ": r\r\n" + rpfake.HeaderSignature + ": s\r\n"
	streamHead = plainHead + "Content-Type: text/event-stream\r\n"
	chunked    = "Transfer-Encoding: chunked\r\n\r\n"
)

var (
	filler = strings.Repeat("x", 4096)
	// endlessResponses are the places of a response where bytes without end can
	// come.
	endlessResponses = map[string]endless{
		"before the status line": {first: "", repeated: filler},
		"empty lines first":      {first: "", repeated: strings.Repeat("\r\n", 500)},
		"status line":            {first: "HTTP/1.1 200 ", repeated: filler},
		"header line":            {first: plainHead + "X-Long: ", repeated: filler},
		"header lines":           {first: plainHead, repeated: "X-Line: " + filler[:100] + "\r\n"},
		"informational heads":    {first: "", repeated: "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n"},
		"chunk size":             {first: plainHead + chunked, repeated: strings.Repeat("0", 4096)},
		"chunk extension":        {first: plainHead + chunked + "1;", repeated: filler},
		"chunk extensions":       {first: plainHead + chunked, repeated: "1;" + filler[:2000] + "\r\nx\r\n"},
		"trailer":                {first: plainHead + chunked + "2\r\nok\r\n0\r\n", repeated: "X-Trailer: " + filler[:100] + "\r\n"},
		"body of stated length":  {first: plainHead + "Content-Length: 1000000000000\r\n\r\n", repeated: filler},
		"body without length":    {first: plainHead + "\r\n", repeated: filler},
		"chunked body":           {first: plainHead + chunked, repeated: "1000\r\n" + filler + "\r\n"},
		"event":                  {first: streamHead + "\r\ndata: ", repeated: filler},
		"comments":               {first: streamHead + "\r\n", repeated: ": " + filler + "\n\n"},
		"events":                 {first: streamHead + "\r\n", repeated: "data: " + filler[:100] + "\n\n"},
		"slow head":              {first: "HTTP/1.1 200 ", repeated: "x", interval: 20 * time.Millisecond},
		"slow body":              {first: plainHead + "Content-Length: 800\r\n\r\n", repeated: "x", interval: 20 * time.Millisecond},
		"slow event":             {first: streamHead + "\r\ndata: ", repeated: "x", interval: 20 * time.Millisecond},
	}
)

// endlessServer sends the same endless response on each connection.
type endlessServer struct {
	response endless
	address  netip.AddrPort
	open     atomic.Int32
	accepted atomic.Int32
}

func withEndlessServer(t *testing.T, response endless) *endlessServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	s := &endlessServer{response: response, address: listener.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.open.Add(1)
			s.accepted.Add(1)
			go s.serve(conn)
		}
	}()
	return s
}

func (s *endlessServer) serve(conn net.Conn) {
	defer s.open.Add(-1)
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 2048)); err != nil {
		return
	}
	_, err := io.WriteString(conn, s.response.first)
	repeated := []byte(s.response.repeated)
	for err == nil {
		time.Sleep(s.response.interval)
		_, err = conn.Write(repeated)
	}
}

// endlessDeadline is the time that a request has in these tests.
const endlessDeadline = 600 * time.Millisecond

// runAttempt runs an attempt at an address and discards what is relayed.
func runAttempt(f *rpendpoint.Forwarder, address netip.AddrPort, kind rpfleet.RouteKind, repeatable bool) (rpfleet.AttemptEnded, int) {
	relayed := 0
	ended, _ := f.Run(context.Background(), rpendpoint.ForwardRequest{
		Method: http.MethodPost, Target: "/x", Host: "shop.example", Header: http.Header{}, Body: [][]byte{[]byte("body")},
		Command: rpfleet.StartAttempt{
			Request: "r", Attempt: "r#1", Endpoint: "e1", Address: address, Kind: kind, Repeatable: repeatable,
			Deadline: time.Now().Add(endlessDeadline),
		},
	}, rpendpoint.Relay{
		SendHeader: func(int, http.Header) error { return nil },
		Write: func(p []byte) error {
			relayed += len(p)
			return nil
		},
		OnFirstWrite: func() {},
	})
	return ended, relayed
}

func newTestForwarder(limits rpendpoint.Limits) *rpendpoint.Forwarder {
	return &rpendpoint.Forwarder{Limits: limits, SetHeaders: rpwire.SetAttemptHeaders, ReadHead: rpwire.ReadResponseHead}
}

// Guards against an endpoint whose bytes without end keep a request, a connection
// or memory for longer than the request has, or whose response looks complete.
func TestEndlessResponseEndsAttempt(t *testing.T) {
	for name, response := range endlessResponses {
		for _, repeatable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/repeatable=%t", name, repeatable), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				s := withEndlessServer(t, response)
				limits := endpointLimits
				limits.ServiceResponseBytes = 1 << 20
				f := newTestForwarder(limits)
				kind := rpfleet.KindIdempotent
				if strings.Contains(response.first, "event-stream") {
					kind = rpfleet.KindStream
				}
				begin := time.Now()
				ended, _ := runAttempt(f, s.address, kind, repeatable)
				g.Expect(time.Since(begin)).To(BeNumerically("<", endlessDeadline+5*time.Second))
				g.Expect(ended.Reason).To(BeElementOf(rpcore.AttemptBroken, rpcore.AttemptTimedOut))
				g.Expect(ended.Verdict).To(Equal(rpverdict.MayHaveRun))
				g.Expect(s.accepted.Load()).To(Equal(int32(1)), "the request was sent once")
				g.Eventually(s.open.Load, 5*time.Second).Should(BeZero(), "the connection is closed")
			})
		}
	}
}

// Guards against bytes after a complete response on a kept connection, which belong
// to no request: the connection must be closed and not be used again.
func TestBytesAfterResponseCloseConnection(t *testing.T) {
	g := NewWithT(t)
	s := withEndlessServer(t, endless{first: plainHead + "Content-Length: 2\r\n\r\nok", repeated: filler, interval: 20 * time.Millisecond})
	f := newTestForwarder(endpointLimits)
	ended, relayed := runAttempt(f, s.address, rpfleet.KindIdempotent, true)
	g.Expect(ended.Reason).To(Equal(rpcore.AttemptComplete))
	g.Expect(relayed).To(Equal(2))
	g.Eventually(s.open.Load, 5*time.Second).Should(BeZero())
	ended, _ = runAttempt(f, s.address, rpfleet.KindIdempotent, true)
	g.Expect(ended.Reason).To(Equal(rpcore.AttemptComplete))
	g.Expect(s.accepted.Load()).To(Equal(int32(2)))
}

// Guards against the memory that endless responses of many endpoints take together
// on an instance with little of it.
func TestEndlessResponsesTakeLittleMemory(t *testing.T) {
	const (
		endpoints = 200
		maxBytes  = 20 << 20
	)
	for _, name := range []string{"header lines", "header line", "chunked body", "body of stated length", "event", "trailer"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			response := endlessResponses[name]
			s := withEndlessServer(t, response)
			f := newTestForwarder(endpointLimits)
			kind := rpfleet.KindIdempotent
			if strings.Contains(response.first, "event-stream") {
				kind = rpfleet.KindStream
			}
			before := memoryInUse()
			var peak uint64
			stop := make(chan struct{})
			var sampling, running sync.WaitGroup
			sampling.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(10 * time.Millisecond):
						peak = max(peak, memoryInUse())
					}
				}
			})
			for range endpoints {
				running.Go(func() { runAttempt(f, s.address, kind, false) })
			}
			running.Wait()
			close(stop)
			sampling.Wait()
			g.Expect(peak).To(BeNumerically(">", before))
			g.Expect(peak - before).To(BeNumerically("<", maxBytes))
			t.Logf("%d endpoints added %d KB", endpoints, (peak-before)>>10)
		})
	}
}

// memoryInUse returns the memory that a collection can't free.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// Guards against a store, an engine's report or another instance whose bytes
// without end keep a call for longer than its timeout.
func TestEndlessAnswersToInternalCalls(t *testing.T) {
	// The bound leaves a busy machine time beyond the timeouts.
	const timeout, bound = 2 * time.Second, 10 * time.Second
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := withEndlessServer(t, response)
			client := &http.Client{Transport: newTransport()}
			begin := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			_, _, err := (&rpwire.Store{Address: s.address, Do: client.Do}).List(ctx, rpwire.TableEndpoints)
			g.Expect(err).To(HaveOccurred())
			_, err = (&peerAPI{client: client}).callPlanner(s.address, rpfleet.Demand{Instance: "front-1"})
			g.Expect(err).To(HaveOccurred())
			orders := &orderSender{loop: &loop{clock: &clock{Suspended: suspendedTime}}, forwarder: newTestForwarder(endpointLimits), log: zerolog.Nop()}
			_, err = orders.fetchReport(rpfleet.ReadReport{Endpoint: "e1", Address: s.address})
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(begin)).To(BeNumerically("<", bound))
			g.Eventually(s.open.Load, 5*time.Second).Should(BeZero(), "the connections are closed")
		})
	}
}

// Guards against a slow but sound stream that is cut, and against one that only
// sends comments and is never given up although another endpoint could go on.
func TestEventTimeoutFollowsEvents(t *testing.T) {
	const eventTimeout = 1500 * time.Millisecond
	run := func(address netip.AddrPort) rpfleet.AttemptEnded {
		f := newTestForwarder(endpointLimits)
		ended, _ := f.Run(context.Background(), rpendpoint.ForwardRequest{
			Method: http.MethodPost, Target: "/x", Header: http.Header{},
			Command: rpfleet.StartAttempt{
				Request: "r", Address: address, Kind: rpfleet.KindStream, Repeatable: true,
				Deadline: time.Now().Add(20 * time.Second), FirstTimeout: eventTimeout, EventTimeout: eventTimeout,
			},
		}, rpendpoint.Relay{
			SendHeader: func(int, http.Header) error { return nil }, Write: func([]byte) error { return nil }, OnFirstWrite: func() {},
		})
		return ended
	}
	t.Run("comments", func(t *testing.T) {
		g := NewWithT(t)
		s := withEndlessServer(t, endless{first: streamHead + "\r\ndata: 1\n\n", repeated: ": still here\n\n", interval: 50 * time.Millisecond})
		begin := time.Now()
		ended := run(s.address)
		g.Expect(ended.Reason).To(Equal(rpcore.AttemptTimedOut))
		g.Expect(time.Since(begin)).To(BeNumerically("<", 10*time.Second))
	})
	t.Run("slow events", func(t *testing.T) {
		g := NewWithT(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, err = conn.Read(make([]byte, 2048))
			_, writeErr := io.WriteString(conn, streamHead+"\r\n")
			for i := 0; i < 12 && errors.Join(err, writeErr) == nil; i++ {
				time.Sleep(eventTimeout / 5)
				_, writeErr = fmt.Fprintf(conn, "id: %d\ndata: token\n\n", i+1)
			}
			_ = conn.Close()
		}()
		ended := run(listener.Addr().(*net.TCPAddr).AddrPort())
		g.Expect(ended.Reason).To(Equal(rpcore.AttemptComplete), ended.Detail)
		g.Expect(ended.LastEvent).To(Equal("12"))
	})
}
