package rpgateway

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpcaller"
)

const (
	// headerSlack is what a header may exceed its limit by. net/http reads 4 KB at
	// once, so that the last read may contain a part of the body.
	headerSlack = 4 << 10
	// freeHeaderBytes and freeHeaderLines are the part of a header that the share
	// of its connection covers.
	freeHeaderBytes = 4 << 10
	freeHeaderLines = 64
	// headerByteCost and headerLineCost are the bytes of memory for a byte and for
	// a line of a header. A parsed line of six bytes takes about 100 bytes, and an
	// attempt copies the header.
	headerByteCost = 2
	headerLineCost = 256
	// headerGrant is the step in which memory for a header is granted.
	headerGrant = 4 << 10
	// headerTimeoutMargin is added to the header timeout of the configuration, for
	// the time that the first packet takes on the way.
	headerTimeoutMargin = 500 * time.Millisecond
	// refusedReadTimeout and refusedReadBytes limit what is read of a header after
	// it was refused. A close before the caller has sent the rest would reset the
	// connection, and the caller would not get the refusal.
	refusedReadTimeout = 200 * time.Millisecond
	refusedReadBytes   = 64 << 10
)

// headerLimits bounds the header section of a request.
type headerLimits struct {
	// bytes is the largest length; 0 means no bound.
	bytes int
	// timeout is the time from the first byte to the end; 0 means no bound.
	timeout time.Duration
}

func (s *callerConns) limitsOfHeader() headerLimits {
	if s == nil || s.headerLimits == nil {
		return headerLimits{}
	}
	return s.headerLimits()
}

// headerMeter counts the bytes and lines of a header section as it arrives. Lines
// before the request line count as well.
type headerMeter struct {
	bytes int
	lines int
	// ended says that the empty line after the header has arrived. The lines after
	// it belong to the body.
	ended bool
	// length is the length of the incomplete line, which is "\r" if cr is set.
	length int
	cr     bool
}

// add counts bytes that were read.
func (m *headerMeter) add(p []byte) {
	m.bytes += len(p)
	for len(p) > 0 && !m.ended {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			m.cr = m.length == 0 && len(p) == 1 && p[0] == '\r'
			m.length += len(p)
			return
		}
		empty := m.length == 0 && (end == 0 || end == 1 && p[0] == '\r') || m.cr && m.length == 1 && end == 0
		m.ended = empty && m.lines > 0
		m.lines++
		m.length, m.cr = 0, false
		p = p[end+1:]
	}
}

// cost returns the memory for the header beyond the share of its connection.
func (m *headerMeter) cost() int64 {
	if m.bytes <= freeHeaderBytes && m.lines <= freeHeaderLines {
		return 0
	}
	cost := int64(headerByteCost*m.bytes + headerLineCost*m.lines)
	return (cost + headerGrant - 1) / headerGrant * headerGrant
}

// errHeaderRefused says that a header was refused. net/http takes it for a failed
// read, and closes the connection without a response of its own.
var errHeaderRefused = errors.New("the header of the request was refused")

// meterHeader counts bytes of a header. It refuses a header that is too large, or for
// which there is no memory.
func (c *callerConn) meterHeader(p []byte) error {
	c.header.add(p)
	if limit := c.conns.limitsOfHeader().bytes; limit > 0 && c.header.bytes > limit+headerSlack {
		c.conns.countHeaderTooLarge()
		return c.refuseHeader(http.StatusRequestHeaderFieldsTooLarge, "")
	}
	cost := c.header.cost()
	if cost == 0 {
		return nil
	}
	missing := cost - c.hold.Size(rpcaller.UseHeader)
	if missing <= 0 {
		return nil
	}
	if err := c.hold.Grow(rpcaller.UseHeader, missing); err != nil {
		return c.refuseHeader(http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %s\r\n", formatRetryAfter(rpcaller.RetryAfter)))
	}
	return nil
}

func (s *callerConns) countHeaderTooLarge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.headerTooLarge++
}

// refuseHeader responds to a request whose header is not complete, and returns the
// error of the read. Such a request was not forwarded.
func (c *callerConn) refuseHeader(status int, header string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), header)
	if err == nil && c.CloseWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(refusedReadTimeout)) == nil {
		var discarded [4 << 10]byte
		for read := 0; read < refusedReadBytes && err == nil; {
			var n int
			n, err = c.Conn.Read(discarded[:])
			read += n
		}
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errHeaderRefused}
}

// kernelBuffer is the size of the kernel's buffers for a connection of a caller, in
// each direction. The kernel doubles it. Without it, several MB are buffered for a
// caller that does not read its response.
const kernelBuffer = 64 << 10

func limitKernelBuffers(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetReadBuffer(kernelBuffer)
		_ = tcp.SetWriteBuffer(kernelBuffer)
	}
}
