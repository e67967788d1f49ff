package rpgateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// Guards against demands that an earlier or a later version of the program can't
// read while instances are upgraded one after another.
func TestDemandExtensionIsOptional(t *testing.T) {
	g := NewWithT(t)
	demand := rpfleet.Demand{Instance: "front-1", Full: true, Extension: rpfleet.DemandExtension{
		Leaving: []rpfleet.LeavingEndpoint{{ID: "e1", Incarnation: "7"}}, HeldOff: []rpcore.EndpointID{"e2"},
	}}
	body, err := encodeDemand(&demand)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := decodeDemand(bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(demand))

	// An earlier version reads the first item only, and sends no second one.
	demand.Evidence.Crashes = []rpfleet.CrashReport{{Endpoint: "e1", Incarnation: "7", Age: time.Second, Prompts: [][]string{{"a", "b"}}}}
	body, err = encodeDemand(&demand)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err = decodeDemand(bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(demand))
	var first rpfleet.Demand
	g.Expect(cbor.NewDecoder(bytes.NewReader(body)).Decode(&first)).To(Succeed())
	g.Expect(first.Instance).To(Equal(demand.Instance))
	body, err = cbor.Marshal(first)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err = decodeDemand(bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(first))
}

// Guards against answers of the planner that an earlier version can't read, and against
// answers of an earlier version that clear the quarantine.
func TestPlacementQuarantineIsOptional(t *testing.T) {
	g := NewWithT(t)
	placement := rpfleet.Placement{IsPlanner: true, Epoch: 3, Quarantine: &rpfleet.Quarantine{
		Quarantined: []rpfleet.PartTime{{Part: "deadly", Time: time.Minute}}, Watched: []string{"a"}, Unused: []string{"a"},
	}}
	body, err := encodePlacement(&placement)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := decodePlacement(bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(placement))
	var first rpfleet.Placement
	g.Expect(cbor.NewDecoder(bytes.NewReader(body)).Decode(&first)).To(Succeed())
	g.Expect(first.Epoch).To(Equal(placement.Epoch))
	body, err = cbor.Marshal(first)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err = decodePlacement(bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.Quarantine).To(BeNil())
}
