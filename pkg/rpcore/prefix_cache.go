package rpcore

// maxCacheBlocks bounds the view of one engine's prefix cache. An instance at
// design size polls about 30 engines, so all views stay within a few MB.
const maxCacheBlocks = 8192

// prefixCacheView is what is known of an engine's prefix cache. It is a hint: a
// wrong view costs a prefill and nothing else.
type prefixCacheView struct {
	// valid is false until a batch with Reset, and after a gap.
	valid     bool
	nextEvent uint64
	blocks    map[uint64]struct{}
}

// match returns the number of leading blocks that the cache holds.
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

// apply takes removals last: a block named in both lists counts as absent.
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
