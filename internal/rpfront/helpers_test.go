package rpfront_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/internal/rpfront"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// testServer runs a Server with an endpoint client and a minimal reducer.
type testServer struct {
	*WithT
	server *rpfront.Server
	client *rpendpoint.Client
	http   *httptest.Server
	// decide returns the effects of an event. The event loop calls it.
	decide func(rpcore.Event) []rpcore.Effect
	events chan rpcore.Event

	mu     sync.Mutex
	posted []rpcore.Event
}

func withServer(t *testing.T, limits rpfront.Limits) *testServer {
	s := &testServer{WithT: NewWithT(t), events: make(chan rpcore.Event), client: &rpendpoint.Client{}}
	s.server = &rpfront.Server{Post: func(ev rpcore.Event) { s.events <- ev }, RunAttempt: s.client.Run, Limits: limits}
	s.http = httptest.NewServer(s.server.Handler())
	loop := make(chan struct{})
	go func() {
		defer close(loop)
		for ev := range s.events {
			s.mu.Lock()
			s.posted = append(s.posted, ev)
			s.mu.Unlock()
			if s.decide != nil {
				s.execute(s.decide(ev))
			}
		}
	}()
	t.Cleanup(func() {
		s.http.Close()
		s.client.Close()
	})
	return s
}

func (s *testServer) execute(effects []rpcore.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case rpcore.StartAttempt:
			s.server.StartAttempt(effect)
		case rpcore.CancelAttempt:
			s.server.CancelAttempt(effect)
		case rpcore.RefuseRequest:
			s.server.RefuseRequest(effect)
		case rpcore.ReplayOutcome:
			s.server.ReplayOutcome(effect)
		}
	}
}

// postedOf returns the posted events of type T in order.
func postedOf[T rpcore.Event](s *testServer) []T {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []T
	for _, ev := range s.posted {
		if ev, ok := ev.(T); ok {
			out = append(out, ev)
		}
	}
	return out
}

// dispatcher is a minimal reducer. It sends each request to the endpoints in turn
// until an attempt completes, and resumes after the tokens that were relayed.
type dispatcher struct {
	addresses       []netip.AddrPort
	maxAttempts     int
	record          bool
	plain           bool
	tokens          map[rpcore.RequestID]int
	attemptsStarted map[rpcore.RequestID]int
}

func (d *dispatcher) decide(ev rpcore.Event) []rpcore.Effect {
	if d.tokens == nil {
		d.tokens, d.attemptsStarted = map[rpcore.RequestID]int{}, map[rpcore.RequestID]int{}
	}
	switch ev := ev.(type) {
	case rpcore.RequestArrived:
		return d.start(ev.Request.ID)
	case rpcore.AttemptEnded:
		d.tokens[ev.Request] += ev.TokensRelayed
		if ev.Reason == rpcore.AttemptComplete {
			return nil
		}
		if ev.AnswerStarted || d.attemptsStarted[ev.Request] >= d.maxAttempts || d.record && ev.Verdict != rpverdict.NotRun {
			refusal := rpverdict.Refusal{Code: rpverdict.CodeStreamBroken, Verdict: ev.Verdict, Detail: "The attempts were used up."}
			return []rpcore.Effect{rpcore.RefuseRequest{Request: ev.Request, Refusal: refusal}}
		}
		return d.start(ev.Request)
	}
	return nil
}

func (d *dispatcher) start(id rpcore.RequestID) []rpcore.Effect {
	n := d.attemptsStarted[id]
	d.attemptsStarted[id]++
	cmd := rpcore.StartAttempt{
		Attempt:     rpcore.AttemptID(fmt.Sprintf("%s-%d", id, n)),
		Request:     id,
		Address:     d.addresses[n%len(d.addresses)],
		ResumeAfter: d.tokens[id],
		Record:      d.record,
	}
	if !d.plain {
		cmd.Model = rpcore.ModelKey{Service: "mix", Name: "small"}
	}
	return []rpcore.Effect{cmd}
}

func addressOf(server *httptest.Server) netip.AddrPort {
	u, _ := url.Parse(server.URL)
	return netip.MustParseAddrPort(u.Host)
}

// withEngine starts an engine with the model mix/small loaded.
func withEngine(t *testing.T, cfg rpstandin.EngineConfig) (*rpstandin.Engine, netip.AddrPort) {
	cfg.Memory = rpdocument.GiB
	engine := rpstandin.NewEngine(cfg)
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	resp, err := http.Post(server.URL+"/v2/repository/models/mix%2Fsmall/load", "application/json", strings.NewReader(`{"parameters":{"memory_bytes":1}}`))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	return engine, addressOf(server)
}

func chatBody(stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":"mix/small","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, stream, tokens)
}

func responseText(tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(rpstandin.EngineToken("user\x00hello\x00", i))
	}
	return text.String()
}

func (s *testServer) post(path, body string, header ...string) *http.Response {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.http.URL+path, strings.NewReader(body))
	s.Expect(err).NotTo(HaveOccurred())
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	s.Expect(err).NotTo(HaveOccurred())
	return resp
}

func (s *testServer) readAll(resp *http.Response) string {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.Expect(err).NotTo(HaveOccurred())
	return string(body)
}

// receivedStream is the content of a stream that a caller received.
type receivedStream struct {
	text, failure string
	ids           map[string]bool
	opened, ended int
	done          bool
}

func (s *testServer) parseStream(body string) receivedStream {
	out := receivedStream{ids: map[string]bool{}}
	for frame := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		data, isData := strings.CutPrefix(frame, "data: ")
		if !isData {
			out.failure = frame
			continue
		}
		s.Expect(out.done).To(BeFalse(), "data after [DONE]")
		if data == "[DONE]" {
			out.done = true
			continue
		}
		var chunk struct {
			ID      string
			Choices []struct {
				Delta        struct{ Role, Content string }
				FinishReason *string `json:"finish_reason"`
			}
		}
		s.Expect(json.Unmarshal([]byte(data), &chunk)).To(Succeed())
		out.ids[chunk.ID] = true
		out.text += chunk.Choices[0].Delta.Content
		if chunk.Choices[0].Delta.Role != "" {
			out.opened++
		}
		if chunk.Choices[0].FinishReason != nil {
			out.ended++
		}
	}
	return out
}
