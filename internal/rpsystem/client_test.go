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

// answerGrace is added to the deadline of a request; a request that has no answer
// by then was dropped.
const answerGrace = 20 * time.Second

// httpClient uses each connection once, so that no request fails because of an
// idle connection to a process that was ended.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * waitTimeout}

// requestJSON sends a request; an answer other than 2xx is an error.
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

// refusal is the part of a refusal that callers branch on.
type refusal struct {
	Code    rpverdict.Code    `json:"code"`
	Verdict rpverdict.Verdict `json:"verdict"`
	Detail  string            `json:"detail"`
}

// answer is what a caller gets. Either err, or refused, or a whole answer is
// expected; err is the loss of an answer.
type answer struct {
	from    string
	body    string
	tokens  []string
	done    bool
	refused *refusal
	err     error
	// prompt and wanted say what a stream should be.
	prompt string
	wanted int
}

func (a answer) String() string {
	return fmt.Sprintf("from %s: %d of %d tokens, done %t, refused %+v, error %v", a.from, len(a.tokens), a.wanted, a.done, a.refused, a.err)
}

// checkComplete returns an error unless the stream is complete and right.
func (a answer) checkComplete() error {
	if a.err != nil || a.refused != nil || !a.done || len(a.tokens) != a.wanted {
		return fmt.Errorf("not whole: %s", a)
	}
	return a.checkTokens()
}

// checkCompleteOrRefused returns an error unless the stream is whole, or ended with a refusal
// and has a right beginning.
func (a answer) checkCompleteOrRefused() error {
	if a.refused == nil {
		return a.checkComplete()
	}
	if a.err != nil || a.done {
		return fmt.Errorf("refused, but: %s", a)
	}
	return a.checkTokens()
}

// checkTokens checks each token: the stand-in derives them from the prompt.
func (a answer) checkTokens() error {
	for i, token := range a.tokens {
		if want := rpstandin.EngineToken("user\x00"+a.prompt+"\x00", i); token != want {
			return fmt.Errorf("token %d is %q, want %q: %s", i, token, want, a)
		}
	}
	return nil
}

// post sends a request of a caller with a deadline.
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

// chatWithCallback calls onToken for each token.
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

// charge sends a request that may run only once.
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
