package rpgateway

import (
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// loop applies events to the state, one at a time, and carries out their
// effects before the next one. Edges must neither block nor apply an event in
// the same goroutine.
type loop struct {
	clock *clock
	// execute carries out an effect other than SetAlarm.
	execute func(rpfleet.Effect)

	mu     sync.Mutex
	state  rpfleet.State
	timer  *time.Timer
	closed bool
}

func (l *loop) stamp() rpfleet.Stamp { return rpfleet.Stamp{At: l.clock.Now()} }

// apply applies an event.
func (l *loop) apply(ev rpfleet.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	for _, effect := range l.state.Reduce(ev) {
		if alarm, ok := effect.(rpfleet.SetAlarm); ok {
			l.setAlarm(alarm.At)
			continue
		}
		l.execute(effect)
	}
}

func (l *loop) setAlarm(at time.Time) {
	wait := max(0, at.Sub(l.clock.Now()))
	if l.timer == nil {
		l.timer = time.AfterFunc(wait, l.tick)
		return
	}
	l.timer.Reset(wait)
}

func (l *loop) tick() { l.apply(rpfleet.Tick{Stamp: l.stamp()}) }

// leading reports whether this instance plans.
func (l *loop) leading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.IsPlanner()
}

// mayOrder reports whether the lease that an order was decided under still
// holds.
func (l *loop) mayOrder(cmd rpfleet.SendOrder) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(cmd.NotAfter) && l.state.HoldsLease(cmd.Fence)
}

// query returns what the reducer answers to a question by now.
func (l *loop) query(question func(*rpfleet.State) time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return question(&l.state)
}

func (l *loop) listInterval() time.Duration { return l.query((*rpfleet.State).ListInterval) }

func (l *loop) configWait() time.Duration { return l.query((*rpfleet.State).ConfigWait) }

func (l *loop) storeRetry() time.Duration { return l.query((*rpfleet.State).StoreRetry) }

func (l *loop) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.timer != nil {
		l.timer.Stop()
	}
}
