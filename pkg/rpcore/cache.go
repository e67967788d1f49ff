package rpcore

// maxCacheBlocks bounds the view of one engine's prefix cache. An instance at
// design size polls about 30 engines, so all views stay within a few MB.
const maxCacheBlocks = 8192

// cacheView is what is known of an engine's prefix cache. It is a hint: a
// wrong view costs a prefill and nothing else.
type cacheView struct {
	// known is false until a batch with Reset, and after a gap.
	known  bool
	next   uint64
	blocks map[uint64]struct{}
}

// match returns the number of leading blocks that the cache holds.
func (c *cacheView) match(prefix []uint64) int {
	if !c.known {
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
		*c = cacheView{known: true, blocks: make(map[uint64]struct{})}
	} else if !c.known || ev.First != c.next {
		*c = cacheView{}
		return
	}
	c.next = ev.Next
	c.apply(ev.Added, ev.Removed)
}

// apply takes removals last: a block named in both lists counts as absent.
func (c *cacheView) apply(added, removed []uint64) {
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
