package rpabuse

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// Guards against connections without a request that take all descriptors.
func TestSilentConnections(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":                "",
		"a part of a line":       "GE",
		"a part of a header":     head("GET", "/stock/1", "r"),
		"a request, and nothing": head("POST", "/place/1", "%d", "Content-Length: 1\r\n") + "\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			gw := withGateway(t, &rpfake.Endpoint{})
			gw.connect(1500, func(i int, conn net.Conn) {
				sendAll(conn, strings.ReplaceAll(text, "%d", fmt.Sprintf("silent-%d", i)))
			})
			gw.expectWithinBounds()
		})
	}
}

// Guards against requests that are held in memory because their callers don't read
// the responses.
func TestPipelinedRequestsWithoutReader(t *testing.T) {
	const length = 3 << 20
	body := strings.Repeat("x", length)
	gw := withGateway(t, &rpfake.Endpoint{})
	gw.connect(60, func(i int, conn net.Conn) {
		shrinkReadBuffer(conn)
		for n := range 4 {
			id := fmt.Sprintf("pipelined-%d-%d", i, n)
			if !sendAll(conn, head("POST", "/place/1", id, fmt.Sprintf("Content-Length: %d\r\n", length)), "\r\n", body) {
				return
			}
		}
	})
	gw.expectWithinBounds()
}

// Guards against streams whose callers read one byte a second while the endpoint
// sends events as fast as it can.
func TestSlowReadersOfStreams(t *testing.T) {
	gw := withGateway(t, &rpfake.Endpoint{Events: 100000, EventBytes: 8 << 10})
	gw.connect(320, func(i int, conn net.Conn) {
		shrinkReadBuffer(conn)
		id := fmt.Sprintf("stream-%d", i)
		headers := []string{rpfake.HeaderModel + ": m0\r\n", "Content-Length: 1\r\n"}
		if sendAll(conn, head("POST", "/tips/1", id, headers...), "\r\nx") {
			readSlowly(conn)
		}
	})
	gw.expectWithinBounds()
}

// Guards against large responses whose callers read one byte a second, from an
// endpoint that sends as fast as it can.
func TestSlowReadersOfLargeResponses(t *testing.T) {
	endpoint := &rpfake.Endpoint{Fault: func(r *http.Request) rpfake.EndpointFault {
		return rpfake.EndpointFault{Endless: strings.HasPrefix(r.URL.Path, "/stock/")}
	}}
	gw := withGateway(t, endpoint)
	gw.connect(320, func(i int, conn net.Conn) {
		shrinkReadBuffer(conn)
		if sendAll(conn, head("GET", "/stock/1", fmt.Sprintf("large-%d", i)), "\r\n") {
			readSlowly(conn)
		}
	})
	gw.expectWithinBounds()
}
