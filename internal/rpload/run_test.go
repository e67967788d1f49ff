package rpload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// withRun runs the load generator and expects that the report counts every request
// exactly once.
func withRun(ctx context.Context, t *testing.T, cfg Config) Report {
	t.Helper()
	g := NewWithT(t)
	report, err := Run(ctx, cfg)
	g.Expect(err).NotTo(HaveOccurred())
	results := int64(0)
	for _, row := range report.Total.Results {
		results += row.Count
	}
	g.Expect(results).To(Equal(report.StartedRequests))
	g.Expect(report.StartedRequests + report.NotStartedRequests).To(Equal(report.DueRequests))
	g.Expect(report.DueRequests + report.CancelledRequests).To(Equal(report.PlannedRequests))
	return report
}

func resultCounts(report Report) map[Result]int64 {
	rows := map[Result]int64{}
	for _, row := range report.Total.Results {
		rows[row.Result] = row.Count
	}
	return rows
}

// Guards against coordinated omission. A stall of the server for 2 s must raise the
// latency of every request that was due meanwhile, and must not delay the sending
// of any request.
func TestStalledServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var arrived atomic.Int64
		start := time.Now()
		cfg := withServer(t, func(w http.ResponseWriter, _ *http.Request) {
			arrived.Add(1)
			if since := time.Since(start); since >= 4*time.Second && since < 6*time.Second {
				time.Sleep(6*time.Second - since)
			}
			writeTokens(w, 3)
			writeDone(w)
		})
		report := withRun(t.Context(), t, cfg)
		g.Expect(arrived.Load()).To(BeEquivalentTo(100))
		g.Expect(report.StartLag.Max).To(BeZero())
		first := report.Total.FirstToken
		g.Expect(first.P50).To(BeNumerically("~", 20, 0.1))
		g.Expect(first.P90).To(BeNumerically("~", 1020, 2), "a tenth of the requests waited longer than 1 s")
		g.Expect(first.Max).To(BeEquivalentTo(2020))
		g.Expect(report.Total.BetweenTokens.Count).To(BeEquivalentTo(200))
		g.Expect(report.Total.BetweenTokens.Max).To(BeEquivalentTo(20))
	})
}

// Guards against latencies that are measured from the time of sending: they would
// hide the delay of a generator that is behind its schedule.
func TestLateGenerator(t *testing.T) {
	g := NewWithT(t)
	due := time.Unix(0, 0)
	var c cell
	c.add(finishedRequest{due: due, outcome: outcome{
		result: resultOK, sent: due.Add(3 * time.Second), firstToken: due.Add(4 * time.Second), end: due.Add(5 * time.Second),
	}})
	group := c.group("x")
	g.Expect(c.startLag.latency().Max).To(BeEquivalentTo(3000))
	g.Expect(group.FirstToken.P50).To(BeEquivalentTo(4000))
	g.Expect(group.WholeAnswer.P50).To(BeEquivalentTo(5000))
}

// Guards against an incomplete answer that is counted as complete, and against
// results with a wrong code or verdict.
func TestResults(t *testing.T) {
	may, not := rpverdict.MayHaveRun, rpverdict.NotRun
	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		want    Result
	}{
		"complete":  {func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 3); writeDone(w) }, resultOK},
		"no done":   {func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 3) }, resultIncomplete},
		"too short": {func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 2); writeDone(w) }, Result{CodeWrongTokenCount, rpverdict.Ran}},
		"too long":  {func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 4); writeDone(w) }, Result{CodeWrongTokenCount, rpverdict.Ran}},
		"stopped": {func(w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, 2)
			_, _ = fmt.Fprint(w, "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n")
			writeDone(w)
		}, resultOK},
		"cut off": {func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 2); panic(http.ErrAbortHandler) }, resultIncomplete},
		"lost":    {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, Result{CodeConnectionLost, may}},
		"error event": {func(w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, 1)
			_, _ = fmt.Fprint(w, "event: error\ndata: {\"code\":\"stream_broken\",\"verdict\":\"may_have_run\"}\n\n")
		}, Result{"stream_broken", may}},
		"refused":    {func(w http.ResponseWriter, _ *http.Request) { writeRefusal(w, 429, "queue_full", "not_run") }, Result{"queue_full", not}},
		"no verdict": {func(w http.ResponseWriter, _ *http.Request) { writeRefusal(w, 429, "queue_full", "") }, resultMalformed},
		"no problem": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, Result{"http_500", may}},
		"no stream":  {func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "{}") }, resultMalformed},
		"after done": {func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 3); writeDone(w); writeTokens(w, 1) }, resultMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				report := withRun(t.Context(), t, withServer(t, tc.handler))
				NewWithT(t).Expect(resultCounts(report)).To(Equal(map[Result]int64{tc.want: 100}))
			})
		})
	}
}

// Guards against an answer with unexpected tokens, such as one to another request,
// that is counted as ok.
func TestExpectedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := withServer(t, func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 3); writeDone(w) })
		cfg.Expect = func(r Request) []string {
			return map[uint64][]string{0: {"t0", "t1", "t2"}, 1: {"t0", "x", "t2"}, 2: {"t0", "t1", "t2", "t3"}}[r.Arrival.Seq]
		}
		NewWithT(t).Expect(resultCounts(withRun(t.Context(), t, cfg))).To(Equal(map[Result]int64{resultOK: 98, {CodeWrongAnswer, rpverdict.Ran}: 2}))
	})
}

// Guards against requests that are dropped without being counted when too many are
// in progress, and against requests that are never cancelled.
func TestLimitAndPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cfg := withServer(t, func(_ http.ResponseWriter, r *http.Request) { waitForCaller(r) })
		cfg.InProgressLimit, cfg.Timeouts, cfg.Patience = 5, AllTimeouts(time.Second), 3500*time.Millisecond
		report := withRun(t.Context(), t, cfg)
		g.Expect(report.StartedRequests).To(BeEquivalentTo(15))
		g.Expect(report.NotStartedRequests).To(BeEquivalentTo(85))
		g.Expect(resultCounts(report)).To(Equal(map[Result]int64{{CodeNoAnswer, rpverdict.MayHaveRun}: 15}))
		g.Expect(report.Total.MaxLateness).To(BeEquivalentTo(3500))
	})
}

// Guards against refusals after the deadline that are not counted as late.
func TestLateRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var n atomic.Int64
		cfg := withServer(t, func(w http.ResponseWriter, r *http.Request) {
			g.Expect(r.Header.Get("Rattan-Timeout")).To(Equal("1s"))
			time.Sleep(1040 * time.Millisecond) // Within the allowance of 50 ms.
			if n.Add(1) <= 30 {
				time.Sleep(60 * time.Millisecond)
			}
			writeRefusal(w, 504, "deadline_exceeded", "not_run")
		})
		cfg.Timeouts = AllTimeouts(time.Second)
		report := withRun(t.Context(), t, cfg)
		g.Expect(report.Total.LateRefusals).To(BeEquivalentTo(30))
		g.Expect(report.Total.MaxLateness).To(BeEquivalentTo(100))
		g.Expect(report.Total.Results[0].WithRetryAfter).To(BeEquivalentTo(100))
	})
}

// Guards against an interruption that loses the measurements, cancels requests
// before Config.Wait has passed, or waits without a limit.
func TestInterruption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var n atomic.Int64
		cfg := withServer(t, func(w http.ResponseWriter, r *http.Request) {
			if n.Add(1) <= 10 {
				waitForCaller(r)
				return
			}
			time.Sleep(2 * time.Second)
			writeTokens(w, 3)
			writeDone(w)
		})
		cfg.Wait = 5 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), 4950*time.Millisecond)
		defer cancel()
		report := withRun(ctx, t, cfg)
		g.Expect(report.Interrupted).To(BeTrue())
		g.Expect(report.CancelledRequests).To(BeEquivalentTo(50))
		g.Expect(report.ElapsedSeconds).To(BeNumerically("~", 9.95, 0.001))
		g.Expect(resultCounts(report)).To(Equal(map[Result]int64{resultOK: 40, {CodeUnfinished, rpverdict.MayHaveRun}: 10}))
	})
}

// Guards against a target that never gets a request, against a retry after a result
// that leaves open whether the request ran, and against a first result that is lost
// although there was no retry.
func TestTargets(t *testing.T) {
	closed := netip.MustParseAddrPort("127.0.0.1:10")
	for _, tc := range []struct {
		retry   bool
		code    string
		verdict string
		want    map[Result]int64
	}{
		{false, "draining", "not_run", map[Result]int64{{"draining", rpverdict.NotRun}: 50, {CodeConnectionRefused, rpverdict.NotRun}: 50}},
		{true, "ok", "", map[Result]int64{resultOK: 100}},
		{true, "queue_full", "not_run", map[Result]int64{{"queue_full", rpverdict.NotRun}: 100}},
		{true, "draining", "may_have_run", map[Result]int64{{"draining", rpverdict.MayHaveRun}: 100}},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			cfg := withServer(t, func(w http.ResponseWriter, _ *http.Request) {
				if tc.code != "ok" {
					writeRefusal(w, 503, tc.code, tc.verdict)
					return
				}
				writeTokens(w, 3)
				writeDone(w)
			})
			cfg.Targets = append(cfg.Targets, closed)
			cfg.RetryNotRun = tc.retry
			dial := cfg.Dial
			cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if address == closed.String() {
					return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
				}
				return dial(ctx, network, address)
			}
			report := withRun(t.Context(), t, cfg)
			g.Expect(resultCounts(report)).To(Equal(tc.want))
			g.Expect(report.Total.Retries).To(BeEquivalentTo(map[bool]int64{true: 50}[tc.retry]))
		})
	}
}

// Guards against requests to plain services that are sent twice, and against
// requests that don't follow the callers' interface.
func TestRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var mu sync.Mutex
		keys := map[string]int{}
		cfg := withServer(t, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			mu.Lock()
			defer mu.Unlock()
			keys[r.Header.Get("Idempotency-Key")]++
			g.Expect(r.Header.Get("Rattan-Rank")).To(Equal("urgent"))
			g.Expect(r.Header.Get("Authorization")).To(Equal("Bearer secret"))
			if r.URL.Path == "/services/b/orders" {
				panic(http.ErrAbortHandler) // net/http must not send it again.
			}
			g.Expect(r.URL.Path).To(Equal("/v1/chat/completions"))
			g.Expect(string(body)).To(MatchRegexp(`^{"model":"a/1","messages":\[{"role":"user","content":"request\d+ w.*"}\],"max_tokens":3,"stream":true}$`))
			writeTokens(w, 3)
			writeDone(w)
		})
		cfg.Kinds = append(cfg.Kinds, RequestKind{Route: "b/orders"})
		cfg.Ranks[rpdocument.RankUrgent] = 1
		cfg.IdempotencyKeys, cfg.Credential = true, "secret"
		withRun(t.Context(), t, cfg)
		g.Expect(keys).To(HaveLen(100))
		g.Expect(keys).To(HaveEach(1))
	})
}

// Guards against unintended changes to the format of the report, and against
// requests that are counted in the wrong phase or rank. All times are exact,
// because the test runs in a synctest bubble.
func TestReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cfg := withServer(t, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			switch {
			case r.Header.Get("Rattan-Rank") == "background":
				writeRefusal(w, 429, "queue_full", "not_run")
				return
			case strings.Contains(string(body), `"a/1"`):
				time.Sleep(time.Second)
			}
			writeTokens(w, 3)
			writeDone(w)
		})
		cfg.Kinds = append(cfg.Kinds, RequestKind{Model: "a/2"}, RequestKind{Model: "a/3"})
		cfg.Ranks = RankMix{0, 1, 0, 1}
		cfg.Bursts = []Burst{{Start: 2 * time.Second, Duration: time.Second, Rate: 40, Rank: rpdocument.RankNormal}}
		cfg.Wakes = []Wake{{Count: 1, Within: time.Second, Start: 5 * time.Second, Rank: rpdocument.RankUrgent}}
		cfg.Timeouts = AllTimeouts(time.Minute)
		report := withRun(t.Context(), t, cfg)
		got, err := json.MarshalIndent(report, "", "  ")
		g.Expect(err).NotTo(HaveOccurred())
		expectGolden(g, "_fixtures/report.json", string(got)+"\n")
		expectGolden(g, "_fixtures/report.txt", report.Text())
	})
}

// expectGolden compares a text with a fixture. With RATTANPADDLE_UPDATE=1 it writes
// the fixture.
func expectGolden(g Gomega, file, text string) {
	if os.Getenv("RATTANPADDLE_UPDATE") == "1" {
		g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(string(want)), "if this is meant: RATTANPADDLE_UPDATE=1 go test ./internal/rpload -run TestReport")
}
