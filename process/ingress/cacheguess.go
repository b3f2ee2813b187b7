package ingress

import (
	"container/list"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
)

// maxEstimatedParts limits how many prompt parts are tracked for one replica.
const maxEstimatedParts = 512

// cacheEstimate tracks which prompt parts a replica has recently processed for this proxy, the
// most recently used one first. It is an estimate: the replica may have evicted a part, and other
// proxies' requests add parts that are unknown here. The user must hold a lock.
type cacheEstimate struct {
	order *list.List
	parts map[string]*list.Element // values are of type Part
}

func newCacheEstimate() cacheEstimate {
	return cacheEstimate{order: list.New(), parts: map[string]*list.Element{}}
}

// leadingTokens returns the tokens of the leading parts that are probably cached.
func (g *cacheEstimate) leadingTokens(parts []Part) int {
	tokens := 0
	for _, part := range parts {
		if g.parts[part.ID] == nil {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// add records that the replica now holds the parts.
func (g *cacheEstimate) add(parts []Part) {
	for _, part := range parts {
		if known := g.parts[part.ID]; known != nil {
			g.order.MoveToFront(known)
			continue
		}
		g.parts[part.ID] = g.order.PushFront(part)
	}
	for g.order.Len() > maxEstimatedParts {
		oldest := g.order.Back()
		delete(g.parts, oldest.Value.(Part).ID)
		g.order.Remove(oldest)
	}
}

func (r *replica) cachedTokens(parts []Part) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.cacheEstimate.leadingTokens(parts)
}

func (r *replica) noteCachedParts(parts []Part) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.cacheEstimate.add(parts)
}

// cachedParts returns the parts that the replica probably holds, the most recently used one last.
func (r *replica) cachedParts() []placement.Part {
	r.lock.Lock()
	defer r.lock.Unlock()
	parts := make([]placement.Part, 0, r.cacheEstimate.order.Len())
	for element := r.cacheEstimate.order.Back(); element != nil; element = element.Prev() {
		part := element.Value.(Part)
		parts = append(parts, placement.Part{ID: part.ID, Tokens: part.Tokens})
	}
	return parts
}

// reportCachedParts tells a new leader of this proxy which parts the replicas probably hold.
func (i *Ingress) reportCachedParts(to groupReporter) {
	for _, opened := range i.upstreams.all() {
		for _, known := range opened.fleet.inUse() {
			if parts := known.cachedParts(); len(parts) > 0 {
				to.ReportKept(feed.KeptParts{Service: opened.service, Replica: known.name, Parts: parts})
			}
		}
	}
}

// groupReporter is the connection to the control group; implemented by *feed.Client.
type groupReporter interface {
	ReportInFlight(recorded feed.InFlight) bool
	ReportKept(kept feed.KeptParts) bool
}
