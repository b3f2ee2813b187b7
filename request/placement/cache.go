package placement

import "container/list"

// cache models the prompt parts that a replica has cached: whole parts, evicted in LRU
// order at the capacity of its memory. The most recently used part is at the front.
type cache struct {
	lru    *list.List
	parts  map[string]*list.Element
	tokens int64
	// pending holds, for each part, the number of queued requests of the replica that will
	// cache it. A replica looks up its cache when it adds a request to its batch, which may be
	// before the prompts ahead of it are read. So even a request queued behind those counted
	// here does not find the part, unless it is sent only after the part was read.
	pending map[string]int
	// owner is the replica of the cache; index maps parts to it.
	owner *replica
	index *index
}

type cachedPart struct {
	id     string
	tokens int64
}

func newCache(owner *replica, index *index) cache {
	return cache{lru: list.New(), parts: map[string]*list.Element{}, pending: map[string]int{}, owner: owner, index: index}
}

// leadingTokens returns the number of tokens in the leading parts that are cached.
func (c *cache) leadingTokens(parts []Part) int {
	tokens := 0
	for _, part := range parts {
		if c.parts[part.ID] == nil {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// containsAll reports whether all of the parts are cached.
func (c *cache) containsAll(parts []Part) bool {
	for i := len(parts) - 1; i >= 0; i-- { // the last is the least likely to be cached
		if c.parts[parts[i].ID] == nil {
			return false
		}
	}
	return true
}

// addPending records that a queued request will cache the parts.
func (c *cache) addPending(parts []Part) {
	for _, part := range parts {
		c.pending[part.ID]++
		c.index.addPending(c.owner, part.ID)
	}
}

// removePending reverts one addPending.
func (c *cache) removePending(parts []Part) {
	for _, part := range parts {
		if c.pending[part.ID]--; c.pending[part.ID] <= 0 {
			delete(c.pending, part.ID)
			c.index.removePending(c.owner, part.ID)
		}
	}
}

// drop removes parts that the replica turned out not to have cached.
func (c *cache) drop(parts []Part) {
	for _, part := range parts {
		known := c.parts[part.ID]
		if known == nil {
			continue
		}
		c.tokens -= c.lru.Remove(known).(cachedPart).tokens
		delete(c.parts, part.ID)
		c.index.removeHolder(c.owner, part.ID)
	}
}

// use adds the parts that are not cached, moves all of them to the front, and evicts the least
// recently used parts beyond limit tokens.
func (c *cache) use(parts []Part, limit int64) {
	for _, part := range parts {
		if known := c.parts[part.ID]; known != nil {
			c.lru.MoveToFront(known)
			continue
		}
		c.parts[part.ID] = c.lru.PushFront(cachedPart{id: part.ID, tokens: int64(part.Tokens)})
		c.tokens += int64(part.Tokens)
		c.index.addHolder(c.owner, part.ID)
	}
	for c.tokens > limit && c.lru.Len() > 0 {
		oldest := c.lru.Remove(c.lru.Back()).(cachedPart)
		delete(c.parts, oldest.id)
		c.index.removeHolder(c.owner, oldest.id)
		c.tokens -= oldest.tokens
	}
}
