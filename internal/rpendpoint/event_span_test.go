package rpendpoint

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against events that are not counted, and against a span that contains the time
// before the first event: an engine would seem slower while it queues.
func TestAttemptReportsItsEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		body, events := io.Pipe()
		go func() {
			for _, pause := range []time.Duration{time.Second, 30 * time.Millisecond, 50 * time.Millisecond} {
				time.Sleep(pause)
				_, _ = io.WriteString(events, "id: 1\ndata: a\n\n")
			}
			time.Sleep(time.Second)
			_ = events.Close()
		}()
		attempt := &forwardAttempt{Forwarder: withForwarder(t), relay: Relay{
			SendHeader:   func(int, http.Header) error { return nil },
			Write:        func([]byte) error { return nil },
			OnFirstWrite: func() {},
		}}
		attempt.limits = attempt.Limits.withDefaults()
		attempt.relayStream(t.Context(), &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body})
		g.Expect(attempt.ended.Events).To(Equal(3))
		g.Expect(attempt.ended.EventSpan).To(Equal(80 * time.Millisecond))
		g.Expect(attempt.ended.LongestPause).To(Equal(50 * time.Millisecond))
	})
}
