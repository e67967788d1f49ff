package rpfront

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Limits bounds what callers may send and how long they may take. A zero
// field stands for its default.
type Limits struct {
	// BodyBytes bounds the body of an inference request, PlainBodyBytes that
	// of a request to a plain service.
	BodyBytes      int64
	PlainBodyBytes int64
	HeaderBytes    int
	URLBytes       int
	// ReadHeaderTimeout and BodyTimeout bound the time in which a request
	// must arrive.
	ReadHeaderTimeout time.Duration
	BodyTimeout       time.Duration
	// IdleTimeout closes connections without requests.
	IdleTimeout time.Duration
	// WriteTimeout bounds one write to a caller who reads slowly.
	WriteTimeout time.Duration
	// Streams bounds the requests in progress.
	Streams int
	// RequestTimeout is the largest timeout that a caller may name.
	RequestTimeout time.Duration
}

// Defaults of Limits.
const (
	DefaultBodyBytes         = 4 << 20
	DefaultPlainBodyBytes    = 16 << 20
	DefaultHeaderBytes       = 32 << 10
	DefaultURLBytes          = 8 << 10
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultBodyTimeout       = 30 * time.Second
	DefaultIdleTimeout       = 120 * time.Second
	DefaultWriteTimeout      = 30 * time.Second
	DefaultStreams           = rpcore.DefaultRequestsInProgress
	DefaultRequestTimeout    = 24 * time.Hour
)

// writePart is the largest part of an answer that one write timeout covers.
const writePart = 64 << 10

func (l Limits) withDefaults() Limits {
	setDefault(&l.BodyBytes, DefaultBodyBytes)
	setDefault(&l.PlainBodyBytes, DefaultPlainBodyBytes)
	setDefault(&l.HeaderBytes, DefaultHeaderBytes)
	setDefault(&l.URLBytes, DefaultURLBytes)
	setDefault(&l.ReadHeaderTimeout, DefaultReadHeaderTimeout)
	setDefault(&l.BodyTimeout, DefaultBodyTimeout)
	setDefault(&l.IdleTimeout, DefaultIdleTimeout)
	setDefault(&l.WriteTimeout, DefaultWriteTimeout)
	setDefault(&l.Streams, DefaultStreams)
	setDefault(&l.RequestTimeout, DefaultRequestTimeout)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
