// Package rptimeline records the events and effects of one instance as compact
// entries in a ring buffer of bounded size. A hybrid logical clock stamps the
// entries, so that the entries of all instances can be merged in causal order.
//
// # Usage
//
//	recorder := &rptimeline.Recorder{}
//	node.Record = recorder.Record
//	links.Tick, links.Merge = recorder.Tick, recorder.Merge
//	page := recorder.Select(rptimeline.Query{Request: "r1"})
//
// The event loop records an event and its effects before it executes the
// effects, so the timestamp of an outgoing message is later than the entry
// about its sending. The receiver merges that timestamp before it posts the
// message to its own event loop, so the receiver's entries are later still.
//
// # Content
//
// An entry contains ids, reasons and short texts. It never contains a body, a
// credential or an idempotency key. Heartbeats, engine reports and polls are
// not recorded, because they would overwrite everything else in the ring within
// minutes. Only a change between successful and failed polls of an engine is
// recorded.
package rptimeline
