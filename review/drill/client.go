package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// caller is a client with one kept connection.
type caller struct {
	drill *drill
	conn  net.Conn
	r     *bufio.Reader
}

// dial connects a client.
func (d *drill) dial(address netip.AddrPort) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address.String(), time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{drill: d, conn: conn, r: bufio.NewReader(conn)}, nil
}

// answer is what a client received.
type answer struct {
	status int
	header http.Header
	body   string
	// complete says that the whole answer arrived. err is why not.
	complete bool
	err      error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	return fmt.Sprintf("%d, seal %q, %d bytes, complete %v (%v)", a.status, a.header.Get(headerSeal), len(a.body), a.complete, a.err)
}

// do sends a request and reads the answer.
func (c *caller) do(method, target, id, body string, deadline time.Duration, headers ...string) answer {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, host, headerID, id, headerDeadline, deadline.Milliseconds())
	for _, header := range headers {
		text.WriteString(header + "\r\n")
	}
	if body != "" || method == http.MethodPost {
		_, _ = fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	c.drill.notef("client sends %s: %s %s", id, method, target)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	a := c.exchange(method, text.String())
	c.drill.notef("client gets for %s: %s", id, a)
	return a
}

func (c *caller) exchange(method, text string) answer {
	if _, err := io.WriteString(c.conn, text); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), complete: err == nil, err: err}
}

func (c *caller) close() { _ = c.conn.Close() }
