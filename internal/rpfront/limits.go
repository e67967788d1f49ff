package rpfront

import (
	"cmp"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Limits contains the limits on requests and connections of callers. A zero field
// means its default.
type Limits struct {
	// BodyBytes limits the body of an inference request, PlainBodyBytes the body of
	// a request to a plain service.
	BodyBytes      int64
	PlainBodyBytes int64
	HeaderBytes    int
	URLBytes       int
	// ReadHeaderTimeout and BodyTimeout limit the time to receive a request.
	ReadHeaderTimeout time.Duration
	BodyTimeout       time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// WriteTimeout limits one write to a caller that reads slowly.
	WriteTimeout time.Duration
	// RequestsInProgress is the maximum number of concurrent requests.
	RequestsInProgress int
	// RequestTimeout is the largest timeout that a caller may set.
	RequestTimeout time.Duration
}

// Default values of Limits.
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

// maxWriteBytes is the largest part of a response that is written with one write
// timeout.
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
