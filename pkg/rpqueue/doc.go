// Package rpqueue orders the waiting requests of one service at one instance
// and derives the priority that is sent to engines. It is pure: it reads no
// clock and does no I/O.
//
// # Usage
//
// Keep one Order for each service and one Entry for each waiting request. Sort
// the requests before they are started: the order changes as time passes.
//
//	order := rpqueue.Order{Margin: 300 * time.Millisecond}
//	entry := rpqueue.Entry{Request: rpqueue.Request{
//		ID: "r1", Rank: 1, Kind: "chat", Arrived: now, Target: now.Add(600 * time.Millisecond), Deadline: now.Add(4 * time.Second),
//	}}
//	order.RecordArrival(now, &entry.Request)
//	rpqueue.Sort(&order, now, waiting, func(w *waitingRequest) *rpqueue.Entry { return &w.entry })
//	order.RecordServed(now, &entry.Request)
//	number := order.Priority(now, &entry.Request)
//
// # Order
//
// A request whose Target is zero has neither slack nor lateness: such requests
// are ordered by rank, tag and arrival alone. docs/design/request-order.md
// explains the order and compares it with others.
package rpqueue
