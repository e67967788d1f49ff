package rpcore

import "github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"

// rendezvous returns the candidate with the highest rendezvous hash for the
// key, or "" if there are no candidates. The smaller name wins a tie.
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
