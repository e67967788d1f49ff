package rpendpoint_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

func addressOf(rawURL string) netip.AddrPort {
	u, _ := url.Parse(rawURL)
	return netip.MustParseAddrPort(u.Host)
}

// withRawServer starts a TCP server that calls handle for each connection.
func withRawServer(t *testing.T, handle func(net.Conn)) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// callerRecorder is a caller that records the response.
type callerRecorder struct {
	status      int
	header      http.Header
	body        strings.Builder
	firstWrites int
	// failWrites makes every write fail.
	failWrites bool
}

func (s *callerRecorder) relay() rpendpoint.Relay {
	return rpendpoint.Relay{
		SendHeader: func(status int, header http.Header) error {
			s.status, s.header = status, header
			return nil
		},
		Write: func(p []byte) error {
			if s.failWrites {
				return io.ErrClosedPipe
			}
			s.body.Write(p)
			return nil
		},
		OnFirstWrite: func() { s.firstWrites++ },
	}
}

func inferenceAttempt(address netip.AddrPort, stream bool) rpendpoint.Attempt {
	a := rpendpoint.Attempt{
		Command: rpcore.StartAttempt{Attempt: "a1", Address: address, Model: rpcore.ModelKey{Service: "mix", Name: "small"}},
		Path:    "/v1/chat/completions",
		Fields:  map[string]json.RawMessage{"model": json.RawMessage(`"mix/x"`), "stream": json.RawMessage("true")},
	}
	if stream {
		a.Stream = &rpendpoint.StreamState{Choices: 1}
	}
	return a
}

func serviceAttempt(address netip.AddrPort, method, body string) rpendpoint.Attempt {
	return rpendpoint.Attempt{Command: rpcore.StartAttempt{Attempt: "a1", Address: address}, Method: method, Path: "/charge", Body: []byte(body)}
}

func closedAddress(t *testing.T) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func respondWith(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

const (
	sseType    = "text/event-stream"
	jsonType   = "application/json"
	tokenEvent = `data: {"id":"1","choices":[{"delta":{"content":"x"}}]}` + "\n\n"
)

// Guards against the verdict not_run for a request that may have run, and against
// wrong reasons, for which the reducer takes the wrong action.
func TestVerdicts(t *testing.T) {
	type row struct {
		name    string
		handler http.HandlerFunc
		stream  bool
		plain   bool
		reason  rpcore.AttemptReason
		verdict rpverdict.Verdict
		tokens  int
	}
	code := func(code string) string { return fmt.Sprintf(`{"error":{"code":%q}}`, code) }
	for _, c := range []row{
		{name: "not loaded", handler: respondWith(404, jsonType, code("model_not_loaded")), reason: rpcore.AttemptNotLoaded},
		{name: "busy", handler: respondWith(503, jsonType, code("busy")), reason: rpcore.AttemptBusy},
		{name: "busy 429", handler: respondWith(429, jsonType, `{"code":"busy"}`), reason: rpcore.AttemptBusy},
		{name: "429", handler: respondWith(429, jsonType, `{}`), reason: rpcore.AttemptBusy, verdict: rpverdict.MayHaveRun},
		{name: "leaving", handler: respondWith(503, jsonType, code("leaving")), reason: rpcore.AttemptLeaving},
		{name: "503", handler: respondWith(503, jsonType, `{"code":7}`), reason: rpcore.AttemptFailed, verdict: rpverdict.MayHaveRun},
		{name: "500 with a code", handler: respondWith(500, jsonType, code("busy")), reason: rpcore.AttemptFailed, verdict: rpverdict.MayHaveRun},
		{name: "redirect", handler: respondWith(302, jsonType, ``), reason: rpcore.AttemptFailed, verdict: rpverdict.MayHaveRun},
		{name: "400", handler: respondWith(400, jsonType, `{}`), reason: rpcore.AttemptComplete, verdict: rpverdict.Ran},
		{name: "200", handler: respondWith(200, jsonType, `{}`), reason: rpcore.AttemptComplete, verdict: rpverdict.Ran},
		{name: "truncated JSON", handler: respondWith(200, jsonType, `{"a":`), reason: rpcore.AttemptBroken, verdict: rpverdict.MayHaveRun},
		{name: "JSON for a stream", handler: respondWith(200, jsonType, `{}`), stream: true, reason: rpcore.AttemptFailed, verdict: rpverdict.MayHaveRun},
		{name: "stream without [DONE]", handler: respondWith(200, sseType, tokenEvent), stream: true, reason: rpcore.AttemptBroken, verdict: rpverdict.MayHaveRun, tokens: 1},
		{name: "error event", handler: respondWith(200, sseType, tokenEvent+"event: error\ndata: {}\n\n"), stream: true, reason: rpcore.AttemptFailed, verdict: rpverdict.MayHaveRun, tokens: 1},
		{name: "error chunk", handler: respondWith(200, sseType, `data: {"error":{"message":"m"}}`+"\n\n"), stream: true, reason: rpcore.AttemptFailed, verdict: rpverdict.MayHaveRun},
		{name: "stream", handler: respondWith(200, sseType, tokenEvent+"data: [DONE]\n\n"), stream: true, reason: rpcore.AttemptComplete, verdict: rpverdict.Ran, tokens: 1},
		{name: "service 500", handler: respondWith(500, jsonType, `{}`), plain: true, reason: rpcore.AttemptComplete, verdict: rpverdict.Ran},
		{name: "service 502", handler: respondWith(502, jsonType, `{}`), plain: true, reason: rpcore.AttemptFailed, verdict: rpverdict.MayHaveRun},
		{name: "service busy", handler: respondWith(503, jsonType, code("busy")), plain: true, reason: rpcore.AttemptBusy},
		{name: "service 429", handler: respondWith(429, jsonType, `{}`), plain: true, reason: rpcore.AttemptComplete, verdict: rpverdict.Ran},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(c.handler)
			defer server.Close()
			client := &rpendpoint.Client{}
			defer client.Close()
			a := inferenceAttempt(addressOf(server.URL), c.stream)
			if c.plain {
				a = serviceAttempt(addressOf(server.URL), http.MethodPost, "5")
			}
			result := client.Run(context.Background(), a, (&callerRecorder{}).relay())
			g.Expect(result.Reason).To(Equal(c.reason), result.Detail)
			g.Expect(result.Verdict).To(Equal(c.verdict))
			g.Expect(result.TokensRelayed).To(Equal(c.tokens))
		})
	}
}

// Guards against a wrong verdict or reason if the connection fails without a
// response.
func TestConnectionVerdicts(t *testing.T) {
	readThenClose := func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) }
	hang := func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		name    string
		address netip.AddrPort
		ctx     context.Context
		timeout time.Duration
		reason  rpcore.AttemptReason
		verdict rpverdict.Verdict
	}{
		{"connection refused", closedAddress(t), context.Background(), 0, rpcore.AttemptRefusedConnection, rpverdict.NotRun},
		{"closed after request bytes", withRawServer(t, readThenClose), context.Background(), 0, rpcore.AttemptBroken, rpverdict.MayHaveRun},
		{"no response in time", withRawServer(t, hang), context.Background(), 100 * time.Millisecond, rpcore.AttemptTimedOut, rpverdict.MayHaveRun},
		{"deadline in the past", withRawServer(t, hang), context.Background(), -time.Second, rpcore.AttemptTimedOut, rpverdict.NotRun},
		{"canceled before the start", withRawServer(t, hang), canceled, 0, rpcore.AttemptCanceled, rpverdict.NotRun},
	} {
		for _, record := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, record %t", c.name, record), func(t *testing.T) {
				g := NewWithT(t)
				client := &rpendpoint.Client{}
				defer client.Close()
				a := serviceAttempt(c.address, http.MethodPost, "5")
				a.Command.Record = record
				if c.timeout != 0 {
					a.Command.Deadline = time.Now().Add(c.timeout)
				}
				result := client.Run(c.ctx, a, (&callerRecorder{}).relay())
				g.Expect(result.Reason).To(Equal(c.reason), result.Detail)
				g.Expect(result.Verdict).To(Equal(c.verdict))
			})
		}
	}
}

// Guards against automatic retries of net/http. On a reused connection it retries
// a request without a body, and a POST with an idempotency key.
func TestRequestIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			g := NewWithT(t)
			var requests atomic.Int32
			address := withRawServer(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					if requests.Add(1) > 1 {
						return
					}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			client := &rpendpoint.Client{}
			defer client.Close()
			a := serviceAttempt(address, method, "")
			a.IdempotencyKey = "key"
			g.Expect(client.Run(context.Background(), a, (&callerRecorder{}).relay()).Reason).To(Equal(rpcore.AttemptComplete))
			result := client.Run(context.Background(), a, (&callerRecorder{}).relay())
			g.Expect(result.Reason).To(Equal(rpcore.AttemptBroken))
			g.Expect(result.Verdict).To(Equal(rpverdict.MayHaveRun))
			g.Expect(requests.Load()).To(BeEquivalentTo(2))
		})
	}
}

// Guards against requests in a format that engines don't understand, and against
// forwarding hop-by-hop headers.
func TestForwardedRequests(t *testing.T) {
	g := NewWithT(t)
	var got *http.Request
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-End", "1")
		respondWith(200, jsonType, "{}")(w, r)
	}))
	defer server.Close()
	client := &rpendpoint.Client{}
	defer client.Close()
	a := inferenceAttempt(addressOf(server.URL), false)
	a.Command.Adapter, a.Command.Rank, a.Command.ResumeAfter = "dutch", rpdocument.RankBackground, 7
	a.Command.Deadline = time.Now().Add(time.Hour)
	client.Run(context.Background(), a, (&callerRecorder{}).relay())
	g.Expect(string(body)).To(MatchJSON(`{"model":"mix/dutch","priority":2,"stream":true}`))
	g.Expect(got.Header.Get("X-Request-Id")).To(Equal("a1"))
	g.Expect(got.Header.Get("Rattan-Resume-After")).To(Equal("7"))
	g.Expect(got.Header.Get("Rattan-Deadline")).To(Equal(a.Command.Deadline.UTC().Format(time.RFC3339Nano)))

	p := serviceAttempt(addressOf(server.URL), http.MethodPut, "5")
	p.Query = "q=1"
	p.Header = http.Header{"Connection": {"X-One"}, "X-One": {"1"}, "Te": {"trailers"}, "X-Two": {"2"}}
	caller := &callerRecorder{}
	client.Run(context.Background(), p, caller.relay())
	g.Expect(got.Method + " " + got.RequestURI + " " + string(body)).To(Equal("PUT /charge?q=1 5"))
	g.Expect(got.Header).To(HaveKey("X-Two"))
	g.Expect(got.Header).NotTo(Or(HaveKey("X-One"), HaveKey("Te")))
	g.Expect(caller.header).To(HaveKey("X-End"))
	g.Expect(caller.header).NotTo(HaveKey("X-Hop"))
}

// Guards against an engine that continues a canceled request.
func TestCancelReachesEngine(t *testing.T) {
	g := NewWithT(t)
	canceled := make(chan string, 1)
	running := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			canceled <- r.URL.Path
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		close(running)
		<-r.Context().Done()
	}))
	defer server.Close()
	client := &rpendpoint.Client{}
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		<-running
		cancel(errors.New("canceled by the test"))
	}()
	result := client.Run(ctx, inferenceAttempt(addressOf(server.URL), true), (&callerRecorder{}).relay())
	g.Expect(result.Reason).To(Equal(rpcore.AttemptCanceled))
	g.Expect(result.Verdict).To(Equal(rpverdict.MayHaveRun))
	g.Expect(<-canceled).To(Equal("/v1/requests/a1"))
	client.Close()
}

// Guards against an outcome that is not recorded because the caller disconnected,
// and against one with a truncated body.
func TestOutcome(t *testing.T) {
	g := NewWithT(t)
	size := 10
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		respondWith(201, "text/x", strings.Repeat("x", size))(w, r)
	}))
	defer server.Close()
	client := &rpendpoint.Client{}
	defer client.Close()
	a := serviceAttempt(addressOf(server.URL), http.MethodPost, "5")
	a.Command.Record = true
	result := client.Run(context.Background(), a, (&callerRecorder{failWrites: true}).relay())
	g.Expect(result.Reason).To(Equal(rpcore.AttemptComplete))
	g.Expect(result.CallerGone).To(BeTrue())
	g.Expect(*result.Outcome).To(Equal(rpcore.Outcome{Status: 201, ContentType: "text/x", Body: []byte("xxxxxxxxxx")}))

	size = rpcore.OutcomeBodyLimit + 1
	result = client.Run(context.Background(), a, (&callerRecorder{}).relay())
	g.Expect(*result.Outcome).To(Equal(rpcore.Outcome{Status: 201, ContentType: "text/x", Truncated: true}))
}
