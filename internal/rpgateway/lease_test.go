package rpgateway

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

// Guards against a number of instances that is lost on the way through the store,
// and against one that would give a single instance the whole retry budget.
func TestLeaseRowInstances(t *testing.T) {
	g := NewWithT(t)
	value, err := encodeLease(rpfleet.LeaseRow{Holder: "front-1", Epoch: 3, Instances: 75})
	g.Expect(err).NotTo(HaveOccurred())
	row, err := decodeLease(rpwire.Row{Revision: 7, Value: value})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row.Instances).To(Equal(75))
	row, err = decodeLease(rpwire.Row{Revision: 7, Value: []byte(`{"holder":"front-1","epoch":3,"instances":-5}`)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row.Instances).To(BeZero())
}

// Guards against a row that an earlier version of the program can't read, or that it
// wrote and this version can't read.
func TestLeaseRowOfEarlierVersion(t *testing.T) {
	g := NewWithT(t)
	value, err := encodeLease(rpfleet.LeaseRow{Holder: "front-1", Epoch: 3, ValidUntil: rpfleet.StoreTime(time.Second), Instances: 75})
	g.Expect(err).NotTo(HaveOccurred())
	var earlier struct {
		Holder       string `json:"holder"`
		Epoch        uint64 `json:"epoch"`
		ValidUntilMs int64  `json:"valid_until_ms"`
	}
	g.Expect(json.Unmarshal(value, &earlier)).To(Succeed())
	g.Expect(earlier.Holder).To(Equal("front-1"))
	g.Expect(earlier.ValidUntilMs).To(Equal(int64(1000)))
	value, err = json.Marshal(earlier)
	g.Expect(err).NotTo(HaveOccurred())
	row, err := decodeLease(rpwire.Row{Revision: 7, Value: value})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row.Instances).To(BeZero())
	g.Expect(row.Epoch).To(Equal(uint64(3)))
}
