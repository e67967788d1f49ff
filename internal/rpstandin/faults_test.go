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

func sendForStatus(handler http.Handler, method, path, body string) int {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder.Code
}

// Guards against ignoring a misspelled setting, because tests would then pass without
// the fault, and against an outage that a POST of other settings can't end.
func TestFaultsPath(t *testing.T) {
	for _, handler := range []http.Handler{&Table{}, &Objects{}, &List{}} {
		g := NewWithT(t)
		g.Expect(sendForStatus(handler, http.MethodPost, faultsPath, `{"unavailabel": true}`)).To(Equal(http.StatusBadRequest))
		g.Expect(sendForStatus(handler, http.MethodPost, faultsPath, `{"unavailable": true, "delay_ms": 1}`)).To(Equal(http.StatusNoContent))
		g.Expect(sendForStatus(handler, http.MethodGet, membersPath, "")).To(Equal(http.StatusServiceUnavailable))
		g.Expect(sendForStatus(handler, http.MethodPost, faultsPath, `{}`)).To(Equal(http.StatusNoContent))
		g.Expect(sendForStatus(handler, http.MethodGet, membersPath, "")).NotTo(Equal(http.StatusServiceUnavailable))
	}
}

// Guards against fractions that affect no requests or all of them.
func TestFaultRatios(t *testing.T) {
	g := NewWithT(t)
	list := &List{}
	sendAborts := func() (aborted bool) {
		defer func() { aborted = recover() == http.ErrAbortHandler }()
		sendForStatus(list, http.MethodGet, membersPath, "")
		return false
	}
	list.SetFaults(FaultSettings{LoseAnswers: 0.5})
	lost := 0
	for range 1000 {
		if sendAborts() {
			lost++
		}
	}
	// The probability of a value outside these bounds is below 1e-9 if the
	// choice is fair.
	g.Expect(lost).To(And(BeNumerically(">", 400), BeNumerically("<", 600)))
	list.SetFaults(FaultSettings{LoseNextAnswers: 1})
	g.Expect([]bool{sendAborts(), sendAborts()}).To(Equal([]bool{true, false}))
	list.SetFaults(FaultSettings{DropRequests: 1, LoseNextAnswers: 1})
	g.Expect(sendAborts()).To(BeTrue())
	list.SetFaults(FaultSettings{})
	g.Expect(sendAborts()).To(BeFalse())
}

// Guards against a stand-in that keeps running and keeps its port after its context
// has ended.
func TestRunEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- (&Table{}).Run(ctx, netip.MustParseAddrPort("127.0.0.1:0")) }()
	cancel()
	g.Eventually(ended).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
}
