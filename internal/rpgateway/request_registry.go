package rpgateway

import (
	"sync"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// requestCommands is the command queue of one request in progress. A command
// starts an attempt or refuses the request.
type requestCommands struct {
	commands chan rpfleet.Effect
}

// commandBuffer is the capacity of a command queue. At most two commands wait at
// once: an attempt that has not started and the refusal after it.
const commandBuffer = 4

// requestRegistry maps request IDs to the requests in progress. The loop delivers
// commands through it, so deliver never blocks.
type requestRegistry struct {
	mu   sync.Mutex
	byID map[rpcore.RequestID]*requestCommands
}

// add registers a request. It returns nil if the ID is already in use.
func (c *requestRegistry) add(id rpcore.RequestID) *requestCommands {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID == nil {
		c.byID = map[rpcore.RequestID]*requestCommands{}
	}
	if c.byID[id] != nil {
		return nil
	}
	added := &requestCommands{commands: make(chan rpfleet.Effect, commandBuffer)}
	c.byID[id] = added
	return added
}

func (c *requestRegistry) remove(id rpcore.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byID, id)
}

// deliver queues a command for a request. It drops the command if the request
// has ended, because the request has already abandoned its attempts.
func (c *requestRegistry) deliver(id rpcore.RequestID, command rpfleet.Effect) {
	c.mu.Lock()
	found := c.byID[id]
	c.mu.Unlock()
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
