package emulator

import "time"

// resyncInterval bounds how often a whole cache is fetched after gaps.
const resyncInterval = 5 * time.Second

// cacheView is what proxies believe an engine's prompt cache to hold.
type cacheView struct {
	blocks map[uint64]bool
	next   uint64
	unsure bool
	synced time.Duration

	// askedFor and known keep the last answer for the same blocks.
	askedFor *uint64
	known    int
}

// poll follows an engine's cache events. After a gap the view is unsure until
// the next resync.
func (c *cacheView) poll(h *host) {
	now := h.run.now
	c.askedFor = nil
	stale := c.unsure && now-c.synced >= resyncInterval
	if c.next == 0 || stale { // 0: nothing is known, or the engine had no event yet
		c.resync(h)
		return
	}
	page := h.model.CacheEvents(now, c.next)
	for _, event := range page.Events {
		if event.Sequence != c.next+1 {
			c.unsure = true
		}
		c.next = event.Sequence
		if event.Removed {
			delete(c.blocks, event.Block)
		} else {
			c.blocks[event.Block] = true
		}
	}
}

func (c *cacheView) resync(h *host) {
	if c.blocks == nil {
		c.blocks = map[uint64]bool{}
	}
	c.next, c.unsure, c.synced = h.model.CopyCache(c.blocks), false, h.run.now
}

// leading returns how many of the first blocks are believed to be cached.
func (c *cacheView) leading(blocks []uint64) (count int, sure bool) {
	if len(blocks) == 0 {
		return 0, true
	}
	if c.askedFor != &blocks[0] {
		c.askedFor, c.known = &blocks[0], c.count(blocks)
	}
	return c.known, !c.unsure
}

func (c *cacheView) count(blocks []uint64) int {
	for i, block := range blocks {
		if !c.blocks[block] {
			return i
		}
	}
	return len(blocks)
}
