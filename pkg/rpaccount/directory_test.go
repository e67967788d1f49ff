package rpaccount_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
)

// Guards against a request without a readable key that is taken for an account, and
// against a key that identifies another account than its own.
func TestDirectoryLookup(t *testing.T) {
	g := NewWithT(t)
	directory := rpaccount.NewDirectory(
		[]rpaccount.Account{{Name: "shop", Rank: 2, HasRank: true}, {Name: "lab"}, {}},
		map[rpaccount.Credential]string{
			rpaccount.NewCredential("k1"): "shop", rpaccount.NewCredential("k2"): "shop",
			rpaccount.NewCredential("k3"): "lab", rpaccount.NewCredential("k4"): "nobody",
			rpaccount.NewCredential(""): "lab", rpaccount.NewCredential("k5"): "",
		})
	for key, name := range map[string]string{"k1": "shop", "k2": "shop", "k3": "lab"} {
		account, ok := directory.Lookup(rpaccount.NewCredential(key))
		g.Expect(ok).To(BeTrue(), key)
		g.Expect(account.Name).To(Equal(name), key)
	}
	for _, key := range []string{"", "k4", "k5", "K1", "k1 ", "k11", strings.Repeat("k", 64<<10)} {
		_, ok := directory.Lookup(rpaccount.NewCredential(key))
		g.Expect(ok).To(BeFalse(), key)
	}
	account, ok := directory.Account("shop")
	g.Expect(ok).To(BeTrue())
	g.Expect(account.Rank).To(Equal(2))
	_, ok = directory.Account("nobody")
	g.Expect(ok).To(BeFalse())

	var none *rpaccount.Directory
	_, ok = none.Lookup(rpaccount.NewCredential("k1"))
	g.Expect(ok).To(BeFalse())
	g.Expect(none.Len()).To(BeZero())
	_, ok = new(rpaccount.Directory).Lookup(rpaccount.Credential{})
	g.Expect(ok).To(BeFalse())
}

// Guards against a key or its whole digest in a log line that prints a credential.
func TestCredentialIsNotPrinted(t *testing.T) {
	g := NewWithT(t)
	credential := rpaccount.NewCredential("k1")
	for _, format := range []string{"%v", "%s", "%+v"} {
		g.Expect(fmt.Sprintf(format, credential)).To(MatchRegexp("^[0-9a-f]{8}$"))
	}
	g.Expect(rpaccount.Credential{}.String()).To(Equal("none"))
}

// Guards against a request that gives credit to its account, and against counting
// tokens where the quota counts requests.
func TestCostGivesNoCredit(t *testing.T) {
	g := NewWithT(t)
	tokens := rpaccount.Quota{Unit: rpaccount.UnitTokens, PlainCost: 300}
	g.Expect(tokens.Cost(1000, 48, true)).To(BeEquivalentTo(1048))
	g.Expect(tokens.Cost(1000, 48, false)).To(BeEquivalentTo(300))
	g.Expect(tokens.Cost(-1000, 48, true)).To(BeEquivalentTo(48))
	g.Expect(tokens.Cost(0, 0, true)).To(BeZero())
	g.Expect(rpaccount.Quota{Unit: rpaccount.UnitRequests}.Cost(1000, 48, true)).To(BeEquivalentTo(1))
	g.Expect(rpaccount.Quota{}.Cost(1000, 48, true)).To(BeEquivalentTo(1))
	g.Expect(rpaccount.Quota{}.IsZero()).To(BeTrue())
}
