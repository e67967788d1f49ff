package rpmeasure

import (
	"testing"

	. "github.com/onsi/gomega"
)

// withFewEngines returns a deployment small enough to simulate an overload in
// about a second.
func withFewEngines() Deployment {
	return Deployment{Name: "few", Instances: 6, Delay: Office.Delay, StartsPerSecond: 6, Services: []Service{{Name: "kodovac", Engines: 5}}}
}

// Guards against urgent requests that wait behind an overload of background
// requests, at their instance or at an engine.
func TestOverloadFromBackground(t *testing.T) {
	g := NewWithT(t)
	got := overload([3]float64{0.3, 0.2, 10})(withFewEngines(), Options{Seed: 1})
	g.Expect(got["urgent_in_target"]).To(BeNumerically(">=", 0.99))
	expectOverloadTargets(g, got)
}

// Guards against an overload of urgent requests that leaves engines idle or
// keeps the other ranks below their floors.
func TestOverloadFromUrgent(t *testing.T) {
	expectOverloadTargets(NewWithT(t), overload([3]float64{10, 0.5, 0.5})(withFewEngines(), Options{Seed: 1}))
}

// Guards against normal requests that use up the floor of their rank because
// they are dispatched too late to complete before their deadline.
func TestOverloadFromAllRanks(t *testing.T) {
	expectOverloadTargets(NewWithT(t), overload([3]float64{2, 10, 2})(withFewEngines(), Options{Seed: 1}))
}

// expectOverloadTargets compares the figures with the targets of
// docs/MEASUREMENTS.md.
func expectOverloadTargets(g *WithT, got figures) {
	g.Expect(got["goodput"]).To(BeNumerically(">=", 0.95))
	g.Expect(got["normal_share"]).To(BeNumerically(">=", 0.19))
	g.Expect(got["background_share"]).To(BeNumerically(">=", 0.095))
	g.Expect(got["late_refusals"]).To(BeZero())
	g.Expect(got["unanswered"]).To(BeZero())
}
