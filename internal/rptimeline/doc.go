// Package rptimeline records what happens at one instance as compact entries
// in a bounded ring, and stamps them with a hybrid logical clock, so that the
// entries of all instances can be put in causal order.
//
// # Usage
//
//	recorder := &rptimeline.Recorder{}
//	node.Record = recorder.Record
//	links.Tick, links.Merge = recorder.Tick, recorder.Merge
//	page := recorder.Select(rptimeline.Query{Request: "r1"})
//
// The event loop records the entries of an event before it carries out the
// effects, so the clock that goes out with a message is later than the entry
// of its sending. The receiver merges that clock before it posts the message,
// so its entries are later still.
//
// # Content
//
// An entry names ids, reasons and short texts. It never holds a body, a
// credential or an idempotency key. Heartbeats, reports of engines and polls
// are not recorded: they would push everything else out of the ring within
// minutes.
package rptimeline
