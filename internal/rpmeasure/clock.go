package rpmeasure

import (
	"container/heap"
	"time"
)

// clock is a virtual clock that runs functions in the order of their times.
// Functions with equal times run in the order in which they were scheduled.
type clock struct {
	now          time.Time
	timers       timerHeap
	lastSequence uint64
}

type timer struct {
	at       time.Time
	sequence uint64
	run      func()
}

type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }

func (t timerHeap) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].sequence < t[j].sequence
}

func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	item := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return item
}

func (c *clock) schedule(at time.Time, run func()) {
	c.lastSequence++
	heap.Push(&c.timers, timer{at, c.lastSequence, run})
}

func (c *clock) after(d time.Duration, run func()) { c.schedule(c.now.Add(d), run) }

// Run advances the clock by d and runs all functions that are due in that time.
func (c *clock) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.timers) > 0 && !c.timers[0].at.After(end) {
		item := heap.Pop(&c.timers).(timer)
		c.now = item.at
		item.run()
	}
	c.now = end
}
