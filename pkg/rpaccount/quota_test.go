package rpaccount_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
)

// Guards against a request that is charged in the wrong unit.
func TestQuotaCost(t *testing.T) {
	g := NewWithT(t)
	tokens := rpaccount.Quota{Unit: rpaccount.UnitTokens, PlainCost: 120}
	g.Expect(tokens.Cost(300, 40, true)).To(Equal(340.0))
	g.Expect(tokens.Cost(0, 0, true)).To(BeZero())
	g.Expect(tokens.Cost(-5, 40, true)).To(Equal(40.0))
	g.Expect(tokens.Cost(300, 40, false)).To(Equal(120.0))
	g.Expect(rpaccount.Quota{PlainCost: 120}.Cost(300, 40, true)).To(Equal(1.0))
	g.Expect(rpaccount.Quota{Unit: rpaccount.UnitRequests}.Cost(0, 0, false)).To(Equal(1.0))
}
