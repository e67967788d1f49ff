package rpcore

// maxCacheBlocks limits the view of one engine's prefix cache. An instance at
// design size polls about 30 engines, so all views together take a few MB.
const maxCacheBlocks = 8192

// prefixCacheView is what this instance knows about an engine's prefix cache.
// It is only a hint: if it is wrong, a prefill is repeated.
type prefixCacheView struct {
	// valid is false before the first batch with Reset, and after a gap in the
	// sequence of events.
	valid     bool
	nextEvent uint64
	blocks    map[uint64]struct{}
}

// matchingBlocks returns the number of leading blocks of prefix that the cache
// holds.
func (c *prefixCacheView) matchingBlocks(prefix []uint64) int {
	if !c.valid {
		return 0
	}
	for i, block := range prefix {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(prefix)
}

func (s *State) cacheEventsReceived(ev CacheEventsReceived) {
	e := s.endpointByID(ev.Endpoint)
	if e == nil || e.Incarnation != ev.Incarnation {
		return
	}
	s.refreshLoad(e)
	c := &e.cache
	if ev.Reset {
		*c = prefixCacheView{valid: true, blocks: make(map[uint64]struct{})}
	} else if !c.valid || ev.First != c.nextEvent {
		*c = prefixCacheView{}
		return
	}
	c.nextEvent = ev.Next
	c.apply(ev.Added, ev.Removed)
}

// apply adds and removes blocks. Removals come last, so a block in both lists
// counts as absent.
func (c *prefixCacheView) apply(added, removed []uint64) {
	for _, block := range added {
		if len(c.blocks) >= maxCacheBlocks {
			break
		}
		c.blocks[block] = struct{}{}
	}
	for _, block := range removed {
		delete(c.blocks, block)
	}
}
