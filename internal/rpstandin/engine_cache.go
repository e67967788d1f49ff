package rpstandin

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// engineCache is a prefix cache that evicts the least recently used blocks.
type engineCache struct {
	limit, gapEvery, batches int
	// blocks is in the order of last use, the oldest first.
	blocks []uint64
	events []cacheEvent
}

type cacheEvent struct {
	hash  uint64
	added bool
}

// touchBlocks marks blocks as used, adds the missing ones to the cache and returns
// how many were missing.
func (c *engineCache) touchBlocks(hashes []uint64) (misses int) {
	for _, hash := range hashes {
		if i := slices.Index(c.blocks, hash); i >= 0 {
			c.blocks = slices.Delete(c.blocks, i, i+1)
		} else {
			misses++
			c.events = append(c.events, cacheEvent{hash, true})
		}
		c.blocks = append(c.blocks, hash)
	}
	for len(c.blocks) > c.limit {
		c.events = append(c.events, cacheEvent{c.blocks[0], false})
		c.blocks = c.blocks[1:]
	}
	return misses
}

// eventBatch returns the response to a poll: the net effect of the events after a
// sequence number, or for after=0 the whole content of the cache.
func (c *engineCache) eventBatch(incarnation rpcore.Incarnation, after uint64) map[string]any {
	next := uint64(len(c.events)) + 1
	if after == 0 || after >= next {
		return map[string]any{"incarnation": incarnation, "first": next, "next": next, "reset": true, "added": slices.Clone(c.blocks)}
	}
	c.batches++
	first := after + 1
	if c.gapEvery > 0 && c.batches%c.gapEvery == 0 && first < next {
		first++
	}
	state := map[uint64]bool{}
	for _, ev := range c.events[first-1:] {
		state[ev.hash] = ev.added
	}
	lists := map[bool][]uint64{}
	for _, hash := range slices.Sorted(maps.Keys(state)) {
		lists[state[hash]] = append(lists[state[hash]], hash)
	}
	return map[string]any{"incarnation": incarnation, "first": first, "next": next, "added": lists[true], "removed": lists[false]}
}

// prefixBlockHashes returns the hashes of the first 64 complete blocks of 256 bytes
// of a prompt. Each hash covers the model and all preceding blocks.
func prefixBlockHashes(model, prompt string) []uint64 {
	chain := xxhash.Sum64String(model)
	hashes := []uint64{}
	for len(prompt) >= 256 && len(hashes) < 64 {
		chain = xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, chain), prompt[:256]...))
		hashes = append(hashes, chain)
		prompt = prompt[256:]
	}
	return hashes
}
