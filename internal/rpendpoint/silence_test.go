package rpendpoint

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// Guards against silence that is reported only once, although the request could
// move later, and against reports after data or after the end of the attempt.
func TestSilenceTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		reports := 0
		timer := &silenceTimer{onSilence: func() { reports++ }}
		wait := func(d time.Duration) int {
			time.Sleep(d)
			synctest.Wait()
			timer.mu.Lock()
			defer timer.mu.Unlock()
			return reports
		}
		timer.reset(time.Second)
		g.Expect(wait(999 * time.Millisecond)).To(Equal(0))
		g.Expect(wait(2*time.Second)).To(Equal(2), "at 1 s and at 2 s")
		timer.reset(time.Second)
		g.Expect(wait(999*time.Millisecond)).To(Equal(2), "the timeout starts anew")
		timer.reset(3 * time.Second)
		g.Expect(wait(2*time.Second)).To(Equal(2), "the new timeout is longer")
		g.Expect(wait(2 * time.Second)).To(Equal(3))
		timer.reset(0)
		g.Expect(wait(time.Minute)).To(Equal(3))
	})
}

// Guards against a report that runs while data is passed on, or after reset has
// returned: the reducer would move a request that has an answer.
func TestSilenceTimerDoesNotOverlapReset(t *testing.T) {
	g := NewWithT(t)
	var running, overlaps atomic.Int32
	timer := &silenceTimer{onSilence: func() {
		running.Add(1)
		time.Sleep(10 * time.Microsecond)
		running.Add(-1)
	}}
	for range 500 {
		timer.reset(20 * time.Microsecond)
		time.Sleep(20 * time.Microsecond)
		timer.reset(0)
		overlaps.Add(running.Load())
	}
	g.Expect(overlaps.Load()).To(BeZero())
}

func withForwarder(t *testing.T) *Forwarder {
	t.Helper()
	f := &Forwarder{
		SetHeaders: func(http.Header, rpfleet.StartAttempt, time.Duration) {},
		ReadHead:   func(*http.Response) rpfleet.ResponseHead { return rpfleet.ResponseHead{Signed: true} },
	}
	t.Cleanup(f.Close)
	return f
}

// Guards against a response that is cut because its endpoint was given up for silence
// just as the response arrived: once it has started, it can't be retried.
func TestSilentResponseDoesNotStart(t *testing.T) {
	g := NewWithT(t)
	silent := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-silent
		_, _ = io.WriteString(w, strings.Repeat("x", 2*DefaultBufferedBytes))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	started := false
	ended, _ := withForwarder(t).Run(ctx, ForwardRequest{
		Method: http.MethodGet, Target: "/x", Header: http.Header{},
		Command: rpfleet.StartAttempt{
			Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), Kind: rpfleet.KindIdempotent, Repeatable: true,
			Deadline: time.Now().Add(20 * time.Second), FirstTimeout: 50 * time.Millisecond,
		},
	}, Relay{
		SendHeader: func(int, http.Header) error {
			started = true
			return nil
		},
		Write: func([]byte) error { return nil },
		OnSilence: func(bool) {
			select {
			case <-silent:
			default:
				close(silent)
				// The buffer fills meanwhile.
				time.Sleep(100 * time.Millisecond)
				cancel(ErrEndpointSilent)
			}
		},
	})
	g.Expect(ended.Reason).To(Equal(rpcore.AttemptTimedOut), ended.Detail)
	g.Expect(ended.ResponseStarted).To(BeFalse())
	g.Expect(started).To(BeFalse())
}
