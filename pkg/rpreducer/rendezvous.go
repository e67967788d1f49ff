package rpreducer

import "github.com/cespare/xxhash/v2"

// Rendezvous returns the weight of a candidate for a key (rendezvous or
// highest-random-weight hashing). The candidate with the highest weight gets
// the key. If a candidate leaves, only its own keys move.
func Rendezvous(key, candidate string) uint64 {
	var buffer [128]byte
	text := append(buffer[:0], key...)
	text = append(text, 0)
	text = append(text, candidate...)
	return xxhash.Sum64(text)
}
