package rpgateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a request that is read right after a suspension of the machine and
// checked with a time from before it.
func TestExactNowCountsRecentSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		suspended := time.Duration(0)
		c := clock{Suspended: func() (time.Duration, error) { return suspended, nil }}
		begin := c.Now()
		suspended = 8 * time.Second
		g.Expect(c.Now().Sub(begin)).To(BeZero(), "the time of the last check is used for a few milliseconds")
		g.Expect(c.ExactNow().Sub(begin)).To(Equal(8 * time.Second))
		g.Expect(c.Now().Sub(begin)).To(Equal(8 * time.Second))
		g.Expect(new(clock).ExactNow()).To(Equal(time.Now()))
	})
}
