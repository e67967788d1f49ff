package rpqueue

import (
	"cmp"
	"math"
	"time"
)

const (
	// longPromptShare is the share of the shortest target that a prompt may take
	// to be read before it counts as long. A new short request then still meets
	// its target behind one prompt that is not long.
	longPromptShare = 0.5
	// speedStep is the difference below which speeds of engines count as equal.
	// Speeds are learned, and instances must agree on the order of the engines.
	speedStep = 0.1
)

// IsLong reports whether a prompt that takes work to be read delays requests with
// the given target too much.
func IsLong(work, shortestTarget time.Duration) bool {
	return shortestTarget > 0 && float64(work) > longPromptShare*float64(shortestTarget)
}

// Replica is an engine that could take a long prompt now.
type Replica struct {
	// Speed is 1 for an engine as fast as its service, and 0 if it is not known.
	Speed float64
	// Near says that the engine is in the failure domain of the instance.
	Near bool
	// Affinity decides between replicas that are equal otherwise. All instances
	// must use the same values.
	Affinity uint64
	// Unread is the time that the engine needs for the prompts that it is known to
	// have and has not read.
	Unread time.Duration
}

// compare orders replicas, the first choice for long prompts first: fast engines
// finish a chunk of a long prompt sooner, so the streams beside it pause less.
func (v *Replica) compare(other *Replica) int {
	if c := cmp.Compare(other.speedSteps(), v.speedSteps()); c != 0 {
		return c
	}
	if v.Near != other.Near {
		if v.Near {
			return -1
		}
		return 1
	}
	return cmp.Compare(other.Affinity, v.Affinity)
}

func (v *Replica) speedSteps() float64 {
	if v.Speed <= 0 {
		return math.Round(1 / speedStep)
	}
	return math.Round(v.Speed / speedStep)
}

// LongPromptReplica returns the index of the replica that a long prompt with the
// given slack goes to: the first choice of those that begin with it before the
// slack is used up. It returns -1 if there is none; the load then decides.
//
// All instances thus send the long prompts of a model to one engine, which has
// their shared part in its cache, and to the next one only while that is behind.
func LongPromptReplica(replicas []Replica, slack time.Duration) int {
	best := -1
	for i := range replicas {
		if v := &replicas[i]; v.Unread < slack && (best < 0 || v.compare(&replicas[best]) < 0) {
			best = i
		}
	}
	return best
}
