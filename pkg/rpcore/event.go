package rpcore

import (
	"net/netip"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Event is an input of the reducer: something that happened outside it. Only
// the types of this package implement it.
type Event interface {
	event() Stamp
}

// Stamp is embedded in every event.
type Stamp struct {
	// At is the time at which the runtime saw the event. It must not decrease
	// between the events of a State.
	At time.Time
}

func (s Stamp) event() Stamp { return s }

// TimeOf returns the time of an event without copying the event.
func TimeOf(ev Event) time.Time { return ev.event().At }

// Start is the first event of a State. It configures the instance.
type Start struct {
	Stamp
	Self Identity
	// Operators is the address for operators that is announced to peers. An
	// invalid address is not announced.
	Operators netip.AddrPort
	Seed      uint64
	Limits    Limits
	Policy    Policy
}

// Tick reports that the time of the last SetAlarm has come.
type Tick struct {
	Stamp
}

// Request holds the parts of a caller's request that decisions depend on. The
// front end keeps the body.
type Request struct {
	ID RequestID
	// ModelName is service/model or service/adapter. It is empty for a request
	// to a plain service.
	ModelName string
	// Service, Method and Path are set for a request to a plain service. Path
	// is relative to the service.
	Service string
	Method  string
	Path    string
	// Rank and Timeout are zero if the caller specified none.
	Rank    rpdocument.Rank
	Timeout time.Duration
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string
	// Fingerprint is a hash of method, path and body. It tells a repeated
	// request from another request with the same idempotency key.
	Fingerprint string
	// Credential is the hex-encoded SHA-256 hash of the caller's credential.
	Credential string
	// Session and PrefixHashes identify replicas that may have the prompt
	// prefix in their cache. Both may be empty. Each element of PrefixHashes is
	// the hash of a prefix that is one block longer than the one before it.
	Session      string
	PrefixHashes []uint64
	PromptTokens int
	MaxTokens    int
}

// RequestArrived starts the processing of a request. Every request ends with
// exactly one of these: an attempt that ends with AttemptComplete,
// RefuseRequest, ReplayOutcome or RequestAbandoned.
type RequestArrived struct {
	Stamp
	Request Request
}

// RequestRejected reports that the front end refused a request by itself. The
// reducer only counts the refusal for operators.
type RequestRejected struct {
	Stamp
	Request RequestID
	Refusal rpverdict.Refusal
}

// RequestAbandoned reports that the caller disconnected.
type RequestAbandoned struct {
	Stamp
	Request RequestID
}

// AttemptFirstToken reports that the first byte of an answer was relayed to the
// caller.
type AttemptFirstToken struct {
	Stamp
	Attempt AttemptID
	Request RequestID
}

// AttemptReason is the reason why an attempt ended.
type AttemptReason string

// The reasons.
const (
	// AttemptComplete: the whole answer was relayed to the caller.
	AttemptComplete AttemptReason = "complete"
	// AttemptRefusedConnection: no connection to the endpoint could be made.
	AttemptRefusedConnection AttemptReason = "refused_connection"
	// AttemptNotLoaded: the engine answered that it does not have the model
	// loaded.
	AttemptNotLoaded AttemptReason = "not_loaded"
	// AttemptBusy: the endpoint answered that it accepts no more work at
	// present.
	AttemptBusy AttemptReason = "busy"
	// AttemptLeaving: the endpoint answered that it is leaving.
	AttemptLeaving AttemptReason = "leaving"
	// AttemptBroken: the connection broke before the answer was complete.
	AttemptBroken AttemptReason = "broken"
	// AttemptFailed: the endpoint answered with a server error.
	AttemptFailed AttemptReason = "failed"
	// AttemptCanceled: a CancelAttempt effect ended the attempt.
	AttemptCanceled AttemptReason = "canceled"
	// AttemptTimedOut: the deadline of the attempt passed.
	AttemptTimedOut AttemptReason = "timed_out"
)

// Outcome is the recorded answer of a request that may run only once.
type Outcome struct {
	Status      int    `cbor:"status"`
	ContentType string `cbor:"content_type"`
	Body        []byte `cbor:"body"`
	// Truncated is set if the body exceeded OutcomeBodyLimit and was dropped.
	Truncated bool `cbor:"truncated"`
}

// OutcomeBodyLimit is the largest body that is recorded, in bytes. A table item
// holds at most 400 KB in the DynamoDB protocol.
const OutcomeBodyLimit = 256 << 10

// AttemptEnded is the last event of an attempt.
type AttemptEnded struct {
	Stamp
	Attempt AttemptID
	Request RequestID
	Reason  AttemptReason
	// Verdict says whether this attempt ran at the endpoint. It does not cover
	// other attempts of the request.
	Verdict rpverdict.Verdict
	// TokensRelayed is the number of tokens that reached the caller in this
	// attempt.
	TokensRelayed int
	// AnswerStarted is set if a part of an answer without resumable tokens
	// reached the caller, so that no other attempt can replace this one.
	AnswerStarted bool
	// Outcome is set if StartAttempt.Record was set.
	Outcome *Outcome
}

// MemberKind is the kind of a member of the instance list.
type MemberKind string

// The kinds.
const (
	MemberInstance MemberKind = "instance"
	MemberEngine   MemberKind = "engine"
	MemberService  MemberKind = "service"
)

// Member is one entry of the platform's instance list.
type Member struct {
	ID            string         `json:"id" cbor:"id"`
	Kind          MemberKind     `json:"kind" cbor:"kind"`
	Service       string         `json:"service,omitempty" cbor:"service"`
	FailureDomain FailureDomain  `json:"failure_domain" cbor:"failure_domain"`
	Incarnation   Incarnation    `json:"incarnation" cbor:"incarnation"`
	Address       netip.AddrPort `json:"address" cbor:"address"`
	Leaving       bool           `json:"leaving" cbor:"leaving"`
	// EnforcesFencing is set if the engine refuses orders with an outdated
	// fencing number.
	EnforcesFencing bool `json:"enforces_fencing,omitempty" cbor:"enforces_fencing"`
	// Memory is the size of the accelerator memory of an engine.
	Memory       rpdocument.Bytes `json:"memory,omitempty" cbor:"memory"`
	Accelerators int              `json:"accelerators,omitempty" cbor:"accelerators"`
}

// MembersListed carries a snapshot of the platform's instance list. The list
// lags. Once an incarnation has left the list, it is over for good.
type MembersListed struct {
	Stamp
	Members []Member
}

// ListUnavailable reports that the instance list could not be read.
type ListUnavailable struct {
	Stamp
}

// CheckpointPlace is the storage in which an engine finds a checkpoint.
type CheckpointPlace string

// The places, from the fastest to the slowest.
const (
	PlaceMemory CheckpointPlace = "memory"
	PlaceDisk   CheckpointPlace = "disk"
	PlaceRemote CheckpointPlace = "remote"
)

// LoadedModel is a model or adapter in the accelerator memory of an engine.
type LoadedModel struct {
	Key     ModelKey `json:"key" cbor:"key"`
	Version string   `json:"version" cbor:"version"`
	// BaseModel is set for an adapter.
	BaseModel string           `json:"base_model,omitempty" cbor:"base_model"`
	Memory    rpdocument.Bytes `json:"memory" cbor:"memory"`
}

// CachedCheckpoint is a checkpoint in the host memory or on the disk of an
// engine.
type CachedCheckpoint struct {
	Checkpoint string          `json:"checkpoint" cbor:"checkpoint"`
	Place      CheckpointPlace `json:"place" cbor:"place"`
}

// EngineReport is the state of an engine as the engine reported it. It lags
// behind the real state.
type EngineReport struct {
	Endpoint    EndpointID  `json:"endpoint" cbor:"endpoint"`
	Incarnation Incarnation `json:"incarnation" cbor:"incarnation"`
	// Sequence increases with each report of an incarnation.
	Sequence uint64 `json:"sequence" cbor:"sequence"`
	// TakenAt is the time of the measurement by the engine's clock.
	TakenAt      time.Time          `json:"taken_at" cbor:"taken_at"`
	Memory       rpdocument.Bytes   `json:"memory" cbor:"memory"`
	Loaded       []LoadedModel      `json:"loaded" cbor:"loaded"`
	Cached       []CachedCheckpoint `json:"cached" cbor:"cached"`
	Running      int                `json:"running" cbor:"running"`
	Waiting      int                `json:"waiting" cbor:"waiting"`
	Leaving      bool               `json:"leaving" cbor:"leaving"`
	HighestFence uint64             `json:"highest_fence" cbor:"highest_fence"`
}

// EngineReported carries a report that this instance polled.
type EngineReported struct {
	Stamp
	Report EngineReport
}

// EngineUnreachable reports that an engine could not be polled.
type EngineUnreachable struct {
	Stamp
	Endpoint EndpointID
	// Refused is set if the connection was refused, which shows that no process
	// listens at the address.
	Refused bool
}

// CacheEventsReceived carries changes to the prefix cache of an engine, in the
// order in which the engine made them. If First is not the Next of the last
// batch, events were lost, and the content of the cache is unknown until a
// batch with Reset.
type CacheEventsReceived struct {
	Stamp
	Endpoint    EndpointID
	Incarnation Incarnation
	// First is the sequence number of the first event of the batch. Next is the
	// number with which the next batch must start.
	First   uint64
	Next    uint64
	Reset   bool
	Added   []uint64
	Removed []uint64
}

// OrderResult is the result of an order to an engine.
type OrderResult string

// The results.
const (
	// OrderDone: the engine carried out the order, or there was nothing left to
	// do.
	OrderDone OrderResult = "done"
	// OrderFenced: the engine refused the order because of an outdated fencing
	// number or a different incarnation. It will never carry out this order.
	OrderFenced OrderResult = "fenced"
	// OrderRejected: the engine refused the order for another reason, such as a
	// lack of memory.
	OrderRejected OrderResult = "rejected"
	// OrderNotSent: no byte of the order was sent, so it can't arrive later.
	OrderNotSent OrderResult = "not_sent"
	// OrderUnknown: there was no answer. The order may still arrive and take
	// effect.
	OrderUnknown OrderResult = "unknown"
)

// OrderAnswered is the last event of an order.
type OrderAnswered struct {
	Stamp
	Order    OrderID
	Endpoint EndpointID
	Result   OrderResult
	// Detail is the engine's explanation of a refusal.
	Detail string
}

// TableReadDone answers ReadTable. Rows holds the rows that exist; keys without
// a row are left out.
type TableReadDone struct {
	Stamp
	Op          OpID
	Unavailable bool
	Rows        []Row
}

// WriteOutcome is the outcome of a transaction on the table.
type WriteOutcome string

// The outcomes.
const (
	// WriteApplied: all rows were written.
	WriteApplied WriteOutcome = "applied"
	// WriteConflict: a condition failed and nothing was written.
	WriteConflict WriteOutcome = "conflict"
	// WriteUnavailable: the table refused the transaction. Nothing was written
	// or will be written.
	WriteUnavailable WriteOutcome = "unavailable"
	// WriteUnknown: there was no answer. The transaction may have been applied
	// or may still be applied.
	WriteUnknown WriteOutcome = "unknown"
)

// TableWriteDone answers WriteTable.
type TableWriteDone struct {
	Stamp
	Op      OpID
	Outcome WriteOutcome
}

// DocumentLoaded answers LoadDocument.
type DocumentLoaded struct {
	Stamp
	Service     string
	Version     uint64
	Hash        string
	Body        []byte
	Unavailable bool
}

// DocumentSubmitted asks to accept a document that an operator edited. The
// sender has already checked the operator's right to edit against the document
// in force. It ends with AnswerSubmission.
type DocumentSubmitted struct {
	Stamp
	Submission string
	Service    string
	// EditedVersion is the version on which the operator's edit is based, or 0
	// for a new document.
	EditedVersion uint64
	Editor        string
	Hash          string
	Body          []byte
}

// DocumentStored answers StoreDocument.
type DocumentStored struct {
	Stamp
	Submission  string
	Unavailable bool
}

// PeerReceived carries a message from another instance.
type PeerReceived struct {
	Stamp
	From    InstanceID
	Message PeerMessage
}

// PeerLost reports that the connection to a peer broke.
type PeerLost struct {
	Stamp
	Peer InstanceID
}

// DrainRequested starts a planned stop.
type DrainRequested struct {
	Stamp
}
