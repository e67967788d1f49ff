package rpfleet

import (
	"net/netip"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
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

// StartAttempt sends a request to an endpoint. It ends with AttemptEnded.
type StartAttempt struct {
	effectMark
	Request  rpcore.RequestID
	Attempt  rpcore.AttemptID
	Endpoint rpcore.EndpointID
	Address  netip.AddrPort
	Rank     int
	Kind     RouteKind
	// Repeatable says that the request may run again elsewhere.
	Repeatable bool
	// ResumeAfter is the last event that the caller has, or "".
	ResumeAfter string
	// Version is the version of the weights that a resumed stream needs.
	Version string
	// Deadline is when the answer has to be complete.
	Deadline time.Time
	// FirstTimeout bounds the wait for the first event or for the answer, and
	// EventTimeout that between two events. Zero is no bound.
	FirstTimeout time.Duration
	EventTimeout time.Duration
}

// CancelAttempt stops an attempt; AttemptEnded still follows.
type CancelAttempt struct {
	effectMark
	Request rpcore.RequestID
	Attempt rpcore.AttemptID
}

// RefuseRequest ends a request without an answer. Where a part of the answer
// was relayed, the edge breaks the connection off.
type RefuseRequest struct {
	effectMark
	Request rpcore.RequestID
	Refusal rpverdict.Refusal
}

// ReadLease asks for the lease row and ends with LeaseRead.
type ReadLease struct {
	effectMark
}

// WriteLease writes the lease row if it still has the expected revision. It
// ends with LeaseWritten.
type WriteLease struct {
	effectMark
	Expected uint64
	Row      LeaseRow
}

// ReadConfig reads the configuration now. It ends with ConfigRead where the
// store answers.
type ReadConfig struct {
	effectMark
}

// SendDemand sends a demand to the planner and ends with PlacementReceived.
type SendDemand struct {
	effectMark
	Address netip.AddrPort
	Demand  Demand
}

// PostDemand leaves a demand in the store for a planner that does not answer
// this instance. Nothing follows from it but what the planner orders.
type PostDemand struct {
	effectMark
	Demand Demand
}

// AnswerDemand answers a DemandReceived.
type AnswerDemand struct {
	effectMark
	Call      uint64
	Placement Placement
}

// OrderKind says what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// SendOrder sends an order to an engine and ends with OrderAnswered. It is
// sent at most once.
type SendOrder struct {
	effectMark
	Order    rpcore.OrderID
	Endpoint rpcore.EndpointID
	Address  netip.AddrPort
	Kind     OrderKind
	Model    string
	// Adapter is set for an order about an adapter of Model.
	Adapter string
	// Sequence is the number of orders that the engine must have accepted.
	Sequence uint64
	Fence    uint64
	// NotAfter is the end of the lease that allows the order.
	NotAfter time.Time
}

// CancelOrders gives up the orders under way when this instance plans no more,
// so that none reaches its engine after those of the next planner. Each still
// ends with OrderAnswered.
type CancelOrders struct {
	effectMark
}

// ReadReport asks an engine for its report and ends with EngineReported.
type ReadReport struct {
	effectMark
	Endpoint rpcore.EndpointID
	Address  netip.AddrPort
}

// ReportReady tells the balancer whether to send callers here.
type ReportReady struct {
	effectMark
	Ready  bool
	Reason string
}

// Note is an entry for the log.
type Note struct {
	effectMark
	// Part names the part of the log.
	Part    string
	Text    string
	Request rpcore.RequestID
	Fields  []Field
}

// Field is a named value of a note.
type Field struct {
	Name  string
	Value any
}
