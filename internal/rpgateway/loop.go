package rpgateway

import (
	"errors"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

// loop applies events to the reducer's state, one at a time, and executes the
// effects of each event before the next one.
type loop struct {
	clock *clock
	// execute executes an effect other than SetAlarm. It must not block, and must
	// not apply an event in the same goroutine.
	execute func(rpfleet.Effect)

	mu     sync.Mutex
	state  rpfleet.State
	timer  *time.Timer
	closed bool
}

func (l *loop) stamp() rpfleet.Stamp { return rpfleet.Stamp{At: l.clock.Now()} }

// apply applies an event and executes its effects. It does nothing after close.
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

// applyNotice applies what an endpoint said about itself in a response.
func (l *loop) applyNotice(id rpcore.EndpointID, incarnation rpcore.Incarnation, notice rpfleet.EndpointNotice) {
	l.apply(rpfleet.EndpointNoticed{Stamp: l.stamp(), Endpoint: id, Incarnation: incarnation, Notice: notice})
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

// isPlanner reports whether this instance is the planner.
func (l *loop) isPlanner() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.IsPlanner()
}

// followsEvidence reports whether this instance follows the evidence of crashes in the
// store.
func (l *loop) followsEvidence() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.FollowsEvidence()
}

// maySendOrder reports whether the instance still holds the lease under which the
// reducer issued the order.
func (l *loop) maySendOrder(cmd rpfleet.SendOrder) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(cmd.NotAfter) && l.state.HoldsLease(cmd.Fence)
}

// query reads a duration from the current state.
func (l *loop) query(read func(*rpfleet.State) time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return read(&l.state)
}

func (l *loop) listInterval() time.Duration { return l.query((*rpfleet.State).ListInterval) }

func (l *loop) configWait() time.Duration { return l.query((*rpfleet.State).ConfigWait) }

func (l *loop) listWait() time.Duration { return l.query((*rpfleet.State).ListWait) }

func (l *loop) pollMargin() time.Duration { return l.query((*rpfleet.State).PollMargin) }

func (l *loop) storeTimeout() time.Duration { return l.query((*rpfleet.State).StoreTimeout) }

// storeRetry returns the longest delay after a failed call to the store.
func (l *loop) storeRetry(err error) time.Duration {
	var status rpwire.StatusError
	answered := errors.As(err, &status)
	return l.query(func(s *rpfleet.State) time.Duration { return s.StoreRetry(answered) })
}

// accountStatus returns the state of the accounts for the metrics.
func (l *loop) accountStatus() rpfleet.AccountStatus {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.AccountStatus(now)
}

// configFollowed reports whether the planner keeps the configuration current.
func (l *loop) configFollowed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.ConfigFollowed()
}

func (l *loop) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.timer != nil {
		l.timer.Stop()
	}
}
