package rpverdict_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Guards against a verdict that changes when it is encoded and decoded.
func TestVerdictText(t *testing.T) {
	g := NewWithT(t)
	for _, verdict := range []rpverdict.Verdict{rpverdict.NotRun, rpverdict.MayHaveRun, rpverdict.Ran} {
		text, err := verdict.MarshalText()
		g.Expect(err).NotTo(HaveOccurred())
		var decoded rpverdict.Verdict
		g.Expect(decoded.UnmarshalText(text)).To(Succeed())
		g.Expect(decoded).To(Equal(verdict))
	}
	var decoded rpverdict.Verdict
	g.Expect(decoded.UnmarshalText([]byte("maybe"))).To(MatchError(rpverdict.UnknownVerdictError{Name: "maybe"}))
	_, err := rpverdict.Verdict(7).MarshalText()
	g.Expect(err).To(HaveOccurred())
}
