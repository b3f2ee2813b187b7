package ingress

import (
	"container/list"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
)

// guessedParts bounds how many prompt parts are remembered for one replica.
const guessedParts = 512

// cacheGuess remembers which prompt parts a replica has read lately for this
// proxy, the one used last in front. It is a guess: a replica may have dropped
// a part, and other proxies' requests bring parts that are not known here. Its
// user holds a lock.
type cacheGuess struct {
	order *list.List
	parts map[string]*list.Element // of Part
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
		g.parts[part.ID] = g.order.PushFront(part)
	}
	for g.order.Len() > guessedParts {
		oldest := g.order.Back()
		delete(g.parts, oldest.Value.(Part).ID)
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

// kept returns what the replica is believed to keep, the part used last at the end.
func (r *replica) kept() []placement.Part {
	r.lock.Lock()
	defer r.lock.Unlock()
	parts := make([]placement.Part, 0, r.cache.order.Len())
	for element := r.cache.order.Back(); element != nil; element = element.Prev() {
		part := element.Value.(Part)
		parts = append(parts, placement.Part{ID: part.ID, Tokens: part.Tokens})
	}
	return parts
}

// reportKept tells a leader that has just begun to serve this proxy what the
// replicas are believed to keep.
func (i *Ingress) reportKept(to groupReporter) {
	for _, opened := range i.upstreams.all() {
		for _, known := range opened.fleet.used() {
			if parts := known.kept(); len(parts) > 0 {
				to.ReportKept(feed.KeptParts{Service: opened.service, Replica: known.name, Parts: parts})
			}
		}
	}
}

// groupReporter is the control group's connection; *feed.Client is one.
type groupReporter interface {
	ReportInFlight(told feed.InFlight) bool
	ReportKept(kept feed.KeptParts) bool
}
