package rpgateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// Guards against a 502 instead of a retry because no planner has answered yet: the
// instance took the retry budget for that of a hundred instances.
func TestRetryBeforePlannerAnswers(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	p.writeHeldLease(2)
	var runs atomic.Int32
	for _, id := range []string{"s1", "s2"} {
		p.startPlain(id).Fault = func(*http.Request) rpfake.EndpointFault {
			return rpfake.EndpointFault{DropResponse: runs.Add(1) == 1}
		}
	}
	gw := p.startGateway("front-1")
	got := gw.send(rpfake.CallerRequest{ID: "r1", Path: "/stock/1", Method: http.MethodGet})
	g.Expect(got.Status).To(Equal(http.StatusOK))
	g.Expect(runs.Load()).To(Equal(int32(2)))
}
