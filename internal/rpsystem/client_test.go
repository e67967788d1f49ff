package rpsystem

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// answerGrace is how long a client waits for an answer after the deadline of its
// request. A request without an answer by then counts as dropped.
const answerGrace = 20 * time.Second

// httpClient uses each connection for one request, so that no request fails on
// an idle connection to a process that has ended.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * waitTimeout}

// requestJSON sends a request and decodes the answer. A status other than 2xx is
// an error.
func requestJSON(method, url string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || answer == nil && response.StatusCode < 300 {
		return err
	}
	if response.StatusCode >= 300 {
		return fmt.Errorf("%s %s: %s: %s", method, url, response.Status, text)
	}
	return json.Unmarshal(text, answer)
}

// refusal holds the fields of a refusal that the tests check.
type refusal struct {
	Code    rpverdict.Code    `json:"code"`
	Verdict rpverdict.Verdict `json:"verdict"`
	Detail  string            `json:"detail"`
}

// answer is the outcome of a request: a complete answer, a refusal in refused,
// or a lost answer with its cause in err.
type answer struct {
	from    string
	body    string
	tokens  []string
	done    bool
	refused *refusal
	err     error
	// prompt and wanted, the number of tokens, determine the expected stream.
	prompt string
	wanted int
}

func (a answer) String() string {
	return fmt.Sprintf("from %s: %d of %d tokens, done %t, refused %+v, error %v", a.from, len(a.tokens), a.wanted, a.done, a.refused, a.err)
}

// checkComplete returns an error unless the stream is complete and its tokens
// are correct.
func (a answer) checkComplete() error {
	if a.err != nil || a.refused != nil || !a.done || len(a.tokens) != a.wanted {
		return fmt.Errorf("stream is not complete: %s", a)
	}
	return a.checkTokens()
}

// checkCompleteOrRefused returns an error unless the stream is complete, or ended
// with a refusal after correct tokens.
func (a answer) checkCompleteOrRefused() error {
	if a.refused == nil {
		return a.checkComplete()
	}
	if a.err != nil || a.done {
		return fmt.Errorf("refused stream also ended or broke: %s", a)
	}
	return a.checkTokens()
}

// checkTokens checks each token. The stand-in engine derives them from the
// prompt.
func (a answer) checkTokens() error {
	for i, token := range a.tokens {
		if want := rpstandin.EngineToken("user\x00"+a.prompt+"\x00", i); token != want {
			return fmt.Errorf("token %d is %q, want %q: %s", i, token, want, a)
		}
	}
	return nil
}

// post sends a request of a caller with a deadline. It passes a successful
// response to read.
func (i *instance) post(path string, header http.Header, body []byte, timeout time.Duration, read func(*http.Response) error) (*refusal, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+answerGrace)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.callers.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header = header
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Rattan-Timeout", timeout.String())
	response, err := httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		return nil, read(response)
	}
	refused := &refusal{}
	text, err := io.ReadAll(response.Body)
	if err == nil {
		err = json.Unmarshal(text, refused)
	}
	return refused, err
}

// chat sends a streamed chat request and reads the answer.
func (i *instance) chat(model, prompt string, tokens int, timeout time.Duration) answer {
	return i.chatWithCallback(model, prompt, tokens, timeout, func() {})
}

// chatWithCallback works like chat and calls onToken for each token.
func (i *instance) chatWithCallback(model, prompt string, tokens int, timeout time.Duration, onToken func()) answer {
	body, _ := json.Marshal(map[string]any{
		"model": service + "/" + model, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	a := answer{from: i.id, prompt: prompt, wanted: tokens}
	refused, err := i.post("/v1/chat/completions", http.Header{}, body, timeout, func(response *http.Response) error {
		return a.readStream(response.Body, onToken)
	})
	a.err = err
	if refused != nil {
		a.refused = refused
	}
	return a
}

func (a *answer) readStream(body io.Reader, onToken func()) error {
	lines := bufio.NewScanner(body)
	failed := false
	for lines.Scan() {
		failed = failed || strings.HasPrefix(lines.Text(), "event: error")
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case failed:
			a.refused = &refusal{}
			return json.Unmarshal([]byte(data), a.refused)
		case data == "[DONE]":
			a.done = true
		default:
			if err := a.readChunk(data, onToken); err != nil {
				return err
			}
		}
	}
	return lines.Err()
}

func (a *answer) readChunk(data string, onToken func()) error {
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
		a.tokens = append(a.tokens, chunk.Choices[0].Delta.Content)
		onToken()
	}
	return nil
}

// charge sends a request that must not run more than once.
func (i *instance) charge(key, body string, timeout time.Duration) answer {
	a := answer{from: i.id}
	header := http.Header{"Idempotency-Key": {key}}
	a.refused, a.err = i.post("/services/"+service+"/charge", header, []byte(body), timeout, func(response *http.Response) error {
		text, err := io.ReadAll(response.Body)
		a.body = string(text)
		return err
	})
	return a
}
