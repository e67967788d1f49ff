package rpmetric

import (
	"net/http/httptest"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Guards against a page docs/metrics.md that differs from the table.
func TestDocs(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/metrics.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(page)).To(Equal(Docs()), "run: go run ./cmd/rattanpaddle docs metrics > docs/metrics.md")
}

// Guards against a refusal code that the label lacks and that is counted as
// "other".
func TestCodes(t *testing.T) {
	g := NewWithT(t)
	g.Expect(refusalCodes).To(HaveLen(rpverdict.CodeCount()))
	for _, code := range refusalCodes {
		g.Expect(rpverdict.Refuse(code, "").Title()).NotTo(BeEmpty(), string(code))
	}
}

// Guards against a number of time series that grows with the names that callers
// send, and against a method that records another metric than its own.
func TestBoundedLabels(t *testing.T) {
	g := NewWithT(t)
	m := New()
	m.RequestEnded(rpdocument.Rank(9), "mixadvies/bag-small")
	m.RequestEnded(rpdocument.RankUrgent, CodeOK)
	m.FirstToken(rpdocument.RankUrgent, 550*time.Millisecond)
	m.AttemptEnded(rpcore.AttemptBroken)
	m.StoreCall("changes", "lease", "lost")
	m.EndpointConnection("none_kept")
	m.SetQueuedRequests(rpdocument.RankNormal, 3)
	m.SetRequestsInProgress(4)
	m.LoadEnded(rpcore.PlaceDisk, rpcore.OrderDone, time.Second)
	m.TableRead(true, time.Millisecond)
	m.TableWrite(rpcore.WriteConflict, time.Millisecond)
	m.PeerMessage("sent", rpcore.PeerMessage{Demand: &rpcore.Demand{}})
	m.PeerMessage("sent", rpcore.PeerMessage{})
	m.ReducerEvent(time.Millisecond)
	m.SubmissionEnded(rpcore.SubmissionConflict)
	m.SetDocumentsInForce(2)
	m.Accounts(16, 700*time.Millisecond, true)
	m.RoutedFirstEvent(12, time.Second)
	m.CallerMemory("body", 5)
	m.CallerConnections("idle", 6)
	m.CallerLimit("evicted", 7)
	m.FirstEventEstimated(PromptLong, EngineBusy, 300*time.Millisecond, 200*time.Millisecond)
	m.FirstEventEstimated("engine-7", EngineFree, time.Second, time.Second)
	m.FirstEventEstimated(PromptShort, EngineFree, time.Second, 0)
	answer := httptest.NewRecorder()
	m.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`rattanpaddle_requests_total{code="other",rank="other"} 1`,
		`rattanpaddle_accounts_in_force 16`,
		`rattanpaddle_config_confirmed_age_seconds 0.7`,
		`rattanpaddle_keys_accepted 1`,
		`rattanpaddle_routed_first_event_seconds_count{rank="other"} 1`,
		`rattanpaddle_first_event_estimate_ratio_sum{engine="busy",prompt="long"} 1.5`,
		`rattanpaddle_first_event_estimate_ratio_bucket{engine="free",prompt="other",le="1"} 1`,
		`rattanpaddle_requests_total{code="ok",rank="urgent"} 1`,
		`rattanpaddle_first_token_seconds_bucket{rank="urgent",le="0.56"} 1`,
		`rattanpaddle_first_token_seconds_bucket{rank="urgent",le="0.4"} 0`,
		`rattanpaddle_attempts_total{reason="broken"} 1`,
		`rattanpaddle_store_calls_total{call="changes",outcome="lost",table="lease"} 1`,
		`rattanpaddle_endpoint_connections_total{connection="none_kept"} 1`,
		`rattanpaddle_queue_requests{rank="normal"} 3`,
		`rattanpaddle_requests_in_progress 4`,
		`rattanpaddle_loads_total{place="disk",result="done"} 1`,
		`rattanpaddle_load_seconds_count{place="disk"} 1`,
		`rattanpaddle_table_operations_total{kind="read",outcome="unavailable"} 1`,
		`rattanpaddle_table_operations_total{kind="write",outcome="conflict"} 1`,
		`rattanpaddle_peer_messages_total{direction="sent",kind="demand"} 1`,
		`rattanpaddle_peer_messages_total{direction="sent",kind="other"} 1`,
		`rattanpaddle_reducer_events_total 1`,
		`rattanpaddle_reducer_seconds_total 0.001`,
		`rattanpaddle_document_submissions_total{result="conflict"} 1`,
		`rattanpaddle_documents_in_force 2`,
		`rattanpaddle_caller_memory_bytes{use="body"} 5`,
		`rattanpaddle_caller_connections{state="idle"} 6`,
		`rattanpaddle_caller_limits_total{cause="evicted"} 7`,
	} {
		g.Expect(answer.Body.String()).To(ContainSubstring(line + "\n"))
	}
	g.Expect(answer.Body.String()).NotTo(ContainSubstring(`prompt="short"`), "there was no estimate")
	new(Metrics).RequestEnded(rpdocument.RankUrgent, CodeOK)
}
