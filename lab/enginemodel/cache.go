package enginemodel

import (
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

// block is one cached prefix block. It is in the eviction list exactly when no
// running sequence pins it.
type block struct {
	hash            uint64
	pins            int
	previous, next  *block
	inEvictionOrder bool
}

// prefixCache holds blocks by hash and evicts the least recently released
// unpinned block first.
type prefixCache struct {
	blocks   map[uint64]*block
	oldest   *block
	newest   *block
	unpinned int
	events   cacheEventLog
}

// contains reports whether the block is cached.
func (c *prefixCache) contains(hash uint64) bool { return c.blocks[hash] != nil }

// leading returns how many of the first blocks are cached.
func (c *prefixCache) leading(blocks []uint64) int {
	for i, hash := range blocks {
		if !c.contains(hash) {
			return i
		}
	}
	return len(blocks)
}

// pin keeps a cached block from being evicted.
func (c *prefixCache) pin(hash uint64) {
	cached := c.blocks[hash]
	if cached.pins == 0 {
		c.unlink(cached)
	}
	cached.pins++
}

// unpin undoes one pin; a block without pins becomes the last to be evicted.
func (c *prefixCache) unpin(hash uint64) {
	cached := c.blocks[hash]
	cached.pins--
	if cached.pins == 0 {
		c.link(cached)
	}
}

// insert adds a block with one pin, or pins the one that is there.
func (c *prefixCache) insert(now time.Duration, hash uint64) (added bool) {
	if c.contains(hash) {
		c.pin(hash)
		return false
	}
	c.blocks[hash] = &block{hash: hash, pins: 1}
	c.events.add(now, hash, false)
	return true
}

// evict removes the least recently released unpinned block.
func (c *prefixCache) evict(now time.Duration) bool {
	victim := c.oldest
	if victim == nil {
		return false
	}
	c.unlink(victim)
	delete(c.blocks, victim.hash)
	c.events.add(now, victim.hash, true)
	return true
}

// clear evicts every unpinned block.
func (c *prefixCache) clear(now time.Duration) {
	for c.evict(now) {
	}
}

// hashes returns all cached blocks in ascending order.
func (c *prefixCache) hashes() []uint64 {
	hashes := make([]uint64, 0, len(c.blocks))
	for hash := range c.blocks {
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	return hashes
}

func (c *prefixCache) link(cached *block) {
	cached.inEvictionOrder = true
	cached.previous = c.newest
	if c.newest != nil {
		c.newest.next = cached
	} else {
		c.oldest = cached
	}
	c.newest = cached
	c.unpinned++
}

func (c *prefixCache) unlink(cached *block) {
	if !cached.inEvictionOrder {
		return
	}
	if cached.previous != nil {
		cached.previous.next = cached.next
	} else {
		c.oldest = cached.next
	}
	if cached.next != nil {
		cached.next.previous = cached.previous
	} else {
		c.newest = cached.previous
	}
	cached.previous, cached.next, cached.inEvictionOrder = nil, nil, false
	c.unpinned--
}

// timedCacheEvent is a cache event and when it happened.
type timedCacheEvent struct {
	at    time.Duration
	event engineapi.CacheEvent
}

// cacheEventLog keeps the last events; the log's order is the order of sequence
// numbers, which start at 1 in each incarnation.
type cacheEventLog struct {
	sequence uint64
	limit    int
	events   []timedCacheEvent
}

func (l *cacheEventLog) add(now time.Duration, hash uint64, removed bool) {
	l.sequence++
	event := engineapi.CacheEvent{Sequence: l.sequence, Block: hash, Removed: removed}
	l.events = append(l.events, timedCacheEvent{at: now, event: event})
	if len(l.events) > 2*l.limit {
		l.events = append(l.events[:0], l.events[len(l.events)-l.limit:]...)
	}
}

// after returns the kept events with a sequence number above sequence.
func (l *cacheEventLog) after(sequence uint64) []timedCacheEvent {
	first, _ := slices.BinarySearchFunc(l.events, sequence+1, func(e timedCacheEvent, wanted uint64) int {
		switch {
		case e.event.Sequence < wanted:
			return -1
		case e.event.Sequence > wanted:
			return 1
		}
		return 0
	})
	return l.events[first:]
}
