package rpendpoint

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

func readEvents(r io.Reader, limit int) ([]string, error) {
	reader := newEventReader(r, limit)
	var out []string
	for {
		ev, err := reader.next()
		if err != nil {
			return out, err
		}
		out = append(out, ev.name+"|"+string(ev.data))
	}
}

// Guards against events that are lost or merged because of the line endings and
// optional fields that engines and proxies use, or because of packet boundaries.
func TestEventReader(t *testing.T) {
	for _, c := range []struct {
		text string
		want []string
		err  error
	}{
		{"data: a\n\ndata:b\n\n", []string{"|a", "|b"}, io.EOF},
		{"\xef\xbb\xbfdata: a\r\n\r\ndata: b\r\n\r\n", []string{"|a", "|b"}, io.EOF},
		{"data: a\r\rdata: b\r\r", []string{"|a", "|b"}, io.EOF},
		{": ping\n\nid: 1\nevent: error\ndata: a\ndata: b\n\n", []string{"error|a\nb"}, io.EOF},
		{"data: a\n\ndata: half", []string{"|a"}, io.EOF},
		{"data: a\n\ndata: [DONE]", []string{"|a", "|[DONE]"}, io.EOF},
		{"data: " + strings.Repeat("x", 100) + "\n\n", nil, errEventTooLarge},
		{strings.Repeat("data: xxxxxxxxxx\n", 10) + "\n", nil, errEventTooLarge},
	} {
		for _, r := range []io.Reader{strings.NewReader(c.text), iotest.OneByteReader(strings.NewReader(c.text))} {
			g := NewWithT(t)
			got, err := readEvents(r, 64)
			g.Expect(got).To(Equal(c.want), "%q", c.text)
			g.Expect(err).To(MatchError(c.err), "%q", c.text)
		}
	}
}

// Guards against events that depend on packet boundaries, and against events
// larger than the limit.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("event: e\ndata: a\r\n\r\n: c\r\rdata: [DONE]"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		whole, err := readEvents(bytes.NewReader(raw), 64)
		split, splitErr := readEvents(iotest.OneByteReader(bytes.NewReader(raw)), 64)
		if strings.Join(whole, "\n") != strings.Join(split, "\n") || err != splitErr {
			t.Fatalf("%q, %v in one read; %q, %v byte by byte", whole, err, split, splitErr)
		}
		for _, ev := range whole {
			if _, data, _ := strings.Cut(ev, "|"); len(data) > 64 {
				t.Fatalf("event of %d bytes is larger than the limit", len(data))
			}
		}
	})
}

// Guards against decoders that panic on a response of an endpoint, and against
// accepting a batch of cache events with decreasing sequence numbers.
func FuzzDecoders(f *testing.F) {
	f.Add([]byte(`{"id":"1","choices":[{"delta":{"content":"x"},"finish_reason":null}],"error":null}`))
	f.Add([]byte(`{"endpoint":"e","memory":"1GiB","first":1,"next":2,"code":"busy"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, _ = decodeReport(raw, "e")
		_, _ = statusFailure(503, raw)
		_, _ = orderRefusal(409, raw)
		if batch, err := decodeCacheBatch(raw); err == nil && batch.Next < batch.First {
			t.Fatalf("accepted %+v", batch)
		}
		var c chunk
		if json.Unmarshal(raw, &c) != nil {
			return
		}
		state := StreamState{started: true, id: json.RawMessage(`"first"`)}
		out, err := state.replaceID(raw, &c)
		if err != nil {
			return
		}
		var again chunk
		if err := json.Unmarshal(out, &again); err != nil || !json.Valid(appendEvent(nil, out)[len("data: "):]) {
			t.Fatalf("%q became %q", raw, out)
		}
	})
}
