package rpreducer

import "github.com/cespare/xxhash/v2"

// Rendezvous weighs a candidate for a key (highest random weight). The candidate
// with the highest weight is the home of the key; when it leaves, only its own
// keys move.
func Rendezvous(key, candidate string) uint64 {
	var buffer [128]byte
	text := append(buffer[:0], key...)
	text = append(text, 0)
	text = append(text, candidate...)
	return xxhash.Sum64(text)
}
