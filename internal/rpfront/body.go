package rpfront

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	// maxMaxTokens is the largest max_tokens that a caller may request.
	maxMaxTokens = 1 << 24
	// maxChoices is the largest number of completions of one prompt.
	maxChoices = 128
	// maxSessionBytes limits the member user, which is used as the session.
	maxSessionBytes = 1 << 10
)

// inferenceBody is the decoded body of an inference request.
type inferenceBody struct {
	// fields contains all top-level members exactly as they were sent.
	fields    map[string]json.RawMessage
	model     string
	stream    bool
	user      string
	maxTokens int
	choices   int
}

// decodeInference decodes a body. It refuses bodies that different engines could
// interpret differently.
func decodeInference(raw []byte) (inferenceBody, *rpverdict.Refusal) {
	if !utf8.Valid(raw) {
		return inferenceBody{}, refuse(rpverdict.CodeMalformedRequest, "The body is not UTF-8.")
	}
	fields, err := decodeObject(raw)
	if err != nil {
		return inferenceBody{}, refuse(rpverdict.CodeMalformedRequest, "The body is not one JSON object: "+err.Error()+".")
	}
	body := inferenceBody{fields: fields, choices: 1}
	for _, member := range []struct {
		name string
		into any
	}{
		{"model", &body.model},
		{"stream", &body.stream},
		{"user", &body.user},
		{"max_tokens", &body.maxTokens},
		{"max_completion_tokens", &body.maxTokens},
		{"n", &body.choices},
	} {
		if err := decodeMember(fields, member.name, member.into); err != nil {
			return inferenceBody{}, refuse(rpverdict.CodeMalformedRequest, fmt.Sprintf("The member %s has the wrong type.", member.name))
		}
	}
	return body, body.validate()
}

func (b *inferenceBody) validate() *rpverdict.Refusal {
	switch {
	case b.maxTokens < 0 || b.maxTokens > maxMaxTokens:
		return refuse(rpverdict.CodeMalformedRequest, fmt.Sprintf("The member max_tokens is not between 0 and %d.", maxMaxTokens))
	case b.choices < 1 || b.choices > maxChoices:
		return refuse(rpverdict.CodeMalformedRequest, fmt.Sprintf("The member n is not between 1 and %d.", maxChoices))
	case len(b.user) > maxSessionBytes:
		return refuse(rpverdict.CodeMalformedRequest, fmt.Sprintf("The member user is longer than %d bytes.", maxSessionBytes))
	case b.model == "":
		return refuse(rpverdict.CodeMalformedRequest, "The member model is missing.")
	}
	if _, err := rpcore.ParseModelKey(b.model); err != nil {
		return refuse(rpverdict.CodeUnknownModel, err.Error()+".")
	}
	return nil
}

func decodeMember(fields map[string]json.RawMessage, name string, into any) error {
	raw, ok := fields[name]
	if !ok {
		return nil
	}
	return json.Unmarshal(raw, into)
}

var (
	errNotObject    = errors.New("it does not begin with {")
	errTrailingData = errors.New("data follows the object")
)

// DuplicateMemberError reports a member that appears twice. JSON parsers differ in
// which of the two they keep.
type DuplicateMemberError struct {
	Name string
}

func (e DuplicateMemberError) Error() string {
	return fmt.Sprintf("the member %q appears twice", e.Name)
}

// decodeObject decodes the members of a JSON object. It fails if anything follows
// the object.
func decodeObject(raw []byte) (map[string]json.RawMessage, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	open, err := dec.Token()
	if err != nil {
		return nil, err
	}
	if open != json.Delim('{') {
		return nil, errNotObject
	}
	fields := map[string]json.RawMessage{}
	for dec.More() {
		if err := decodeField(dec, fields); err != nil {
			return nil, err
		}
	}
	if _, err := dec.Token(); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errTrailingData
	}
	return fields, nil
}

func decodeField(dec *json.Decoder, fields map[string]json.RawMessage) error {
	token, err := dec.Token()
	if err != nil {
		return err
	}
	name, ok := token.(string)
	if !ok {
		return errNotObject
	}
	if _, ok := fields[name]; ok {
		return DuplicateMemberError{Name: name}
	}
	var value json.RawMessage
	if err := dec.Decode(&value); err != nil {
		return err
	}
	fields[name] = value
	return nil
}
