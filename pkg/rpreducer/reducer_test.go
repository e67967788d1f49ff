package rpreducer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// recorder is the state of a reducer that records which alarms ran.
type recorder struct {
	alarms rpreducer.Alarms[recorder]
	ran    []string
}

func (s *recorder) mark(name string) func(*recorder) {
	return func(s *recorder) { s.ran = append(s.ran, name) }
}

// Guards against alarms that run out of order, twice, or after they were stopped.
func TestAlarms(t *testing.T) {
	g := NewWithT(t)
	begin := time.Unix(1_800_000_000, 0)
	s := &recorder{}
	s.alarms.Set(begin.Add(2*time.Second), s.mark("late"))
	s.alarms.Set(begin.Add(time.Second), s.mark("first"))
	s.alarms.Set(begin.Add(time.Second), s.mark("second"))
	stopped := s.alarms.Set(begin.Add(time.Second), s.mark("stopped"))
	s.alarms.Stop(stopped)
	s.alarms.Stop(stopped)
	at, ok := s.alarms.Announce()
	g.Expect(ok).To(BeTrue())
	g.Expect(at).To(Equal(begin.Add(time.Second)))
	_, ok = s.alarms.Announce()
	g.Expect(ok).To(BeFalse(), "the alarm was announced before")
	s.alarms.ClearAnnounced()
	_, ok = s.alarms.Announce()
	g.Expect(ok).To(BeTrue(), "the timer may have fired early")
	s.alarms.Fire(begin.Add(time.Second), s)
	g.Expect(s.ran).To(Equal([]string{"first", "second"}))
	s.alarms.Fire(begin.Add(time.Minute), s)
	g.Expect(s.ran).To(Equal([]string{"first", "second", "late"}))
	_, ok = s.alarms.Announce()
	g.Expect(ok).To(BeFalse())
}

// Guards against a sum whose old parts do not decay.
func TestDecayingSum(t *testing.T) {
	g := NewWithT(t)
	const window = 10 * time.Second
	begin := time.Unix(1_800_000_000, 0)
	var sum rpreducer.DecayingSum
	g.Expect(sum.Get(begin, window)).To(BeZero())
	sum.Add(begin, window, 3)
	g.Expect(sum.Get(begin, window)).To(Equal(3.0))
	g.Expect(sum.Get(begin.Add(window), window)).To(BeNumerically("~", 3/2.718281828, 1e-6))
	sum.Add(begin.Add(window), window, 1)
	g.Expect(sum.Get(begin.Add(window), window)).To(BeNumerically("~", 1+3/2.718281828, 1e-6))
}

// Guards against keys that move although their candidate stays.
func TestRendezvous(t *testing.T) {
	g := NewWithT(t)
	home := func(key string, candidates ...string) string {
		best := candidates[0]
		for _, candidate := range candidates {
			if rpreducer.Rendezvous(key, candidate) > rpreducer.Rendezvous(key, best) {
				best = candidate
			}
		}
		return best
	}
	counts := map[string]int{}
	for i := range 300 {
		key := time.Duration(i).String()
		before := home(key, "a", "b", "c")
		counts[before]++
		if before != "c" {
			g.Expect(home(key, "a", "b")).To(Equal(before))
		}
	}
	g.Expect(counts).To(HaveLen(3))
}
