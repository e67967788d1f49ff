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

// Arrival is one planned request.
type Arrival struct {
	// Seq is the position in the schedule, from 0.
	Seq uint64
	// At is the time since the start of the run.
	At time.Duration
	// Work is an index of Config.Works.
	Work int
	Rank rpdocument.Rank
	// Phase is 0 for the base phase, then come bursts, then wake-ups.
	Phase int
}

// Schedule is the sequence of all arrivals of a configuration. It is computed
// again on each use, so that its memory does not grow with the run.
type Schedule struct {
	cfg  Config
	rank choice
	// order lists the works by the time from which they belong to the mix.
	order []int
	// from holds these times in the same order.
	from []time.Duration
	work choice
	// first holds the first requests of each wake-up.
	first [][]Arrival
}

// The sequences of random numbers that don't belong to a phase.
const (
	streamWoken   = 1 << 32
	streamPrompts = 1 << 33
)

// NewSchedule returns the schedule, or a *ConfigError.
func NewSchedule(cfg Config) (*Schedule, error) {
	cfg = cfg.withDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &Schedule{cfg: cfg, rank: newChoice(cfg.Ranks[:])}
	from := s.planWakes()
	s.order = make([]int, len(cfg.Works))
	for i := range s.order {
		s.order[i] = i
	}
	slices.SortStableFunc(s.order, func(a, b int) int { return cmp.Compare(from[a], from[b]) })
	weights, sorted := cfg.weights(), make([]float64, len(from))
	for i, work := range s.order {
		s.from = append(s.from, from[work])
		sorted[i] = weights[work]
	}
	s.work = newChoice(sorted)
	return s, nil
}

// planWakes chooses the works of the wake-ups and returns the time from which
// each work belongs to the mix.
func (s *Schedule) planWakes() []time.Duration {
	from := make([]time.Duration, len(s.cfg.Works))
	woken := rand.New(rand.NewPCG(s.cfg.Seed, streamWoken)).Perm(len(from))
	for i, wake := range s.cfg.Wakes {
		phase := 1 + len(s.cfg.Bursts) + i
		rng := s.rng(phase)
		first := make([]Arrival, wake.Count)
		for j, at := range wakeTimes(wake, rng) {
			first[j] = Arrival{At: at, Work: woken[j], Rank: s.drawRank(wake.Rank, rng), Phase: phase}
			from[woken[j]] = at
		}
		woken = woken[wake.Count:]
		s.first = append(s.first, first)
	}
	return from
}

// rng returns the random numbers of a phase. Each phase has its own, so that a
// change to one phase leaves the times of the others as they are.
func (s *Schedule) rng(phase int) *rand.Rand {
	return rand.New(rand.NewPCG(s.cfg.Seed, uint64(phase)))
}

func (s *Schedule) drawRank(fixed rpdocument.Rank, rng *rand.Rand) rpdocument.Rank {
	if fixed != rpdocument.RankUnset {
		return fixed
	}
	return rpdocument.Rank(s.rank.draw(rng, ranks))
}

// All yields the arrivals in the order of their times.
func (s *Schedule) All() iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		seq := uint64(0)
		for arrival := range merge(s.phases()) {
			arrival.Seq = seq
			seq++
			if !yield(arrival) {
				return
			}
		}
	}
}

func (s *Schedule) phases() []iter.Seq[Arrival] {
	var phases []iter.Seq[Arrival]
	if s.cfg.Rate > 0 {
		phases = append(phases, s.base())
	}
	for i, burst := range s.cfg.Bursts {
		phases = append(phases, s.burst(1+i, burst))
	}
	for _, first := range s.first {
		phases = append(phases, slices.Values(first))
	}
	return phases
}

func (s *Schedule) base() iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		rng := s.rng(0)
		active := s.cfg.Duration
		for _, gap := range s.cfg.Gaps {
			active -= gap.Duration
		}
		times := arrivalTimes(s.cfg.Arrivals, s.cfg.Rate, active, rng)
		s.draw(0, rpdocument.RankUnset, skipGaps(times, sortedGaps(s.cfg.Gaps)), rng)(yield)
	}
}

func (s *Schedule) burst(phase int, burst Burst) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		rng := s.rng(phase)
		times := arrivalTimes(s.cfg.Arrivals, burst.Rate, burst.Duration, rng)
		s.draw(phase, burst.Rank, shift(times, burst.Start), rng)(yield)
	}
}

// draw yields an arrival of the mix at each time.
func (s *Schedule) draw(phase int, rank rpdocument.Rank, times iter.Seq[time.Duration], rng *rand.Rand) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		for at := range times {
			n := sort.Search(len(s.from), func(i int) bool { return s.from[i] > at })
			arrival := Arrival{At: at, Work: s.order[s.work.draw(rng, n)], Rank: s.drawRank(rank, rng), Phase: phase}
			if !yield(arrival) {
				return
			}
		}
	}
}

// merge yields the arrivals of sorted phases in the order of their times, and
// of the phases where times are equal.
func merge(phases []iter.Seq[Arrival]) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		heads := make([]head, len(phases))
		for i, phase := range phases {
			next, stop := iter.Pull(phase)
			defer stop()
			heads[i].next = next
			heads[i].pull()
		}
		for {
			first := -1
			for i := range heads {
				if heads[i].ok && (first < 0 || heads[i].arrival.At < heads[first].arrival.At) {
					first = i
				}
			}
			if first < 0 || !yield(heads[first].arrival) {
				return
			}
			heads[first].pull()
		}
	}
}

// head is the next arrival of a phase.
type head struct {
	next    func() (Arrival, bool)
	arrival Arrival
	ok      bool
}

func (h *head) pull() { h.arrival, h.ok = h.next() }

// Sum returns the number of arrivals and a hash over all that makes the
// requests of two runs equal: names, sizes, timeouts, times and ranks.
func (s *Schedule) Sum() (count uint64, hash uint64) {
	digest := xxhash.New()
	_, _ = digest.Write(s.cfg.appendConstants(nil))
	var row []byte
	for arrival := range s.All() {
		count++
		row = binary.BigEndian.AppendUint64(row[:0], uint64(arrival.At))
		row = binary.BigEndian.AppendUint64(row, uint64(arrival.Work))
		row = append(row, byte(arrival.Rank), byte(arrival.Phase))
		_, _ = digest.Write(row)
	}
	return count, digest.Sum64()
}

// appendConstants appends what all requests of a run share.
func (c Config) appendConstants(b []byte) []byte {
	for _, work := range c.Works {
		b = fmt.Appendf(b, "%q %q\n", work.Model, work.Route)
	}
	for _, timeout := range c.Timeouts {
		b = binary.BigEndian.AppendUint64(b, uint64(timeout))
	}
	b = binary.BigEndian.AppendUint64(b, c.Seed)
	b = binary.BigEndian.AppendUint64(b, uint64(c.PromptTokens))
	b = binary.BigEndian.AppendUint64(b, uint64(c.MaxTokens))
	return append(b, byte(one(c.IdempotencyKeys)))
}
