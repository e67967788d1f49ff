package rplog

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// maxBufferedLines is the maximum number of lines that wait to be written to a
// slow output. At about 400 bytes a line, they need 1.6 MB.
const maxBufferedLines = 4096

// NewNonBlocking returns a log that never waits for out. If out is too slow,
// lines are dropped, and the function dropped is called with their number. The
// function closeLog writes the lines that are still buffered.
func NewNonBlocking(out io.Writer, format Format, levels Levels, dropped func(lines int)) (log Log, closeLog func() error) {
	ring := diode.NewWriter(out, maxBufferedLines, 0, dropped)
	return New(ring, format, levels), ring.Close
}
