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
	errRequestEnded    = errors.New("a command ended the request")
)

// requestRegistry maps ids to the requests in progress. The event loop calls it, so
// its methods never block and never post an event in the same goroutine.
type requestRegistry struct {
	mu       sync.Mutex
	requests map[rpcore.RequestID]*activeRequest
	attempts map[rpcore.AttemptID]*activeRequest
}

// activeRequest is one request in progress.
type activeRequest struct {
	id rpcore.RequestID
	// wake signals that queue is not empty. It has a buffer of 1.
	wake chan struct{}

	// The registry's mutex protects the fields below.
	queue          []rpcore.Effect
	runningAttempt rpcore.AttemptID
	cancelRunning  context.CancelCauseFunc
}

func (r *requestRegistry) add(id rpcore.RequestID) *activeRequest {
	active := &activeRequest{id: id, wake: make(chan struct{}, 1)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests == nil {
		r.requests = map[rpcore.RequestID]*activeRequest{}
		r.attempts = map[rpcore.AttemptID]*activeRequest{}
	}
	r.requests[id] = active
	return active
}

// remove removes a request and returns its attempts that were not started.
func (r *requestRegistry) remove(active *activeRequest) []rpcore.StartAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, active.id)
	return r.dropQueuedAttempts(active)
}

// dropQueuedAttempts removes the attempts that were not started from the queue and
// returns them.
func (r *requestRegistry) dropQueuedAttempts(active *activeRequest) []rpcore.StartAttempt {
	var dropped []rpcore.StartAttempt
	kept := active.queue[:0]
	for _, effect := range active.queue {
		start, ok := effect.(rpcore.StartAttempt)
		if !ok {
			kept = append(kept, effect)
			continue
		}
		delete(r.attempts, start.Attempt)
		dropped = append(dropped, start)
	}
	active.queue = kept
	return dropped
}

// deliverAttempt queues an attempt. It returns false if the request has ended.
func (r *requestRegistry) deliverAttempt(effect rpcore.StartAttempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	active := r.requests[effect.Request]
	if active == nil {
		return false
	}
	r.attempts[effect.Attempt] = active
	active.enqueue(effect)
	return true
}

// deliverFinal queues a command that ends the request. It removes and returns the
// attempts that were not started, and cancels a running attempt.
func (r *requestRegistry) deliverFinal(id rpcore.RequestID, effect rpcore.Effect) []rpcore.StartAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	active := r.requests[id]
	if active == nil {
		return nil
	}
	dropped := r.dropQueuedAttempts(active)
	if active.cancelRunning != nil {
		active.cancelRunning(errRequestEnded)
	}
	active.enqueue(effect)
	return dropped
}

// cancelAttempt cancels a running attempt. An attempt that was not started is
// removed from the queue and returned.
func (r *requestRegistry) cancelAttempt(id rpcore.AttemptID) []rpcore.StartAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	active := r.attempts[id]
	if active == nil {
		return nil
	}
	if active.runningAttempt == id {
		active.cancelRunning(errAttemptCanceled)
		return nil
	}
	for i, effect := range active.queue {
		if start, ok := effect.(rpcore.StartAttempt); ok && start.Attempt == id {
			active.queue = append(active.queue[:i], active.queue[i+1:]...)
			delete(r.attempts, id)
			return []rpcore.StartAttempt{start}
		}
	}
	return nil
}

func (a *activeRequest) enqueue(effect rpcore.Effect) {
	a.queue = append(a.queue, effect)
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// next returns the next command, or nil. It marks an attempt as running while it
// still holds the mutex, so a cancellation always finds the attempt.
func (r *requestRegistry) next(active *activeRequest, cancel context.CancelCauseFunc) rpcore.Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(active.queue) == 0 {
		return nil
	}
	effect := active.queue[0]
	active.queue = active.queue[1:]
	if start, ok := effect.(rpcore.StartAttempt); ok {
		active.runningAttempt = start.Attempt
		active.cancelRunning = cancel
	}
	return effect
}

// clearRunning clears the running attempt after it has ended.
func (r *requestRegistry) clearRunning(active *activeRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, active.runningAttempt)
	active.runningAttempt = ""
	active.cancelRunning = nil
}

// StartAttempt queues an attempt for the handler of its request.
func (s *Server) StartAttempt(effect rpcore.StartAttempt) {
	if !s.inProgress.deliverAttempt(effect) {
		s.postDroppedAttempts([]rpcore.StartAttempt{effect})
	}
}

// CancelAttempt cancels an attempt.
func (s *Server) CancelAttempt(effect rpcore.CancelAttempt) {
	s.postDroppedAttempts(s.inProgress.cancelAttempt(effect.Attempt))
}

// RefuseRequest ends a request with a refusal.
func (s *Server) RefuseRequest(effect rpcore.RefuseRequest) {
	s.postDroppedAttempts(s.inProgress.deliverFinal(effect.Request, effect))
}

// ReplayOutcome ends a request with a recorded outcome.
func (s *Server) ReplayOutcome(effect rpcore.ReplayOutcome) {
	s.postDroppedAttempts(s.inProgress.deliverFinal(effect.Request, effect))
}

// postDroppedAttempts posts AttemptEnded for attempts that were never started. It
// posts from a new goroutine, because Post may block until the event loop, which
// called this, continues.
func (s *Server) postDroppedAttempts(dropped []rpcore.StartAttempt) {
	if len(dropped) == 0 {
		return
	}
	go func() {
		for _, start := range dropped {
			s.post(rpcore.AttemptEnded{
				Stamp:   stamp(),
				Attempt: start.Attempt,
				Request: start.Request,
				Reason:  rpcore.AttemptCanceled,
				Verdict: rpverdict.NotRun,
			})
		}
	}()
}
