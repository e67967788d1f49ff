package rpgateway

import (
	"sync"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// requestCommands is one caller's request in progress. Its commands are the attempts to
// run and the refusal that may end it.
type requestCommands struct {
	commands chan rpfleet.Effect
}

// commandBuffer bounds the commands of a request that were not taken: an attempt
// that was never begun and the refusal behind it.
const commandBuffer = 4

// requestRegistry finds the requests in progress. The loop delivers commands, so it never
// waits.
type requestRegistry struct {
	mu   sync.Mutex
	byID map[rpcore.RequestID]*requestCommands
}

// add registers a request, or returns nil where the id is in use.
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

// deliver hands a command to a request. A request that is gone has abandoned
// its attempts itself.
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
		// The reducer sends one attempt at a time, so the room is never used
		// up unless the request is over.
	}
}
