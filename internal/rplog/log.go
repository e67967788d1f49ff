// Package rplog creates the loggers of the program. Each part of the program
// has its own logger, with its own level, which writes the name of the part to
// every entry.
//
// # Usage
//
//	levels, err := rplog.ParseLevels("warn,replicas=debug")
//	log := rplog.New(os.Stderr, rplog.FormatJSON, levels)
//	replicas := log.Part("replicas")
//	replicas.Info().Str("model", "mixadvies/bag-small").Msg("The model is loaded.")
//
// The entry has the field part with the value "replicas" and the message
// "replicas: The model is loaded." If rpmessage lists the message, the entry
// also has the field code. Messages are short and never contain a credential or
// a body.
package rplog

import (
	"bytes"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/internal/rpmessage"
)

// Format is the encoding of the entries.
type Format string

// The formats.
const (
	// FormatJSON writes each entry as a JSON object on one line.
	FormatJSON Format = "json"
	// FormatConsole writes each entry as a line of plain text.
	FormatConsole Format = "console"
)

// Log creates the loggers of the parts. The zero value discards all entries.
type Log struct {
	out    io.Writer
	levels Levels
}

// New returns a log that writes the entries of all parts to out. Writes to out
// are serialized.
func New(out io.Writer, format Format, levels Levels) Log {
	if format == FormatConsole {
		out = zerolog.ConsoleWriter{Out: out, NoColor: true, TimeFormat: time.RFC3339, FieldsExclude: []string{partField}}
	}
	return Log{out: zerolog.SyncWriter(out), levels: levels}
}

const partField = "part"

// Part returns the logger of a part. It panics if Parts does not list the part.
func (l Log) Part(name string) zerolog.Logger {
	if !isPart(name) {
		panic(UnknownPartError{Name: name})
	}
	if l.out == nil {
		return zerolog.Nop()
	}
	out := partWriter{out: l.out, prefix: []byte(name + ": ")}
	logger := zerolog.New(out).Level(l.levels.Of(name)).With().Timestamp().Str(partField, name).Logger()
	return logger.Hook(zerolog.HookFunc(addCode))
}

// messageStart precedes the message in an encoded entry. zerolog writes the
// message as the last field and escapes quotation marks in values, so the last
// occurrence is the right one.
var messageStart = []byte(`,"message":"`)

// partWriter inserts the prefix of a part before the message. A zerolog hook
// can't do this, because it can't change the message.
type partWriter struct {
	out    io.Writer
	prefix []byte
}

// Write implements io.Writer.
func (w partWriter) Write(entry []byte) (int, error) {
	at := bytes.LastIndex(entry, messageStart)
	if at < 0 {
		return w.out.Write(entry)
	}
	at += len(messageStart)
	line := make([]byte, 0, len(entry)+len(w.prefix))
	line = append(append(append(line, entry[:at]...), w.prefix...), entry[at:]...)
	if _, err := w.out.Write(line); err != nil {
		return 0, err
	}
	return len(entry), nil
}

// addCode adds the code of the message to the entry. Operators look up the
// message by its code in docs/messages.md.
func addCode(e *zerolog.Event, _ zerolog.Level, message string) {
	if code, ok := rpmessage.LogCode(message); ok {
		e.Str("code", code)
	}
}
