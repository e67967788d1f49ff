package rpgateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// Guards against orders that stay in flight after the lease that allows them was
// lost or has ended.
func TestOrdersEndWithLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := &orderSender{loop: &loop{clock: &clock{}}}
		lost, endLost := o.startOrder(rpfleet.SendOrder{Order: "1", NotAfter: time.Now().Add(time.Hour)})
		defer endLost()
		o.cancelAll()
		g.Expect(lost.Err()).To(HaveOccurred())

		const left = 300 * time.Millisecond
		late, endLate := o.startOrder(rpfleet.SendOrder{Order: "2", NotAfter: time.Now().Add(left)})
		defer endLate()
		begin := time.Now()
		<-late.Done()
		g.Expect(time.Since(begin)).To(Equal(left))
	})
}
