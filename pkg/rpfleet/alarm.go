package rpfleet

import "time"

// at runs a function at a time, or after the current event if it has passed.
func (s *State) at(at time.Time, run func(*State)) { s.alarms.Set(at, run) }

func (s *State) after(d time.Duration, run func(*State)) { s.at(s.now.Add(d), run) }

// emitAlarm announces the earliest alarm where it is not the announced one.
func (s *State) emitAlarm() {
	if at, ok := s.alarms.Announce(); ok {
		s.emit(SetAlarm{At: at})
	}
}
