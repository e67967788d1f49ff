package rpfleet

import (
	"net/netip"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Effect is something that the runtime must do. No other package can add
// effects.
type Effect interface {
	effect()
}

type effectMark struct{}

func (effectMark) effect() {}

// SetAlarm asks for a Tick at At. It replaces an earlier SetAlarm.
type SetAlarm struct {
	effectMark
	At time.Time
}

// StartAttempt sends a request to an endpoint. AttemptEnded follows.
type StartAttempt struct {
	effectMark
	Request  rpcore.RequestID
	Attempt  rpcore.AttemptID
	Endpoint rpcore.EndpointID
	// Incarnation is the endpoint's incarnation when the effect was emitted.
	Incarnation rpcore.Incarnation
	Address     netip.AddrPort
	Rank        int
	// Priority is sent to an engine, from 0 (first) to 9.
	Priority int
	Kind     RouteKind
	// Account is the name of the caller's account, or "". HideCredential says that
	// the caller's key must not reach the endpoint.
	Account        string
	HideCredential bool
	// Repeatable says that the request may run again at another endpoint.
	Repeatable bool
	// ResumeAfter is the id of the last event that the caller has, or "".
	ResumeAfter string
	// ResponseStarted says that a part of the response of an earlier attempt reached
	// the caller. Only further events of the same stream may follow it.
	ResponseStarted bool
	// Version is the version of the weights that a resumed stream needs, or "".
	Version string
	// Deadline is when the response must be complete.
	Deadline time.Time
	// RetryFailure says that a response which reports a failure of the endpoint
	// ends the attempt, because the request can go to another endpoint. Otherwise
	// the response is passed on.
	RetryFailure bool
	// FirstTimeout is the time without a first event, or without the response if it
	// is not a stream, after which AttemptStalled follows. EventTimeout is that
	// between two events. Zero means never.
	FirstTimeout time.Duration
	EventTimeout time.Duration
	// Estimate is what is expected of an attempt at an engine. It is for metrics only.
	Estimate FirstEventEstimate
}

// FirstEventEstimate is the expected time to the first event of an attempt.
type FirstEventEstimate struct {
	// Expected is 0 if nothing is expected.
	Expected time.Duration
	// LongPrompt says that the prompt has more than 2,000 tokens, and BusyEngine that
	// most request slots of the engine were in use.
	LongPrompt bool
	BusyEngine bool
}

// CancelAttempt stops an attempt. AttemptEnded still follows.
type CancelAttempt struct {
	effectMark
	Request rpcore.RequestID
	Attempt rpcore.AttemptID
}

// CancelAllAttempts stops all attempts at the end of a planned stop. AttemptEnded
// still follows for each.
type CancelAllAttempts struct {
	effectMark
}

// RefuseRequest ends a request without a complete response. If a part of the
// response was sent to the caller, the runtime closes the connection.
type RefuseRequest struct {
	effectMark
	Request rpcore.RequestID
	Refusal rpverdict.Refusal
}

// ReadLease reads the lease row. LeaseRead follows.
type ReadLease struct {
	effectMark
}

// WriteLease writes the lease row if it still has the expected revision.
// LeaseWritten follows.
type WriteLease struct {
	effectMark
	Expected Revision
	Row      LeaseRow
}

// ReadConfig reads the configuration now. ConfigRead follows if the store
// answers.
type ReadConfig struct {
	effectMark
}

// SendDemand sends a demand to the planner. PlacementReceived follows.
type SendDemand struct {
	effectMark
	Address netip.AddrPort
	Demand  Demand
}

// PostDemand writes a demand to the store, for a planner that does not answer
// this instance. No event follows.
type PostDemand struct {
	effectMark
	Demand Demand
}

// PostUse writes the use of accounts to the store, for a planner that does not answer
// this instance. No event follows.
type PostUse struct {
	effectMark
	Instance rpcore.InstanceID
	Load     LoadReport
}

// AnswerDemand answers the DemandReceived with the same Call.
type AnswerDemand struct {
	effectMark
	Call      uint64
	Placement Placement
}

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// SendOrder sends an order to an engine, at most once. OrderAnswered follows.
type SendOrder struct {
	effectMark
	Order    rpcore.OrderID
	Endpoint rpcore.EndpointID
	// Incarnation is the endpoint's incarnation when the effect was emitted.
	Incarnation rpcore.Incarnation
	Address     netip.AddrPort
	Kind        OrderKind
	Model       string
	// Adapter is set if the order is about an adapter of Model.
	Adapter string
	// Sequence is the number of orders that the engine must have accepted
	// before this one. Otherwise it answers with a conflict.
	Sequence uint64
	// Fence is the epoch of the lease under which the order is given.
	Fence uint64
	// NotAfter is the end of the lease under which the order is given. The
	// order must not be sent later.
	NotAfter time.Time
}

// CancelOrders cancels the orders in flight when this instance is no longer the
// planner, so that none reaches its engine after an order of the next planner.
// OrderAnswered still follows for each.
type CancelOrders struct {
	effectMark
}

// ReadReport asks an engine for its report. EngineReported follows.
type ReadReport struct {
	effectMark
	Endpoint rpcore.EndpointID
	// Incarnation is the endpoint's incarnation when the effect was emitted.
	Incarnation rpcore.Incarnation
	Address     netip.AddrPort
}

// CheckEngine asks whether an incarnation of an engine still runs. EngineChecked
// follows.
type CheckEngine struct {
	effectMark
	Endpoint    rpcore.EndpointID
	Incarnation rpcore.Incarnation
	Address     netip.AddrPort
}

// PostEvidence writes an instance's evidence of crashes to the store, for a planner
// that does not answer it and for the other instances without one. No event
// follows.
type PostEvidence struct {
	effectMark
	Instance rpcore.InstanceID
	Evidence CrashEvidence
}

// PostQuarantine writes the parts in quarantine to the store, for instances that
// the planner can't reach and for the next planner. No event follows.
type PostQuarantine struct {
	effectMark
	Parts []PartTime
}

// CloseIdleConnections closes the connections to an address that are kept for
// later requests, each once it is idle.
type CloseIdleConnections struct {
	effectMark
	Address netip.AddrPort
}

// ReportReady tells the balancer whether to send callers to this instance.
type ReportReady struct {
	effectMark
	Ready  bool
	Reason string
}

// Note is an entry of the log and the timeline.
type Note struct {
	effectMark
	// Part is the part of the program that the entry is about.
	Part    string
	Text    string
	Request rpcore.RequestID
	Fields  []Field
}

// Field is a named value of a Note.
type Field struct {
	Name  string
	Value any
}
