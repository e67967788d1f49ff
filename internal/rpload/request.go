package rpload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// Request is a request of the run.
type Request struct {
	// ID is sent as the request id and as the idempotency key.
	ID        string
	Arrival   Arrival
	Kind      RequestKind
	Prompt    string
	MaxTokens int
}

func (c Config) newRequest(a Arrival) Request {
	return Request{
		ID:        fmt.Sprintf("%s-%d", c.RunID, a.Seq),
		Arrival:   a,
		Kind:      c.Kinds[a.Kind],
		Prompt:    prompt(c.Seed, a.Seq, c.PromptTokens),
		MaxTokens: c.MaxTokens,
	}
}

// vocabularySize is the number of distinct words in prompts, apart from the first
// word of each prompt.
const vocabularySize = 4096

// prompt returns a prompt that depends only on the seed and the number of the
// request. The first word contains the number, so that no two prompts of a run are
// equal and an answer to another request is detected.
func prompt(seed, seq uint64, tokens int) string {
	rng := rand.New(rand.NewPCG(seed, rngPrompts+seq))
	var b strings.Builder
	fmt.Fprintf(&b, "request%d", seq)
	for range tokens - 1 {
		fmt.Fprintf(&b, " w%d", rng.IntN(vocabularySize))
	}
	return b.String()
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type serviceBody struct {
	Request string `json:"request"`
	Content string `json:"content"`
}

// pathAndBody returns the path of a request and the value of its JSON body.
func (r Request) pathAndBody() (string, any) {
	if r.Kind.Route != "" {
		return "/services/" + r.Kind.Route, serviceBody{Request: r.ID, Content: r.Prompt}
	}
	messages := []chatMessage{{Role: "user", Content: r.Prompt}}
	return "/v1/chat/completions", chatBody{Model: r.Kind.Model, Messages: messages, MaxTokens: r.MaxTokens, Stream: true}
}

// httpRequest returns the HTTP request to a target. A timeout of 0 is not sent.
func (c Config) httpRequest(ctx context.Context, r Request, target netip.AddrPort, timeout time.Duration) (*http.Request, error) {
	path, value := r.pathAndBody()
	body, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	// The body is wrapped in a type that net/http can't rewind. Otherwise net/http
	// would resend a request with an idempotency key by itself when its
	// connection breaks.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.String()+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	c.setHeaders(req.Header, r, timeout)
	return req, nil
}

func (c Config) setHeaders(h http.Header, r Request, timeout time.Duration) {
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", r.ID)
	if r.Arrival.Rank != rpdocument.RankUnset {
		h.Set("Rattan-Rank", r.Arrival.Rank.String())
	}
	if timeout > 0 {
		h.Set("Rattan-Timeout", timeout.String())
	}
	if c.IdempotencyKeys || r.Kind.Route != "" {
		h.Set("Idempotency-Key", r.ID)
	}
	if c.Credential != "" {
		h.Set("Authorization", "Bearer "+c.Credential)
	}
}
