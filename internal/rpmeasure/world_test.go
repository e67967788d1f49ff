package rpmeasure

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Guards against a burst that starts more than one load, requests without a
// token, and runs whose results depend on anything but the seed.
func TestColdBurst(t *testing.T) {
	g := NewWithT(t)
	first := coldBurst(rpcore.PlaceMemory)(Snoepschep, Options{Seed: 1})
	g.Expect(first["loads"]).To(Equal(1.0))
	g.Expect(first["without_token"]).To(BeZero())
	g.Expect(coldBurst(rpcore.PlaceMemory)(Snoepschep, Options{Seed: 1})).To(Equal(first))
}
