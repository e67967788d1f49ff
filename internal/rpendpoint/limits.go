package rpendpoint

import (
	"cmp"
	"time"
)

// Limits contains the size limits and timeouts of a Client or Forwarder. A zero
// field means its default.
type Limits struct {
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// CancelTimeout limits the call that cancels a request at an engine.
	CancelTimeout time.Duration
	// PollTimeout limits one poll of a report or of cache events.
	PollTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed. It is
	// shorter than the usual idle timeouts of servers, so that an endpoint rarely
	// closes a connection just as a request is written to it.
	IdleTimeout time.Duration
	// AckTimeout is the time within which the other side must acknowledge sent
	// data or a keep-alive probe. It detects a host that went down or became
	// unreachable without closing the connection. A Forwarder does not apply it to
	// requests that may run only once.
	AckTimeout time.Duration
	// IdleConnections is the maximum number of idle connections per endpoint.
	IdleConnections int
	// TotalIdleConnections is the maximum number of idle connections to all
	// endpoints. The default is no maximum.
	TotalIdleConnections int
	// LineBytes limits one line and one event of a stream.
	LineBytes int
	// ResponseBytes limits the body of an inference response that is not a stream.
	ResponseBytes int64
	// ServiceResponseBytes limits the body of a response of a plain service, and
	// of a response that is not a stream of a Forwarder.
	ServiceResponseBytes int64
	// BufferedBytes is the part of a response that a Forwarder reads before it
	// sends the first byte to the caller. A response that breaks off within it
	// can be retried. Longer ones are relayed as they arrive.
	BufferedBytes int
	// ReportBytes limits a report or a batch of cache events.
	ReportBytes int64
}

// Default values of Limits.
const (
	DefaultDialTimeout          = 2 * time.Second
	DefaultCancelTimeout        = 2 * time.Second
	DefaultPollTimeout          = 2 * time.Second
	DefaultIdleTimeout          = 30 * time.Second
	DefaultAckTimeout           = 2500 * time.Millisecond
	DefaultIdleConnections      = 64
	DefaultLineBytes            = 1 << 20
	DefaultResponseBytes        = 32 << 20
	DefaultServiceResponseBytes = 64 << 20
	DefaultBufferedBytes        = 32 << 10
	DefaultReportBytes          = 4 << 20
)

const (
	// maxErrorBodyBytes limits the part of an error body that is read.
	maxErrorBodyBytes = 64 << 10
	// MaxResponseHeaderBytes limits the status line and the headers of any
	// response, including informational ones before it. Several hundred endpoints
	// may send endless headers at once to an instance with little memory.
	MaxResponseHeaderBytes = 32 << 10
)

func (l Limits) withDefaults() Limits {
	l.DialTimeout = cmp.Or(l.DialTimeout, DefaultDialTimeout)
	l.CancelTimeout = cmp.Or(l.CancelTimeout, DefaultCancelTimeout)
	l.PollTimeout = cmp.Or(l.PollTimeout, DefaultPollTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, DefaultIdleTimeout)
	l.AckTimeout = cmp.Or(l.AckTimeout, DefaultAckTimeout)
	l.IdleConnections = cmp.Or(l.IdleConnections, DefaultIdleConnections)
	l.LineBytes = cmp.Or(l.LineBytes, DefaultLineBytes)
	l.ResponseBytes = cmp.Or(l.ResponseBytes, DefaultResponseBytes)
	l.ServiceResponseBytes = cmp.Or(l.ServiceResponseBytes, DefaultServiceResponseBytes)
	l.BufferedBytes = cmp.Or(l.BufferedBytes, DefaultBufferedBytes)
	l.ReportBytes = cmp.Or(l.ReportBytes, DefaultReportBytes)
	return l
}
