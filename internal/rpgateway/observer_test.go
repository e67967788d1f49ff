package rpgateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpmetric"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// Guards against estimates that are not recorded, or under the labels of others.
func TestObserverRecordsEstimates(t *testing.T) {
	g := NewWithT(t)
	metrics := rpmetric.New()
	observe := newObserver(rplog.New(io.Discard, rplog.FormatJSON, rplog.Levels{}), metrics)
	observe.firstEventEstimated(rpfleet.FirstEventEstimate{Expected: 200 * time.Millisecond, LongPrompt: true}, 300*time.Millisecond)
	observe.firstEventEstimated(rpfleet.FirstEventEstimate{Expected: 20 * time.Millisecond, BusyEngine: true}, 40*time.Millisecond)
	observe.firstEventEstimated(rpfleet.FirstEventEstimate{}, time.Second)
	answer := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	body := answer.Body.String()
	g.Expect(body).To(ContainSubstring(`rattanpaddle_first_event_estimate_ratio_sum{engine="free",prompt="long"} 1.5`))
	g.Expect(body).To(ContainSubstring(`rattanpaddle_first_event_estimate_ratio_sum{engine="busy",prompt="short"} 2`))
	g.Expect(body).NotTo(ContainSubstring(`engine="free",prompt="short"`))
}

// BenchmarkNote measures the CPU time of the most frequent log line: an attempt
// that ended.
func BenchmarkNote(b *testing.B) {
	for _, levels := range []string{"info", "warn"} {
		b.Run(levels, func(b *testing.B) {
			parsed, err := rplog.ParseLevels(levels)
			if err != nil {
				b.Fatal(err)
			}
			log, closeLog := rplog.NewNonBlocking(io.Discard, rplog.FormatJSON, parsed, nil)
			defer func() { _ = closeLog() }()
			observe := newObserver(log, rpmetric.New())
			note := rpfleet.Note{Part: "requests", Request: "0123456789abcdef", Text: "an attempt ended", Fields: []rpfleet.Field{
				{Name: "attempt", Value: 1},
				{Name: "endpoint", Value: "engine-praha-b-2"},
				{Name: "reason", Value: "complete"},
				{Name: "verdict", Value: "ran"},
				{Name: "took", Value: 812 * time.Millisecond},
				{Name: "since_arrival", Value: 815 * time.Millisecond},
				{Name: "first_event", Value: 92 * time.Millisecond},
				{Name: "longest_pause", Value: 61 * time.Millisecond},
				{Name: "last_event", Value: "41"},
				{Name: "route", Value: "r-uveukqu"},
			}}
			b.ReportAllocs()
			for b.Loop() {
				observe.logNote(note)
			}
		})
	}
}
