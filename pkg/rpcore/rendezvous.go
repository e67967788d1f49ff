package rpcore

import "github.com/cespare/xxhash/v2"

// rendezvousScore weighs a candidate for a key. The candidate with the
// highest score is the home of the key; when it leaves, only its own keys
// move.
func rendezvousScore(key, candidate string) uint64 {
	var buffer [128]byte
	text := append(buffer[:0], key...)
	text = append(text, 0)
	text = append(text, candidate...)
	return xxhash.Sum64(text)
}

// rendezvous returns the candidate with the highest score for the key, or ""
// where there are none. Ties go to the smaller name.
func rendezvous[T ~string](key string, candidates []T) T {
	var best T
	var bestScore uint64
	for _, candidate := range candidates {
		score := rendezvousScore(key, string(candidate))
		if best == "" || score > bestScore || (score == bestScore && candidate < best) {
			best = candidate
			bestScore = score
		}
	}
	return best
}
