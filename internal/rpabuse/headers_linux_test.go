package rpabuse

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// headerCallers is the number of callers of each test of headers. Their connections
// alone stay under the bound of descriptors.
const headerCallers = 550

// permittedHeader is a little less than the limit of 16,384 bytes of the
// configuration.
const permittedHeader = 15 << 10

// Guards against header sections whose memory, once they are parsed, is many times
// their length: requests of permitted size with thousands of short or odd lines.
func TestManyHeaderLines(t *testing.T) {
	for name, lines := range map[string]string{
		"different names": shortLines(permittedHeader),
		"one name":        strings.Repeat("a:\r\n", permittedHeader/4),
		"continued lines": "a: b\r\n" + strings.Repeat(" x\r\n", permittedHeader/4),
		"long names":      strings.Repeat(strings.Repeat("n", 200)+":\r\n", permittedHeader/203),
	} {
		t.Run(name, func(t *testing.T) {
			gw := withGateway(t, &rpfake.Endpoint{})
			gw.connect(headerCallers, func(i int, conn net.Conn) {
				sendAll(conn, head("POST", "/place/1", fmt.Sprintf("lines-%d", i), "Content-Length: 2\r\n"), lines, "\r\n1")
			})
			gw.expectWithinBounds()
		})
	}
}

// Guards against memory that is held for header sections that are too large, or
// that never end.
func TestHeaderSectionsWithoutEnd(t *testing.T) {
	const burst = 60 << 10
	for name, part := range map[string]struct{ first, repeated string }{
		"lines":        {head("GET", "/stock/1", "r"), shortLines(6000)},
		"one line":     {head("GET", "/stock/1", "r", "X-Long: "), strings.Repeat("x", 1000)},
		"request line": {"GET /stock/", strings.Repeat("x", 1000)},
		"method":       {"", strings.Repeat("x", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			gw := withGateway(t, &rpfake.Endpoint{})
			gw.connect(headerCallers, func(_ int, conn net.Conn) {
				if sendAll(conn, part.first) {
					sendWithoutEnd(conn, part.repeated, burst)
				}
			})
			gw.expectWithinBounds()
		})
	}
}

// Guards against a header section over the limit of the configuration that is kept
// in memory while its request waits.
func TestHeaderSectionsOverLimit(t *testing.T) {
	gw := withGateway(t, &rpfake.Endpoint{})
	gw.connect(headerCallers, func(i int, conn net.Conn) {
		sendAll(conn, head("POST", "/place/1", fmt.Sprintf("over-%d", i), "Content-Length: 2\r\n"), shortLines(60<<10), "\r\n1")
	})
	gw.expectWithinBounds()
}

// Guards against empty lines without end, before a request and between requests.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	for name, first := range map[string]string{
		"before a request": "",
		"between requests": head("POST", "/place/1", "%d", "Content-Length: 1\r\n") + "\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			gw := withGateway(t, &rpfake.Endpoint{})
			gw.connect(headerCallers, func(i int, conn net.Conn) {
				if sendAll(conn, strings.ReplaceAll(first, "%d", fmt.Sprintf("empty-%d", i))) {
					sendWithoutEnd(conn, strings.Repeat("\r\n", 500), 1<<20)
				}
			})
			gw.expectWithinBounds()
		})
	}
}
