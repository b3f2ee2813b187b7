package ingress

import "container/list"

// guessedParts bounds how many prompt parts are remembered for one replica.
const guessedParts = 512

// cacheGuess remembers which prompt parts a replica has read lately for this
// proxy, the one used last in front. It is a guess: a replica may have dropped
// a part, and other proxies' requests bring parts that are not known here. Its
// user holds a lock.
type cacheGuess struct {
	order *list.List
	parts map[string]*list.Element
}

func newCacheGuess() cacheGuess {
	return cacheGuess{order: list.New(), parts: map[string]*list.Element{}}
}

// leading returns how many tokens of the leading parts are believed to be held.
func (g *cacheGuess) leading(parts []Part) int {
	tokens := 0
	for _, part := range parts {
		if g.parts[part.ID] == nil {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// note remembers that the replica holds the parts now.
func (g *cacheGuess) note(parts []Part) {
	for _, part := range parts {
		if known := g.parts[part.ID]; known != nil {
			g.order.MoveToFront(known)
			continue
		}
		g.parts[part.ID] = g.order.PushFront(part.ID)
	}
	for g.order.Len() > guessedParts {
		oldest := g.order.Back()
		delete(g.parts, oldest.Value.(string))
		g.order.Remove(oldest)
	}
}

func (r *replica) cachedTokens(parts []Part) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.cache.leading(parts)
}

func (r *replica) noteParts(parts []Part) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.cache.note(parts)
}
