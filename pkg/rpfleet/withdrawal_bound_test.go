package rpfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// withdraw withdraws the key in the store. From the bound after the withdrawal on, it
// checks at each step that the instance does not accept the key.
func (f *strictFleet) withdraw(g *WithT, d time.Duration) {
	if !f.lowered {
		f.store.config = accountConfig(f.store.config.Version+1, testRankKey)
	}
	end := f.instance.now.Add(withdrawalBound)
	f.run(withdrawalBound)
	for f.instance.now.Before(end.Add(d)) {
		f.run(100 * time.Millisecond)
		if f.instance.now.Before(f.instance.frozenUntil) {
			continue
		}
		g.Expect(f.instance.codeOf("withdrawn", "/place/1", testKey)).To(
			BeElementOf(rpverdict.CodeUnknownKey, rpverdict.CodeAccountsUnconfirmed), "%s after the withdrawal", f.instance.now.Sub(end.Add(-withdrawalBound)))
	}
}

// Guards against a withdrawn key that is accepted after the bound, whatever fails
// between the store, the planner and the instance, and against an instance that does
// not accept the remaining keys once it is in contact again.
func TestWithdrawnKeyIsRefusedInTime(t *testing.T) {
	for name, disturb := range map[string]func(f *strictFleet) (heal func()){
		"calm": func(*strictFleet) func() { return func() {} },
		"planner cut off": func(f *strictFleet) func() {
			f.cut = true
			return func() { f.cut = false }
		},
		"all cut off": func(f *strictFleet) func() {
			f.cut, f.instance.store = true, &strictStore{config: f.store.config, down: true}
			return func() { f.cut, f.instance.store = false, f.store }
		},
		"store down": func(f *strictFleet) func() {
			f.store.down = true
			return func() { f.store.down = false }
		},
		"planner without the store": func(f *strictFleet) func() {
			f.planner.store = &strictStore{config: f.store.config, down: true}
			return func() { f.planner.store = f.store }
		},
		"planner frozen": func(f *strictFleet) func() {
			f.planner.frozenUntil = f.planner.now.Add(8 * time.Second)
			return func() {}
		},
		"instance frozen": func(f *strictFleet) func() {
			// The freeze begins while an answer of the planner is on its way.
			for f.reply == nil {
				f.run(strictStep)
			}
			f.instance.frozenUntil = f.instance.now.Add(8 * time.Second)
			return func() {}
		},
		"instance frozen in a call": func(f *strictFleet) func() {
			f.cut = true
			for f.instance.callEnds.IsZero() {
				f.run(strictStep)
			}
			f.instance.frozenUntil = f.instance.now.Add(8 * time.Second)
			return func() { f.cut = false }
		},
		"version lowered": func(f *strictFleet) func() {
			f.store.config = accountConfig(0, testRankKey)
			f.lowered = true
			return func() { f.store.config = accountConfig(3, testRankKey) }
		},
		"configuration undecoded": func(f *strictFleet) func() {
			f.planner.undecoded, f.instance.undecoded = true, true
			return func() { f.planner.undecoded, f.instance.undecoded = false, false }
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := withStrictFleet(t, 75)
			f.run(5 * time.Second)
			g.Expect(f.instance.codeOf("before", "/place/1", testKey)).To(BeEmpty())
			heal := disturb(f)
			f.withdraw(g, 6*time.Second)
			heal()
			f.run(3 * time.Second)
			g.Expect(f.instance.codeOf("after", "/place/1", testRankKey)).To(BeEmpty())
			g.Expect(f.instance.codeOf("withdrawn again", "/place/1", testKey)).To(Equal(rpverdict.CodeUnknownKey))
		})
	}
}

// Guards against a withdrawn key that is accepted after the bound because the last call
// before a cut was one from which the store held the withdrawal back.
func TestMissedWithdrawalBeforeCut(t *testing.T) {
	for phase := range 75 {
		g := NewWithT(t)
		f := withStrictFleet(t, 75)
		f.run(5*time.Second + time.Duration(phase)*strictStep)
		f.store.before, f.store.shownFrom = f.store.config, f.instance.now.Add(missedFor)
		f.store.config = accountConfig(3, testRankKey)
		end := f.instance.now.Add(withdrawalBound)
		// The calls of the planner and its answers have any order before the cut.
		f.run(missedFor - strictStep)
		f.cut, f.instance.store = true, &strictStore{config: f.store.before, down: true}
		for f.instance.now.Before(end.Add(time.Second)) {
			f.run(10 * strictStep)
			if f.instance.now.After(end) {
				g.Expect(f.instance.codeOf("withdrawn", "/place/1", testKey)).To(Equal(rpverdict.CodeAccountsUnconfirmed), "phase %d", phase)
			}
		}
	}
}
