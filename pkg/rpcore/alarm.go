package rpcore

import (
	"container/heap"
	"time"
)

// alarmID names an alarm that can be stopped.
type alarmID uint64

// alarm calls run when its time has come. The function must find its subject
// again by id, since it may be gone by then.
type alarm struct {
	at    time.Time
	id    alarmID
	run   func(*State)
	index int
}

// alarms holds the pending alarms, the earliest first. Alarms of one time fire
// in the order in which they were set.
type alarms struct {
	heap   []*alarm
	byID   map[alarmID]*alarm
	lastID alarmID
	// announced is the time of the last SetAlarm.
	announced time.Time
}

func (a *alarms) Len() int { return len(a.heap) }

func (a *alarms) Less(i, j int) bool {
	if !a.heap[i].at.Equal(a.heap[j].at) {
		return a.heap[i].at.Before(a.heap[j].at)
	}
	return a.heap[i].id < a.heap[j].id
}

func (a *alarms) Swap(i, j int) {
	a.heap[i], a.heap[j] = a.heap[j], a.heap[i]
	a.heap[i].index = i
	a.heap[j].index = j
}

// Push implements heap.Interface.
func (a *alarms) Push(x any) {
	entry := x.(*alarm)
	entry.index = len(a.heap)
	a.heap = append(a.heap, entry)
}

// Pop implements heap.Interface.
func (a *alarms) Pop() any {
	last := len(a.heap) - 1
	entry := a.heap[last]
	a.heap[last] = nil
	a.heap = a.heap[:last]
	return entry
}

// at runs a function at a time; a time that has passed means at the end of
// this event.
func (s *State) at(at time.Time, run func(*State)) alarmID {
	s.alarms.lastID++
	entry := &alarm{at: at, id: s.alarms.lastID, run: run}
	if s.alarms.byID == nil {
		s.alarms.byID = make(map[alarmID]*alarm)
	}
	s.alarms.byID[entry.id] = entry
	heap.Push(&s.alarms, entry)
	return entry.id
}

// after runs a function after a duration.
func (s *State) after(d time.Duration, run func(*State)) alarmID {
	return s.at(s.now.Add(d), run)
}

// stopAlarm removes an alarm that may have fired already.
func (s *State) stopAlarm(id alarmID) {
	entry, ok := s.alarms.byID[id]
	if !ok {
		return
	}
	delete(s.alarms.byID, id)
	heap.Remove(&s.alarms, entry.index)
}

func (s *State) fireAlarms() {
	for len(s.alarms.heap) > 0 && !s.alarms.heap[0].at.After(s.now) {
		entry := heap.Pop(&s.alarms).(*alarm)
		delete(s.alarms.byID, entry.id)
		entry.run(s)
	}
}

func (s *State) emitAlarm() {
	if len(s.alarms.heap) == 0 {
		return
	}
	next := s.alarms.heap[0].at
	if next.Equal(s.alarms.announced) {
		return
	}
	s.alarms.announced = next
	s.emit(SetAlarm{At: next})
}
