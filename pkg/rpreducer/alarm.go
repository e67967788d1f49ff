package rpreducer

import (
	"container/heap"
	"time"
)

// AlarmID identifies an alarm, to stop it.
type AlarmID uint64

// alarm is a function that runs at a set time. The function must look up the
// object that it acts on by ID, because the object may be gone by then.
type alarm[S any] struct {
	at    time.Time
	id    AlarmID
	run   func(*S)
	index int
}

// Alarms holds the pending alarms of a reducer with the state type S. The zero
// value is ready for use.
type Alarms[S any] struct {
	pending alarmHeap[S]
	byID    map[AlarmID]*alarm[S]
	lastID  AlarmID
	// announced is the time that Announce returned last, or zero after
	// ClearAnnounced.
	announced time.Time
}

// Set runs a function at a time, or at the next call of Fire if that time has
// passed.
func (a *Alarms[S]) Set(at time.Time, run func(*S)) AlarmID {
	a.lastID++
	entry := &alarm[S]{at: at, id: a.lastID, run: run}
	if a.byID == nil {
		a.byID = make(map[AlarmID]*alarm[S])
	}
	a.byID[entry.id] = entry
	heap.Push(&a.pending, entry)
	return entry.id
}

// Stop removes an alarm. It does nothing if the alarm has fired.
func (a *Alarms[S]) Stop(id AlarmID) {
	entry, ok := a.byID[id]
	if !ok {
		return
	}
	delete(a.byID, id)
	heap.Remove(&a.pending, entry.index)
}

// Fire runs the alarms that are due, including those that they set. Alarms with
// the same time run in the order in which they were set.
func (a *Alarms[S]) Fire(now time.Time, s *S) {
	for len(a.pending) > 0 && !a.pending[0].at.After(now) {
		entry := heap.Pop(&a.pending).(*alarm[S])
		delete(a.byID, entry.id)
		entry.run(s)
	}
}

// Announce returns the time of the earliest alarm. It returns false if there is
// no alarm, or if the last announced time was the same.
func (a *Alarms[S]) Announce() (at time.Time, ok bool) {
	if len(a.pending) == 0 || a.pending[0].at.Equal(a.announced) {
		return time.Time{}, false
	}
	a.announced = a.pending[0].at
	return a.announced, true
}

// ClearAnnounced makes Announce return the earliest alarm again. It must be
// called when the runtime's timer fires: the timer may fire slightly early and
// then has to be set again.
func (a *Alarms[S]) ClearAnnounced() { a.announced = time.Time{} }

// alarmHeap implements heap.Interface, the earliest alarm first.
type alarmHeap[S any] []*alarm[S]

func (h alarmHeap[S]) Len() int { return len(h) }

func (h alarmHeap[S]) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].id < h[j].id
}

func (h alarmHeap[S]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *alarmHeap[S]) Push(x any) {
	entry := x.(*alarm[S])
	entry.index = len(*h)
	*h = append(*h, entry)
}

// Pop implements heap.Interface.
func (h *alarmHeap[S]) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return entry
}
