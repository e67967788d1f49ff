package rpcore

import (
	"net/netip"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Effect is something that the runtime has to do. The set of effects is
// closed.
type Effect interface {
	effect()
}

type effectMark struct{}

func (effectMark) effect() {}

// SetAlarm asks for a Tick at At. A later SetAlarm replaces an earlier one.
type SetAlarm struct {
	effectMark
	At time.Time
}

// StartAttempt sends a request to an endpoint. The edge relays the answer to
// the caller and ends the attempt with AttemptEnded.
type StartAttempt struct {
	effectMark
	Attempt  AttemptID
	Request  RequestID
	Endpoint EndpointID
	Address  netip.AddrPort
	// Model, Version and Adapter are empty for a plain service. Adapter is
	// the name to ask the engine for where it is set.
	Model   ModelKey
	Version string
	Adapter string
	Rank    rpdocument.Rank
	// ResumeAfter is the number of tokens that the caller already has.
	ResumeAfter int
	Deadline    time.Time
	// Record asks for the Outcome in AttemptEnded.
	Record bool
}

// CancelAttempt stops an attempt; AttemptEnded still follows.
type CancelAttempt struct {
	effectMark
	Attempt AttemptID
}

// RefuseRequest ends a request without an answer. Where a part of the answer
// was relayed, the edge ends the stream with an explicit error.
type RefuseRequest struct {
	effectMark
	Request RequestID
	Refusal rpverdict.Refusal
}

// ReplayOutcome ends a request with the recorded answer of an earlier one.
type ReplayOutcome struct {
	effectMark
	Request RequestID
	Outcome Outcome
}

// PollEngine starts the polling of an engine's report and cache events, or
// changes its interval. A zero Interval stops it.
type PollEngine struct {
	effectMark
	Endpoint EndpointID
	Address  netip.AddrPort
	Interval time.Duration
}

// OrderKind says what an order asks for.
type OrderKind string

// The kinds.
const (
	OrderLoadModel     OrderKind = "load_model"
	OrderUnloadModel   OrderKind = "unload_model"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
)

// SendOrder sends an order to an engine. The edge sends it at most once, so
// that an answer or OrderNotSent proves that no copy of it is under way.
type SendOrder struct {
	effectMark
	Order    OrderID
	Endpoint EndpointID
	Address  netip.AddrPort
	// Incarnation is the lifetime of the engine that the order is for.
	Incarnation Incarnation
	Fence       uint64
	Kind        OrderKind
	Model       ModelKey
	Version     string
	// BaseModel is set for adapters.
	BaseModel  string
	Checkpoint string
	Memory     rpdocument.Bytes
	// Timeout bounds the wait for the answer.
	Timeout time.Duration
}

// ReadTable reads rows with strong consistency and ends with TableReadDone.
type ReadTable struct {
	effectMark
	Op   OpID
	Keys []RowKey
	// Prefix, where it is set, reads all rows of this kind in place of Keys.
	Prefix RowKind
}

// WriteTable writes all rows in one transaction or none, and ends with
// TableWriteDone.
type WriteTable struct {
	effectMark
	Op     OpID
	Writes []RowWrite
}

// LoadDocument fetches the body of a document and ends with DocumentLoaded.
type LoadDocument struct {
	effectMark
	Service string
	Version uint64
	Hash    string
}

// StoreDocument puts the body of a submitted document into the object store
// under its hash and ends with DocumentStored.
type StoreDocument struct {
	effectMark
	Submission string
	Hash       string
	Body       []byte
}

// SubmissionResult says what became of a submitted document.
type SubmissionResult string

// The results.
const (
	SubmissionAccepted SubmissionResult = "accepted"
	// SubmissionConflict: another version was accepted first.
	SubmissionConflict SubmissionResult = "conflict"
	// SubmissionInvalid: the document has problems.
	SubmissionInvalid SubmissionResult = "invalid"
	// SubmissionUnavailable: the platform's service is unavailable and
	// nothing was or will be accepted.
	SubmissionUnavailable SubmissionResult = "unavailable"
	// SubmissionUnknown: the platform gave no answer in time, so the document
	// may have been accepted. The operator has to look.
	SubmissionUnknown SubmissionResult = "unknown"
)

// AnswerSubmission ends DocumentSubmitted. Current is the row in the table
// where it is known.
type AnswerSubmission struct {
	effectMark
	Submission string
	Result     SubmissionResult
	Version    uint64
	Current    *DocumentRow
	Problems   []rpdocument.Problem
}

// SendPeer sends a message to another instance. Messages may be lost.
type SendPeer struct {
	effectMark
	To      InstanceID
	Address netip.AddrPort
	Message PeerMessage
}

// ReportReady tells the front whether the balancer may send callers here.
type ReportReady struct {
	effectMark
	Ready  bool
	Reason string
}

// ReportDrained says that a planned stop has finished all work.
type ReportDrained struct {
	effectMark
}

// Note is an entry for the log and the time line.
type Note struct {
	effectMark
	// Part names the part of the reducer: requests, replicas, documents,
	// members or claims.
	Part string
	Text string
	// Request, Model and Endpoint are set where the entry is about one.
	Request  RequestID
	Model    ModelKey
	Endpoint EndpointID
}
