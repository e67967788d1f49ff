package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// at runs a function at a time; a time that has passed means at the end of
// this event.
func (s *State) at(at time.Time, run func(*State)) rpreducer.AlarmID { return s.alarms.Set(at, run) }

// after runs a function after a duration.
func (s *State) after(d time.Duration, run func(*State)) rpreducer.AlarmID {
	return s.at(s.now.Add(d), run)
}

func (s *State) emitAlarm() {
	if at, ok := s.alarms.Announce(); ok {
		s.emit(SetAlarm{At: at})
	}
}
