package rpgateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpcaller"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

const fuzzHead = "POST /place/1 HTTP/1.1\r\nHost: shop.example\r\n"

// Guards against a request whose lines the meter counts differently from net/http, so
// that its memory is not bounded, and against headers of the platform that end the
// process.
func FuzzReadRequest(f *testing.F) {
	for _, seed := range []string{
		fuzzHead + "\r\n", fuzzHead + strings.Repeat("a:\r\n", 200) + "\r\n", fuzzHead + "A: b\r\n" + strings.Repeat(" x\r\n", 200) + "\r\n",
		"\r\n\r\n\r\n" + fuzzHead, fuzzHead + strings.Repeat("n", 5000) + ":\r\n\r\n", fuzzHead + "A: b\n\nbody\n\n",
		fuzzHead + rpfake.HeaderDeadline + ": 99999999999999999999\r\n\r\n", fuzzHead + rpfake.HeaderPromptParts + ": a:1,,b\r\n\r\n",
		fuzzHead + rpfake.HeaderTokenCounts + ": 1,2,3\r\n\r\n", "GET /\rx HTTP/1.1\r\nHost: a\r\n\r\n", "GET " + strings.Repeat("x", 5000),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		meter := headerMeter{}
		for rest := raw; len(rest) > 0; {
			n := min(len(rest), 7)
			meter.add(rest[:n])
			rest = rest[n:]
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		values := 0
		for _, list := range r.Header {
			values += len(list)
		}
		if !meter.ended || meter.lines < values {
			t.Fatalf("%d values in %+v", values, meter)
		}
		if values > freeHeaderLines && meter.cost() < int64(values*headerLineCost) {
			t.Fatalf("%d values cost %d", values, meter.cost())
		}
		_, _ = rpwire.ReadRequest(r, time.Now())
	})
}

// Guards against a body that is read differently from the one that net/http reads, and
// against bytes of it that no hold counts.
func FuzzReadBody(f *testing.F) {
	for _, seed := range []string{
		"Content-Length: 3\r\n\r\nabc", "Content-Length: 4\r\n\r\nabc", "Content-Length: 0\r\n\r\n", "\r\n",
		"Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 100) + "0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 100),
		"Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 5000), "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 5000),
		"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: " + strings.Repeat("x", 5000), "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx",
		"Transfer-Encoding: chunked\r\n\r\n2000\r\n" + strings.Repeat("x", 0x2000) + "\r\n0\r\nA: b\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("x", 100)+"\r\nx\r\n", 500),
	} {
		f.Add([]byte(seed))
	}
	read := func(raw []byte) *http.Request {
		r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(fuzzHead), bytes.NewReader(raw))))
		if err != nil {
			return nil
		}
		return r
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		expected, r := read(raw), read(raw)
		if r == nil {
			return
		}
		want, wantErr := io.ReadAll(expected.Body)
		budget := &rpcaller.Budget{}
		hold := &rpcaller.Hold{Budget: budget, Evict: func() {}}
		segments, err := rpcaller.ReadBody(r.Body, r.ContentLength, hold)
		got := bytes.Join(segments, nil)
		if (err == nil) != (wantErr == nil) || err == nil && !bytes.Equal(got, want) {
			t.Fatalf("got %q and %v, want %q and %v", got, err, want, wantErr)
		}
		if hold.Size(rpcaller.UseBody) < int64(len(got)) {
			t.Fatalf("%d bytes are counted of %d", hold.Size(rpcaller.UseBody), len(got))
		}
		hold.Release()
		if budget.Stats().Bytes != [rpcaller.Uses]int64{} {
			t.Fatalf("after the release: %+v", budget.Stats())
		}
	})
}
