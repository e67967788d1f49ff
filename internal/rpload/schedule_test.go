package rpload

import (
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

var testTarget = netip.MustParseAddrPort("127.0.0.1:9")

func withSchedule(t rapid.TB, cfg Config) (*Schedule, []Arrival) {
	t.Helper()
	g := NewWithT(t)
	cfg.Targets = []netip.AddrPort{testTarget}
	schedule, err := NewSchedule(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	return schedule, slices.Collect(schedule.All())
}

func drawConfig(t *rapid.T) Config {
	at := func(label string) time.Duration {
		return time.Duration(rapid.IntRange(0, 4000).Draw(t, label)) * time.Millisecond
	}
	return Config{
		Kinds:    []RequestKind{{Model: "a/1"}, {Model: "a/2", Weight: 3}, {Model: "a/3"}, {Route: "b/x"}, {Model: "a/4"}, {Model: "a/5"}},
		Ranks:    RankMix{0, 1, 2, 7},
		Rate:     rapid.Float64Range(0.5, 200).Draw(t, "rate"),
		Arrivals: rapid.SampledFrom([]ArrivalProcess{Poisson, Constant}).Draw(t, "process"),
		Duration: 10 * time.Second,
		Bursts:   []Burst{{Start: at("burst"), Duration: time.Second, Rate: 50, Rank: rpdocument.RankUrgent}},
		Gaps:     []Gap{{Start: at("gap") + 5*time.Second, Duration: 500 * time.Millisecond}, {Start: at("gap 2"), Duration: 300 * time.Millisecond}},
		Wakes:    []Wake{{Count: rapid.IntRange(1, 3).Draw(t, "woken"), Within: time.Second, Start: at("wake")}, {Count: 2, Within: 2 * time.Second}},
		Seed:     rapid.Uint64().Draw(t, "seed"),
	}
}

// Guards against schedules that differ for the same seed, arrivals out of order or
// outside their phase, and requests to a model before its wake-up.
func TestScheduleProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		cfg := drawConfig(t)
		schedule, arrivals := withSchedule(t, cfg)
		again, other := withSchedule(t, cfg)
		g.Expect(other).To(Equal(arrivals))
		count, hash := schedule.CountAndHash()
		count2, hash2 := again.CountAndHash()
		g.Expect([]uint64{count, hash}).To(Equal([]uint64{count2, hash2}))
		g.Expect(count).To(BeEquivalentTo(len(arrivals)))
		firstPhase, woken := map[int]int{}, 0
		for i, a := range arrivals {
			g.Expect(a.Seq).To(BeEquivalentTo(i))
			g.Expect(i == 0 || arrivals[i-1].At <= a.At).To(BeTrue())
			checkPhase(g, cfg, a)
			if _, ok := firstPhase[a.Kind]; !ok {
				firstPhase[a.Kind] = a.Phase
			}
			if a.Phase >= 2 {
				woken++
				g.Expect(firstPhase[a.Kind]).To(Equal(a.Phase), "a woken model had a request before")
			}
		}
		g.Expect(woken).To(Equal(cfg.Wakes[0].Count + cfg.Wakes[1].Count))
	})
}

// checkPhase expects that an arrival is within the time of its phase.
func checkPhase(g Gomega, cfg Config, a Arrival) {
	within := func(start, length time.Duration) bool { return a.At >= start && a.At < start+length }
	switch a.Phase {
	case 0:
		g.Expect(within(0, cfg.Duration)).To(BeTrue())
		for _, gap := range cfg.Gaps {
			g.Expect(within(gap.Start, gap.Duration)).To(BeFalse(), "an arrival of the base phase is in a gap")
		}
	case 1:
		g.Expect(within(cfg.Bursts[0].Start, cfg.Bursts[0].Duration)).To(BeTrue())
		g.Expect(a.Rank).To(Equal(cfg.Bursts[0].Rank))
	default:
		wake := cfg.Wakes[a.Phase-2]
		g.Expect(within(wake.Start, wake.Within)).To(BeTrue())
	}
}

// Guards against rates, shares of models or shares of ranks that differ from the
// configuration. The tolerance is 5 standard deviations of a count.
func TestRatesAndMix(t *testing.T) {
	g := NewWithT(t)
	near := func(got int, want float64) {
		g.ExpectWithOffset(1, float64(got)).To(BeNumerically("~", want, 5*math.Sqrt(want)))
	}
	cfg := Config{Kinds: []RequestKind{{Model: "a/1"}, {Model: "a/2"}, {Model: "a/3"}}, Zipf: 1, Ranks: RankMix{0, 1, 2, 7}, Rate: 1000, Duration: 100 * time.Second}
	_, arrivals := withSchedule(t, cfg)
	byKind, byRank, short := [3]int{}, RankMix{}, 0
	for i, a := range arrivals {
		byKind[a.Kind]++
		byRank[a.Rank]++
		if i > 0 && a.At-arrivals[i-1].At < 693147*time.Nanosecond { // The median of the exponential times: the mean times ln 2.
			short++
		}
	}
	near(len(arrivals), 100_000)
	near(short, 50_000)
	for i, share := range []float64{6. / 11, 3. / 11, 2. / 11} {
		near(byKind[i], share*100_000)
	}
	for rank, share := range []float64{0, 0.1, 0.2, 0.7} {
		near(int(byRank[rank]), share*100_000)
	}

	cfg = Config{Kinds: []RequestKind{{Model: "a/1"}}, Arrivals: Constant, Rate: 4, Duration: time.Second, Gaps: []Gap{{Start: 500 * time.Millisecond, Duration: 250 * time.Millisecond}}}
	_, arrivals = withSchedule(t, cfg)
	g.Expect(arrivals).To(HaveLen(3))
	g.Expect(arrivals[2]).To(Equal(Arrival{Seq: 2, At: 750 * time.Millisecond}))
}

// Guards against a change of the requests that a seed produces. Reports of different
// releases could no longer be compared.
func TestScheduleHash(t *testing.T) {
	g := NewWithT(t)
	schedule, _ := withSchedule(t, Config{
		Kinds: []RequestKind{{Model: "a/1"}, {Model: "a/2"}, {Model: "a/3"}}, Ranks: RankMix{0, 1, 1, 1}, Rate: 100, Duration: 10 * time.Second, Seed: 7,
		Bursts: []Burst{{Start: time.Second, Duration: time.Second, Rate: 100}}, Wakes: []Wake{{Count: 1, Within: time.Second}},
	})
	count, hash := schedule.CountAndHash()
	g.Expect(count).To(BeEquivalentTo(1095))
	g.Expect(formatHash(hash)).To(Equal("a6e49485ff0660eb"))
}

// Guards against flag values that are parsed wrongly, and against malformed values
// that are accepted.
func TestValues(t *testing.T) {
	g := NewWithT(t)
	var burst Burst
	g.Expect(burst.UnmarshalText([]byte("10s,5s,200,urgent"))).To(Succeed())
	g.Expect(burst).To(Equal(Burst{10 * time.Second, 5 * time.Second, 200, rpdocument.RankUrgent}))
	g.Expect(burst.String()).To(Equal("10s,5s,200,urgent"))
	var wake Wake
	g.Expect(wake.UnmarshalText([]byte("20,5s"))).To(Succeed())
	g.Expect(wake).To(Equal(Wake{Count: 20, Within: 5 * time.Second}))
	g.Expect(wake.UnmarshalText([]byte("20,5s,1m,normal"))).To(Succeed())
	g.Expect(wake).To(Equal(Wake{20, 5 * time.Second, time.Minute, rpdocument.RankNormal}))
	var gap Gap
	g.Expect(gap.UnmarshalText([]byte("10s,5s"))).To(Succeed())
	var mix RankMix
	g.Expect(mix.UnmarshalText([]byte("urgent=1,background=7"))).To(Succeed())
	g.Expect(mix).To(Equal(RankMix{0, 1, 0, 7}))
	g.Expect(mix.UnmarshalText([]byte("normal"))).To(Succeed())
	g.Expect(mix).To(Equal(RankMix{0, 0, 1, 0}))
	var timeouts RankTimeouts
	g.Expect(timeouts.UnmarshalText([]byte("2s"))).To(Succeed())
	g.Expect(timeouts).To(Equal(AllTimeouts(2 * time.Second)))
	g.Expect(timeouts.UnmarshalText([]byte("urgent=2s,background=10m"))).To(Succeed())
	g.Expect(timeouts).To(Equal(RankTimeouts{0, 2 * time.Second, 0, 10 * time.Minute}))
	for _, text := range []string{"", "10s", "10s,5s", "10s,5s,x", "10s,5s,1,low", "10s,5s,1,urgent,1"} {
		g.Expect(burst.UnmarshalText([]byte(text))).To(BeAssignableToTypeOf(&ValueError{}), text)
	}
	for _, text := range []string{"", "low", "urgent=x", "urgent=1,urgent=2", "urgent=1,"} {
		g.Expect(mix.UnmarshalText([]byte(text))).NotTo(Succeed(), text)
		g.Expect(timeouts.UnmarshalText([]byte(text))).NotTo(Succeed(), text)
	}
}

// Guards against invalid configurations that are accepted, and against a check that
// stops at the first problem.
func TestCheck(t *testing.T) {
	g := NewWithT(t)
	valid := Config{Targets: []netip.AddrPort{testTarget}, Kinds: []RequestKind{{Model: "a/1"}, {Model: "a/2"}}, Rate: 1, Duration: time.Minute}
	g.Expect(valid.Check()).To(Succeed())
	for name, change := range map[string]func(*Config){
		"no target":      func(c *Config) { c.Targets = nil },
		"no service":     func(c *Config) { c.Kinds[0].Model = "a" },
		"twice":          func(c *Config) { c.Kinds[0] = c.Kinds[1] },
		"zipf, weights":  func(c *Config) { c.Zipf, c.Kinds[0].Weight = 1, 2 },
		"no request":     func(c *Config) { c.Rate = 0 },
		"not a rate":     func(c *Config) { c.Rate = math.NaN() },
		"late burst":     func(c *Config) { c.Bursts = []Burst{{59 * time.Second, 2 * time.Second, 1, 0}} },
		"all woken":      func(c *Config) { c.Wakes = []Wake{{Count: 2, Within: time.Second}} },
		"gaps overlap":   func(c *Config) { c.Gaps = []Gap{{0, 2 * time.Second}, {time.Second, time.Second}} },
		"too many":       func(c *Config) { c.Rate, c.Duration = maxRate, maxDuration },
		"negative limit": func(c *Config) { c.InProgressLimit = -1 },
	} {
		cfg := valid
		cfg.Kinds = slices.Clone(valid.Kinds)
		change(&cfg)
		g.Expect(cfg.Check()).To(BeAssignableToTypeOf(&ConfigError{}), name)
	}
	g.Expect(Config{}.Check().(*ConfigError).Problems).To(HaveLen(4))
}
