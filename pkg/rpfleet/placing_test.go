package rpfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// Guards against a load from the weight store, which takes seconds, at the engine
// that holds the only checkpoints of models that callers ask for meanwhile.
func TestLongLoadsSpareEnginesThatOthersRelyOn(t *testing.T) {
	g := NewWithT(t)
	r := withRig(t)
	// Both engines have room. The one that the others rely on is in the
	// caller's failure domain and has fewer checkpoints.
	relied := testEndpoint("e1", testService, homeDomain, "m0")
	relied.Cached = map[string]rpcore.CheckpointPlace{"m0": rpcore.PlaceDisk, "m1": rpcore.PlaceDisk, "m2": rpcore.PlaceDisk}
	other := testEndpoint("e2", testService, "zone-b", "m0")
	other.Cached = map[string]rpcore.CheckpointPlace{
		"m0": rpcore.PlaceDisk, "m3": rpcore.PlaceDisk, "m4": rpcore.PlaceDisk, "m6": rpcore.PlaceDisk, "m7": rpcore.PlaceDisk,
	}
	r.configure(relied, other)
	r.lead(relied, other)
	demand := rpfleet.Demand{
		Instance: "front-2", Full: true,
		Rates: []rpfleet.ModelRate{
			{Service: testService, Model: "m1", Fast: 400, Slow: 400}, {Service: testService, Model: "m2", Fast: 400, Slow: 400},
		},
		Needs: []rpfleet.Need{{Service: testService, Model: "m5", Waiting: 1, Rank: 2}},
	}
	r.forget()
	r.apply(rpfleet.DemandReceived{Stamp: r.stamp(), Call: 1, Demand: demand})
	r.renew(100 * time.Millisecond)
	orders := effectsOf[rpfleet.SendOrder](r)
	g.Expect(orders).NotTo(BeEmpty())
	g.Expect(orders[0].Model).To(Equal("m5"))
	g.Expect(orders[0].Endpoint).To(Equal(other.ID))
}
