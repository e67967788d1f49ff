// Package rpfleet decides how the requests of callers are routed to the
// endpoints of a fleet, and which models and adapters its engines hold. It is
// used where the configuration, the list of endpoints and the store belong to
// the platform that the system runs on.
//
// # Usage
//
// A State is a reducer: it takes events and returns effects as data. It does
// no I/O and reads no clock.
//
//	var state rpfleet.State
//	state.Reduce(rpfleet.Start{Stamp: rpfleet.Stamp{At: now}, Self: self, Policy: policy})
//	effects := state.Reduce(rpfleet.RequestArrived{Stamp: rpfleet.Stamp{At: now}, Request: request})
//
// Every request ends with exactly one of: an attempt that ends complete, a
// RefuseRequest, or a RequestAbandoned.
//
// # Parts
//
// Every instance routes its own requests (request.go, routing.go). One
// instance at a time, the planner, holds a lease in the store (lease.go) and
// gives all orders to the engines (plan.go, placing.go, order.go), within what
// the weight store serves at full speed (weightstore.go). Instances tell it what
// their callers ask for, and learn from its answer what the engines hold and how
// the list of endpoints changed (demand.go, listing.go).
package rpfleet
