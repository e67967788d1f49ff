package rpgateway

import (
	"sync"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// commandQueue holds the commands for one request in progress. A command either
// starts an attempt or refuses the request.
type commandQueue struct {
	commands chan rpfleet.Effect
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

// deliver queues a command for a request. It drops the command if the request
// has ended, because the request has already abandoned its attempts.
func (r *requestRegistry) deliver(id rpcore.RequestID, command rpfleet.Effect) {
	r.mu.Lock()
	found := r.byID[id]
	r.mu.Unlock()
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
