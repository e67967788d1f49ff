package rpfront_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpfront"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

func withService(t *testing.T, service *rpstandin.Service) netip.AddrPort {
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return addressOf(server)
}

// Guards against invalid requests that reach the reducer or get an unclear refusal,
// and against refusals that are not posted for operators.
func TestInvalidRequests(t *testing.T) {
	s := withServer(t, rpfront.Limits{BodyBytes: 2000, HeaderBytes: 1000, URLBytes: 100})
	const chat, good = "/v1/chat/completions", `{"model":"mix/small"}`
	for i, c := range []struct {
		name, path, body string
		header           []string
		code             rpverdict.Code
	}{
		{"unknown rank", chat, good, []string{"Rattan-Rank", "top"}, rpverdict.CodeInvalidHeader},
		{"empty rank", chat, good, []string{"Rattan-Rank", ""}, rpverdict.CodeInvalidHeader},
		{"two ranks", chat, good, []string{"Rattan-Rank", "urgent", "Rattan-Rank", "urgent"}, rpverdict.CodeInvalidHeader},
		{"negative timeout", chat, good, []string{"Rattan-Timeout", "-1s"}, rpverdict.CodeInvalidHeader},
		{"zero timeout", chat, good, []string{"Rattan-Timeout", "0s"}, rpverdict.CodeInvalidHeader},
		{"huge timeout", chat, good, []string{"Rattan-Timeout", "9000h"}, rpverdict.CodeInvalidHeader},
		{"timeout is not a duration", chat, good, []string{"Rattan-Timeout", "soon"}, rpverdict.CodeInvalidHeader},
		{"long key", chat, good, []string{"Idempotency-Key", strings.Repeat("k", 256)}, rpverdict.CodeInvalidHeader},
		{"two keys", chat, good, []string{"Idempotency-Key", "a", "Idempotency-Key", "b"}, rpverdict.CodeInvalidHeader},
		{"key is not ASCII", chat, good, []string{"Idempotency-Key", "k\xff"}, rpverdict.CodeInvalidHeader},
		{"other scheme", chat, good, []string{"Authorization", "Basic eA=="}, rpverdict.CodeInvalidHeader},
		{"two credentials", chat, good, []string{"Authorization", "Bearer a", "Authorization", "Bearer b"}, rpverdict.CodeInvalidHeader},
		{"large headers", chat, good, []string{"X-Large", strings.Repeat("x", 1000)}, rpverdict.CodeInvalidHeader},
		{"long URL", chat + "?" + strings.Repeat("q", 100), good, nil, rpverdict.CodeMalformedRequest},
		{"large body", chat, strings.Repeat(" ", 2001), nil, rpverdict.CodeBodyTooLarge},
		{"bad UTF-8", chat, "{\"model\":\"mix/\xff\"}", nil, rpverdict.CodeMalformedRequest},
		{"truncated JSON", chat, `{"model":`, nil, rpverdict.CodeMalformedRequest},
		{"not an object", chat, `["model"]`, nil, rpverdict.CodeMalformedRequest},
		{"trailing data", chat, good + "{}", nil, rpverdict.CodeMalformedRequest},
		{"two models", chat, `{"model":"mix/small","model":"mix/big"}`, nil, rpverdict.CodeMalformedRequest},
		{"no model", chat, `{}`, nil, rpverdict.CodeMalformedRequest},
		{"wrong type", chat, `{"model":"mix/small","stream":"yes"}`, nil, rpverdict.CodeMalformedRequest},
		{"negative tokens", chat, `{"model":"mix/small","max_tokens":-1}`, nil, rpverdict.CodeMalformedRequest},
		{"model without a service", chat, `{"model":"gpt"}`, nil, rpverdict.CodeUnknownModel},
		{"unknown path", "/v1/nothing", good, nil, rpverdict.CodeUnknownRoute},
		{"dot segment", "/services/till/quote/%2e%2e/charge", "", nil, rpverdict.CodeMalformedRequest},
		{"escaped slash", "/services/till/quote%2Fcharge", "", nil, rpverdict.CodeMalformedRequest},
		{"empty segment", "/services/till//charge", "", nil, rpverdict.CodeMalformedRequest},
		{"no service", "/services/", "", nil, rpverdict.CodeUnknownService},
	} {
		resp := s.post(c.path, c.body, c.header...)
		var problem struct {
			Code    rpverdict.Code
			Verdict rpverdict.Verdict
			Detail  string
		}
		s.Expect(json.Unmarshal([]byte(s.readAll(resp)), &problem)).To(Succeed(), c.name)
		s.Expect(problem.Code).To(Equal(c.code), c.name)
		s.Expect(problem.Verdict).To(Equal(rpverdict.NotRun), c.name)
		s.Expect(problem.Detail).NotTo(BeEmpty(), c.name)
		s.Expect(resp.StatusCode).To(Equal(rpverdict.Refuse(c.code, "").Status()), c.name)
		s.Eventually(func() []rpcore.RequestRejected { return postedOf[rpcore.RequestRejected](s) }).Should(HaveLen(i+1), c.name)
		rejected := postedOf[rpcore.RequestRejected](s)
		s.Expect(string(rejected[i].Request)).To(Equal(resp.Header.Get("X-Request-Id")), c.name)
		s.Expect(rejected[i].Refusal.Code).To(Equal(c.code), c.name)
		s.Expect(rejected[i].Refusal.Detail).To(Equal(problem.Detail), c.name)
	}
	s.Expect(postedOf[rpcore.RequestArrived](s)).To(BeEmpty())
}

// Guards against an unlimited number of requests in progress. Each one needs memory
// and a goroutine.
func TestTooManyStreams(t *testing.T) {
	s := withServer(t, rpfront.Limits{RequestsInProgress: 1})
	arrived := make(chan rpcore.RequestID, 2)
	s.decide = func(ev rpcore.Event) []rpcore.Effect {
		if ev, ok := ev.(rpcore.RequestArrived); ok {
			arrived <- ev.Request.ID
		}
		return nil
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.readAll(s.post("/services/till/wait", ""))
	}()
	id := <-arrived
	resp := s.post("/services/till/wait", "")
	s.Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
	s.Expect(s.readAll(resp)).To(ContainSubstring("too_many_streams"))
	s.server.RefuseRequest(rpcore.RefuseRequest{Request: id, Refusal: rpverdict.Refuse(rpverdict.CodeNoEndpoint, "None.")})
	<-done
	s.Eventually(func() []rpcore.RequestRejected { return postedOf[rpcore.RequestRejected](s) }).Should(HaveLen(1))
}

// Guards against request fields that routing and admission need and that are not
// set, and against prefix hashes that differ from those of the engines.
func TestRequestFields(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	_, address := withEngine(t, rpstandin.EngineConfig{})
	s.decide = (&dispatcher{addresses: []netip.AddrPort{address}, maxAttempts: 1}).decide
	prompt := strings.Repeat("p", 600)
	body := `{"model":"mix/small","max_tokens":2,"user":"anna","prompt":"` + prompt + `"}`
	s.readAll(s.post("/v1/completions", body, "Rattan-Rank", "urgent", "Rattan-Timeout", "3s", "Idempotency-Key", "k 1"))
	got := postedOf[rpcore.RequestArrived](s)[0].Request
	s.Expect(got.Rank).To(Equal(rpdocument.RankUrgent))
	s.Expect(got.Timeout.String()).To(Equal("3s"))
	s.Expect(got.IdempotencyKey).To(Equal("k 1"))
	s.Expect(got.Session).To(Equal("anna"))
	s.Expect(got.PromptTokens).To(Equal(150))
	s.Expect(got.MaxTokens).To(Equal(2))
	s.Expect(got.Fingerprint).To(HaveLen(64))

	resp, err := http.Get("http://" + address.String() + "/v1/engine/cache_events?after=0")
	s.Expect(err).NotTo(HaveOccurred())
	var batch struct{ Added []uint64 }
	s.Expect(json.Unmarshal([]byte(s.readAll(resp)), &batch)).To(Succeed())
	s.Expect(got.PrefixHashes).To(HaveLen(2))
	s.Expect(got.PrefixHashes).To(Equal(batch.Added))
}

// Guards against readiness that does not follow the reducer. The balancer would send
// callers to an instance that is not ready.
func TestReadiness(t *testing.T) {
	s := withServer(t, rpfront.Limits{})
	status := func(path string) int {
		resp, err := http.Get(s.http.URL + path)
		s.Expect(err).NotTo(HaveOccurred())
		s.readAll(resp)
		return resp.StatusCode
	}
	s.Expect(status("/readyz")).To(Equal(http.StatusServiceUnavailable))
	s.server.ReportReady(rpcore.ReportReady{Ready: true})
	s.Expect(status("/readyz")).To(Equal(http.StatusOK))
	s.server.ReportReady(rpcore.ReportReady{Reason: "stopping"})
	s.Expect(status("/readyz")).To(Equal(http.StatusServiceUnavailable))
	s.Expect(status("/healthz")).To(Equal(http.StatusOK))
	s.Expect(status("/v1/models")).To(Equal(http.StatusOK))
}

// Guards against a slow body that occupies its goroutine for too long, and against a
// body timeout that ends requests whose body was received completely.
func TestBodyTimeout(t *testing.T) {
	s := withServer(t, rpfront.Limits{BodyTimeout: 50 * time.Millisecond})
	// decide is set before any event is posted; the event loop reads it with the
	// first event, which belongs to a refusal.
	service := rpstandin.NewService(rpstandin.ServiceConfig{Delay: 150 * time.Millisecond})
	s.decide = (&dispatcher{addresses: []netip.AddrPort{withService(t, service)}, plain: true}).decide
	for header, code := range map[string]string{"X: y": "malformed_request", "Rattan-Rank: top": "invalid_header"} {
		conn, err := net.Dial("tcp", addressOf(s.http).String())
		s.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /services/till/echo HTTP/1.1\r\nHost: x\r\n"+header+"\r\nContent-Length: 10\r\n\r\nhalf")
		s.Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(s.readAll(resp)).To(ContainSubstring(code))
	}

	s.Expect(s.readAll(s.post("/services/till/echo", "whole"))).To(Equal("whole"))
	s.Expect(postedOf[rpcore.RequestAbandoned](s)).To(BeEmpty())
}
