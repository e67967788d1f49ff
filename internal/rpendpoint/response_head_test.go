package rpendpoint_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// withResponse serves connections that all get the same bytes.
func withResponse(t *testing.T, response string) netip.AddrPort {
	t.Helper()
	return withRawServer(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, response)
	})
}

// malformedHeads are heads of responses that are not HTTP/1.
var malformedHeads = map[string]string{
	"status 000":           "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 099":           "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
	"signed status":        "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\nok",
	"blank in a name":      "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\nok",
	"blank in the length":  "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok",
	"blank after a name":   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
	"blank after encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"tab in a name":        "HTTP/1.1 200 OK\r\nX\tA: b\r\nContent-Length: 2\r\n\r\nok",
	"control byte in name": "HTTP/1.1 200 OK\r\nX\x01A: b\r\nContent-Length: 2\r\n\r\nok",
	"NUL in a name":        "HTTP/1.1 200 OK\r\nX\x00: b\r\nContent-Length: 2\r\n\r\nok",
	"NUL in a value":       "HTTP/1.1 200 OK\r\nX-A: b\x00\r\nContent-Length: 2\r\n\r\nok",
	"CR in a value":        "HTTP/1.1 200 OK\r\nX-A: b\rX-B: c\r\nContent-Length: 2\r\n\r\nok",
	"empty name":           "HTTP/1.1 200 OK\r\n: b\r\nContent-Length: 2\r\n\r\nok",
	"another protocol":     "HTTP/3.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
}

// Guards against a response with a malformed head that a caller gets as an answer, with
// the malformed line or with a body that is not the endpoint's.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, response := range malformedHeads {
		for _, kind := range []rpfleet.RouteKind{rpfleet.KindIdempotent, rpfleet.KindNonIdempotent, rpfleet.KindStream} {
			t.Run(fmt.Sprint(name, ", kind ", kind), func(t *testing.T) {
				g := NewWithT(t)
				got := runForwarder(t, withResponse(t, response), kind, nil)
				g.Expect(got.Reason).To(Equal(rpcore.AttemptBroken), got.Detail)
				g.Expect(got.Verdict).To(Equal(rpverdict.MayHaveRun))
				g.Expect(got.status).To(BeZero())
				g.Expect(got.body).To(BeEmpty())
			})
		}
	}
}

// Guards against a malformed response to an order or a report that counts as its answer.
func TestMalformedHeadAnswersNoOrder(t *testing.T) {
	for name, response := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			req, err := http.NewRequest(http.MethodPost, "http://"+withResponse(t, response).String()+"/order", strings.NewReader("load"))
			g.Expect(err).NotTo(HaveOccurred())
			var forward rpendpoint.Forwarder
			_, _, verdict, err := forward.Send(req, nil)
			g.Expect(err).To(HaveOccurred())
			g.Expect(verdict).To(Equal(rpverdict.MayHaveRun))
		})
	}
}

// Guards against a check of heads that rejects sound ones.
func TestUnusualHeadIsResponse(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200\r\nContent-Length:2\r\n\r\nok",
		"HTTP/1.0 200 OK\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~9: \xfcber\tb \r\nContent-Length: \t2 \t\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\nX-Empty:\nContent-Length: 2\n\nok",
	} {
		g := NewWithT(t)
		got := runForwarder(t, withResponse(t, response), rpfleet.KindIdempotent, nil)
		g.Expect(got.Reason).To(Equal(rpcore.AttemptComplete), "%q: %s", response, got.Detail)
		g.Expect(got.body).To(Equal("ok"), "%q", response)
	}
}
