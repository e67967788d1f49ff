package rpfront_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/rattanpaddle/rattanpaddle/internal/rpfront"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Guards against lost, repeated or reordered parts of a response, and against a
// complete response that is not reported as complete.
func TestResponsesAreComplete(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	_, address := withEngine(t, rpstandin.EngineConfig{})
	s.decide = (&dispatcher{addresses: []netip.AddrPort{address}, maxAttempts: 1}).decide

	resp := s.post("/v1/chat/completions", chatBody(true, 40), "X-Request-Id", "mine")
	s.Expect(resp.Header.Get("X-Request-Id")).To(HavePrefix("mine."))
	got := s.parseStream(s.readAll(resp))
	s.Expect(got.text).To(Equal(responseText(40)))
	s.Expect(got.done).To(BeTrue())

	var whole struct {
		Choices []struct{ Message struct{ Content string } }
	}
	body := s.readAll(s.post("/v1/chat/completions", chatBody(false, 7)))
	s.Expect(json.Unmarshal([]byte(body), &whole)).To(Succeed())
	s.Expect(whole.Choices[0].Message.Content).To(Equal(responseText(7)))

	s.Eventually(func() []rpcore.AttemptEnded { return postedOf[rpcore.AttemptEnded](s) }).Should(HaveLen(2))
	ended := postedOf[rpcore.AttemptEnded](s)
	s.Expect(ended[0].TokensRelayed).To(Equal(40))
	for _, ev := range ended {
		s.Expect(ev.Reason).To(Equal(rpcore.AttemptComplete))
		s.Expect(ev.Verdict).To(Equal(rpverdict.Ran))
	}
	s.Expect(postedOf[rpcore.AttemptFirstToken](s)).To(HaveLen(2))
}

// Guards against a repeated or missing token, a second opening or closing chunk, and
// a changed id after a stream was resumed on another replica.
func TestResumedStream(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	first, one := withEngine(t, rpstandin.EngineConfig{})
	second, two := withEngine(t, rpstandin.EngineConfig{})
	first.BreakAfter(5, 0)
	second.BreakAfter(0, 9)
	s.decide = (&dispatcher{addresses: []netip.AddrPort{one, two}, maxAttempts: 6}).decide

	got := s.parseStream(s.readAll(s.post("/v1/chat/completions", chatBody(true, 32))))
	s.Expect(got.text).To(Equal(responseText(32)))
	s.Expect(got.ids).To(HaveLen(1))
	s.Expect([]int{got.opened, got.ended}).To(Equal([]int{1, 1}))
	s.Expect(got.done).To(BeTrue())
	s.Expect(postedOf[rpcore.RequestAbandoned](s)).To(BeEmpty())
}

// Guards against refusals in a format that callers can't parse, both before and
// after the response has started.
func TestRefusals(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	engine, address := withEngine(t, rpstandin.EngineConfig{})
	refusal := rpverdict.Refusal{Code: rpverdict.CodeQueueFull, Detail: "The queue is full.", RetryAfter: 1200 * time.Millisecond}
	s.decide = func(ev rpcore.Event) []rpcore.Effect {
		if ev, ok := ev.(rpcore.RequestArrived); ok {
			return []rpcore.Effect{rpcore.RefuseRequest{Request: ev.Request.ID, Refusal: refusal}}
		}
		return nil
	}
	resp := s.post("/v1/chat/completions", chatBody(true, 4))
	s.Expect(resp.StatusCode).To(Equal(http.StatusTooManyRequests))
	s.Expect(resp.Header.Get("Content-Type")).To(Equal("application/problem+json"))
	s.Expect(resp.Header.Get("Retry-After")).To(Equal("2"))
	var problem map[string]any
	s.Expect(json.Unmarshal([]byte(s.readAll(resp)), &problem)).To(Succeed())
	s.Expect(problem).To(HaveKeyWithValue("code", "queue_full"))
	s.Expect(problem).To(HaveKeyWithValue("verdict", "not_run"))
	s.Expect(problem).To(HaveKeyWithValue("request_id", resp.Header.Get("X-Request-Id")))
	s.Expect(problem).To(HaveKey("type"))
	s.Expect(problem).To(HaveKey("title"))
	s.Expect(problem).To(HaveKeyWithValue("status", BeEquivalentTo(429)))

	engine.BreakAfter(3)
	s.decide = (&dispatcher{addresses: []netip.AddrPort{address}, maxAttempts: 1}).decide
	got := s.parseStream(s.readAll(s.post("/v1/chat/completions", chatBody(true, 9))))
	s.Expect(got.text).To(Equal(responseText(3)))
	s.Expect(got.done).To(BeFalse())
	s.Expect(got.failure).To(HavePrefix("event: error\ndata: {"))
	s.Expect(got.failure).To(ContainSubstring(`"code":"stream_broken","verdict":"may_have_run"`))
}

// Guards against a truncated response of a plain service that looks complete.
func TestBrokenServiceResponseIsAborted(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	service := rpstandin.NewService(rpstandin.ServiceConfig{CutAnswer: true})
	s.decide = (&dispatcher{addresses: []netip.AddrPort{withService(t, service)}, maxAttempts: 3, plain: true}).decide
	resp := s.post("/services/till/echo", strings.Repeat("x", 100_000))
	defer resp.Body.Close()
	_, err := io.ReadAll(resp.Body)
	s.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	s.Expect(service.State().Executions).To(Equal(1))
}

// Guards against an attempt that continues after the caller has disconnected, and
// against AttemptEnded being posted before RequestAbandoned. The reducer would then
// count the attempt as failed.
func TestCallerGone(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	engine, address := withEngine(t, rpstandin.EngineConfig{TokenTime: time.Millisecond})
	s.decide = (&dispatcher{addresses: []netip.AddrPort{address}, maxAttempts: 1}).decide
	resp := s.post("/v1/chat/completions", chatBody(true, 1_000_000))
	_, err := bufio.NewReader(resp.Body).ReadString('\n')
	s.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	s.Eventually(func() []rpcore.AttemptEnded { return postedOf[rpcore.AttemptEnded](s) }).Should(HaveLen(1))
	s.Expect(postedOf[rpcore.AttemptEnded](s)[0].Reason).To(Equal(rpcore.AttemptCanceled))
	s.Expect(postedOf[rpcore.AttemptEnded](s)[0].Verdict).To(Equal(rpverdict.MayHaveRun))
	s.Expect(postedOf[rpcore.RequestAbandoned](s)).To(HaveLen(1))
	s.mu.Lock()
	_, last := s.posted[len(s.posted)-1].(rpcore.AttemptEnded)
	s.mu.Unlock()
	s.Expect(last).To(BeTrue(), "RequestAbandoned must come before AttemptEnded")
	s.Eventually(func() int { return engine.State().Running }).Should(BeZero())
}

// Guards against an attempt without AttemptEnded if its request no longer exists.
func TestAttemptOfEndedRequest(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	s.server.StartAttempt(rpcore.StartAttempt{Attempt: "a", Request: "unknown"})
	s.Eventually(func() []rpcore.AttemptEnded { return postedOf[rpcore.AttemptEnded](s) }).Should(ConsistOf(And(
		HaveField("Reason", rpcore.AttemptCanceled), HaveField("Verdict", rpverdict.NotRun), HaveField("Request", rpcore.RequestID("unknown")),
	)))
}

// Guards against a canceled attempt that continues, or that never ends.
func TestCancelAttempt(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	_, address := withEngine(t, rpstandin.EngineConfig{TokenTime: time.Millisecond})
	d := &dispatcher{addresses: []netip.AddrPort{address}, maxAttempts: 1}
	s.decide = func(ev rpcore.Event) []rpcore.Effect {
		if ev, ok := ev.(rpcore.AttemptFirstToken); ok {
			return []rpcore.Effect{rpcore.CancelAttempt{Attempt: ev.Attempt}}
		}
		return d.decide(ev)
	}
	got := s.parseStream(s.readAll(s.post("/v1/chat/completions", chatBody(true, 1_000_000))))
	s.Expect(got.failure).To(ContainSubstring("stream_broken"))
	s.Expect(postedOf[rpcore.AttemptEnded](s)).To(ConsistOf(HaveField("Reason", rpcore.AttemptCanceled)))
}

// Guards against a caller that does not read and so keeps a request open for ever.
func TestSlowReader(t *testing.T) {
	s := withServer(t, rpfront.Limits{WriteTimeout: 50 * time.Millisecond})
	service := rpstandin.NewService(rpstandin.ServiceConfig{})
	d := &dispatcher{addresses: []netip.AddrPort{withService(t, service)}, maxAttempts: 1, plain: true}
	s.decide = d.decide
	conn, err := net.Dial("tcp", addressOf(s.http).String())
	s.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	body := strings.Repeat("x", 15<<20)
	_, err = io.WriteString(conn, "POST /services/till/echo HTTP/1.1\r\nHost: x\r\nContent-Length: 15728640\r\n\r\n"+body)
	s.Expect(err).NotTo(HaveOccurred())
	s.Eventually(func() []rpcore.RequestAbandoned { return postedOf[rpcore.RequestAbandoned](s) }, "20s").Should(HaveLen(1))
}

// Guards against responses that reach the wrong caller if requests are started in
// another order than they arrived.
func TestResponsesReachTheirCallers(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	service := rpstandin.NewService(rpstandin.ServiceConfig{})
	d := &dispatcher{addresses: []netip.AddrPort{withService(t, service)}, plain: true}
	var held []rpcore.Effect
	s.decide = func(ev rpcore.Event) []rpcore.Effect {
		if _, ok := ev.(rpcore.RequestArrived); !ok {
			return nil
		}
		held = append(d.decide(ev), held...)
		if len(held) < 2 {
			return nil
		}
		return held
	}
	responses := make(chan string)
	for _, body := range []string{"one", "two"} {
		go func() { responses <- body + "=" + s.readAll(s.post("/services/till/echo", body)) }()
	}
	s.Expect([]string{<-responses, <-responses}).To(ConsistOf("one=one", "two=two"))
}

// Guards against a recorded outcome or a refusal that reaches the wrong caller if
// several requests wait.
func TestCommandsReachTheirRequests(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	var held []rpcore.Effect
	s.decide = func(ev rpcore.Event) []rpcore.Effect {
		arrived, ok := ev.(rpcore.RequestArrived)
		if !ok {
			return nil
		}
		id, path := arrived.Request.ID, arrived.Request.Path
		held = append(held, rpcore.ReplayOutcome{Request: id, Outcome: rpcore.Outcome{Status: 200, Body: []byte(path)}})
		if path == "/refused" {
			held[len(held)-1] = rpcore.RefuseRequest{Request: id, Refusal: rpverdict.Refuse(rpverdict.CodeQueueFull, "For "+path+".")}
		}
		if len(held) < 6 {
			return nil
		}
		slices.Reverse(held)
		return held
	}
	// The timeout ends a request whose response went to another caller; otherwise
	// the server could not be closed.
	client := &http.Client{Timeout: 10 * time.Second}
	responses := make(chan string, 6)
	var want []string
	for _, path := range []string{"/a", "/b", "/c", "/d", "/e", "/refused"} {
		want = append(want, path)
		go func() {
			resp, err := client.Post(s.http.URL+"/services/till"+path, "text/plain", nil)
			if err != nil {
				responses <- path + "=" + err.Error()
				return
			}
			responses <- path + "=" + s.readAll(resp)
		}()
	}
	for range want {
		path, body, _ := strings.Cut(<-responses, "=")
		if path == "/refused" {
			s.Expect(body).To(ContainSubstring("For /refused."))
			continue
		}
		s.Expect(body).To(Equal(path))
	}
}

// Guards against a planned stop that aborts a stream in progress, and against a
// server that still accepts connections after it.
func TestPlannedShutdown(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	_, address := withEngine(t, rpstandin.EngineConfig{TokenTime: time.Millisecond})
	d := &dispatcher{addresses: []netip.AddrPort{address}, maxAttempts: 1}
	started := make(chan struct{}, 1)
	s.decide = func(ev rpcore.Event) []rpcore.Effect {
		if _, ok := ev.(rpcore.AttemptFirstToken); ok {
			started <- struct{}{}
		}
		return d.decide(ev)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.Expect(err).NotTo(HaveOccurred())
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(ln) }()
	body := make(chan string, 1)
	go func() {
		resp, err := http.Post("http://"+ln.Addr().String()+"/v1/chat/completions", "application/json", strings.NewReader(chatBody(true, 60)))
		s.Expect(err).NotTo(HaveOccurred())
		body <- s.readAll(resp)
	}()
	<-started
	s.server.ReportReady(rpcore.ReportReady{Ready: false, Reason: "stopping"})
	s.Expect(s.server.Shutdown(context.Background())).To(Succeed())
	got := s.parseStream(<-body)
	s.Expect(got.text).To(Equal(responseText(60)))
	s.Expect(got.done).To(BeTrue())
	s.Expect(<-served).To(Succeed())
	_, err = net.Dial("tcp", ln.Addr().String())
	s.Expect(err).To(HaveOccurred())
}

// Guards against a request that runs twice after its response was lost, and against
// a refusal with the verdict not_run for it.
func TestSingleRunServiceIsNotRepeated(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	service := rpstandin.NewService(rpstandin.ServiceConfig{DropAfterRun: true})
	s.decide = (&dispatcher{addresses: []netip.AddrPort{withService(t, service)}, maxAttempts: 3, plain: true, record: true}).decide
	for _, body := range []string{"", "charge 5"} {
		got := s.readAll(s.post("/services/till/charge", body, "Idempotency-Key", "key"+body))
		s.Expect(got).To(ContainSubstring(`"verdict":"may_have_run"`))
		s.Expect(service.State().ByKey).To(HaveKeyWithValue("key"+body, 1))
	}
}

// Guards against an outcome that is not recorded because the caller disconnected
// before the response, and against a replay that differs from it.
func TestOutcomeIsRecordedAndReplayed(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	service := rpstandin.NewService(rpstandin.ServiceConfig{Delay: 50 * time.Millisecond})
	d := &dispatcher{addresses: []netip.AddrPort{withService(t, service)}, maxAttempts: 1, plain: true, record: true}
	ctx, cancel := context.WithCancel(context.Background())
	var outcome *rpcore.Outcome
	s.decide = func(ev rpcore.Event) []rpcore.Effect {
		arrived, ok := ev.(rpcore.RequestArrived)
		if ok && outcome != nil {
			return []rpcore.Effect{rpcore.ReplayOutcome{Request: arrived.Request.ID, Outcome: *outcome}}
		}
		if ok {
			defer cancel()
		}
		if ended, ok := ev.(rpcore.AttemptEnded); ok {
			outcome = ended.Outcome
		}
		return d.decide(ev)
	}
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.http.URL+"/services/till/charge", strings.NewReader("5"))
	req.Header.Set("Content-Type", "text/x-charge")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
	s.Eventually(func() []rpcore.AttemptEnded { return postedOf[rpcore.AttemptEnded](s) }).Should(ConsistOf(HaveField("Reason", rpcore.AttemptComplete)))
	resp := s.post("/services/till/charge", "5")
	s.Expect(resp.Header.Get("Content-Type")).To(Equal("text/x-charge"))
	s.Expect(s.readAll(resp)).To(Equal("5"))
	s.Expect(service.State().Executions).To(Equal(1))
}

// Guards against incompatibilities with OpenAI clients. The official client must be
// able to read a complete stream, and must report a broken one as an error.
func TestOpenAIClient(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	engine, address := withEngine(t, rpstandin.EngineConfig{})
	s.decide = (&dispatcher{addresses: []netip.AddrPort{address}, maxAttempts: 1}).decide
	client := openai.NewClient(option.WithBaseURL(s.http.URL+"/v1"), option.WithAPIKey("secret"), option.WithMaxRetries(0))
	read := func() (string, error) {
		stream := client.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
			Model:     "mix/small",
			MaxTokens: openai.Int(25),
			Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		})
		text := ""
		for stream.Next() {
			text += stream.Current().Choices[0].Delta.Content
		}
		return text, stream.Err()
	}
	text, err := read()
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(text).To(Equal(responseText(25)))
	s.Expect(postedOf[rpcore.RequestArrived](s)[0].Request.Credential).To(Equal("2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"))

	engine.BreakAfter(3)
	_, err = read()
	s.Expect(err).To(MatchError(ContainSubstring("stream_broken")))
}
