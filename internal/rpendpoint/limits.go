package rpendpoint

import (
	"cmp"
	"time"
)

// Limits bounds what the client reads and how long it waits. A zero field
// stands for its default.
type Limits struct {
	// DialTimeout bounds the connection setup.
	DialTimeout time.Duration
	// CancelTimeout bounds the call that cancels a request at an engine.
	CancelTimeout time.Duration
	// PollTimeout bounds one poll of a report or of cache events.
	PollTimeout time.Duration
	// IdleTimeout closes unused connections. It is shorter than the idle
	// timeouts that are usual for servers, so that a connection is rarely
	// closed by the endpoint just as a request is written to it.
	IdleTimeout time.Duration
	// AckTimeout is how long a connection may leave what was sent, or a
	// keep-alive probe, without an acknowledgement. It ends connections whose
	// other side is gone without a sign.
	AckTimeout time.Duration
	// IdleConnections bounds the unused connections of one endpoint.
	IdleConnections int
	// LineBytes bounds one line of a stream, and one event.
	LineBytes int
	// ResponseBytes bounds an inference answer that is not a stream.
	ResponseBytes int64
	// ServiceResponseBytes bounds the answer of a plain service.
	ServiceResponseBytes int64
	// ReportBytes bounds a report or a batch of cache events.
	ReportBytes int64
}

// Defaults of Limits.
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
	DefaultReportBytes          = 4 << 20
)

const (
	// maxErrorBodyBytes bounds the body of an error answer.
	maxErrorBodyBytes = 64 << 10
	// maxResponseHeaderBytes bounds the header of any answer.
	maxResponseHeaderBytes = 64 << 10
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
	l.ReportBytes = cmp.Or(l.ReportBytes, DefaultReportBytes)
	return l
}
