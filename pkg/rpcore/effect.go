package rpcore

import (
	"net/netip"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Effect is an output of the reducer: an action for the runtime to carry out.
// Only the types of this package implement it.
type Effect interface {
	effect()
}

// effectMarker is embedded in every effect and implements Effect.
type effectMarker struct{}

func (effectMarker) effect() {}

// SetAlarm requests a Tick at At. It replaces any earlier SetAlarm.
type SetAlarm struct {
	effectMarker
	At time.Time
}

// StartAttempt sends a request to an endpoint. The runtime relays the answer to
// the caller and reports the end of the attempt with AttemptEnded.
type StartAttempt struct {
	effectMarker
	Attempt  AttemptID
	Request  RequestID
	Endpoint EndpointID
	Address  netip.AddrPort
	// Model, Version and Adapter are empty for a plain service. Adapter is
	// empty for a request to a base model; otherwise it is the name under which
	// the engine serves the adapter.
	Model   ModelKey
	Version string
	Adapter string
	Rank    rpdocument.Rank
	// ResumeAfter is the number of tokens that the caller already received.
	ResumeAfter int
	Deadline    time.Time
	// Record requests the Outcome in AttemptEnded.
	Record bool
}

// CancelAttempt stops an attempt. AttemptEnded still follows.
type CancelAttempt struct {
	effectMarker
	Attempt AttemptID
}

// RefuseRequest ends a request with a refusal. If a part of the answer was
// already relayed, the front end ends the stream with an explicit error.
type RefuseRequest struct {
	effectMarker
	Request RequestID
	Refusal rpverdict.Refusal
}

// ReplayOutcome ends a request with the recorded answer of an earlier request.
type ReplayOutcome struct {
	effectMarker
	Request RequestID
	Outcome Outcome
}

// PollEngine starts to poll the report and the cache events of an engine, or
// changes the polling interval. A zero Interval stops the polling.
type PollEngine struct {
	effectMarker
	Endpoint EndpointID
	Address  netip.AddrPort
	Interval time.Duration
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// The kinds.
const (
	OrderLoadModel     OrderKind = "load_model"
	OrderUnloadModel   OrderKind = "unload_model"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
)

// SendOrder sends an order to an engine. The runtime sends it at most once, so
// an answer or OrderNotSent proves that no copy of the order is still in
// transit.
type SendOrder struct {
	effectMarker
	Order    OrderID
	Endpoint EndpointID
	Address  netip.AddrPort
	// Incarnation is the incarnation of the engine that the order is meant for.
	Incarnation Incarnation
	Fence       uint64
	Kind        OrderKind
	Model       ModelKey
	Version     string
	// BaseModel is set for adapters only.
	BaseModel  string
	Checkpoint string
	Memory     rpdocument.Bytes
	// Timeout limits the wait for the answer.
	Timeout time.Duration
}

// ReadTable reads rows with strong consistency. It ends with TableReadDone.
type ReadTable struct {
	effectMarker
	Op   OpID
	Keys []RowKey
	// Prefix, if set, reads all rows of a kind instead of Keys.
	Prefix RowKind
}

// WriteTable writes all rows in one transaction, or none. It ends with
// TableWriteDone.
type WriteTable struct {
	effectMarker
	Op     OpID
	Writes []RowWrite
}

// LoadDocument fetches the body of a document from the object store. It ends
// with DocumentLoaded.
type LoadDocument struct {
	effectMarker
	Service string
	Version uint64
	Hash    string
}

// StoreDocument writes the body of a submitted document to the object store,
// with its hash as the key. It ends with DocumentStored.
type StoreDocument struct {
	effectMarker
	Submission string
	Hash       string
	Body       []byte
}

// SubmissionResult is the result of a submitted document.
type SubmissionResult string

// The results.
const (
	SubmissionAccepted SubmissionResult = "accepted"
	// SubmissionConflict: another version was accepted first.
	SubmissionConflict SubmissionResult = "conflict"
	// SubmissionInvalid: the document is not valid.
	SubmissionInvalid SubmissionResult = "invalid"
	// SubmissionUnavailable: the platform is unavailable. The document was not
	// accepted and will not be.
	SubmissionUnavailable SubmissionResult = "unavailable"
	// SubmissionUnknown: the platform did not answer in time. The document may
	// have been accepted, so the operator has to check.
	SubmissionUnknown SubmissionResult = "unknown"
)

// AnswerSubmission answers DocumentSubmitted. Current is the row in the table,
// or nil if it is not known.
type AnswerSubmission struct {
	effectMarker
	Submission string
	Result     SubmissionResult
	Version    uint64
	Current    *DocumentRow
	Problems   []rpdocument.Problem
}

// SendPeer sends a message to another instance. Delivery is not guaranteed.
type SendPeer struct {
	effectMarker
	To      InstanceID
	Address netip.AddrPort
	Message PeerMessage
}

// ReportReady tells the front end whether the load balancer may send callers to
// this instance.
type ReportReady struct {
	effectMarker
	Ready  bool
	Reason string
}

// ReportDrained reports that a planned stop has finished all work.
type ReportDrained struct {
	effectMarker
}

// Note is an entry for the log and the timeline.
type Note struct {
	effectMarker
	// Part is the part of the reducer that made the entry: requests, replicas,
	// documents, members or claims.
	Part string
	Text string
	// Request, Model and Endpoint are set if the entry concerns one.
	Request  RequestID
	Model    ModelKey
	Endpoint EndpointID
}
