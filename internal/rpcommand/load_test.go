package rpcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpload"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// Guards against flags that don't reach the load generator, and against explicit
// values that a default silently replaces.
func TestLoadArgs(t *testing.T) {
	g := NewWithT(t)
	var got rpload.Config
	program := &Program{Load: func(_ context.Context, args LoadArgs) error { got = args.Config; return nil }}
	const start = "load --target 127.0.0.1:9 --model a/1 --model a/2=3 "
	flags := "--route b/x --rate 5 --duration 1m --arrivals constant --burst 1s,2s,30 --burst 5s,1s,9,urgent --gap 10s,5s " +
		"--wake 2,1s --rank urgent=1,background=4 --timeout 3s --in-progress 7 --retry --idempotency-keys --seed 4"
	g.Expect(withRun(t, program, strings.Fields(start+flags)...)).To(Equal(result{}))
	g.Expect(got.Kinds).To(Equal([]rpload.RequestKind{{Model: "a/1"}, {Model: "a/2", Weight: 3}, {Route: "b/x"}}))
	g.Expect(got.Bursts).To(Equal([]rpload.Burst{
		{Start: time.Second, Duration: 2 * time.Second, Rate: 30},
		{Start: 5 * time.Second, Duration: time.Second, Rate: 9, Rank: rpdocument.RankUrgent},
	}))
	g.Expect(got.Gaps).To(Equal([]rpload.Gap{{Start: 10 * time.Second, Duration: 5 * time.Second}}))
	g.Expect(got.Wakes).To(Equal([]rpload.Wake{{Count: 2, Within: time.Second}}))
	g.Expect(got.Ranks).To(Equal(rpload.RankMix{0, 1, 0, 4}))
	g.Expect(got.Timeouts).To(Equal(rpload.AllTimeouts(3 * time.Second)))
	g.Expect([]any{got.Rate, got.Duration, got.Arrivals, got.InProgressLimit, got.RetryNotRun, got.IdempotencyKeys, got.Seed}).To(Equal(
		[]any{5.0, time.Minute, rpload.Constant, 7, true, true, uint64(4)}))

	for _, flags := range []string{"--max-tokens 0", "--wait 0s", "--in-progress -1", "--model a/3=0", "--model a/1", "--rank low", "--wake 9,1s", "--arrivals x", "--burst 1s"} {
		g.Expect(withRun(t, program, strings.Fields(start+flags)...).code).To(Equal(ExitUsage), flags)
	}
}

// Guards against a report that is not written to the standard output, and against
// a load generator that works only with the in-memory connections of its own
// tests.
func TestRunLoad(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
	}))
	defer server.Close()
	program := &Program{}
	program.Load = program.RunLoad
	args := "load --model a/1 --max-tokens 1 --arrivals constant --rate 50 --duration 200ms --log off --target " + server.Listener.Addr().String()
	got := withRun(t, program, append(strings.Fields(args), "-o", "json")...)
	g.Expect(got.code).To(Equal(ExitDone), got.stderr)
	var report rpload.Report
	g.Expect(json.Unmarshal([]byte(got.stdout), &report)).To(Succeed())
	g.Expect(report.Total.OK).To(BeEquivalentTo(10))
	g.Expect(withRun(t, program, strings.Fields(args)...).stdout).To(ContainSubstring("Requests: 10 planned, 10 due, 10 started, 0 not started, 0 cancelled.\n"))
}
