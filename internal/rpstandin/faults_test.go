package rpstandin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func send(handler http.Handler, method, path, body string) int {
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, httptest.NewRequest(method, path, strings.NewReader(body)))
	return answer.Code
}

// Guards against fault tests that pass because a misspelled setting was taken
// for no fault, and against an outage that the admin path can't end.
func TestAdminPath(t *testing.T) {
	for _, standin := range []http.Handler{&Table{}, &Objects{}, &List{}} {
		g := NewWithT(t)
		g.Expect(send(standin, http.MethodPost, faultsPath, `{"unavailabel": true}`)).To(Equal(http.StatusBadRequest))
		g.Expect(send(standin, http.MethodPost, faultsPath, `{"unavailable": true, "delay_ms": 1}`)).To(Equal(http.StatusNoContent))
		g.Expect(send(standin, http.MethodGet, membersPath, "")).To(Equal(http.StatusServiceUnavailable))
		g.Expect(send(standin, http.MethodPost, faultsPath, `{}`)).To(Equal(http.StatusNoContent))
		g.Expect(send(standin, http.MethodGet, membersPath, "")).NotTo(Equal(http.StatusServiceUnavailable))
	}
}

// Guards against the ratios acting on no request, or on all of them.
func TestFaultRatios(t *testing.T) {
	g := NewWithT(t)
	list := &List{}
	ended := func() (aborted bool) {
		defer func() { aborted = recover() == http.ErrAbortHandler }()
		send(list, http.MethodGet, membersPath, "")
		return false
	}
	list.SetFaults(FaultSettings{LoseAnswers: 0.5})
	lost := 0
	for range 1000 {
		if ended() {
			lost++
		}
	}
	// The chance to miss these bounds is below 1e-9 for a fair choice.
	g.Expect(lost).To(And(BeNumerically(">", 400), BeNumerically("<", 600)))
	list.SetFaults(FaultSettings{LoseNextAnswers: 1})
	g.Expect([]bool{ended(), ended()}).To(Equal([]bool{true, false}))
	list.SetFaults(FaultSettings{DropRequests: 1, LoseNextAnswers: 1})
	g.Expect(ended()).To(BeTrue())
	list.SetFaults(FaultSettings{})
	g.Expect(ended()).To(BeFalse())
}

// Guards against a stand-in that outlives its context and keeps its port.
func TestRunEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- (&Table{}).Run(ctx, netip.MustParseAddrPort("127.0.0.1:0")) }()
	cancel()
	g.Eventually(ended).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
}
