package rpfront

import (
	"context"
	"errors"
	"sync"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

var (
	errAttemptCanceled = errors.New("the attempt was canceled")
	errRequestEnded    = errors.New("the request was ended by a command")
)

// registry finds the requests in progress. The event loop calls it, so it
// never waits and never posts an event in the same goroutine.
type registry struct {
	mu       sync.Mutex
	requests map[rpcore.RequestID]*call
	attempts map[rpcore.AttemptID]*call
}

// call is one request in progress.
type call struct {
	id rpcore.RequestID
	// wake has room for one signal: the queue is not empty.
	wake chan struct{}

	// The registry's mutex guards the fields below.
	queue   []rpcore.Effect
	running rpcore.AttemptID
	cancel  context.CancelCauseFunc
}

func (r *registry) add(id rpcore.RequestID) *call {
	c := &call{id: id, wake: make(chan struct{}, 1)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests == nil {
		r.requests = map[rpcore.RequestID]*call{}
		r.attempts = map[rpcore.AttemptID]*call{}
	}
	r.requests[id] = c
	return c
}

// remove ends the deliveries to a request and returns the attempts that were
// not begun.
func (r *registry) remove(c *call) []rpcore.StartAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, c.id)
	return r.dropStarts(c)
}

// dropStarts takes the attempts that were not begun out of the queue.
func (r *registry) dropStarts(c *call) []rpcore.StartAttempt {
	var dropped []rpcore.StartAttempt
	kept := c.queue[:0]
	for _, effect := range c.queue {
		start, ok := effect.(rpcore.StartAttempt)
		if !ok {
			kept = append(kept, effect)
			continue
		}
		delete(r.attempts, start.Attempt)
		dropped = append(dropped, start)
	}
	c.queue = kept
	return dropped
}

// start delivers an attempt, or returns false when the request is gone.
func (r *registry) start(effect rpcore.StartAttempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.requests[effect.Request]
	if c == nil {
		return false
	}
	r.attempts[effect.Attempt] = c
	c.push(effect)
	return true
}

// end delivers a command that ends the request. It overtakes attempts that
// were not begun, which it returns, and cancels a running one.
func (r *registry) end(id rpcore.RequestID, effect rpcore.Effect) []rpcore.StartAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.requests[id]
	if c == nil {
		return nil
	}
	dropped := r.dropStarts(c)
	if c.cancel != nil {
		c.cancel(errRequestEnded)
	}
	c.push(effect)
	return dropped
}

// cancelAttempt cancels a running attempt, or takes one out of the queue that
// was not begun and returns it.
func (r *registry) cancelAttempt(id rpcore.AttemptID) []rpcore.StartAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.attempts[id]
	if c == nil {
		return nil
	}
	if c.running == id {
		c.cancel(errAttemptCanceled)
		return nil
	}
	for i, effect := range c.queue {
		if start, ok := effect.(rpcore.StartAttempt); ok && start.Attempt == id {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			delete(r.attempts, id)
			return []rpcore.StartAttempt{start}
		}
	}
	return nil
}

func (c *call) push(effect rpcore.Effect) {
	c.queue = append(c.queue, effect)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// take returns the next command. An attempt is marked as running in the same
// step, so a cancellation always finds it.
func (r *registry) take(c *call, cancel context.CancelCauseFunc) rpcore.Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(c.queue) == 0 {
		return nil
	}
	effect := c.queue[0]
	c.queue = c.queue[1:]
	if start, ok := effect.(rpcore.StartAttempt); ok {
		c.running = start.Attempt
		c.cancel = cancel
	}
	return effect
}

// ended takes in that the running attempt has ended.
func (r *registry) ended(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, c.running)
	c.running = ""
	c.cancel = nil
}

// StartAttempt delivers an attempt to the handler of its request.
func (f *Front) StartAttempt(effect rpcore.StartAttempt) {
	if !f.calls.start(effect) {
		f.postDropped([]rpcore.StartAttempt{effect})
	}
}

// CancelAttempt stops an attempt.
func (f *Front) CancelAttempt(effect rpcore.CancelAttempt) {
	f.postDropped(f.calls.cancelAttempt(effect.Attempt))
}

// RefuseRequest ends a request with a refusal.
func (f *Front) RefuseRequest(effect rpcore.RefuseRequest) {
	f.postDropped(f.calls.end(effect.Request, effect))
}

// ReplayOutcome ends a request with a recorded answer.
func (f *Front) ReplayOutcome(effect rpcore.ReplayOutcome) {
	f.postDropped(f.calls.end(effect.Request, effect))
}

// postDropped ends attempts that were never begun. Post may wait for the
// event loop, which calls this, so the events are posted from a goroutine.
func (f *Front) postDropped(dropped []rpcore.StartAttempt) {
	if len(dropped) == 0 {
		return
	}
	go func() {
		for _, start := range dropped {
			f.post(rpcore.AttemptEnded{
				Stamp:   stamp(),
				Attempt: start.Attempt,
				Request: start.Request,
				Reason:  rpcore.AttemptCanceled,
				Verdict: rpverdict.NotRun,
			})
		}
	}()
}
