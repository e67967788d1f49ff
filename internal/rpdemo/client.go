package rpdemo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// answer is the answer to one streamed chat request.
type answer struct {
	tokens     []string
	firstToken time.Duration
	// complete is true if the stream ended with [DONE].
	complete bool
}

// verify returns an error unless the answer is complete and has exactly the tokens
// with which the stand-in answers the prompt.
func (a answer) verify(prompt string, tokens int) error {
	if !a.complete {
		return trace.Errorf("the stream ended after %d tokens without [DONE]", len(a.tokens))
	}
	if len(a.tokens) != tokens {
		return trace.Errorf("got %d tokens, want %d", len(a.tokens), tokens)
	}
	// The stand-in derives its tokens from role and text of each message.
	text := "user\x00" + prompt + "\x00"
	for i, token := range a.tokens {
		if want := rpstandin.EngineToken(text, i); token != want {
			return trace.Errorf("token %d is %q, want %q", i, token, want)
		}
	}
	return nil
}

type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// streamChat sends a streamed chat request and reads the whole answer. If onToken is
// not nil, it is called after each token with the number of tokens so far.
func streamChat(ctx context.Context, to netip.AddrPort, model string, rank rpdocument.Rank, prompt string, tokens int, onToken func(int)) (answer, error) {
	body, err := json.Marshal(map[string]any{
		"model":      model,
		"stream":     true,
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return answer{}, trace.Wrap(err)
	}
	begin := time.Now()
	header := http.Header{"Rattan-Rank": {rank.String()}}
	response, err := post(ctx, to, "/v1/chat/completions", header, body)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var a answer
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			if strings.HasPrefix(lines.Text(), "event: error") {
				return a, trace.Errorf("the stream ended with an error event")
			}
			continue
		}
		if data == "[DONE]" {
			a.complete = true
			continue
		}
		var chunk chatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return a, trace.Wrap(err, "reading a chunk")
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		if len(a.tokens) == 0 {
			a.firstToken = time.Since(begin)
		}
		a.tokens = append(a.tokens, chunk.Choices[0].Delta.Content)
		if onToken != nil {
			onToken(len(a.tokens))
		}
	}
	return a, trace.Wrap(lines.Err())
}

// post sends a request. A status other than 200 is an error.
func post(ctx context.Context, to netip.AddrPort, path string, header http.Header, body []byte) (*http.Response, error) {
	url := "http://" + to.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	return nil, trace.Wrap(statusError{response.StatusCode, string(text)})
}

type statusError struct {
	status int
	body   string
}

func (e statusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, e.body)
}
