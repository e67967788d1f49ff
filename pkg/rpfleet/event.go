package rpfleet

import (
	"net/netip"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Event is something that happened outside the reducer. No other package can
// add events.
type Event interface {
	event() Stamp
}

// Stamp is embedded in every event.
type Stamp struct {
	// At is the time of the event. Its clock must go on while the machine is
	// suspended, so that no lease is held beyond its end.
	At time.Time
}

func (s Stamp) event() Stamp { return s }

// Start must be the first event of a State.
type Start struct {
	Stamp
	Self rpcore.Identity
	// PeerAddress is where other instances reach this one.
	PeerAddress netip.AddrPort
	Seed        uint64
	Policy      Policy
}

// PolicyChanged replaces the policy after a change of the settings.
type PolicyChanged struct {
	Stamp
	Policy Policy
}

// Tick follows a SetAlarm at its time.
type Tick struct {
	Stamp
}

// ConfigRead carries a version of the configuration.
type ConfigRead struct {
	Stamp
	Config *Config
}

// ConfigChecked says that the store answered a call for the configuration and that
// all versions in the answer were applied.
type ConfigChecked struct {
	Stamp
	// AskedAt is when the call to the store began.
	AskedAt time.Time
	// Undecoded says that the newest version in the store can't be decoded, so that
	// the version in force may not be the newest one.
	Undecoded bool
}

// EndpointsRead carries entries of the platform's list of endpoints.
type EndpointsRead struct {
	Stamp
	// AskedAt is when the call to the store began.
	AskedAt time.Time
	// Complete says that Entries is the whole list, so endpoints that it lacks
	// are removed.
	Complete bool
	// AsOf is the revision of the store at which a complete list was read, or
	// 0.
	AsOf    Revision
	Entries []Endpoint
	Removed []RemovedEntry
}

// RemovedEntry says that the list lacked an entry at a revision of the store.
// Revision is 0 if it is not known.
type RemovedEntry struct {
	_ struct{} `cbor:",toarray"`

	ID       rpcore.EndpointID
	Revision Revision
}

// StoreLost says that the list of endpoints can't be read.
type StoreLost struct {
	Stamp
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is the part of a caller's request that decisions depend on. The
// runtime keeps the body.
type Request struct {
	ID   rpcore.RequestID
	Host string
	Path string
	// Deadline is when the caller needs the complete response, or zero if it
	// gives none.
	Deadline time.Time
	// Model and Adapter are empty for requests to plain services.
	Model        string
	Adapter      string
	Prompt       []PromptPart
	PromptTokens int
	MaxTokens    int
	// TokensCounted says that the caller stated PromptTokens and MaxTokens.
	TokensCounted bool
	// Credential is the digest of the caller's key.
	Credential rpaccount.Credential
	// ResumeAfter is the id of the last event that the caller has, or "".
	ResumeAfter string
}

// RequestArrived starts a request. It ends with exactly one of an attempt that
// is complete, a RefuseRequest or a RequestAbandoned.
type RequestArrived struct {
	Stamp
	Request Request
}

// RequestAbandoned says that the caller closed the connection.
type RequestAbandoned struct {
	Stamp
	Request rpcore.RequestID
	// NotRun says that the attempt that the caller left has the verdict NotRun.
	NotRun bool
}

// AttemptStarted says that the first event of a stream was sent on to the
// caller.
type AttemptStarted struct {
	Stamp
	Request rpcore.RequestID
	Attempt rpcore.AttemptID
}

// AttemptStalled says that the endpoint has sent no data for the FirstTimeout or
// the EventTimeout of the attempt. It comes again after each further timeout
// without data. CancelAttempt may follow.
type AttemptStalled struct {
	Stamp
	Request rpcore.RequestID
	Attempt rpcore.AttemptID
	// Unresumable is as in AttemptEnded.
	Unresumable bool
}

// AttemptEnded is the last event of an attempt.
type AttemptEnded struct {
	Stamp
	Request rpcore.RequestID
	Attempt rpcore.AttemptID
	Reason  rpcore.AttemptReason
	Verdict rpverdict.Verdict
	// ResponseStarted says that a byte of the response reached the caller.
	ResponseStarted bool
	// StoppedAtStart says that the head of a stream arrived, but the connection
	// broke before the first event of this attempt.
	StoppedAtStart bool
	// LastEvent is the id of the last event that reached the caller.
	LastEvent string
	// Unresumable says that events without an id reached the caller, so that no
	// endpoint can tell where the stream goes on.
	Unresumable bool
	// LongestPause is the longest time between two events of the stream.
	LongestPause time.Duration
	// Events is the number of events of this attempt that arrived separately, and
	// EventSpan the time from the first to the last one.
	Events    int
	EventSpan time.Duration
	// Version is the version of the weights that produced the response, or
	// "".
	Version string
	// Detail is only for the log.
	Detail string
}

// EndpointNoticed carries the notice in a response of an endpoint. The runtime
// applies it before it passes the response on. Incarnation is that of the effect
// that caused the response.
type EndpointNoticed struct {
	Stamp
	Endpoint    rpcore.EndpointID
	Incarnation rpcore.Incarnation
	Notice      EndpointNotice
}

// StoreEraBegan says that the store answers in an era that this instance did not know.
type StoreEraBegan struct {
	Stamp
	Era uint64
}

// LeaseRow is the content of the planner's lease in the store.
type LeaseRow struct {
	// Revision is the store's revision of the row; 0 means that the row does
	// not exist.
	Revision Revision
	// Era is the era in which the row was written. The store may show the row in a
	// later one.
	Era uint64
	// Holder is "" once the holder has given the lease up.
	Holder  rpcore.InstanceID
	Address netip.AddrPort
	// Epoch grows with each holder. It is the fencing token of the holder's
	// orders.
	Epoch uint64
	// Renewals counts the renewals, so that each one changes the row.
	Renewals uint64
	// ValidUntil is the end of the lease by the store's clock. The holder gives
	// no order after it. 0 if it is not known.
	ValidUntil StoreTime
	// OrdersFrom is the time, by the store's clock, from which the holder may
	// give orders to all engines. It also applies to the next process of the
	// same instance.
	OrdersFrom StoreTime
	// Released says that the lease was given up. RecentOrders then contains the
	// engines that may have got an order lately. The others may get one at
	// once.
	Released     bool
	RecentOrders []RecentOrder
	// Instances is the number of instances that the holder knows, or 0 if it
	// does not know all of them yet.
	Instances int
}

// RecentOrder says how long ago an engine may have got its last order.
type RecentOrder struct {
	_ struct{} `cbor:",toarray"`

	Endpoint rpcore.EndpointID
	// Age is negative for an order that may still be on its way.
	Age time.Duration
}

// StoreTime is a time of the store's steady clock, which is the same for all
// instances.
type StoreTime time.Duration

// LeaseRead answers ReadLease. AskedAt is when the call began.
type LeaseRead struct {
	Stamp
	AskedAt time.Time
	Failed  bool
	Row     LeaseRow
	// StoreNow is the store's clock when it answered, or 0.
	StoreNow StoreTime
}

// LeaseWritten answers WriteLease. AskedAt is when the call began.
type LeaseWritten struct {
	Stamp
	AskedAt time.Time
	Outcome rpcore.WriteOutcome
	// Row is the row in the store after WriteApplied and WriteConflict.
	Row LeaseRow
	// StoreNow is the store's clock when it answered, or 0.
	StoreNow StoreTime
}

// OrderOutcome is the result of an order.
type OrderOutcome string

// The outcomes of orders.
const (
	// OrderAccepted: the order is being carried out.
	OrderAccepted OrderOutcome = "accepted"
	// OrderHolds: the engine is already in the state that the order asks for.
	OrderHolds OrderOutcome = "holds"
	// OrderConflict: another order is in progress, or the number of accepted
	// orders differs from the order's Sequence.
	OrderConflict OrderOutcome = "conflict"
	// OrderRejected: the engine refuses the order permanently.
	OrderRejected OrderOutcome = "rejected"
	// OrderNotSent: no byte of the order was sent.
	OrderNotSent OrderOutcome = "not_sent"
	// OrderUnknown: there was no answer; the order may still be carried out.
	OrderUnknown OrderOutcome = "unknown"
)

// OrderAnswered ends an order.
type OrderAnswered struct {
	Stamp
	Order   rpcore.OrderID
	Outcome OrderOutcome
	Detail  string
}

// EngineReported answers ReadReport.
type EngineReported struct {
	Stamp
	Endpoint rpcore.EndpointID
	Failed   bool
	Report   EngineReport
}

// EngineChecked answers CheckEngine. Alive says that the same incarnation still
// runs.
type EngineChecked struct {
	Stamp
	Endpoint    rpcore.EndpointID
	Incarnation rpcore.Incarnation
	Alive       bool
}

// EvidenceRead carries what the store holds of crashes: the evidence that
// instances wrote, and the parts in quarantine that a planner wrote. Complete says
// that it is all of it, not only what has changed.
type EvidenceRead struct {
	Stamp
	Complete    bool
	Evidence    []CrashEvidence
	Quarantined []PartTime
}

// DemandReceived carries the demand of another instance. AnswerDemand answers
// it.
type DemandReceived struct {
	Stamp
	Call   uint64
	Demand Demand
}

// DemandPosted carries a demand that another instance wrote to the store
// because it can't reach the planner.
type DemandPosted struct {
	Stamp
	Demand Demand
}

// UsePosted carries the use of accounts that another instance wrote to the store because
// it can't reach the planner.
type UsePosted struct {
	Stamp
	Instance rpcore.InstanceID
	Load     LoadReport
}

// PlacementReceived carries the planner's answer to this instance's demand.
// AskedAt is when the call began.
type PlacementReceived struct {
	Stamp
	AskedAt   time.Time
	Failed    bool
	Placement Placement
}

// DrainRequested starts a planned stop.
type DrainRequested struct {
	Stamp
}

// DrainTimeoutNear says that a planned stop is about to end. All waiting
// requests are refused, and so are later ones that would have to wait.
type DrainTimeoutNear struct {
	Stamp
}

// DrainTimeoutPassed ends a planned stop. All attempts are canceled, and their
// requests are refused.
type DrainTimeoutPassed struct {
	Stamp
}
