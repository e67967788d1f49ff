package rpendpoint

import (
	"sync"
	"time"
)

// silenceTimer calls onSilence each time that an endpoint has sent no data for a
// timeout. The zero value with onSilence is stopped.
type silenceTimer struct {
	onSilence func()

	mu    sync.Mutex
	timer *time.Timer
	// generation identifies the running timeout. A timer that has fired already
	// can't be stopped, so it compares it.
	generation uint64
}

// reset starts the timeout d anew, or stops it if d is 0. After it has returned,
// onSilence is not running and is not called for an earlier timeout.
func (t *silenceTimer) reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start(d)
}

// start is reset with mu held.
func (t *silenceTimer) start(d time.Duration) {
	t.generation++
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
	if d > 0 {
		generation := t.generation
		t.timer = time.AfterFunc(d, func() { t.fire(generation, d) })
	}
}

func (t *silenceTimer) fire(generation uint64, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if generation != t.generation {
		return
	}
	t.start(d)
	t.onSilence()
}
