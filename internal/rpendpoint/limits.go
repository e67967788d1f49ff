package rpendpoint

import "time"

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
	// IdleConnections bounds the unused connections of one endpoint.
	IdleConnections int
	// LineBytes bounds one line of a stream, and one event.
	LineBytes int
	// AnswerBytes bounds an inference answer that is not a stream.
	AnswerBytes int64
	// ServiceAnswerBytes bounds the answer of a plain service.
	ServiceAnswerBytes int64
	// ReportBytes bounds a report or a batch of cache events.
	ReportBytes int64
}

// Defaults of Limits.
const (
	DefaultDialTimeout        = 2 * time.Second
	DefaultCancelTimeout      = 2 * time.Second
	DefaultPollTimeout        = 2 * time.Second
	DefaultIdleTimeout        = 30 * time.Second
	DefaultIdleConnections    = 64
	DefaultLineBytes          = 1 << 20
	DefaultAnswerBytes        = 32 << 20
	DefaultServiceAnswerBytes = 64 << 20
	DefaultReportBytes        = 4 << 20
)

const (
	// errorBodyBytes bounds the body of an error answer.
	errorBodyBytes = 64 << 10
	// maxResponseHeaderBytes bounds the header of any answer.
	maxResponseHeaderBytes = 64 << 10
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.DialTimeout, DefaultDialTimeout)
	setDefault(&l.CancelTimeout, DefaultCancelTimeout)
	setDefault(&l.PollTimeout, DefaultPollTimeout)
	setDefault(&l.IdleTimeout, DefaultIdleTimeout)
	setDefault(&l.IdleConnections, DefaultIdleConnections)
	setDefault(&l.LineBytes, DefaultLineBytes)
	setDefault(&l.AnswerBytes, DefaultAnswerBytes)
	setDefault(&l.ServiceAnswerBytes, DefaultServiceAnswerBytes)
	setDefault(&l.ReportBytes, DefaultReportBytes)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
