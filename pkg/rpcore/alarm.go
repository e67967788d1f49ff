package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// runAt schedules run for a time. If the time has passed, run is called at the
// end of the current event.
func (s *State) runAt(at time.Time, run func(*State)) rpreducer.AlarmID { return s.alarms.Set(at, run) }

// runAfter schedules run after a duration.
func (s *State) runAfter(d time.Duration, run func(*State)) rpreducer.AlarmID {
	return s.runAt(s.now.Add(d), run)
}

// emitAlarm requests a Tick for the next alarm, unless that Tick is requested
// already.
func (s *State) emitAlarm() {
	if at, ok := s.alarms.Announce(); ok {
		s.emit(SetAlarm{At: at})
	}
}
