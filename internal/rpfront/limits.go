package rpfront

import (
	"cmp"
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
	// RequestsInProgress bounds the requests in progress.
	RequestsInProgress int
	// RequestTimeout is the largest timeout that a caller may name.
	RequestTimeout time.Duration
}

// Defaults of Limits.
const (
	DefaultBodyBytes          = 4 << 20
	DefaultPlainBodyBytes     = 16 << 20
	DefaultHeaderBytes        = 32 << 10
	DefaultURLBytes           = 8 << 10
	DefaultReadHeaderTimeout  = 5 * time.Second
	DefaultBodyTimeout        = 30 * time.Second
	DefaultIdleTimeout        = 120 * time.Second
	DefaultWriteTimeout       = 30 * time.Second
	DefaultRequestsInProgress = rpcore.DefaultRequestsInProgress
	DefaultRequestTimeout     = 24 * time.Hour
)

// maxWriteBytes is the largest part of an answer that one write timeout covers.
const maxWriteBytes = 64 << 10

func (l Limits) withDefaults() Limits {
	l.BodyBytes = cmp.Or(l.BodyBytes, DefaultBodyBytes)
	l.PlainBodyBytes = cmp.Or(l.PlainBodyBytes, DefaultPlainBodyBytes)
	l.HeaderBytes = cmp.Or(l.HeaderBytes, DefaultHeaderBytes)
	l.URLBytes = cmp.Or(l.URLBytes, DefaultURLBytes)
	l.ReadHeaderTimeout = cmp.Or(l.ReadHeaderTimeout, DefaultReadHeaderTimeout)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, DefaultBodyTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, DefaultIdleTimeout)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, DefaultWriteTimeout)
	l.RequestsInProgress = cmp.Or(l.RequestsInProgress, DefaultRequestsInProgress)
	l.RequestTimeout = cmp.Or(l.RequestTimeout, DefaultRequestTimeout)
	return l
}
