package rpendpoint

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

var errEventTooLarge = errors.New("an event of the stream is larger than the limit")

var byteOrderMark = []byte("\xef\xbb\xbf")

// event is one server-sent event.
type event struct {
	name string
	data []byte
}

// eventReader parses server-sent events. Lines end with LF, CRLF or CR.
type eventReader struct {
	lines *bufio.Scanner
	limit int
	// skipLF is set if the last line ended with CR. An LF that follows belongs to
	// the same line ending.
	skipLF  bool
	started bool
	data    []byte
}

func newEventReader(r io.Reader, limit int) *eventReader {
	e := &eventReader{lines: bufio.NewScanner(r), limit: limit}
	e.lines.Buffer(make([]byte, 0, min(4<<10, limit)), limit)
	e.lines.Split(e.splitLine)
	return e
}

// next returns the next event with data. The data is valid until the next call. A
// last event without a following empty line is incomplete and is dropped, except
// for [DONE], which can't be a part of another event.
func (e *eventReader) next() (event, error) {
	var ev event
	e.data = e.data[:0]
	lines := 0
	for e.lines.Scan() {
		line := e.currentLine()
		if len(line) == 0 {
			if lines == 0 {
				ev.name = ""
				continue
			}
			ev.data = e.data
			return ev, nil
		}
		if err := e.parseField(line, &ev, &lines); err != nil {
			return event{}, err
		}
	}
	if err := e.lines.Err(); errors.Is(err, bufio.ErrTooLong) {
		return event{}, errEventTooLarge
	} else if err != nil {
		return event{}, err
	}
	if bytes.Equal(e.data, doneMarker) {
		return event{data: e.data}, nil
	}
	return event{}, io.EOF
}

// currentLine returns the current line. It removes the byte order mark with which a
// stream may begin.
func (e *eventReader) currentLine() []byte {
	line := e.lines.Bytes()
	if !e.started {
		e.started = true
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	return line
}

// parseField adds a line to the event. lines counts the data lines.
func (e *eventReader) parseField(line []byte, ev *event, lines *int) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		ev.name = string(value)
	case "data":
		if len(e.data)+len(value) >= e.limit {
			return errEventTooLarge
		}
		if *lines > 0 {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		*lines++
	}
	return nil
}

// splitLine is the bufio.SplitFunc of the reader.
func (e *eventReader) splitLine(data []byte, atEOF bool) (int, []byte, error) {
	skipped := 0
	if e.skipLF && len(data) > 0 {
		e.skipLF = false
		if data[0] == '\n' {
			skipped = 1
			data = data[1:]
		}
	}
	if i := bytes.IndexAny(data, "\r\n"); i >= 0 {
		e.skipLF = data[i] == '\r'
		return skipped + i + 1, data[:i], nil
	}
	if atEOF && len(data) > 0 {
		return skipped + len(data), data, nil
	}
	return skipped, nil, nil
}

// appendEvent appends an event with the given data to buf, in the format that is
// sent to callers.
func appendEvent(buf, data []byte) []byte {
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		buf = append(buf, "data: "...)
		buf = append(buf, line...)
		buf = append(buf, '\n')
	}
	return append(buf, '\n')
}
