package placement

import (
	"maps"
	"time"
)

// A replica looks up the cached parts of a prompt when it starts the request. A request whose
// shared parts are still being read for another one would read them again, even behind that
// one in the same queue. Once they are read, they are cached there, and any other replica can
// fetch them within milliseconds. So a request waits for them if that gives the earlier first
// token.
const (
	// minWait is the shortest wait; a shorter one would only make the request ask again sooner.
	minWait = 15 * time.Millisecond
	// A read is not waited for once it has taken more than overdueFactor times its expected
	// time plus overdueSlack: its daemon may be gone.
	overdueFactor = 2
	overdueSlack  = 150 * time.Millisecond
)

// pendingRead is a queued request that will cache parts which another request shares.
type pendingRead struct {
	replica *replica
	tokens  int           // leading tokens cached afterwards
	readyIn time.Duration // time until they are cached
}

// chooseAfterWait returns the cheapest option for the request after shared parts of a queued
// request have been read; false if no queued request shares enough parts.
func (b *Board) chooseAfterWait(now time.Duration, request *Ask, candidates candidateReplicas) (option, bool) {
	awaited, found := b.firstPendingRead(now, request, candidates.prefixHolders)
	if !found {
		return option{}, false
	}
	afterRead := candidates
	afterRead.prefixHolders = maps.Clone(candidates.prefixHolders)
	afterRead.prefixHolders[awaited.replica.Zone] = prefixHolder{replica: awaited.replica, tokens: awaited.tokens}
	later, found := b.chooseNow(now, request, afterRead)
	if !found {
		return option{}, false
	}
	// The queue of the reader shrinks during the wait.
	reader := later.readingReplica()
	delay := awaited.readyIn - min(awaited.readyIn, reader.backlog(now, b.readTimes[reader.Role].perToken(), request))
	later.timeToFirstToken += delay
	later.cost += delay
	later.wait = max(awaited.readyIn, minWait)
	return later, true
}

// firstPendingRead returns the queued request that is the first to have read more of the
// prompt than any replica has cached.
func (b *Board) firstPendingRead(now time.Duration, request *Ask, prefixHolders map[string]prefixHolder) (pendingRead, bool) {
	cachedTokens := 0
	for _, known := range prefixHolders {
		cachedTokens = max(cachedTokens, known.tokens)
	}
	next, found := partAtOffset(request.Parts, cachedTokens)
	if !found {
		return pendingRead{}, false
	}
	var best pendingRead
	for _, at := range b.index.pending[next] {
		if !at.acceptsRequests(now) || at.isSuspected(now) {
			continue
		}
		if pending, shares := b.pendingReadOn(now, request, at, cachedTokens); shares && (best.replica == nil || pending.readyIn < best.readyIn) {
			best = pending
		}
	}
	return best, best.replica != nil
}

// partAtOffset returns the first part that begins at or after the given number of tokens.
func partAtOffset(parts []Part, tokens int) (string, bool) {
	begins := 0
	for _, part := range parts {
		if begins >= tokens {
			return part.ID, true
		}
		begins += part.Tokens
	}
	return "", false
}

// pendingReadOn returns the first such request in the queue of one replica.
func (b *Board) pendingReadOn(now time.Duration, request *Ask, at *replica, cachedTokens int) (pendingRead, bool) {
	perToken := b.readTimes[at.Role].perToken()
	readyIn := b.readTimes[at.Role].fixed()
	for _, queued := range at.queue {
		if queued.request.deferred {
			break // others will still go before it
		}
		takes := time.Duration(queued.unreadTokens) * perToken
		if queued == at.current {
			spent := now - at.currentSince
			if spent > overdueFactor*takes+overdueSlack {
				return pendingRead{}, false
			}
			takes = max(takes-spent, 0)
		}
		readyIn += takes
		if tokens := sharedPrefixTokens(queued.request.Parts, request.Parts); tokens >= cachedTokens+minFetchTokens {
			return pendingRead{replica: at, tokens: tokens, readyIn: readyIn}, true
		}
	}
	return pendingRead{}, false
}

// sharedPrefixTokens returns the number of tokens in the leading parts that two prompts share.
func sharedPrefixTokens(first, second []Part) int {
	tokens := 0
	for i := 0; i < min(len(first), len(second)) && first[i].ID == second[i].ID; i++ {
		tokens += second[i].Tokens
	}
	return tokens
}
