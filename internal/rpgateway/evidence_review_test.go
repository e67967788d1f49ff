package rpgateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

func quarantineOf(parts ...string) rpfleet.CrashEvidence {
	var evidence rpfleet.CrashEvidence
	for _, part := range parts {
		evidence.Quarantined = append(evidence.Quarantined, rpfleet.PartTime{Part: part, Time: time.Minute})
	}
	return evidence
}

func withStoreEvidence(t *testing.T, fault func(*http.Request) rpfake.StoreFault) (*storeEvidence, func() []string) {
	t.Helper()
	fake := &rpfake.Store{Fault: fault}
	address, stop, err := rpfake.Serve(fake)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(stop)
	e := &storeEvidence{store: &rpwire.Store{Address: address, Do: http.DefaultClient.Do}, log: zerolog.Nop()}
	return e, func() []string {
		var row evidenceRow
		rows, _, err := e.store.List(t.Context(), rpwire.TableCrashes)
		if err != nil || len(rows) != 1 || cbor.Unmarshal(rows[0].Value, &row) != nil {
			return nil
		}
		var parts []string
		for _, p := range row.Evidence.Quarantined {
			parts = append(parts, p.Part)
		}
		return parts
	}
}

// Guards against a quarantine that instances without the planner never read because
// its only write failed.
func TestFailedWriteOfQuarantineIsRepeated(t *testing.T) {
	var calls atomic.Int32
	e, stored := withStoreEvidence(t, func(r *http.Request) rpfake.StoreFault {
		if r.Method == http.MethodPost && calls.Add(1) == 1 {
			return rpfake.StoreFault{Status: http.StatusTooManyRequests}
		}
		return rpfake.StoreFault{}
	})
	e.post(rpwire.KeyQuarantine, quarantineOf("deadly"))
	NewWithT(t).Eventually(stored, 5*time.Second).Should(Equal([]string{"deadly"}))
}

// Guards against two decisions in a row of which the store keeps the older one.
func TestLatestQuarantineIsWrittenLast(t *testing.T) {
	var calls atomic.Int32
	e, stored := withStoreEvidence(t, func(r *http.Request) rpfake.StoreFault {
		if r.Method == http.MethodPost && calls.Add(1) == 1 {
			return rpfake.StoreFault{Late: 300 * time.Millisecond}
		}
		return rpfake.StoreFault{}
	})
	go e.post(rpwire.KeyQuarantine, quarantineOf("first"))
	g := NewWithT(t)
	g.Eventually(calls.Load, 5*time.Second).Should(BeEquivalentTo(1))
	e.post(rpwire.KeyQuarantine, quarantineOf("first", "second"))
	g.Eventually(stored, 5*time.Second).ShouldNot(BeEmpty())
	g.Consistently(stored, time.Second).Should(Or(Equal([]string{"first"}), Equal([]string{"first", "second"})))
	g.Eventually(stored, 5*time.Second).Should(Equal([]string{"first", "second"}))
}

// checkAgainst checks an engine that answers each connection with the given bytes.
func checkAgainst(t *testing.T, incarnation rpcore.Incarnation, response string) bool {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 2048))
			_, _ = io.WriteString(conn, response)
			_ = conn.Close()
		}
	}()
	sender := &orderSender{forwarder: &rpendpoint.Forwarder{Limits: endpointLimits, SetHeaders: rpwire.SetAttemptHeaders, ReadHead: rpwire.ReadResponseHead}, log: zerolog.Nop()}
	event := sender.askEngine(rpfleet.CheckEngine{Endpoint: "e1", Incarnation: incarnation, Address: netip.MustParseAddrPort(listener.Addr().String())})
	return event.Alive
}

// Guards against evidence against the parts of a request whose engine lives: it is
// too busy for a report, or its entry in the list does not say when it started.
func TestAnsweringEngineHasNotCrashed(t *testing.T) {
	g := NewWithT(t)
	respond := func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	g.Expect(checkAgainst(t, "7", respond(200, `{"born":7}`))).To(BeTrue())
	g.Expect(checkAgainst(t, "", respond(200, `{"born":7}`))).To(BeTrue(), "the incarnation is not known")
	g.Expect(checkAgainst(t, "7", respond(503, ""))).To(BeTrue())
	g.Expect(checkAgainst(t, "7", respond(429, ""))).To(BeTrue())
	g.Expect(checkAgainst(t, "7", "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n")).To(BeTrue(), "a malformed answer")
	g.Expect(checkAgainst(t, "7", respond(200, `{"born":8}`))).To(BeFalse(), "a new incarnation")
	g.Expect(checkAgainst(t, "7", respond(421, ""))).To(BeFalse(), "another engine has the address")
	g.Expect(checkAgainst(t, "7", "")).To(BeFalse())
}
