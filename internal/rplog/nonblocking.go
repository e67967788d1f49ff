package rplog

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// maxBufferedLines is the number of lines that wait for a reader that is slower
// than the program. At about 400 bytes a line they take 1.6 MB.
const maxBufferedLines = 4096

// NewNonBlocking returns a log that never makes the program wait for out: lines
// that out does not take in time are dropped, and dropped is told how many. The
// function close writes what still waits.
func NewNonBlocking(out io.Writer, format Format, levels Levels, dropped func(lines int)) (log Log, closeLog func() error) {
	ring := diode.NewWriter(out, maxBufferedLines, 0, dropped)
	return New(ring, format, levels), ring.Close
}
