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
// proxies' requests add parts that are unknown here. It is not safe for concurrent use.
type cacheEstimate struct {
	order *list.List
	parts map[string]*list.Element // values are of type Part
}

func newCacheEstimate() cacheEstimate {
	return cacheEstimate{order: list.New(), parts: map[string]*list.Element{}}
}

// leadingTokens returns the tokens of the leading parts that are probably cached.
func (e *cacheEstimate) leadingTokens(parts []Part) int {
	tokens := 0
	for _, part := range parts {
		if e.parts[part.ID] == nil {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// add records that the replica now holds the parts of a prompt. The last part of the prompt
// becomes the most recently used one, and the least recently used ones are dropped.
func (e *cacheEstimate) add(parts []Part) {
	for _, part := range parts {
		if element := e.parts[part.ID]; element != nil {
			e.order.MoveToFront(element)
			continue
		}
		e.parts[part.ID] = e.order.PushFront(part)
	}
	for e.order.Len() > maxEstimatedParts {
		oldest := e.order.Back()
		delete(e.parts, oldest.Value.(Part).ID)
		e.order.Remove(oldest)
	}
}

// cachedTokens returns the number of tokens of the leading parts that the replica probably holds.
func (r *replica) cachedTokens(parts []Part) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.cacheEstimate.leadingTokens(parts)
}

// noteCachedParts records that the replica has processed the parts of a prompt.
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

// reportCachedParts tells a new leader, or a standby member, which parts the replicas probably
// hold.
func (i *Ingress) reportCachedParts(to groupReporter) {
	for _, upstream := range i.upstreams.all() {
		for _, current := range upstream.fleet.inUse() {
			if parts := current.cachedParts(); len(parts) > 0 {
				to.ReportCachedParts(feed.CachedParts{Service: upstream.service, Replica: current.name, Parts: parts})
			}
		}
	}
}

// groupReporter is the connection to the control group; implemented by *feed.Client. Its methods
// return whether the report was sent; one that is lost is sent again to the next leader.
type groupReporter interface {
	ReportInFlight(report feed.InFlight) bool
	ReportCachedParts(cached feed.CachedParts) bool
}
