// Package rpfleet decides how the requests of callers are routed to the
// endpoints of a fleet, and which models and adapters its engines hold. It is
// for deployments whose platform provides the configuration, the list of
// endpoints and the store.
//
// # Usage
//
// A State is a reducer: it takes events and returns effects, which the runtime
// carries out. It does no I/O and reads no clock.
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
// Every instance routes the requests of its own callers: request.go queues and
// refuses them in the order of queue_order.go, routing.go chooses endpoints, with
// the rule of long_prompts.go for long prompts, attempt.go handles the end of
// attempts and retries, within the budget of retry_budget.go. silence.go decides
// whether a request leaves an endpoint that sends no data, health.go ejects
// endpoints that fail.
//
// One instance at a time is the planner. It holds a lease in the store
// (lease.go, takeover.go) and sends all orders to the engines. plan.go compares
// the demand with what the engines hold, loads.go and eviction.go choose the
// engine for a load and what to unload for it, adapter.go does the same for
// adapters, and order.go sends orders and handles the answers. weightstore.go
// bounds the concurrent loads from the weight store.
//
// The other instances report to the planner what their callers ask for
// (demand.go). The planner's answers (demand_answers.go) contain what the engines
// hold and how the list of endpoints changed (list_changes.go).
package rpfleet
