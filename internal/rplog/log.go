// Package rplog sets up the log. Every entry names the part of the program
// that wrote it, and each part has its own level.
//
// # Usage
//
//	levels, err := rplog.ParseLevels("warn,replicas=debug")
//	log := rplog.New(os.Stderr, rplog.FormatJSON, levels)
//	replicas := log.Part("replicas")
//	replicas.Info().Str("model", "mixadvies/bag-small").Msg("The model is loaded.")
//
// This writes the field part with the value "replicas" and the message
// "replicas: The model is loaded." Messages are short sentences. They never
// hold a credential or a body.
package rplog

import (
	"bytes"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/internal/rpmessage"
)

// Format is the form of the entries.
type Format string

// The formats.
const (
	// FormatJSON writes one JSON object a line.
	FormatJSON Format = "json"
	// FormatConsole writes one line of text for people to read.
	FormatConsole Format = "console"
)

// Log makes the loggers of the parts. Its zero value writes nothing.
type Log struct {
	out    io.Writer
	levels Levels
}

// New returns a log that writes to out, which is shared by all parts and need
// not be safe for concurrent use.
func New(out io.Writer, format Format, levels Levels) Log {
	if format == FormatConsole {
		out = zerolog.ConsoleWriter{Out: out, NoColor: true, TimeFormat: time.RFC3339, FieldsExclude: []string{partField}}
	}
	return Log{out: zerolog.SyncWriter(out), levels: levels}
}

const partField = "part"

// Part returns the logger of a part. The part must be one of Parts; another
// name is a fault of the program, which a test finds.
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

// messageStart is the start of the message in an encoded entry. zerolog writes
// the message as the last field and escapes quotation marks in values, so the
// last occurrence is the message.
var messageStart = []byte(`,"message":"`)

// partWriter puts the prefix of a part in front of the message. A hook of
// zerolog can't do this: it can't change the message.
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

// addCode adds the code of the message, by which an operator finds what to do.
func addCode(e *zerolog.Event, _ zerolog.Level, message string) {
	if code, ok := rpmessage.LogCode(message); ok {
		e.Str("code", code)
	}
}
