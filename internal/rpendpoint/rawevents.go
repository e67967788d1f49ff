package rpendpoint

import (
	"bytes"
	"io"
	"iter"
)

// rawEvents splits a stream of server-sent events into groups of complete events.
// It does not change their bytes.
type rawEvents struct {
	r     io.Reader
	limit int
	buf   []byte
	// returned is the number of bytes at the start of buf that the last call of
	// next returned.
	returned int
}

// minBufferBytes is the initial size of a buffer for a part of a response.
const minBufferBytes = 4 << 10

func newRawEvents(r io.Reader, limit int) *rawEvents {
	return &rawEvents{r: r, limit: limit, buf: make([]byte, 0, min(minBufferBytes, limit))}
}

// next waits for at least one complete event. It returns all complete events that
// have arrived, and the id of the last event that has one. The bytes are valid
// until the next call. If the stream ends within an event, the error is
// errTruncatedStream.
func (e *rawEvents) next() (events []byte, lastID string, err error) {
	e.buf = append(e.buf[:0], e.buf[e.returned:]...)
	e.returned = 0
	for {
		if end := lastEventEnd(e.buf); end > 0 {
			e.returned = end
			return e.buf[:end], lastEventID(e.buf[:end]), nil
		}
		if len(e.buf) >= e.limit {
			return nil, "", errEventTooLarge
		}
		if err := e.fill(); err != nil {
			return nil, "", err
		}
	}
}

// fill reads the available bytes into buf. If a read returns bytes and an error,
// the error shows up again in the next read.
func (e *rawEvents) fill() error {
	e.buf = growBuffer(e.buf, e.limit)
	n, err := e.r.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	if n > 0 {
		return nil
	}
	if err == io.EOF && len(bytes.TrimSpace(e.buf)) > 0 {
		return errTruncatedStream
	}
	return err
}

// lastEventEnd returns the offset after the last complete event, or 0.
func lastEventEnd(buf []byte) int {
	end := 0
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(buf, separator); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return end
}

var idField = []byte("id:")

// eventIDs yields the ids of the events that have one.
func eventIDs(events []byte) iter.Seq[string] {
	return func(yield func(string) bool) {
		for line := range bytes.Lines(events) {
			if rest, ok := bytes.CutPrefix(line, idField); ok && !yield(string(bytes.TrimSpace(rest))) {
				return
			}
		}
	}
}

// firstEventID returns the id of the first event that has one, or "".
func firstEventID(events []byte) string {
	for id := range eventIDs(events) {
		return id
	}
	return ""
}

// lastEventID returns the id of the last event that has one, or "".
func lastEventID(events []byte) string {
	last := ""
	for id := range eventIDs(events) {
		last = id
	}
	return last
}

var dataField = []byte("data:")

// hasData reports whether events carry data and are not only comments or empty
// events.
func hasData(events []byte) bool {
	return bytes.HasPrefix(events, dataField) || bytes.Contains(events, append([]byte{'\n'}, dataField...))
}

// growBuffer doubles the capacity of a full buffer, up to limit.
func growBuffer(buf []byte, limit int) []byte {
	if len(buf) < cap(buf) || len(buf) >= limit {
		return buf
	}
	grown := make([]byte, len(buf), min(limit, max(minBufferBytes, 2*cap(buf))))
	copy(grown, buf)
	return grown
}

// readUpTo appends what it reads to buf until its length is limit. At the end of the
// reader it returns io.EOF.
func readUpTo(r io.Reader, buf []byte, limit int) ([]byte, error) {
	for len(buf) < limit {
		buf = growBuffer(buf, limit)
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}
