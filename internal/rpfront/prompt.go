package rpfront

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBlockBytes is the number of bytes of one hashed block.
	prefixBlockBytes = 256
	// maxPrefixHashes bounds the part of a prompt that routing looks at.
	maxPrefixHashes = 64
)

// promptText returns the text that an engine's prefix cache depends on: the
// prompt, or the role and the text of each message, each closed by a zero
// byte. Parts that are not plain text stay as JSON.
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

// prefixHashes hashes the whole blocks of a prompt. Each hash covers the name
// of the model and all blocks before it, because caches are not shared
// between models.
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
