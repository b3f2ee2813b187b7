package proxy

import "github.com/landingtrail/landingtrail/connection/engineapi"

// cacheIndex is a local copy of the set of blocks in an engine's prompt cache, maintained from the
// engine's cache events. The zero value is empty. It is not safe for concurrent use: the owner
// guards it with a lock.
type cacheIndex struct {
	blocks       map[uint64]bool
	lastSequence uint64 // sequence number of the last applied event; 0 requests a snapshot
	synced       bool   // no event has been missed since the last snapshot
}

// reset clears the index; the next page of cache events must be a snapshot.
func (c *cacheIndex) reset() { *c = cacheIndex{} }

// apply applies a page of the events that follow the sequence number `after`. If events are missing,
// the index is marked as out of sync and requests a snapshot; its blocks remain as hints until that
// arrives.
func (c *cacheIndex) apply(page engineapi.CacheEvents, after uint64) {
	if after != c.lastSequence {
		return // requested before the index was reset
	}
	if page.Snapshot {
		c.blocks = make(map[uint64]bool, len(page.Blocks))
		for _, block := range page.Blocks {
			c.blocks[block] = true
		}
		c.lastSequence = page.Next
		c.synced = true
		return
	}
	expected := after + 1
	for _, event := range page.Events {
		if event.Sequence != expected {
			c.requireSnapshot()
			return
		}
		expected++
		if event.Removed {
			delete(c.blocks, event.Block)
		} else {
			c.add(event.Block)
		}
	}
	if page.Next != expected-1 {
		c.requireSnapshot()
		return
	}
	c.lastSequence = page.Next
}

func (c *cacheIndex) add(block uint64) {
	if c.blocks == nil {
		c.blocks = map[uint64]bool{}
	}
	c.blocks[block] = true
}

func (c *cacheIndex) requireSnapshot() {
	c.lastSequence = 0
	c.synced = false
}

// cachedPrefix returns how many of the prompt's leading blocks are in the index, and whether the
// index is in sync with the engine.
func (c *cacheIndex) cachedPrefix(blocks []uint64) (count int, synced bool) {
	for _, block := range blocks {
		if !c.blocks[block] {
			break
		}
		count++
	}
	return count, c.synced
}
