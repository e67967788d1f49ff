package rpendpoint

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// Guards against an engine that is blamed because it cut off a response that the
// caller did not read, and against a sound caller that is blamed for an engine.
func TestCutAfterSlowWriteIsCallersFault(t *testing.T) {
	for name, c := range map[string]struct {
		took       time.Duration
		callerGone bool
		reason     rpcore.AttemptReason
	}{
		"slow":  {slowWrite, true, rpcore.AttemptCanceled},
		"sound": {slowWrite / 2, false, rpcore.AttemptBroken},
	} {
		for body, kind := range map[string]rpfleet.RouteKind{
			"data: 1\n\ndata: 2":                        rpfleet.KindStream,
			strings.Repeat("x", DefaultBufferedBytes+1): rpfleet.KindIdempotent,
		} {
			t.Run(name+"/"+string(kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					recorder := httptest.NewRecorder()
					if kind == rpfleet.KindStream {
						recorder.Header().Set("Content-Type", typeEventStream)
					}
					resp := recorder.Result()
					resp.Body = io.NopCloser(io.MultiReader(strings.NewReader(body), brokenReader{}))
					resp.ContentLength = -1
					attempt := &forwardAttempt{
						Forwarder: &Forwarder{Limits: Limits{}},
						request:   ForwardRequest{Command: rpfleet.StartAttempt{Address: netip.AddrPort{}, Kind: kind}},
						relay: Relay{
							SendHeader: func(int, http.Header) error { return nil },
							Write: func([]byte) error {
								time.Sleep(c.took)
								return nil
							},
							OnFirstWrite: func() {},
						},
					}
					attempt.limits = attempt.Limits.withDefaults()
					if kind == rpfleet.KindStream {
						attempt.relayStream(context.Background(), resp)
					} else {
						attempt.relayBuffered(context.Background(), resp)
					}
					g.Expect(attempt.ended.Reason).To(Equal(c.reason), attempt.ended.Detail)
					g.Expect(attempt.callerGone).To(Equal(c.callerGone))
				})
			})
		}
	}
}

// brokenReader fails as a connection that was reset.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
