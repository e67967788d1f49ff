package rpaccount

import (
	"crypto/sha256"
	"encoding/hex"
)

// Credential is the SHA-256 digest of a caller's key. The zero value means that
// the caller sent no readable key. Keys are compared by their digests, so the time
// of a lookup says nothing about the keys of the configuration.
type Credential [sha256.Size]byte

// shownBytes is the number of bytes of a digest that String shows. They suffice to
// find the key's entry in a configuration, but not to guess a key.
const shownBytes = 4

// NewCredential returns the credential of a key. An empty key is no key.
func NewCredential(key string) Credential {
	if key == "" {
		return Credential{}
	}
	return sha256.Sum256([]byte(key))
}

// IsZero reports whether the caller sent no readable key.
func (c Credential) IsZero() bool { return c == Credential{} }

// String returns the first 8 hexadecimal digits of the digest, for the log, or
// "none" without a key.
func (c Credential) String() string {
	if c.IsZero() {
		return "none"
	}
	return hex.EncodeToString(c[:shownBytes])
}
