package rpabuse

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// Guards against bodies of permitted size that together take more memory than there
// is. Most of them stop one byte short of their end.
func TestManyLargeBodies(t *testing.T) {
	body := strings.Repeat("x", maxBodyBytes-1)
	t.Run("with a length", func(t *testing.T) {
		gw := withGateway(t, &rpfake.Endpoint{})
		gw.connect(60, func(i int, conn net.Conn) {
			length := fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes)
			sent := sendAll(conn, head("POST", "/place/1", fmt.Sprintf("body-%d", i), length), "\r\n", body)
			if sent && i%10 == 0 {
				sendAll(conn, "x")
			}
		})
		gw.expectWithinBounds()
	})
	t.Run("in chunks of one byte", func(t *testing.T) {
		chunks := strings.Repeat("1\r\nx\r\n", maxBodyBytes-1)
		gw := withGateway(t, &rpfake.Endpoint{})
		gw.connect(40, func(i int, conn net.Conn) {
			sent := sendAll(conn, head("POST", "/place/1", fmt.Sprintf("chunks-%d", i), "Transfer-Encoding: chunked\r\n"), "\r\n", chunks)
			if sent && i%10 == 0 {
				sendAll(conn, "1\r\nx\r\n0\r\n\r\n")
			}
		})
		gw.expectWithinBounds()
	})
	t.Run("in one chunk", func(t *testing.T) {
		gw := withGateway(t, &rpfake.Endpoint{})
		gw.connect(60, func(i int, conn net.Conn) {
			sendAll(conn, head("POST", "/place/1", fmt.Sprintf("chunk-%d", i), "Transfer-Encoding: chunked\r\n"), fmt.Sprintf("\r\n%x\r\n", maxBodyBytes), body)
		})
		gw.expectWithinBounds()
	})
}

// Guards against a declared length that is allocated before the body has arrived.
func TestDeclaredLengthsOnly(t *testing.T) {
	gw := withGateway(t, &rpfake.Endpoint{})
	gw.connect(400, func(i int, conn net.Conn) {
		sendAll(conn, head("POST", "/place/1", fmt.Sprintf("declared-%d", i), fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes)), "\r\nx")
	})
	gw.expectWithinBounds()
}

// Guards against the parts of a chunked body that are not its data and have no
// bound of their own.
func TestChunkPartsWithoutEnd(t *testing.T) {
	for name, part := range map[string]struct{ first, repeated string }{
		"chunk size":       {"", strings.Repeat("0", 1000)},
		"chunk extension":  {"1;", strings.Repeat("x", 1000)},
		"chunk extensions": {"", "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"trailers":         {"1\r\nx\r\n0\r\n", "X-Trailer: " + strings.Repeat("x", 80) + "\r\n"},
		"short trailers":   {"1\r\nx\r\n0\r\n", shortLines(6000)},
		"trailer line":     {"1\r\nx\r\n0\r\nX-Trailer: ", strings.Repeat("x", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			gw := withGateway(t, &rpfake.Endpoint{})
			gw.connect(200, func(i int, conn net.Conn) {
				if sendAll(conn, head("POST", "/place/1", fmt.Sprintf("parts-%d", i), "Transfer-Encoding: chunked\r\n"), "\r\n", part.first) {
					sendWithoutEnd(conn, part.repeated, 1<<20)
				}
			})
			gw.expectWithinBounds()
		})
	}
}

// Guards against bodies that are held for an endpoint that does not read them.
func TestEndpointReadsSlowly(t *testing.T) {
	body := strings.Repeat("x", maxBodyBytes)
	endpoint := &rpfake.Endpoint{ReadBody: func(r *http.Request) ([]byte, error) {
		if r.ContentLength == int64(len(ordinaryBody)) {
			return []byte(ordinaryBody), nil
		}
		<-r.Context().Done()
		return nil, r.Context().Err()
	}}
	gw := withGateway(t, endpoint)
	gw.connect(60, func(i int, conn net.Conn) {
		sendAll(conn, head("POST", "/place/1", fmt.Sprintf("held-%d", i), fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes)), "\r\n", body)
	})
	gw.expectWithinBounds()
}

// Guards against a request that is refused before its body has come and keeps its
// connection for as long as the caller sends nothing more.
func TestRefusedRequestsWithoutBody(t *testing.T) {
	for name, headers := range map[string][]string{
		"invalid header":  {rpfake.HeaderTokenCounts + ": x\r\n", "Content-Length: 200000\r\n"},
		"body too large":  {fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes+1)},
		"repeated length": {"Content-Length: 1\r\n", "Content-Length: 1\r\n", rpfake.HeaderTokenCounts + ": x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			gw := withGateway(t, &rpfake.Endpoint{})
			gw.connect(300, func(i int, conn net.Conn) {
				sendAll(conn, head("POST", "/place/1", fmt.Sprintf("refused-%d", i), headers...), "\r\n")
			})
			gw.expectWithinBounds()
		})
	}
}
