package rpfront

import (
	"encoding/json"
	"net/http"
	"testing"
)

// Guards against accepting a body that an engine could interpret differently.
func FuzzDecodeInference(f *testing.F) {
	for _, seed := range []string{`{"model":"a/b","n":2}`, `{"model":"a/b",}`, `{"a":1 "b":2}`, `{}{}`, "\xff", `{"messages":[{"role":"user","content":"x"}]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, refusal := decodeInference(raw)
		if refusal != nil {
			return
		}
		if !json.Valid(raw) {
			t.Fatalf("accepted a body that is not JSON: %q", raw)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(raw, &fields); err != nil || len(fields) != len(body.fields) {
			t.Fatalf("decoded %d members of %q", len(body.fields), raw)
		}
		if hashes := prefixHashes(body.model, promptText(body.fields)); len(hashes) > maxPrefixHashes {
			t.Fatalf("%d prefix hashes are more than the limit", len(hashes))
		}
	})
}

// Guards against accepting header values outside the documented limits.
func FuzzParseHeaders(f *testing.F) {
	f.Add("urgent", "3s", "key", "Bearer x", "s")
	f.Add("", "-1s", "\x00", "Basic", "")
	f.Fuzz(func(t *testing.T, rank, timeout, key, credential, session string) {
		limits := Limits{}.withDefaults()
		got, refusal := parseHeaders(http.Header{
			headerRank: {rank}, headerTimeout: {timeout}, headerIdempotencyKey: {key}, headerAuthorization: {credential}, headerSession: {session},
		}, limits)
		if refusal != nil {
			return
		}
		if got.rank.Index() < 0 || got.timeout <= 0 || got.timeout > limits.RequestTimeout {
			t.Fatalf("accepted rank %q and timeout %q", rank, timeout)
		}
		if got.idempotencyKey != key || len(key) > maxTokenLength || len(got.credential) != 64 {
			t.Fatalf("accepted key %q and credential %q", key, credential)
		}
	})
}
