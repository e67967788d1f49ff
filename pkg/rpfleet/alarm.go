package rpfleet

import "time"

// runAt runs a function at a time, or after the current event if it has passed.
func (s *State) runAt(at time.Time, run func(*State)) { s.alarms.Set(at, run) }

func (s *State) runAfter(d time.Duration, run func(*State)) { s.runAt(s.now.Add(d), run) }

// announceNextAlarm announces the earliest alarm where it is not the announced one.
func (s *State) announceNextAlarm() {
	if at, ok := s.alarms.Announce(); ok {
		s.emit(SetAlarm{At: at})
	}
}
