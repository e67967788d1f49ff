package rpload

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// RequestKind is one kind of request: those to one model, adapter or route. Either
// Model or Route is set.
type RequestKind struct {
	// Model is service/model or service/adapter.
	Model string
	// Route is service/path of a plain service.
	Route string
	// Weight is the share of the requests, relative to the other kinds; 0 means
	// 1.
	Weight float64
}

// Name returns the model or the route.
func (w RequestKind) Name() string { return w.Model + w.Route }

func (w RequestKind) weight() float64 {
	if w.Weight == 0 {
		return 1
	}
	return w.Weight
}

func (w RequestKind) valid() bool {
	service, rest, _ := strings.Cut(w.Name(), "/")
	oneName := (w.Model == "") != (w.Route == "")
	return oneName && service != "" && rest != "" && w.weight() > 0 && !math.IsInf(w.weight(), 0)
}

// ParseWeightedName parses NAME or NAME=WEIGHT. The weight is 0 if the text has none.
func ParseWeightedName(text string) (name string, weight float64, err error) {
	name, after, weighted := strings.Cut(text, "=")
	if !weighted {
		return name, 0, nil
	}
	weight, err = strconv.ParseFloat(after, 64)
	if err != nil || !(weight > 0) {
		return "", 0, &ValueError{Value: text, Fix: "Write a name, or a name and a weight above 0, such as mixadvies/bag-small=3."}
	}
	return name, weight, nil
}

// ranks is the number of values of rpdocument.Rank, including RankUnset.
const ranks = rpdocument.RankCount + 1

// RankMix holds the weights of the ranks, indexed by rpdocument.Rank.
type RankMix [ranks]float64

// String returns the weights above 0, in the form that UnmarshalText parses.
func (m RankMix) String() string {
	return rankText(func(rank rpdocument.Rank) string {
		if m[rank] == 0 {
			return ""
		}
		return strconv.FormatFloat(m[rank], 'g', -1, 64)
	})
}

// UnmarshalText parses a rank, or weights such as
// "urgent=1,normal=2,background=7".
func (m *RankMix) UnmarshalText(text []byte) error {
	fix := "Write a rank, or weights such as urgent=1,normal=2,background=7."
	*m = RankMix{}
	return parseRanks(string(text), fix, func(rank rpdocument.Rank, value string) error {
		weight, err := 1.0, error(nil)
		if value != "" {
			weight, err = strconv.ParseFloat(value, 64)
		}
		m[rank] = weight
		return err
	})
}

// RankTimeouts holds the timeouts of the ranks, indexed by rpdocument.Rank.
type RankTimeouts [ranks]time.Duration

// AllTimeouts returns the same timeout for all ranks.
func AllTimeouts(timeout time.Duration) RankTimeouts {
	var t RankTimeouts
	for i := range t {
		t[i] = timeout
	}
	return t
}

// String returns the timeouts of the ranks that have one.
func (t RankTimeouts) String() string {
	return rankText(func(rank rpdocument.Rank) string {
		if t[rank] == 0 {
			return ""
		}
		return t[rank].String()
	})
}

// rankText formats a value of each rank, such as "urgent=1,normal=2". It leaves out
// ranks whose value is empty.
func rankText(value func(rpdocument.Rank) string) string {
	var entries []string
	for rank := range rpdocument.Rank(ranks) {
		if text := value(rank); text != "" {
			entries = append(entries, cmp.Or(rank.String(), unspecifiedRank)+"="+text)
		}
	}
	return strings.Join(entries, ",")
}

// UnmarshalText parses a duration for all ranks, or durations such as
// "urgent=2s,background=10m".
func (t *RankTimeouts) UnmarshalText(text []byte) error {
	if timeout, err := time.ParseDuration(string(text)); err == nil {
		*t = AllTimeouts(timeout)
		return nil
	}
	fix := "Write a duration, or one for each rank such as urgent=2s,background=10m."
	*t = RankTimeouts{}
	return parseRanks(string(text), fix, func(rank rpdocument.Rank, value string) error {
		timeout, err := time.ParseDuration(value)
		t[rank] = timeout
		return err
	})
}

// parseRanks calls set for each rank and value of a list such as
// "urgent=1,normal=2". Its error is a *ValueError with the given fix.
func parseRanks(text, fix string, set func(rpdocument.Rank, string) error) error {
	seen := map[rpdocument.Rank]bool{}
	for entry := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(entry, "=")
		rank, err := rpdocument.ParseRank(name)
		if err == nil {
			err = set(rank, value)
		}
		if err != nil || seen[rank] {
			return &ValueError{Value: text, Fix: fix}
		}
		seen[rank] = true
	}
	return nil
}

// weightedChoice draws an index with a probability proportional to its weight.
type weightedChoice struct {
	// sums[i] is the sum of the weights up to index i.
	sums []float64
}

func newWeightedChoice(weights []float64) weightedChoice {
	sums := make([]float64, len(weights))
	sum := 0.0
	for i, weight := range weights {
		sum += weight
		sums[i] = sum
	}
	return weightedChoice{sums: sums}
}

// draw returns one of the first n indexes, or 0 if their weights are all 0.
func (c weightedChoice) draw(rng *rand.Rand, n int) int {
	at := rng.Float64() * c.sums[n-1]
	index := sort.Search(n, func(i int) bool { return c.sums[i] > at })
	if index == n {
		return 0
	}
	return index
}

// weights returns the weight of each entry of Kinds.
func (c Config) weights() []float64 {
	weights := make([]float64, len(c.Kinds))
	for i, kind := range c.Kinds {
		weights[i] = kind.weight()
		if c.Zipf > 0 {
			weights[i] = math.Pow(float64(i+1), -c.Zipf)
		}
	}
	return weights
}

// usesRank reports whether any request of the run can have the given rank.
func (c Config) usesRank(rank int) bool {
	if c.Ranks[rank] > 0 || (rank == int(rpdocument.RankUnset) && c.Ranks == RankMix{}) {
		return true
	}
	burst := slices.ContainsFunc(c.Bursts, func(b Burst) bool { return int(b.Rank) == rank && rank > 0 })
	wake := slices.ContainsFunc(c.Wakes, func(w Wake) bool { return int(w.Rank) == rank && rank > 0 })
	return burst || wake
}
