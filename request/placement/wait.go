package placement

import (
	"maps"
	"time"
)

// A replica looks up the cached parts of a prompt when it adds the request to its batch, which may
// be before the prompts ahead of it are read. So if the parts that a request shares with another
// one are still being read, the replica reads them again, even if the request is queued behind the
// other one on the same replica. Once the parts have been read, that replica has them cached, and
// any other can fetch them within milliseconds. A request therefore waits for them before it is
// placed, if its first token then comes earlier.
const (
	// minWait is the shortest wait. A shorter one would only make the daemon call Place again
	// too early.
	minWait = 15 * time.Millisecond
	// A request does not wait for a read that has taken more than overdueFactor times its
	// expected time plus overdueSlack, since the daemon of that read may be gone.
	overdueFactor = 2
	overdueSlack  = 150 * time.Millisecond
)

// pendingRead is a queued request that will cache leading parts of the prompt to be placed.
type pendingRead struct {
	replica *replica
	tokens  int           // leading tokens of the prompt that are cached once it has been read
	readyIn time.Duration // time until they are cached
}

// chooseAfterWait returns the cheapest option for the request if it is placed only when the parts
// that it shares with a queued request have been read; false if no queued request shares enough
// parts.
func (b *Board) chooseAfterWait(now time.Duration, request *Request, candidates candidateReplicas) (option, bool) {
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
	delay := awaited.readyIn - min(awaited.readyIn, reader.backlog(now, b.tokenTime(now, reader), request))
	later.timeToFirstToken += delay
	later.cost += delay
	later.wait = max(awaited.readyIn, minWait)
	return later, true
}

// firstPendingRead returns, of the queued requests on all replicas that will cache a longer prefix
// of the prompt than any replica has cached, the one that is read first.
func (b *Board) firstPendingRead(now time.Duration, request *Request, prefixHolders map[string]prefixHolder) (pendingRead, bool) {
	cachedTokens := 0
	for _, known := range prefixHolders {
		cachedTokens = max(cachedTokens, known.tokens)
	}
	next, found := partIDAtOffset(request.Parts, cachedTokens)
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

// partIDAtOffset returns the ID of the first part that begins at or after the given number of
// tokens; false if there is none.
func partIDAtOffset(parts []Part, tokens int) (string, bool) {
	begins := 0
	for _, part := range parts {
		if begins >= tokens {
			return part.ID, true
		}
		begins += part.Tokens
	}
	return "", false
}

// pendingReadOn returns the first request in the queue of one replica that will cache at least
// minFetchTokens more than cachedTokens of the prompt; false if there is none or if the current
// read is overdue.
func (b *Board) pendingReadOn(now time.Duration, request *Request, at *replica, cachedTokens int) (pendingRead, bool) {
	perToken := b.tokenTime(now, at)
	readyIn := b.readOverhead(now, at)
	for _, queued := range at.queue {
		if queued.request.deferred {
			break // requests placed later will still be read before it
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
