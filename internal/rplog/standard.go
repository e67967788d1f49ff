package rplog

import (
	"bytes"
	"log"

	"github.com/rs/zerolog"
)

// RedirectStandard makes a part log what libraries write to the standard logger,
// as net/http does about bytes that belong to no request. It changes the logger of
// the whole process.
func (l Log) RedirectStandard(part string) {
	log.SetFlags(0)
	log.SetOutput(standardWriter{log: l.Part(part)})
}

// standardWriter logs each write as one entry.
type standardWriter struct {
	log zerolog.Logger
}

// Write logs the line up to the first quoted value, which may be a part of a
// response of any length.
func (w standardWriter) Write(p []byte) (int, error) {
	text, _, quoted := bytes.Cut(bytes.TrimSpace(p), []byte{'"'})
	w.log.Warn().Bool("shortened", quoted).Str("text", string(text)).Msg("a library reports a problem")
	return len(p), nil
}
