package rpaccount_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
)

// Guards against keys that are accepted without a recent confirmation, and against a
// late answer that makes the confirmation older.
func TestCurrency(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_800_000_000, 0)
	currency := rpaccount.Currency{Bound: 10 * time.Second, Strict: true}
	g.Expect(currency.Accepts(start)).To(BeFalse())
	currency.Confirm(start)
	currency.Confirm(start.Add(-3 * time.Second))
	g.Expect(currency.Age(start.Add(2 * time.Second))).To(Equal(2 * time.Second))
	g.Expect(currency.Accepts(start.Add(8*time.Second - 1))).To(BeTrue())
	g.Expect(currency.Accepts(start.Add(8 * time.Second))).To(BeFalse())
	currency.Confirm(start.Add(7 * time.Second))
	g.Expect(currency.Accepts(start.Add(8 * time.Second))).To(BeTrue())
	g.Expect(currency.Age(start)).To(BeZero())

	g.Expect(new(rpaccount.Currency).Accepts(start)).To(BeTrue())
	strict := rpaccount.Currency{Strict: true}
	strict.Confirm(start)
	g.Expect(strict.Accepts(start.Add(3900 * time.Millisecond))).To(BeTrue())
	g.Expect(strict.Accepts(start.Add(4000 * time.Millisecond))).To(BeFalse())
}
