package rplog

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// boundedLines is the number of lines that wait for a reader that is slower
// than the program. At about 400 bytes a line they take 1.6 MB.
const boundedLines = 4096

// NewBounded returns a log that never makes the program wait for out: lines
// that out does not take in time are dropped, and dropped is told how many. The
// function close writes what still waits.
func NewBounded(out io.Writer, format Format, levels Levels, dropped func(lines int)) (log Log, closeLog func() error) {
	ring := diode.NewWriter(out, boundedLines, 0, dropped)
	return New(ring, format, levels), ring.Close
}
