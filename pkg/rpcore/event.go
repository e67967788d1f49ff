package rpcore

import (
	"net/netip"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Event is something that happened outside the reducer. The set of events is
// closed.
type Event interface {
	event() Stamp
}

// Stamp is embedded in every event.
type Stamp struct {
	// At is the time at which the runtime saw the event. It never decreases
	// from one event of a State to the next.
	At time.Time
}

func (s Stamp) event() Stamp { return s }

// TimeOf returns the time of an event without a copy of the event.
func TimeOf(ev Event) time.Time { return ev.event().At }

// Start is the first event of a State.
type Start struct {
	Stamp
	Self Identity
	// Operators is the operators' address that peers are told of; an invalid
	// one is not told.
	Operators netip.AddrPort
	Seed      uint64
	Limits    Limits
	Policy    Policy
}

// Tick answers a SetAlarm.
type Tick struct {
	Stamp
}

// Request is what a caller asks for, as far as decisions need it. The body
// stays at the edge.
type Request struct {
	ID RequestID
	// ModelName is service/model or service/adapter; it is empty for a
	// request to a plain service.
	ModelName string
	// Service, Method and Path are set for a request to a plain service; Path
	// is relative to the service.
	Service string
	Method  string
	Path    string
	// Rank and Timeout are zero where the caller names none.
	Rank    rpdocument.Rank
	Timeout time.Duration
	// IdempotencyKey is empty where the caller sends none.
	IdempotencyKey string
	// Fingerprint is a hash of method, path and body. Two requests with one
	// key and different fingerprints are different requests.
	Fingerprint string
	// Credential is the SHA-256 sum (hex) of the caller's credential.
	Credential string
	// Session and PrefixHashes say which replica may have the prompt prefix
	// in its cache; both may be empty. PrefixHashes chain block by block.
	Session      string
	PrefixHashes []uint64
	PromptTokens int
	MaxTokens    int
}

// RequestArrived asks for an answer to a request. It ends with exactly one of:
// an attempt that ends complete, RefuseRequest, ReplayOutcome or
// RequestAbandoned.
type RequestArrived struct {
	Stamp
	Request Request
}

// RequestRejected says that the front refused a request that it did not hand
// to the reducer: there is nothing to decide, but operators see it.
type RequestRejected struct {
	Stamp
	Request RequestID
	Refusal rpverdict.Refusal
}

// RequestAbandoned says that the caller is gone.
type RequestAbandoned struct {
	Stamp
	Request RequestID
}

// AttemptFirstToken says that the first byte of an answer was relayed.
type AttemptFirstToken struct {
	Stamp
	Attempt AttemptID
	Request RequestID
}

// AttemptReason says how an attempt ended.
type AttemptReason string

// The reasons.
const (
	// AttemptComplete: the whole answer was relayed to the caller.
	AttemptComplete AttemptReason = "complete"
	// AttemptRefusedConnection: no connection could be made.
	AttemptRefusedConnection AttemptReason = "refused_connection"
	// AttemptNotLoaded: the engine says that it does not have the model.
	AttemptNotLoaded AttemptReason = "not_loaded"
	// AttemptBusy: the endpoint says that it takes no more work now.
	AttemptBusy AttemptReason = "busy"
	// AttemptLeaving: the endpoint says that it is leaving.
	AttemptLeaving AttemptReason = "leaving"
	// AttemptBroken: the connection broke before the answer was whole.
	AttemptBroken AttemptReason = "broken"
	// AttemptFailed: the endpoint answered with a server error.
	AttemptFailed AttemptReason = "failed"
	// AttemptCanceled: CancelAttempt ended it.
	AttemptCanceled AttemptReason = "canceled"
	// AttemptTimedOut: the deadline of the attempt passed.
	AttemptTimedOut AttemptReason = "timed_out"
)

// Outcome is an answer as it is recorded for a request that may run only
// once.
type Outcome struct {
	Status      int    `cbor:"status"`
	ContentType string `cbor:"content_type"`
	Body        []byte `cbor:"body"`
	// Truncated says that the body was larger than OutcomeBodyLimit and is
	// not kept.
	Truncated bool `cbor:"truncated"`
}

// OutcomeBodyLimit bounds the recorded body, in bytes. A table item holds at
// most 400 KB in the DynamoDB protocol.
const OutcomeBodyLimit = 256 << 10

// AttemptEnded is the last event of an attempt.
type AttemptEnded struct {
	Stamp
	Attempt AttemptID
	Request RequestID
	Reason  AttemptReason
	// Verdict is about this attempt alone.
	Verdict rpverdict.Verdict
	// TokensRelayed counts the tokens that reached the caller in this
	// attempt.
	TokensRelayed int
	// AnswerStarted says that a byte of a response without resumable tokens
	// reached the caller, so no other attempt can take its place.
	AnswerStarted bool
	// Outcome is set for attempts with Record.
	Outcome *Outcome
}

// MemberKind says what a member of the instance list is.
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
	// EnforcesFencing says that the engine refuses an order with an old
	// fencing number.
	EnforcesFencing bool `json:"enforces_fencing,omitempty" cbor:"enforces_fencing"`
	// Memory is the accelerator memory of an engine.
	Memory       rpdocument.Bytes `json:"memory,omitempty" cbor:"memory"`
	Accelerators int              `json:"accelerators,omitempty" cbor:"accelerators"`
}

// MembersListed is a reading of the platform's instance list. The list lags;
// an entry that it lacks is gone for good with its incarnation.
type MembersListed struct {
	Stamp
	Members []Member
}

// ListUnavailable says that the instance list could not be read.
type ListUnavailable struct {
	Stamp
}

// CheckpointPlace says where an engine has a checkpoint.
type CheckpointPlace string

// The places, from the fastest to the slowest.
const (
	PlaceMemory CheckpointPlace = "memory"
	PlaceDisk   CheckpointPlace = "disk"
	PlaceRemote CheckpointPlace = "remote"
)

// LoadedModel is a model or adapter that an engine has in accelerator memory.
type LoadedModel struct {
	Key     ModelKey `json:"key" cbor:"key"`
	Version string   `json:"version" cbor:"version"`
	// BaseModel is set for an adapter.
	BaseModel string           `json:"base_model,omitempty" cbor:"base_model"`
	Memory    rpdocument.Bytes `json:"memory" cbor:"memory"`
}

// CachedCheckpoint is a checkpoint that an engine has in host memory or on
// disk.
type CachedCheckpoint struct {
	Checkpoint string          `json:"checkpoint" cbor:"checkpoint"`
	Place      CheckpointPlace `json:"place" cbor:"place"`
}

// EngineReport is what an engine says about itself, with a lag.
type EngineReport struct {
	Endpoint    EndpointID  `json:"endpoint" cbor:"endpoint"`
	Incarnation Incarnation `json:"incarnation" cbor:"incarnation"`
	// Sequence grows with each report of an incarnation.
	Sequence uint64 `json:"sequence" cbor:"sequence"`
	// TakenAt is the engine's time of the measurement.
	TakenAt      time.Time          `json:"taken_at" cbor:"taken_at"`
	Memory       rpdocument.Bytes   `json:"memory" cbor:"memory"`
	Loaded       []LoadedModel      `json:"loaded" cbor:"loaded"`
	Cached       []CachedCheckpoint `json:"cached" cbor:"cached"`
	Running      int                `json:"running" cbor:"running"`
	Waiting      int                `json:"waiting" cbor:"waiting"`
	Leaving      bool               `json:"leaving" cbor:"leaving"`
	HighestFence uint64             `json:"highest_fence" cbor:"highest_fence"`
}

// EngineReported carries a report, polled by this instance.
type EngineReported struct {
	Stamp
	Report EngineReport
}

// EngineUnreachable says that a report could not be polled.
type EngineUnreachable struct {
	Stamp
	Endpoint EndpointID
	// Refused says that the connection was refused, so nothing listens there.
	Refused bool
}

// CacheEventsReceived carries changes of an engine's prefix cache, in the
// engine's order. Sequence numbers that do not continue the last batch are a
// gap: the view of that engine is unknown until a batch with Reset.
type CacheEventsReceived struct {
	Stamp
	Endpoint    EndpointID
	Incarnation Incarnation
	// First is the sequence number of the first event of the batch, Next the
	// one that the next batch must start with.
	First   uint64
	Next    uint64
	Reset   bool
	Added   []uint64
	Removed []uint64
}

// OrderResult says what became of an order.
type OrderResult string

// The results.
const (
	// OrderDone: the engine carried it out, or it had no effect left to have.
	OrderDone OrderResult = "done"
	// OrderFenced: the engine refused an old fencing number or a wrong
	// incarnation. It will never carry out this order.
	OrderFenced OrderResult = "fenced"
	// OrderRejected: the engine refused for another reason, such as memory.
	OrderRejected OrderResult = "rejected"
	// OrderNotSent: no byte of the order left, so it can't arrive later.
	OrderNotSent OrderResult = "not_sent"
	// OrderUnknown: no answer came; the order may still arrive and take
	// effect.
	OrderUnknown OrderResult = "unknown"
)

// OrderAnswered is the last event of an order.
type OrderAnswered struct {
	Stamp
	Order    OrderID
	Endpoint EndpointID
	Result   OrderResult
	// Detail is the engine's sentence where it refused.
	Detail string
}

// TableReadDone answers ReadTable. Rows holds one entry for each key that
// exists.
type TableReadDone struct {
	Stamp
	Op          OpID
	Unavailable bool
	Rows        []Row
}

// WriteOutcome says what became of a transaction.
type WriteOutcome string

// The outcomes.
const (
	// WriteApplied: all rows were written.
	WriteApplied WriteOutcome = "applied"
	// WriteConflict: a condition failed; nothing was written.
	WriteConflict WriteOutcome = "conflict"
	// WriteUnavailable: the service refused; nothing was or will be written.
	WriteUnavailable WriteOutcome = "unavailable"
	// WriteUnknown: no answer came; it may take effect, even later.
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
// operator's right to edit was checked against the document in force. It ends
// with AnswerSubmission.
type DocumentSubmitted struct {
	Stamp
	Submission string
	Service    string
	// EditedVersion is the version that the operator started from; 0 is a new
	// document.
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

// PeerReceived carries a message of another instance.
type PeerReceived struct {
	Stamp
	From    InstanceID
	Message PeerMessage
}

// PeerLost says that the link to a peer broke.
type PeerLost struct {
	Stamp
	Peer InstanceID
}

// DrainRequested starts a planned stop.
type DrainRequested struct {
	Stamp
}
