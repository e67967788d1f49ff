package rpendpoint

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// streamResult is the result of runStream: what the caller got, and how the attempt ended.
type streamResult struct {
	rpfleet.AttemptEnded
	status int
	body   string
}

// runStream runs an attempt at a stream that handler answers. onSilence may be nil.
func runStream(t *testing.T, handler http.HandlerFunc, cmd rpfleet.StartAttempt, onSilence func(bool)) streamResult {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	cmd.Request, cmd.Address, cmd.Kind = "r", netip.MustParseAddrPort(server.Listener.Addr().String()), rpfleet.KindStream
	cmd.Repeatable, cmd.Deadline = true, time.Now().Add(time.Minute)
	var result streamResult
	var body strings.Builder
	result.AttemptEnded, _ = withForwarder(t).Run(t.Context(), ForwardRequest{
		Method: http.MethodPost, Target: "/", Header: http.Header{}, Command: cmd,
	}, Relay{
		SendHeader: func(status int, _ http.Header) error {
			result.status = status
			return nil
		},
		Write: func(p []byte) error {
			_, err := body.Write(p)
			return err
		},
		OnFirstWrite: func() {},
		OnSilence:    onSilence,
	})
	result.body = body.String()
	return result
}

// Guards against a response that is appended to a stream which has begun in an earlier
// attempt although it does not continue the stream: an error page of the next engine
// ended the stream as a complete success.
func TestOnlyEventsContinueStream(t *testing.T) {
	for _, c := range []struct {
		name, contentType, body string
		status                  int
	}{
		{"error page", "application/json", `{"error":"out of memory"}`, http.StatusInternalServerError},
		{"error page with events", "text/event-stream", "data: error\n\n", http.StatusInternalServerError},
		{"not found", "text/plain", "no such stream", http.StatusNotFound},
		{"redirect", "text/plain", "", http.StatusSeeOther},
		{"no content", "", "", http.StatusNoContent},
		{"empty page", "text/plain", "", http.StatusOK},
		{"page", "text/html", "<p>\n\n</p>\n\n", http.StatusOK},
	} {
		for _, version := range []string{"", "1"} {
			t.Run(fmt.Sprintf("%s, version %q", c.name, version), func(t *testing.T) {
				g := NewWithT(t)
				ended := runStream(t, func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Type", c.contentType)
					w.WriteHeader(c.status)
					_, _ = io.WriteString(w, c.body)
				}, rpfleet.StartAttempt{ResumeAfter: "5", Version: version, ResponseStarted: true}, nil)
				g.Expect(ended.body).To(BeEmpty())
				g.Expect(ended.Reason).To(Equal(rpcore.AttemptFailed), ended.Detail)
				g.Expect(ended.Verdict).To(Equal(rpverdict.MayHaveRun))
			})
		}
	}
}

// Guards against a failure that is withheld from a caller who resumes a stream: nothing
// of this response has reached the caller yet.
func TestFailureOfCallerResumedStreamIsRelayed(t *testing.T) {
	g := NewWithT(t)
	ended := runStream(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "out of memory", http.StatusInternalServerError)
	}, rpfleet.StartAttempt{ResumeAfter: "5", Version: "1"}, nil)
	g.Expect(ended.Reason).To(Equal(rpcore.AttemptComplete), ended.Detail)
	g.Expect(ended.status).To(Equal(http.StatusInternalServerError))
	g.Expect(ended.body).To(Equal("out of memory\n"))
}

// Guards against a stream without ids that leaves its engine, crashed or silent, although
// no other one can resume it. Comments are no events, and ids of an earlier attempt don't
// count.
func TestStreamWithoutEventIDsIsUnresumable(t *testing.T) {
	for body, unresumable := range map[string]bool{
		"data: a\n\n":                   true,
		": hello\n\ndata: a\n\n":        true,
		"id: 6\ndata: a\n\n":            false,
		"data: a\n\nid: 7\ndata: b\n\n": false,
		": hello\n\n":                   false,
	} {
		t.Run(body, func(t *testing.T) {
			g := NewWithT(t)
			var silences atomic.Int32
			ended := runStream(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", typeEventStream)
				w.Header().Set("Content-Length", "4096")
				_, _ = io.WriteString(w, body)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(200 * time.Millisecond)
			}, rpfleet.StartAttempt{ResumeAfter: "5", ResponseStarted: true, EventTimeout: 20 * time.Millisecond}, func(reported bool) {
				silences.Add(1)
				g.Expect(reported).To(Equal(unresumable))
			})
			g.Expect(ended.Reason).To(Equal(rpcore.AttemptBroken), ended.Detail)
			g.Expect(ended.Unresumable).To(Equal(unresumable))
			if strings.Contains(body, "data:") {
				g.Expect(silences.Load()).To(BeNumerically(">", 0))
			}
		})
	}
}

// Guards against an endpoint that sends a resumed stream from its start: the caller has
// these events already.
func TestRepeatedEventsDoNotContinueStream(t *testing.T) {
	for _, c := range []struct {
		name, body string
		started    bool
		reason     rpcore.AttemptReason
	}{
		{"from the start", "id: 1\ndata: a\n\n", true, rpcore.AttemptFailed},
		{"last event again", "id: 12\ndata: a\n\nid: 13\ndata: b\n\n", true, rpcore.AttemptFailed},
		{"from the start, after a comment", ": hello\n\nid: 1\ndata: a\n\n", true, rpcore.AttemptFailed},
		{"next event", "id: 13\ndata: a\n\n", true, rpcore.AttemptComplete},
		{"ids without order", "id: a1\ndata: a\n\n", true, rpcore.AttemptComplete},
		{"resumed by the caller", "id: 1\ndata: a\n\n", false, rpcore.AttemptComplete},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ended := runStream(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", typeEventStream)
				for event := range strings.SplitAfterSeq(c.body, "\n\n") {
					_, _ = io.WriteString(w, event)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(20 * time.Millisecond)
				}
			}, rpfleet.StartAttempt{ResumeAfter: "12", ResponseStarted: c.started}, nil)
			g.Expect(ended.Reason).To(Equal(c.reason), ended.Detail)
			if c.reason == rpcore.AttemptComplete {
				g.Expect(ended.body).To(Equal(c.body))
				return
			}
			g.Expect(ended.body).NotTo(ContainSubstring("data:"))
			g.Expect(ended.Verdict).To(Equal(rpverdict.MayHaveRun))
		})
	}
}
