package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// runAt runs a function at a time; a time that has passed means at the end of
// this event.
func (s *State) runAt(at time.Time, run func(*State)) rpreducer.AlarmID { return s.alarms.Set(at, run) }

// runAfter runs a function after a duration.
func (s *State) runAfter(d time.Duration, run func(*State)) rpreducer.AlarmID {
	return s.runAt(s.now.Add(d), run)
}

func (s *State) emitAlarm() {
	if at, ok := s.alarms.Announce(); ok {
		s.emit(SetAlarm{At: at})
	}
}
