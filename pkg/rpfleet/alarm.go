package rpfleet

import (
	"container/heap"
	"time"
)

// alarm is a function that runs at a time.
type alarm struct {
	at    time.Time
	order uint64
	run   func(*State)
}

type alarmHeap []alarm

func (h alarmHeap) Len() int { return len(h) }
func (h alarmHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h alarmHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *alarmHeap) Push(x any)   { *h = append(*h, x.(alarm)) }

func (h *alarmHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = alarm{}
	*h = old[:len(old)-1]
	return last
}

// alarms holds what is to run later.
type alarms struct {
	heap      alarmHeap
	announced time.Time
}

// at runs a function at a time, or after the current event if it has passed.
func (s *State) at(at time.Time, run func(*State)) {
	heap.Push(&s.alarms.heap, alarm{at: at, order: s.next(), run: run})
}

func (s *State) after(d time.Duration, run func(*State)) { s.at(s.now.Add(d), run) }

func (s *State) fireAlarms() {
	for len(s.alarms.heap) > 0 && !s.alarms.heap[0].at.After(s.now) {
		due := heap.Pop(&s.alarms.heap).(alarm)
		due.run(s)
	}
}

// emitAlarm announces the earliest alarm where it is not the announced one.
func (s *State) emitAlarm() {
	if len(s.alarms.heap) == 0 {
		return
	}
	at := s.alarms.heap[0].at
	if s.alarms.announced.IsZero() || at.Before(s.alarms.announced) {
		s.alarms.announced = at
		s.emit(SetAlarm{At: at})
	}
}
