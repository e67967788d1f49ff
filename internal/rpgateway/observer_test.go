package rpgateway

import (
	"io"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpmetric"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

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
