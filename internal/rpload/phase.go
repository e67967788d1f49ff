package rpload

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// ArrivalProcess determines the times between the arrivals of a phase.
type ArrivalProcess string

// The arrival processes.
const (
	// Poisson has exponentially distributed times between arrivals.
	Poisson ArrivalProcess = "poisson"
	// Constant has equal times between arrivals.
	Constant ArrivalProcess = "constant"
)

// Burst is a phase whose requests are sent in addition to those of the base phase.
type Burst struct {
	Start    time.Duration
	Duration time.Duration
	// Rate is in requests/s.
	Rate float64
	// Rank applies to all requests of the burst. RankUnset means that ranks are
	// drawn from Config.Ranks.
	Rank rpdocument.Rank
}

// String returns the form that UnmarshalText parses.
func (b Burst) String() string {
	return joinFields(b.Rank, b.Start.String(), b.Duration.String(), strconv.FormatFloat(b.Rate, 'g', -1, 64))
}

// UnmarshalText parses START,DURATION,RATE[,RANK].
func (b *Burst) UnmarshalText(text []byte) error {
	f := splitFields(string(text), "Write START,DURATION,RATE[,RANK], such as 10s,5s,200,urgent.")
	*b = Burst{Start: f.duration(), Duration: f.duration(), Rate: f.float(), Rank: f.rank()}
	return f.finish()
}

// Gap is a period in which the base phase has no arrivals. It does not affect
// bursts and wake-ups.
type Gap struct {
	Start    time.Duration
	Duration time.Duration
}

// String returns the form that UnmarshalText parses.
func (g Gap) String() string { return g.Start.String() + "," + g.Duration.String() }

// UnmarshalText parses START,DURATION.
func (g *Gap) UnmarshalText(text []byte) error {
	f := splitFields(string(text), "Write START,DURATION, such as 10s,5s.")
	*g = Gap{Start: f.duration(), Duration: f.duration()}
	return f.finish()
}

// Wake is a wake-up: a phase that sends the first requests to Count models or
// routes, spread over Within. These models or routes get no requests before, and
// take part in the other phases afterwards. The seed determines the choice.
type Wake struct {
	Count  int
	Within time.Duration
	Start  time.Duration
	// Rank applies to the first requests. RankUnset means that ranks are drawn
	// from Config.Ranks.
	Rank rpdocument.Rank
}

// String returns the form that UnmarshalText parses.
func (w Wake) String() string {
	return joinFields(w.Rank, strconv.Itoa(w.Count), w.Within.String(), w.Start.String())
}

// UnmarshalText parses COUNT,WITHIN[,START[,RANK]].
func (w *Wake) UnmarshalText(text []byte) error {
	f := splitFields(string(text), "Write COUNT,WITHIN[,START[,RANK]], such as 20,5s,30s.")
	*w = Wake{Count: f.count(), Within: f.duration()}
	if len(f.remaining) > 0 {
		w.Start = f.duration()
	}
	w.Rank = f.rank()
	return f.finish()
}

// ValueError reports a value that can't be parsed. Fix says what to write instead.
type ValueError struct {
	Value string
	Fix   string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("%q is not allowed. %s", e.Value, e.Fix)
}

// fieldParser parses the comma-separated fields of a value one by one. Errors are
// collected; finish returns them.
type fieldParser struct {
	remaining []string
	err       *ValueError
	invalid   bool
}

func splitFields(text, fix string) *fieldParser {
	return &fieldParser{remaining: strings.Split(text, ","), err: &ValueError{Value: text, Fix: fix}}
}

func joinFields(rank rpdocument.Rank, parts ...string) string {
	if rank != rpdocument.RankUnset {
		parts = append(parts, rank.String())
	}
	return strings.Join(parts, ",")
}

func (f *fieldParser) next() string {
	if len(f.remaining) == 0 {
		f.invalid = true
		return ""
	}
	field := f.remaining[0]
	f.remaining = f.remaining[1:]
	return field
}

func (f *fieldParser) duration() time.Duration {
	value, err := time.ParseDuration(f.next())
	f.invalid = f.invalid || err != nil
	return value
}

func (f *fieldParser) float() float64 {
	value, err := strconv.ParseFloat(f.next(), 64)
	f.invalid = f.invalid || err != nil
	return value
}

func (f *fieldParser) count() int {
	value, err := strconv.Atoi(f.next())
	f.invalid = f.invalid || err != nil
	return value
}

// rank parses an optional last field.
func (f *fieldParser) rank() rpdocument.Rank {
	if len(f.remaining) == 0 {
		return rpdocument.RankUnset
	}
	rank, err := rpdocument.ParseRank(f.next())
	f.invalid = f.invalid || err != nil
	return rank
}

func (f *fieldParser) finish() error {
	if f.invalid || len(f.remaining) > 0 {
		return f.err
	}
	return nil
}

func sortedGaps(gaps []Gap) []Gap {
	sorted := slices.Clone(gaps)
	slices.SortFunc(sorted, func(a, b Gap) int { return cmp.Compare(a.Start, b.Start) })
	return sorted
}

// phaseNames returns the names of the phases, indexed by Arrival.Phase.
func (c Config) phaseNames() []string {
	names := []string{"base"}
	for i := range c.Bursts {
		names = append(names, fmt.Sprintf("burst_%d", i+1))
	}
	for i := range c.Wakes {
		names = append(names, fmt.Sprintf("wake_%d", i+1))
	}
	return names
}
