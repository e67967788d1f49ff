package rpmeasure

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of their virtual times; those of one time
// run in the order in which they were set.
type clock struct {
	now   time.Time
	items timers
	last  uint64
}

type timer struct {
	at  time.Time
	seq uint64
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].seq < t[j].seq
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	item := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return item
}

func (c *clock) at(at time.Time, run func()) {
	c.last++
	heap.Push(&c.items, timer{at, c.last, run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// Run lets everything happen that is due within a duration.
func (c *clock) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.items) > 0 && !c.items[0].at.After(end) {
		item := heap.Pop(&c.items).(timer)
		c.now = item.at
		item.run()
	}
	c.now = end
}
