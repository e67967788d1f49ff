package rpfleet

import (
	"net/netip"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Event is something that happened outside the reducer. The set of events is
// closed.
type Event interface {
	event() Stamp
}

// Stamp is embedded in every event.
type Stamp struct {
	// At is the time of the event. It counts the time that the machine was
	// suspended, so that a lease is never held for longer than it lasts.
	At time.Time
}

func (s Stamp) event() Stamp { return s }

// Start is the first event of a State.
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

// Tick answers a SetAlarm.
type Tick struct {
	Stamp
}

// ConfigRead carries a version of the configuration.
type ConfigRead struct {
	Stamp
	Config *Config
}

// EndpointsRead carries entries of the platform's list of endpoints.
type EndpointsRead struct {
	Stamp
	// Complete says that Entries is the whole list, so an endpoint that it
	// lacks is gone.
	Complete bool
	// AsOf is the revision of the store at which a complete list was read.
	AsOf    uint64
	Entries []Endpoint
	Removed []RemovedEntry
}

// RemovedEntry says that an entry was no longer in the list at a revision of the
// store; 0 where that is not known.
type RemovedEntry struct {
	_ struct{} `cbor:",toarray"`

	ID       rpcore.EndpointID
	Revision uint64
}

// StoreLost says that the platform's list could not be read.
type StoreLost struct {
	Stamp
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is what a caller asks for, as far as decisions need it. The body
// stays at the edge.
type Request struct {
	ID   rpcore.RequestID
	Host string
	Path string
	// Deadline is the end of the caller's patience; it is zero where the
	// caller names none.
	Deadline time.Time
	// Model and Adapter are empty for requests to plain services.
	Model        string
	Adapter      string
	Prompt       []PromptPart
	PromptTokens int
	MaxTokens    int
	// ResumeAfter is the last event that the caller has, or "".
	ResumeAfter string
}

// RequestArrived asks for an answer to a request.
type RequestArrived struct {
	Stamp
	Request Request
}

// RequestAbandoned says that the caller is gone.
type RequestAbandoned struct {
	Stamp
	Request rpcore.RequestID
}

// AttemptStarted says that the first event of a stream was relayed.
type AttemptStarted struct {
	Stamp
	Request rpcore.RequestID
	Attempt rpcore.AttemptID
}

// AttemptEnded is the last event of an attempt.
type AttemptEnded struct {
	Stamp
	Request rpcore.RequestID
	Attempt rpcore.AttemptID
	Reason  rpcore.AttemptReason
	Verdict rpverdict.Verdict
	// AnswerStarted says that a byte of the answer reached the caller.
	AnswerStarted bool
	// LastEvent is the id of the last event that reached the caller.
	LastEvent string
	// LongestPause is the longest time between two events of the stream.
	LongestPause time.Duration
	// Version is the version of the weights that made the answer, or "".
	Version string
	// Detail is for the log.
	Detail string
}

// LeaseRow is the content of the lease in the store.
type LeaseRow struct {
	// Revision is that of the row; 0 means that the row does not exist.
	Revision uint64
	// Holder is "" once the holder has given the lease up.
	Holder  rpcore.InstanceID
	Address netip.AddrPort
	// Epoch grows with each holder and is the fencing token of its orders.
	Epoch uint64
	// Renewals changes with each renewal.
	Renewals uint64
	// ValidUntil is the end of the lease by the clock of the store. The holder
	// gives no order after it.
	ValidUntil StoreTime
	// OrdersFrom is when the holder gives its first order at the latest, by the
	// clock of the store. It binds the next process of the same instance too.
	OrdersFrom StoreTime
	// Released is set in a lease that was given up. Orders then holds the engines
	// that may have got an order lately; others may get one at once.
	Released     bool
	RecentOrders []RecentOrder
}

// RecentOrder says how long ago an engine may have got its last order.
type RecentOrder struct {
	_ struct{} `cbor:",toarray"`

	Endpoint rpcore.EndpointID
	// Age is negative for an order that may still be on its way.
	Age time.Duration
}

// StoreTime is a time by the steady clock of the store, which all instances can
// compare.
type StoreTime time.Duration

// LeaseRead answers ReadLease. AskedAt is the time at which the call began.
type LeaseRead struct {
	Stamp
	AskedAt time.Time
	Failed  bool
	Row     LeaseRow
	// StoreNow is the clock of the store when it answered.
	StoreNow StoreTime
}

// LeaseWritten answers WriteLease. AskedAt is the time at which the call
// began.
type LeaseWritten struct {
	Stamp
	AskedAt time.Time
	Outcome rpcore.WriteOutcome
	// Row is the row in force after WriteApplied and WriteConflict.
	Row LeaseRow
	// StoreNow is the clock of the store when it answered, or 0.
	StoreNow StoreTime
}

// OrderOutcome says what an engine answered to an order.
type OrderOutcome string

// The outcomes of orders.
const (
	// OrderAccepted: the order is being carried out.
	OrderAccepted OrderOutcome = "accepted"
	// OrderHolds: what the order asks for already holds.
	OrderHolds OrderOutcome = "holds"
	// OrderConflict: another order is in progress or the sequence differs.
	OrderConflict OrderOutcome = "conflict"
	// OrderRejected: the engine refuses the order for good.
	OrderRejected OrderOutcome = "rejected"
	// OrderNotSent: no byte of the order left.
	OrderNotSent OrderOutcome = "not_sent"
	// OrderUnknown: no answer came; the order may be carried out later.
	OrderUnknown OrderOutcome = "unknown"
)

// OrderAnswered is the last event of an order.
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

// DemandReceived carries the demand of another instance. It is answered with
// AnswerDemand.
type DemandReceived struct {
	Stamp
	Call   uint64
	Demand Demand
}

// DemandPosted carries a demand that another instance left in the store, because
// it does not reach this one.
type DemandPosted struct {
	Stamp
	Demand Demand
}

// PlacementReceived carries the planner's answer to this instance's demand.
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

// DrainTimeoutNear refuses all requests that wait, near the end of a planned stop.
type DrainTimeoutNear struct {
	Stamp
}
