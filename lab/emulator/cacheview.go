package emulator

import (
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

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
	if c.blocks == nil || c.unsure && now-c.synced >= resyncInterval {
		c.resync(h.model.CacheEvents(now, 0), now)
		return
	}
	page := h.model.CacheEvents(now, c.next)
	if page.Snapshot { // the engine had no event yet when it was asked last
		c.resync(page, now)
		return
	}
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

func (c *cacheView) resync(page engineapi.CacheEvents, now time.Duration) {
	c.blocks = make(map[uint64]bool, len(page.Blocks))
	for _, block := range page.Blocks {
		c.blocks[block] = true
	}
	c.next, c.unsure, c.synced = page.Next, false, now
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
