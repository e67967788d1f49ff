package rpfront

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBlockBytes is the size of a hashed block.
	prefixBlockBytes = 256
	// maxPrefixHashes limits the part of a prompt that routing considers.
	maxPrefixHashes = 64
)

// promptText returns the text on which the prefix cache of an engine depends: the
// prompt, or the role and the content of each message, each followed by a zero byte.
// Content that is not a string stays JSON.
func promptText(fields map[string]json.RawMessage) []byte {
	if prompt, ok := fields["prompt"]; ok {
		return plainText(nil, prompt)
	}
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if json.Unmarshal(fields["messages"], &messages) != nil {
		return fields["messages"]
	}
	var text []byte
	for _, m := range messages {
		text = append(append(text, m.Role...), 0)
		text = append(plainText(text, m.Content), 0)
	}
	return text
}

func plainText(text []byte, raw json.RawMessage) []byte {
	var s string
	if json.Unmarshal(raw, &s) != nil {
		return append(text, raw...)
	}
	return append(text, s...)
}

// prefixHashes hashes the complete blocks of a prompt. Each hash also covers all
// previous blocks and the name of the model, because caches are not shared between
// models.
func prefixHashes(model string, text []byte) []uint64 {
	var hashes []uint64
	chain := xxhash.Sum64String(model)
	digest := xxhash.New()
	for len(text) >= prefixBlockBytes && len(hashes) < maxPrefixHashes {
		digest.Reset()
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, chain))
		_, _ = digest.Write(text[:prefixBlockBytes])
		chain = digest.Sum64()
		hashes = append(hashes, chain)
		text = text[prefixBlockBytes:]
	}
	return hashes
}
