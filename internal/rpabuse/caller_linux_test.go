package rpabuse

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// sendTimeout limits the time for which an untrusted caller sends. A process that
// reads nothing more from a caller blocks it for that long.
const sendTimeout = 6 * time.Second

// connect opens n connections, calls use for each of them at once and waits until
// all calls have returned. The connections stay open until the end of the test.
func (gw *gateway) connect(n int, use func(i int, conn net.Conn)) {
	gw.t.Helper()
	var group sync.WaitGroup
	for i := range n {
		conn, err := net.DialTimeout("tcp", gw.callers.String(), sendTimeout)
		if err != nil {
			// A process that refuses connections protects itself.
			continue
		}
		gw.t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(sendTimeout))
		group.Go(func() { use(i, conn) })
	}
	group.Wait()
}

// sendAll sends a text in parts and stops at the first error: the process may
// refuse a caller and close its connection.
func sendAll(conn net.Conn, parts ...string) bool {
	for _, part := range parts {
		if _, err := io.WriteString(conn, part); err != nil {
			return false
		}
	}
	return true
}

// sendWithoutEnd repeats a text until the connection fails. The first burst bytes
// are sent at once, the rest slowly.
func sendWithoutEnd(conn net.Conn, text string, burst int) {
	for sent := 0; ; sent += len(text) {
		if sent >= burst {
			time.Sleep(50 * time.Millisecond)
		}
		if !sendAll(conn, text) {
			return
		}
	}
}

// head returns a request line and the headers that each request needs, without the
// empty line after them.
func head(method, path, id string, headers ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + rpfake.Host + "\r\n" + rpfake.HeaderRequestID + ": " + id +
		"\r\n" + rpfake.HeaderDeadline + ": 15000\r\n" + strings.Join(headers, "")
}

// shortLines returns header lines of six bytes with different names, size bytes in
// total.
func shortLines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < size-6; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i/(36*36)%36], letters[i/36%36], letters[i%36])
	}
	return b.String()
}

// readSlowly reads one byte a second until the connection fails.
func readSlowly(conn net.Conn) {
	for {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// shrinkReadBuffer makes the kernel of the caller buffer little of a response.
func shrinkReadBuffer(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
}
