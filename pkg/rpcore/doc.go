// Package rpcore decides everything that an entry instance does. It is one
// reducer: events go in, effects come out as data. It does no I/O, reads no
// clock, starts no goroutine and depends on no map order, so the same events
// always give the same effects.
//
// # Usage
//
// The zero State works after a Start event. A runtime, a test or a test bench
// drives it the same way:
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
// Every event carries the time at which the runtime saw it. The effect
// SetAlarm asks for a Tick at a later time. A State must be used by one
// goroutine at a time. Reduce returns a slice that is valid until the next
// call.
//
// # Ownership
//
// A State is the view of one instance. What several instances must agree on
// lives in rows of the platform's table, which the effects ReadTable and
// WriteTable reach; everything else can be rebuilt from the instance list,
// the engines' reports and the peers.
package rpcore
