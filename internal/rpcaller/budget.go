package rpcaller

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

const (
	// evictionAge is the time since its last grant after which a hold may be
	// evicted. A caller that sends sends a segment in much less, also on a slow
	// link: 16 KB in 250 ms are half a megabit per second.
	evictionAge = 250 * time.Millisecond
	// maxWait limits the wait for memory. A caller that is refused after it has
	// the time for another instance.
	maxWait = time.Second
	// recheckInterval is how often a waiting hold looks for one to evict.
	recheckInterval = evictionAge / 5
)

// RetryAfter is the time after which a request that was refused for lack of memory
// may be sent again. By then, the holds that had stopped have been evicted.
const RetryAfter = time.Second

// Errors of Grow.
var (
	// ErrShort says that the budget is used up by holds that can't be evicted.
	ErrShort = errors.New("the memory for requests of callers is used up")
	// ErrEvicted says that the hold was evicted for another one.
	ErrEvicted = errors.New("the request was given up because memory is short")
)

// Use is what memory is held for.
type Use int

// The uses of memory.
const (
	UseHeader Use = iota
	UseBody
	UseRequest
	Uses
)

// Budget bounds the memory that all holds have together. The zero value has no
// bound.
type Budget struct {
	// Limit is the bound in bytes; 0 means none. It must not change after the
	// first use.
	Limit int64

	mu   sync.Mutex
	used int64
	// leaving is the part of used that belongs to evicted holds.
	leaving int64
	byUse   [Uses]int64
	// receiving contains the holds that may be evicted, by the time of their last
	// grant.
	receiving list.List
	// freed is closed when memory is released; nil if nothing waits for it.
	freed chan struct{}
	stats Stats
}

// Stats describes a budget.
type Stats struct {
	// Bytes is the memory that is held, by use.
	Bytes [Uses]int64
	// Evicted and Short count the holds that were evicted, and the grants that
	// were refused because nothing could be evicted.
	Evicted, Short int64
}

// Stats returns the current state.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.stats
	stats.Bytes = b.byUse
	return stats
}

// Hold is the memory of one request. The zero value with Budget holds nothing. Its
// methods may be called by one goroutine at a time.
type Hold struct {
	Budget *Budget
	// Evict is called when the hold is evicted, with a lock of the budget held. It
	// must make the goroutine that receives the request end, which then calls
	// Release. It must not call methods of the budget.
	Evict func()

	// The fields below are guarded by the budget's lock.
	size      int64
	byUse     [Uses]int64
	element   *list.Element
	grantedAt time.Time
	evicted   bool
}

// Grow adds n bytes to the hold. It waits up to a second for memory and evicts
// other holds if it has to. Until Keep is called, the hold may be evicted itself.
func (h *Hold) Grow(use Use, n int64) error {
	b := h.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tryGrant(h, use, n) {
		return nil
	}
	return b.awaitGrant(h, use, n)
}

// Keep makes sure that the hold is not evicted from now on. It fails if the hold was
// evicted before.
func (h *Hold) Keep() error {
	b := h.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted {
		return ErrEvicted
	}
	b.unlist(h)
	return nil
}

// Size returns the number of bytes of a use.
func (h *Hold) Size(use Use) int64 {
	h.Budget.mu.Lock()
	defer h.Budget.mu.Unlock()
	return h.byUse[use]
}

// Release frees the memory of the hold, which can then be used again.
func (h *Hold) Release() {
	b := h.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unlist(h)
	if h.evicted {
		b.leaving -= h.size
	}
	b.used -= h.size
	for use, n := range h.byUse {
		b.byUse[use] -= n
	}
	freed := h.size > 0
	h.size, h.byUse, h.evicted = 0, [Uses]int64{}, false
	if freed && b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// tryGrant grants n bytes if there is room for them. b.mu must be held.
func (b *Budget) tryGrant(h *Hold, use Use, n int64) bool {
	// Whatever a request needs is granted if nothing else is held.
	if h.evicted || b.Limit > 0 && b.used+n > b.Limit && b.used > h.size {
		return false
	}
	b.used += n
	b.byUse[use] += n
	h.size += n
	h.byUse[use] += n
	b.touch(h)
	return true
}

// touch moves the hold to the end of the order of eviction. b.mu must be held.
func (b *Budget) touch(h *Hold) {
	h.grantedAt = time.Now()
	if h.element == nil {
		h.element = b.receiving.PushBack(h)
		return
	}
	b.receiving.MoveToBack(h.element)
}

// unlist takes the hold out of the order of eviction. b.mu must be held.
func (b *Budget) unlist(h *Hold) {
	if h.element != nil {
		b.receiving.Remove(h.element)
		h.element = nil
	}
}

// awaitGrant waits until n bytes can be granted. It unlocks b.mu, which must be
// held, while it waits.
func (b *Budget) awaitGrant(h *Hold, use Use, n int64) error {
	if !h.evicted {
		b.touch(h)
	}
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	expired := false
	for {
		switch {
		case h.evicted:
			return ErrEvicted
		case b.tryGrant(h, use, n):
			return nil
		case expired:
			b.stats.Short++
			return ErrShort
		}
		b.evictFor(h, n)
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed := b.freed
		b.mu.Unlock()
		select {
		case <-freed:
		case <-recheck.C:
		case <-timeout.C:
			expired = true
		}
		b.mu.Lock()
	}
}

// evictFor evicts holds until n bytes for h will be free. b.mu must be held.
func (b *Budget) evictFor(h *Hold, n int64) {
	now := time.Now()
	for e := b.receiving.Front(); e != nil && b.used-b.leaving+n > b.Limit; {
		victim := e.Value.(*Hold)
		e = e.Next()
		if now.Sub(victim.grantedAt) < evictionAge {
			return
		}
		if victim != h {
			b.evict(victim)
		}
	}
}

// evict evicts a hold. b.mu must be held.
func (b *Budget) evict(victim *Hold) {
	b.unlist(victim)
	victim.evicted = true
	b.leaving += victim.size
	b.stats.Evicted++
	victim.Evict()
}

// EvictOldest evicts the hold whose last grant is the longest ago, if it may be
// evicted. It is called when something else that requests hold is short.
func (b *Budget) EvictOldest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.receiving.Front(); e != nil && time.Since(e.Value.(*Hold).grantedAt) >= evictionAge {
		b.evict(e.Value.(*Hold))
	}
}
