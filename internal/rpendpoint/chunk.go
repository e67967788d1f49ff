package rpendpoint

import (
	"bytes"
	"encoding/json"
)

var doneMarker = []byte("[DONE]")

// chunkKind is the kind of content in a chunk of a streamed response.
type chunkKind int

const (
	// chunkOther opens a stream or carries no generated content.
	chunkOther chunkKind = iota
	// chunkToken carries generated content and counts as one token.
	chunkToken
	// chunkFinish carries only the reason why generation ended.
	chunkFinish
	// chunkUsage carries only the usage.
	chunkUsage
	// chunkError reports a failure of the engine.
	chunkError
)

// chunk contains the members of a streamed chunk that the relay needs.
type chunk struct {
	ID      json.RawMessage `json:"id"`
	Created json.RawMessage `json:"created"`
	Choices []struct {
		Text         string                     `json:"text"`
		Delta        map[string]json.RawMessage `json:"delta"`
		FinishReason json.RawMessage            `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// kind returns the kind of the chunk, and whether it ends the generation.
func (c *chunk) kind() (kind chunkKind, finishes bool) {
	if isSet(c.Error) {
		return chunkError, false
	}
	for i := range c.Choices {
		choice := &c.Choices[i]
		finishes = finishes || isSet(choice.FinishReason)
		if choice.Text != "" || deltaHasContent(choice.Delta) {
			kind = chunkToken
		}
	}
	switch {
	case kind == chunkToken:
	case finishes:
		kind = chunkFinish
	case len(c.Choices) == 0 && isSet(c.Usage):
		kind = chunkUsage
	}
	return kind, finishes
}

// deltaHasContent reports whether a delta carries text, a tool call or any
// other generated member.
func deltaHasContent(delta map[string]json.RawMessage) bool {
	for key, value := range delta {
		if key != "role" && isSet(value) {
			return true
		}
	}
	return false
}

func isSet(raw json.RawMessage) bool {
	switch string(raw) {
	case "", "null", `""`, "[]", "{}":
		return false
	}
	return true
}

// StreamState tracks the stream that a caller receives across all attempts of the
// request. The zero value is a stream that has not started.
type StreamState struct {
	// Choices is the number of completions that the caller asked for. A stream
	// with several interleaves them and can't be resumed.
	Choices int

	started   bool
	finished  bool
	usageSent bool
	id        json.RawMessage
	created   json.RawMessage
}

// shouldRelay reports whether the caller still needs a chunk. fresh is set if the
// attempt has not relayed a token yet.
func (s *StreamState) shouldRelay(kind chunkKind, resumed, fresh bool) bool {
	switch kind {
	case chunkOther:
		return !resumed || !fresh
	case chunkFinish:
		return !s.finished
	case chunkUsage:
		return !s.usageSent
	}
	return true
}

// recordRelayed updates the state after a chunk was sent to the caller.
func (s *StreamState) recordRelayed(c *chunk, kind chunkKind, finishes bool) {
	if !s.started {
		s.started = true
		s.id = bytes.Clone(c.ID)
		s.created = bytes.Clone(c.Created)
	}
	s.finished = s.finished || finishes
	s.usageSent = s.usageSent || kind == chunkUsage
}

// replaceID gives a chunk of a resumed stream the id and the creation time of the
// first attempt.
func (s *StreamState) replaceID(data []byte, c *chunk) ([]byte, error) {
	if !s.started || bytes.Equal(s.id, c.ID) {
		return data, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, err
	}
	setOrDelete(fields, "id", s.id)
	setOrDelete(fields, "created", s.created)
	return json.Marshal(fields)
}

// setOrDelete sets a field, or deletes it if the value is empty.
func setOrDelete(fields map[string]json.RawMessage, key string, value json.RawMessage) {
	if len(value) > 0 {
		fields[key] = value
		return
	}
	delete(fields, key)
}
