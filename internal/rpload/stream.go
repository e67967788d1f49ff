package rpload

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/openai/openai-go/v3/packages/ssestream"
)

// chunk is what the generator reads of a chunk of a completion.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

const (
	eventError   = "error"
	streamEnd    = "[DONE]"
	finishedStop = "stop"
)

// stream reads the answer to one completion. Each chunk with content counts as
// one token.
type stream struct {
	request  Request
	expected []string
	// onToken is told the time of each token after the first, and of the one
	// before it.
	onToken func(previous, at time.Time)

	finish string
	usage  int
	wrong  bool
	last   time.Time
}

// read fills the outcome from an answer with server-sent events.
func (s *stream) read(ctx context.Context, res *http.Response, o *outcome) {
	if !strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		o.result = resultMalformed
		return
	}
	decoder := ssestream.NewDecoder(res)
	for decoder.Next() {
		event := decoder.Event()
		data := bytes.TrimSpace(event.Data)
		switch {
		case event.Type == eventError:
			o.result, o.refused = parseRefusal(data)
			return
		case string(data) == streamEnd:
			o.end = time.Now()
			o.result = s.check(o.tokens)
			if decoder.Next() {
				o.result = resultMalformed
			}
			return
		case !s.add(data, o):
			o.result = resultMalformed
			return
		}
	}
	o.result = brokenResult(ctx)
}

// add takes one chunk. It reports whether the chunk can be read.
func (s *stream) add(data []byte, o *outcome) bool {
	now := time.Now()
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return false
	}
	if c.Usage != nil {
		s.usage = c.Usage.CompletionTokens
	}
	if len(c.Choices) == 0 {
		return true
	}
	if reason := c.Choices[0].FinishReason; reason != "" {
		s.finish = reason
	}
	if content := c.Choices[0].Delta.Content; content != "" {
		s.addToken(content, now, o)
	}
	return true
}

func (s *stream) addToken(content string, now time.Time, o *outcome) {
	if s.expected != nil && (o.tokens >= len(s.expected) || s.expected[o.tokens] != content) {
		s.wrong = true
	}
	if o.tokens == 0 {
		o.firstToken = now
	} else {
		s.onToken(s.last, now)
	}
	s.last = now
	o.tokens++
}

// check returns the result of a stream that ended with [DONE]. Fewer tokens
// than asked for are allowed only if the model stopped by itself.
func (s *stream) check(tokens int) Result {
	result := resultOK
	tooFew := tokens < s.request.MaxTokens && s.finish != finishedStop
	switch {
	case s.wrong, s.expected != nil && tokens != len(s.expected):
		result.Code = CodeWrongAnswer
	case tooFew, tokens > s.request.MaxTokens, s.usage != 0 && s.usage != tokens:
		result.Code = CodeWrongTokenCount
	}
	return result
}
