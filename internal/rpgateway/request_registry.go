package rpgateway

import (
	"maps"
	"slices"
	"sync"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// commandQueue holds the commands for one request in progress. A command either
// starts an attempt or refuses the request. The cancellation of the running attempt
// does not wait in the queue.
type commandQueue struct {
	commands chan rpfleet.Effect

	mu sync.Mutex
	// attempt is the running attempt, or "", and cancel cancels it because its
	// endpoint is silent.
	attempt rpcore.AttemptID
	cancel  func()
}

func (q *commandQueue) attemptStarted(id rpcore.AttemptID, cancel func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.attempt, q.cancel = id, cancel
}

func (q *commandQueue) attemptEnded() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.attempt, q.cancel = "", nil
}

// cancelAttempt cancels an attempt unless it has ended.
func (q *commandQueue) cancelAttempt(id rpcore.AttemptID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cancel != nil && q.attempt == id {
		q.cancel()
	}
}

// commandBuffer is the capacity of a command queue. At most two commands wait at
// once: an attempt that has not started and the refusal after it.
const commandBuffer = 4

// requestRegistry maps request IDs to the requests in progress. The loop delivers
// commands through it, so deliver never blocks.
type requestRegistry struct {
	mu   sync.Mutex
	byID map[rpcore.RequestID]*commandQueue
}

// add registers a request. It returns nil if the ID is already in use.
func (r *requestRegistry) add(id rpcore.RequestID) *commandQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[rpcore.RequestID]*commandQueue{}
	}
	if r.byID[id] != nil {
		return nil
	}
	added := &commandQueue{commands: make(chan rpfleet.Effect, commandBuffer)}
	r.byID[id] = added
	return added
}

func (r *requestRegistry) remove(id rpcore.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}

// ids returns the requests in progress in a fixed order.
func (r *requestRegistry) ids() []rpcore.RequestID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.byID))
}

// deliver queues a command for a request. It drops the command if the request
// has ended, because the request has already abandoned its attempts.
func (r *requestRegistry) deliver(id rpcore.RequestID, command rpfleet.Effect) {
	found := r.find(id)
	if found == nil {
		return
	}
	select {
	case found.commands <- command:
	default:
		// The reducer sends one attempt at a time, so the queue is full only
		// if the request has ended.
	}
}

// cancelAttempt cancels an attempt at a silent endpoint. It does nothing for an
// attempt that has ended: a caller that disconnected has ended its attempt already.
func (r *requestRegistry) cancelAttempt(id rpcore.RequestID, attempt rpcore.AttemptID) {
	if found := r.find(id); found != nil {
		found.cancelAttempt(attempt)
	}
}

// find returns the queue of a request in progress, or nil.
func (r *requestRegistry) find(id rpcore.RequestID) *commandQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}
