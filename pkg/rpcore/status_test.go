package rpcore

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Guards against refusals that the status omits or counts twice, including
// those made by the front end and those made at once. Also guards against a
// spend that is reported without its limit.
func TestStatusCounts(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	d.listMembers()
	d.answerRead()
	d.pushDocument("sber", 1, documentBody("sber", "one"))
	for _, id := range []RequestID{"r1", "r2"} {
		d.feed(RequestArrived{d.stamp(), Request{ID: id, ModelName: "sber/none"}})
	}
	d.feed(RequestRejected{d.stamp(), "r3", rpverdict.Refuse(rpverdict.CodeBodyTooLarge, "Too large.")})
	g.Expect(driverEffects[RefuseRequest](d)).To(HaveLen(2))
	status := d.Status()
	g.Expect(status.Refusals).To(Equal(map[rpverdict.Code]uint64{rpverdict.CodeUnknownModel: 2, rpverdict.CodeBodyTooLarge: 1}))
	spend := d.document("sber").Spend
	g.Expect(status.Spend).To(Equal([]SpendStatus{
		{Service: "sber", MaxAccelerators: spend.Accelerators, HoursPerDay: spend.AcceleratorHoursPerDay},
	}))
	status.Refusals[rpverdict.CodeBodyTooLarge] = 9
	g.Expect(d.Status().Refusals[rpverdict.CodeBodyTooLarge]).To(BeEquivalentTo(1))
}
