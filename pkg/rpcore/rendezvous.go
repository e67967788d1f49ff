package rpcore

import "github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"

// rendezvous returns the candidate with the highest score for the key, or ""
// where there are none. Ties go to the smaller name.
func rendezvous[T ~string](key string, candidates []T) T {
	var best T
	var bestScore uint64
	for _, candidate := range candidates {
		score := rpreducer.Rendezvous(key, string(candidate))
		if best == "" || score > bestScore || (score == bestScore && candidate < best) {
			best = candidate
			bestScore = score
		}
	}
	return best
}
