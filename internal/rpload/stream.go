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

// chunk holds the fields of a chunk of a completion that the generator uses.
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

// streamReader reads the streamed answer to one completion. Each chunk with content
// counts as one token.
type streamReader struct {
	request  Request
	expected []string
	// onToken is called for each token after the first, with the time of the
	// previous token and of this one.
	onToken func(previous, at time.Time)

	finishReason string
	usageTokens  int
	unexpected   bool
	lastTokenAt  time.Time
}

// read reads an answer with server-sent events into the outcome.
func (s *streamReader) read(ctx context.Context, res *http.Response, o *outcome) {
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
			o.result = s.result(o.tokens)
			if decoder.Next() {
				o.result = resultMalformed
			}
			return
		case !s.addChunk(data, o):
			o.result = resultMalformed
			return
		}
	}
	o.result = truncatedResult(ctx)
}

// addChunk processes one chunk. It returns false if the chunk can't be parsed.
func (s *streamReader) addChunk(data []byte, o *outcome) bool {
	now := time.Now()
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return false
	}
	if c.Usage != nil {
		s.usageTokens = c.Usage.CompletionTokens
	}
	if len(c.Choices) == 0 {
		return true
	}
	if reason := c.Choices[0].FinishReason; reason != "" {
		s.finishReason = reason
	}
	if content := c.Choices[0].Delta.Content; content != "" {
		s.addToken(content, now, o)
	}
	return true
}

func (s *streamReader) addToken(content string, now time.Time, o *outcome) {
	if s.expected != nil && (o.tokens >= len(s.expected) || s.expected[o.tokens] != content) {
		s.unexpected = true
	}
	if o.tokens == 0 {
		o.firstToken = now
	} else {
		s.onToken(s.lastTokenAt, now)
	}
	s.lastTokenAt = now
	o.tokens++
}

// result returns the result of a stream that ended with [DONE]. Fewer tokens than
// requested are allowed only if the model stopped by itself.
func (s *streamReader) result(tokens int) Result {
	result := resultOK
	tooFew := tokens < s.request.MaxTokens && s.finishReason != finishedStop
	switch {
	case s.unexpected, s.expected != nil && tokens != len(s.expected):
		result.Code = CodeWrongAnswer
	case tooFew, tokens > s.request.MaxTokens, s.usageTokens != 0 && s.usageTokens != tokens:
		result.Code = CodeWrongTokenCount
	}
	return result
}
