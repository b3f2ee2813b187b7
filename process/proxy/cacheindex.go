package proxy

import "github.com/landingtrail/landingtrail/connection/engineapi"

// cacheIndex is what is believed of an engine's prompt cache. The zero value
// knows nothing. Its owner locks it.
type cacheIndex struct {
	blocks map[uint64]bool
	next   uint64 // the last sequence number taken in; 0 asks for a snapshot
	sure   bool
}

// reset forgets everything; the next page must be a snapshot.
func (c *cacheIndex) reset() { *c = cacheIndex{} }

// apply takes in a page of events that was asked for with the sequence number
// after. A gap makes the index unsure and the next page a snapshot; what is
// known stays as a hint until then.
func (c *cacheIndex) apply(page engineapi.CacheEvents, after uint64) {
	if after != c.next {
		return // the answer to a question that a reset has overtaken
	}
	if page.Snapshot {
		c.blocks = make(map[uint64]bool, len(page.Blocks))
		for _, block := range page.Blocks {
			c.blocks[block] = true
		}
		c.next = page.Next
		c.sure = true
		return
	}
	expected := after + 1
	for _, event := range page.Events {
		if event.Sequence != expected {
			c.lose()
			return
		}
		expected++
		if event.Removed {
			delete(c.blocks, event.Block)
		} else {
			c.set(event.Block)
		}
	}
	if page.Next != expected-1 {
		c.lose()
		return
	}
	c.next = page.Next
}

func (c *cacheIndex) set(block uint64) {
	if c.blocks == nil {
		c.blocks = map[uint64]bool{}
	}
	c.blocks[block] = true
}

func (c *cacheIndex) lose() {
	c.next = 0
	c.sure = false
}

// leading returns how many of the first blocks are believed to be cached.
func (c *cacheIndex) leading(blocks []uint64) (count int, sure bool) {
	for _, block := range blocks {
		if !c.blocks[block] {
			break
		}
		count++
	}
	return count, c.sure
}
