package rpfleet

import "time"

// runAt runs a function at a time, or at the end of the current event if that
// time has passed.
func (s *State) runAt(at time.Time, run func(*State)) { s.alarms.Set(at, run) }

func (s *State) runAfter(d time.Duration, run func(*State)) { s.runAt(s.now.Add(d), run) }

// announceNextAlarm asks the runtime for a Tick at the earliest alarm, unless
// it was asked for that already.
func (s *State) announceNextAlarm() {
	if at, ok := s.alarms.Announce(); ok {
		s.emit(SetAlarm{At: at})
	}
}
