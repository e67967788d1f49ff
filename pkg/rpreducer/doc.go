// Package rpreducer holds what the reducers of the system share: alarms,
// decaying sums and rendezvous hashing. It reads no clock.
//
// # Usage
//
// A reducer embeds Alarms for its own type and, at the end of each event, fires
// the alarms that are due and announces the next one:
//
//	type State struct {
//		now    time.Time
//		alarms rpreducer.Alarms[State]
//	}
//
//	s.alarms.Set(s.now.Add(time.Second), (*State).tick)
//	s.alarms.Fire(s.now, s)
//	if at, ok := s.alarms.Announce(); ok {
//		// Ask the runtime for an event at that time.
//	}
package rpreducer
