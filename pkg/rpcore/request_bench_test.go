package rpcore

import (
	"fmt"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// BenchmarkRequest measures one request from arrival to completion. There are
// 1,000 models, and all engines serve the requested model.
func BenchmarkRequest(b *testing.B) {
	for _, engines := range []int{100, 1000} {
		for _, waiting := range []int{0, 900} {
			b.Run(fmt.Sprintf("engines=%d/waiting=%d", engines, waiting), func(b *testing.B) {
				benchmarkRequest(b, engines, waiting)
			})
		}
	}
}

func benchmarkRequest(b *testing.B, engines, waiting int) {
	h := withHarness("a", Limits{}, Policy{})
	document := h.documents["kodovac"]
	for i := range 1000 {
		document.Models = append(document.Models, rpdocument.Model{Name: fmt.Sprint("idle", i)})
	}
	for i := range engines {
		e := h.addEngine(fmt.Sprintf("e%04d", i), "m")
		e.FailureDomain = FailureDomain(fmt.Sprint("fd", i%3+1))
	}
	serving := h.serving(ModelKey{Service: "kodovac", Name: "m"})
	h.s.requests.deps.servingEndpoints = func(_ *State, key ModelKey) []*endpoint {
		if key.Name == "m" {
			return serving
		}
		return nil
	}
	for i := range waiting {
		h.arrive(Request{ID: RequestID(fmt.Sprint("w", i)), ModelName: fmt.Sprint("kodovac/idle", i), Timeout: time.Hour})
	}
	ids := make([]RequestID, 1024)
	for i := range ids {
		ids[i] = RequestID(fmt.Sprint("r", i))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		h.now = h.now.Add(time.Microsecond)
		effects := h.s.Reduce(RequestArrived{Stamp: h.stamp(), Request: Request{
			ID: ids[i%len(ids)], ModelName: "kodovac/m", Session: "s", Timeout: time.Minute,
		}})
		var start StartAttempt
		for _, effect := range effects {
			if e, ok := effect.(StartAttempt); ok {
				start = e
			}
		}
		h.s.Reduce(AttemptEnded{
			Stamp: h.stamp(), Attempt: start.Attempt, Request: start.Request,
			Reason: AttemptComplete, Verdict: rpverdict.Ran,
		})
	}
}
