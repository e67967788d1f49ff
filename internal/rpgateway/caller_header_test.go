package rpgateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/rattanpaddle/rattanpaddle/internal/rpcaller"
)

// Guards against lines that are not counted, or counted in the body, because of where
// a read ends.
func TestHeaderMeter(t *testing.T) {
	const header = "POST /x HTTP/1.1\r\nHost: a\r\nB:\nC: d\r\n\r\n"
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Repeat("\r\n", rapid.IntRange(0, 1).Draw(t, "empty")) + header + "body\n\n\n"
		whole := headerMeter{}
		whole.add([]byte(text))
		parts := headerMeter{}
		for rest := []byte(text); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			parts.add(rest[:n])
			rest = rest[n:]
		}
		if parts.lines != whole.lines || parts.ended != whole.ended || parts.bytes != len(text) {
			t.Fatalf("%+v in parts, %+v at once", parts, whole)
		}
	})
	g := NewWithT(t)
	m := headerMeter{}
	m.add([]byte(header + "body\n\n\n"))
	g.Expect(m.lines).To(Equal(5))
	g.Expect(m.cost()).To(BeZero())
	m = headerMeter{}
	m.add([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 1000)))
	g.Expect(m.cost()).To(BeNumerically(">", 1000*headerLineCost))
}

// withConns returns a listener that bounds its connections.
func withConns(t *testing.T, s *callerConns) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	return callerListener{Listener: listener, conns: s}
}

func dial(t *testing.T, l net.Listener) (caller net.Conn, accepted *callerConn) {
	t.Helper()
	g := NewWithT(t)
	caller, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	return caller, conn.(*callerConn)
}

// Guards against a header section over the limit that is read on, and against one
// that is closed without the status that says why.
func TestHeaderOverLimitGets431(t *testing.T) {
	g := NewWithT(t)
	s := &callerConns{headerLimits: func() headerLimits { return headerLimits{bytes: 16 << 10} }}
	caller, conn := dial(t, withConns(t, s))
	go func() { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n"+strings.Repeat("a: b\r\n", 6000)) }()
	var err error
	total := 0
	for err == nil {
		var n int
		n, err = conn.Read(make([]byte, 4096))
		total += n
	}
	g.Expect(err).To(MatchError(errHeaderRefused))
	g.Expect(total).To(BeNumerically("<=", 16<<10+headerSlack))
	_ = conn.Close()
	response, err := io.ReadAll(caller)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(response)).To(HavePrefix("HTTP/1.1 431 "))
}

// Guards against a header of permitted size that is refused although nothing else is
// held, and against one that is let in when memory is short.
func TestHeaderMemory(t *testing.T) {
	g := NewWithT(t)
	s := &callerConns{headerLimits: func() headerLimits { return headerLimits{bytes: 16 << 10} }}
	s.budget.Limit = 1 << 20
	l := withConns(t, s)
	section := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 3900)
	read := func() (*callerConn, string, error) {
		caller, conn := dial(t, l)
		go func() { _, _ = io.WriteString(caller, section+"\r\n") }()
		for total := 0; total < len(section)+2; {
			n, err := conn.Read(make([]byte, 4096))
			if err != nil {
				_ = conn.Close()
				response, _ := io.ReadAll(caller)
				return conn, string(response), err
			}
			total += n
		}
		return conn, "", nil
	}
	first, _, err := read()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.hold.Keep()).To(Succeed())
	_, response, err := read()
	g.Expect(err).To(MatchError(errHeaderRefused))
	g.Expect(response).To(HavePrefix("HTTP/1.1 503 "))
	g.Expect(response).To(ContainSubstring("Retry-After: 1\r\n"))
	first.hold.Release()
	g.Expect(s.budget.Stats().Bytes[rpcaller.UseHeader]).To(BeNumerically("<=", 1<<20))
}

// Guards against connections above the bound, and against a request in progress that
// loses its connection to a new one.
func TestNewConnectionClosesLongestWaiting(t *testing.T) {
	g := NewWithT(t)
	s := &callerConns{maxOpen: 2}
	l := withConns(t, s)
	_, active := dial(t, l)
	active.setPhase(phaseActive)
	s.mu.Lock()
	s.setWaiting(active, false)
	s.mu.Unlock()
	waitingCaller, _ := dial(t, l)
	nextCaller, next := dial(t, l)
	_, err := waitingCaller.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
	_, err = io.WriteString(nextCaller, "x")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = next.Read(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.open).To(HaveLen(2))
	g.Expect(s.stats).To(Equal(connStats{closed: 1}))
	next.setPhase(phaseActive)
	s.mu.Lock()
	s.setWaiting(next, false)
	s.mu.Unlock()
	g.Expect(s.add(nextCaller)).To(BeNil())
	g.Expect(s.stats).To(Equal(connStats{closed: 1, rejected: 1}))
}

// Guards against a header that arrives byte by byte for longer than the timeout of the
// configuration, although net/http allows it more.
func TestHeaderDeadline(t *testing.T) {
	g := NewWithT(t)
	s := &callerConns{headerLimits: func() headerLimits { return headerLimits{timeout: 50 * time.Millisecond} }}
	caller, conn := dial(t, withConns(t, s))
	_, err := io.WriteString(caller, "G")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(ContainSubstring("timeout")))
	g.Expect(conn.SetReadDeadline(time.Time{})).To(Succeed())
	_, err = io.WriteString(caller, "E")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred(), "net/http has read the header")
}

// Guards against settings that set no bound, and against ones that can't be read.
func TestLimitsSettings(t *testing.T) {
	g := NewWithT(t)
	const others = `
[instance]
name = "front-1"
failure_domain = "a"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
[store]
address = "127.0.0.1:4"
`
	settings, problems := ParseSettings("test.toml", []byte(others+"[limits]\nmemory = \"144.5MB\"\ndescriptors = 3075\n"))
	g.Expect(problems).To(BeEmpty())
	g.Expect(settings.Limits.Callers()).To(Equal(rpcaller.Limits{Memory: 144500000, Descriptors: 3075}))
	settings, problems = ParseSettings("test.toml", []byte(others))
	g.Expect(problems).To(BeEmpty())
	g.Expect(settings.Limits.Callers().RequestBytes()).To(BeNumerically(">", 100*maxBodyBytes))
	for _, line := range []string{`memory = "12"`, `memory = "-1MB"`, `memory = "1MB"`, `memory = 144`, `descriptors = 10`, `descriptors = "many"`} {
		_, problems = ParseSettings("test.toml", []byte(others+"[limits]\n"+line+"\n"))
		g.Expect(problems).To(HaveLen(1), line)
		g.Expect(fmt.Sprint(problems[0])).To(ContainSubstring("limits."), line)
	}
}
