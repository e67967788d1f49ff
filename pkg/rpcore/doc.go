// Package rpcore makes every decision of an entry instance. It is a single
// reducer: it takes events and returns effects as data. It does no I/O, reads
// no clock, starts no goroutine and never depends on map order, so the same
// events always produce the same effects.
//
// # Usage
//
// The zero State is ready for a Start event. The runtime, tests and benchmarks
// all drive it in the same way:
//
//	var s rpcore.State
//	effects := s.Reduce(rpcore.Start{Stamp: rpcore.Stamp{At: now}, Self: self, Seed: seed})
//	for _, effect := range effects {
//		switch effect := effect.(type) {
//		case rpcore.SendOrder:
//			// Carry out the order and feed the answer back as OrderAnswered.
//		}
//	}
//
// Every event carries the time at which the runtime saw it. The SetAlarm effect
// requests a Tick at a later time. A State is not safe for concurrent use. The
// slice that Reduce returns is valid until the next call.
//
// # Ownership
//
// A State is the view of one instance. State that instances must agree on is
// kept in rows of the platform's table, which the ReadTable and WriteTable
// effects access. Everything else can be rebuilt from the instance list, the
// engine reports and messages from peers.
//
// # Terms
//
// The home of a model, engine or service is the live instance that makes the
// decisions about it. A snapshot is one reading of the platform's instance
// list. Comments state costs at the design size: 460 instances and 12,000
// engines in 27 failure domains.
package rpcore
