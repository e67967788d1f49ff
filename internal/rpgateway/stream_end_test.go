package rpgateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// Guards against a stream that reaches its caller as complete and empty because its
// engine ended after the head of a response without a length.
func TestUnframedStreamWithoutEventsIsBroken(t *testing.T) {
	const unframedHead = streamHead + "\r\n"
	run := func(body, resumeAfter, version string) (rpfleet.AttemptEnded, bool) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := conn.Read(make([]byte, 2048)); err == nil {
				_, _ = io.WriteString(conn, unframedHead+body)
			}
			_ = conn.Close()
		}()
		began := false
		ended, _ := newTestForwarder(endpointLimits).Run(context.Background(), rpendpoint.ForwardRequest{
			Method: http.MethodPost, Target: "/x", Header: http.Header{},
			Command: rpfleet.StartAttempt{
				Request: "r", Address: listener.Addr().(*net.TCPAddr).AddrPort(), Kind: rpfleet.KindStream,
				Deadline: time.Now().Add(10 * time.Second), ResumeAfter: resumeAfter, Version: version,
			},
		}, rpendpoint.Relay{
			SendHeader: func(int, http.Header) error { return nil }, Write: func([]byte) error { return nil }, OnFirstWrite: func() { began = true },
		})
		return ended, began
	}
	g := NewWithT(t)
	ended, _ := run("", "", "")
	g.Expect(ended.Reason).To(Equal(rpcore.AttemptBroken))
	g.Expect(ended.StoppedAtStart).To(BeTrue())
	g.Expect(ended.ResponseStarted).To(BeFalse(), "the request may be retried")
	ended, _ = run("", "12", "1")
	g.Expect(ended.Reason).To(Equal(rpcore.AttemptBroken), "a resumed stream that crashed looks like one that had no event left")
	ended, began := run(": hello\n\n", "", "")
	g.Expect(ended.Reason).To(Equal(rpcore.AttemptBroken), "a comment is no event")
	g.Expect(ended.StoppedAtStart).To(BeTrue())
	g.Expect(began).To(BeFalse(), "nor the beginning of an answer")
}
