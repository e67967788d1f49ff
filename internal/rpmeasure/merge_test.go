package rpmeasure

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a run of one measure that drops the others from the file or
// keeps the earlier result of that measure.
func TestKeepFrom(t *testing.T) {
	g := NewWithT(t)
	all := Cases()
	for _, c := range all {
		c.Seeds = []uint64{1}
	}
	earlier := Report{Cases: all, Reducer: map[string]map[string]float64{"100": {"ns": 1}}}
	rerun := *all[3]
	rerun.Seeds = []uint64{1, 2}
	report := Report{Cases: []*Case{&rerun}}
	report.KeepMissingFrom(&earlier)
	want := append([]*Case{}, all...)
	want[3] = &rerun
	g.Expect(report.Cases).To(HaveExactElements(want))
	g.Expect(report.Reducer).To(Equal(earlier.Reducer))
}
