package rpload

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// Arrival is a scheduled request.
type Arrival struct {
	// Seq is the position in the schedule, from 0.
	Seq uint64
	// At is the time since the start of the run.
	At time.Duration
	// Kind is an index into Config.Kinds.
	Kind int
	Rank rpdocument.Rank
	// Phase is 0 for the base phase. The bursts follow from 1, then the wake-ups.
	Phase int
}

// Schedule is the sequence of all arrivals of a configuration. All computes the
// arrivals on each call, so that the memory does not grow with the number of
// requests.
type Schedule struct {
	cfg        Config
	rankChoice weightedChoice
	// byActiveFrom holds the indexes of Config.Kinds, sorted by the time from
	// which requests of any phase can have the kind.
	byActiveFrom []int
	// activeFrom holds these times, in the same order.
	activeFrom []time.Duration
	kindChoice weightedChoice
	// wakeArrivals holds the arrivals of each wake-up.
	wakeArrivals [][]Arrival
}

// Sequences of the random number generator that don't belong to a phase. Phases use
// their number.
const (
	rngWakes   = 1 << 32
	rngPrompts = 1 << 33
)

// NewSchedule returns the schedule of a configuration, or a *ConfigError.
func NewSchedule(cfg Config) (*Schedule, error) {
	cfg = cfg.withDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &Schedule{cfg: cfg, rankChoice: newWeightedChoice(cfg.Ranks[:])}
	from := s.planWakes()
	s.byActiveFrom = make([]int, len(cfg.Kinds))
	for i := range s.byActiveFrom {
		s.byActiveFrom[i] = i
	}
	slices.SortStableFunc(s.byActiveFrom, func(a, b int) int { return cmp.Compare(from[a], from[b]) })
	weights, sorted := cfg.weights(), make([]float64, len(from))
	for i, kind := range s.byActiveFrom {
		s.activeFrom = append(s.activeFrom, from[kind])
		sorted[i] = weights[kind]
	}
	s.kindChoice = newWeightedChoice(sorted)
	return s, nil
}

// planWakes chooses the kinds of the wake-ups. It returns, for each kind, the time
// from which the other phases can request it.
func (s *Schedule) planWakes() []time.Duration {
	from := make([]time.Duration, len(s.cfg.Kinds))
	wokenKinds := rand.New(rand.NewPCG(s.cfg.Seed, rngWakes)).Perm(len(from))
	for i, wake := range s.cfg.Wakes {
		phase := 1 + len(s.cfg.Bursts) + i
		rng := s.rng(phase)
		first := make([]Arrival, wake.Count)
		for j, at := range wakeTimes(wake, rng) {
			first[j] = Arrival{At: at, Kind: wokenKinds[j], Rank: s.drawRank(wake.Rank, rng), Phase: phase}
			from[wokenKinds[j]] = at
		}
		wokenKinds = wokenKinds[wake.Count:]
		s.wakeArrivals = append(s.wakeArrivals, first)
	}
	return from
}

// rng returns the random number generator of a phase. Each phase has its own, so
// that a change to one phase does not change the times of the others.
func (s *Schedule) rng(phase int) *rand.Rand {
	return rand.New(rand.NewPCG(s.cfg.Seed, uint64(phase)))
}

func (s *Schedule) drawRank(fixed rpdocument.Rank, rng *rand.Rand) rpdocument.Rank {
	if fixed != rpdocument.RankUnset {
		return fixed
	}
	return rpdocument.Rank(s.rankChoice.draw(rng, ranks))
}

// All yields the arrivals, sorted by time.
func (s *Schedule) All() iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		seq := uint64(0)
		for arrival := range merge(s.phaseArrivals()) {
			arrival.Seq = seq
			seq++
			if !yield(arrival) {
				return
			}
		}
	}
}

func (s *Schedule) phaseArrivals() []iter.Seq[Arrival] {
	var phases []iter.Seq[Arrival]
	if s.cfg.Rate > 0 {
		phases = append(phases, s.baseArrivals())
	}
	for i, burst := range s.cfg.Bursts {
		phases = append(phases, s.burstArrivals(1+i, burst))
	}
	for _, first := range s.wakeArrivals {
		phases = append(phases, slices.Values(first))
	}
	return phases
}

func (s *Schedule) baseArrivals() iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		rng := s.rng(0)
		active := s.cfg.Duration
		for _, gap := range s.cfg.Gaps {
			active -= gap.Duration
		}
		times := arrivalTimes(s.cfg.Arrivals, s.cfg.Rate, active, rng)
		s.drawArrivals(0, rpdocument.RankUnset, skipGaps(times, sortedGaps(s.cfg.Gaps)), rng)(yield)
	}
}

func (s *Schedule) burstArrivals(phase int, burst Burst) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		rng := s.rng(phase)
		times := arrivalTimes(s.cfg.Arrivals, burst.Rate, burst.Duration, rng)
		s.drawArrivals(phase, burst.Rank, shiftTimes(times, burst.Start), rng)(yield)
	}
}

// drawArrivals yields an arrival at each of the times. Its kind is drawn from the
// kinds that are active at that time.
func (s *Schedule) drawArrivals(phase int, rank rpdocument.Rank, times iter.Seq[time.Duration], rng *rand.Rand) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		for at := range times {
			n := sort.Search(len(s.activeFrom), func(i int) bool { return s.activeFrom[i] > at })
			arrival := Arrival{At: at, Kind: s.byActiveFrom[s.kindChoice.draw(rng, n)], Rank: s.drawRank(rank, rng), Phase: phase}
			if !yield(arrival) {
				return
			}
		}
	}
}

// merge merges the sorted arrivals of the phases, sorted by time. At equal times,
// the phase with the lower index comes first.
func merge(phases []iter.Seq[Arrival]) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		cursors := make([]phaseCursor, len(phases))
		for i, phase := range phases {
			next, stop := iter.Pull(phase)
			defer stop()
			cursors[i].next = next
			cursors[i].pull()
		}
		for {
			first := -1
			for i := range cursors {
				if cursors[i].ok && (first < 0 || cursors[i].arrival.At < cursors[first].arrival.At) {
					first = i
				}
			}
			if first < 0 || !yield(cursors[first].arrival) {
				return
			}
			cursors[first].pull()
		}
	}
}

// phaseCursor holds the next arrival of a phase. ok is false at the end.
type phaseCursor struct {
	next    func() (Arrival, bool)
	arrival Arrival
	ok      bool
}

func (c *phaseCursor) pull() { c.arrival, c.ok = c.next() }

// CountAndHash returns the number of arrivals and a hash that identifies the
// requests of a run: their names, sizes, timeouts, times, phases and ranks.
func (s *Schedule) CountAndHash() (count uint64, hash uint64) {
	digest := xxhash.New()
	_, _ = digest.Write(s.cfg.appendSharedParameters(nil))
	var row []byte
	for arrival := range s.All() {
		count++
		row = binary.BigEndian.AppendUint64(row[:0], uint64(arrival.At))
		row = binary.BigEndian.AppendUint64(row, uint64(arrival.Kind))
		row = append(row, byte(arrival.Rank), byte(arrival.Phase))
		_, _ = digest.Write(row)
	}
	return count, digest.Sum64()
}

// appendSharedParameters appends the hashed values that apply to all requests of a
// run.
func (c Config) appendSharedParameters(b []byte) []byte {
	for _, kind := range c.Kinds {
		b = fmt.Appendf(b, "%q %q\n", kind.Model, kind.Route)
	}
	for _, timeout := range c.Timeouts {
		b = binary.BigEndian.AppendUint64(b, uint64(timeout))
	}
	b = binary.BigEndian.AppendUint64(b, c.Seed)
	b = binary.BigEndian.AppendUint64(b, uint64(c.PromptTokens))
	b = binary.BigEndian.AppendUint64(b, uint64(c.MaxTokens))
	return append(b, byte(boolToInt(c.IdempotencyKeys)))
}
