package rpfront

import (
	"net/http"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// bytesPerToken is a common average for prompts. The resulting number of tokens is
// used only to estimate load.
const bytesPerToken = 4

// readInference reads and checks an inference request.
func (s *Server) readInference(w http.ResponseWriter, r *http.Request) (rpcore.Request, rpendpoint.Attempt, *rpverdict.Refusal) {
	if refusal := s.checkURL(r); refusal != nil {
		return rpcore.Request{}, rpendpoint.Attempt{}, refusal
	}
	headers, refusal := parseHeaders(r.Header, s.limits)
	if refusal != nil {
		return rpcore.Request{}, rpendpoint.Attempt{}, refusal
	}
	raw, refusal := readBody(w, r, s.limits.BodyBytes)
	if refusal != nil {
		return rpcore.Request{}, rpendpoint.Attempt{}, refusal
	}
	body, refusal := decodeInference(raw)
	if refusal != nil {
		return rpcore.Request{}, rpendpoint.Attempt{}, refusal
	}
	attempt := rpendpoint.Attempt{
		Method:         r.Method,
		Path:           r.URL.Path,
		Fields:         body.fields,
		IdempotencyKey: headers.idempotencyKey,
	}
	if body.stream {
		attempt.Stream = &rpendpoint.StreamState{Choices: body.choices}
	}
	request := headers.request()
	request.ModelName = body.model
	request.Fingerprint = fingerprint(r.Method, r.RequestURI, raw)
	if request.Session == "" {
		request.Session = body.user
	}
	text := promptText(body.fields)
	request.PrefixHashes = prefixHashes(body.model, text)
	request.PromptTokens = (len(text) + bytesPerToken - 1) / bytesPerToken
	request.MaxTokens = body.maxTokens
	return request, attempt, nil
}

// request returns a request with the fields that come from the headers.
func (c callerHeaders) request() rpcore.Request {
	return rpcore.Request{
		Rank:           c.rank,
		Timeout:        c.timeout,
		IdempotencyKey: c.idempotencyKey,
		Credential:     c.credential,
		Session:        c.session,
	}
}
