package placement

import (
	"slices"
	"time"
)

// Parameters of the cost of an option. The cost is the time to first token plus the following
// costs, in units of time.
const (
	// perStreamCost is charged for each stream that a replica runs, since each slows the
	// tokens of all others.
	perStreamCost = 1500 * time.Microsecond
	// transferSetup is the time before a KV cache transfer moves its first byte.
	transferSetup = 8 * time.Millisecond
	// transferCostPerThousand is charged for each full 1,000 tokens, so that transfers that save
	// little stay rare.
	transferCostPerThousand = 500 * time.Microsecond
	// crossZoneFactor multiplies the time and cost of a transfer between zones.
	crossZoneFactor = 2
	// newConnectionCost is charged if the daemon has no idle connection to the replica: for the
	// round trip, for the time to accept the connection, and because a replica limits the number
	// of its connections. It makes each daemon use the few replicas that it is connected to, as
	// long as others are hardly better.
	newConnectionCost = 10 * time.Millisecond
	// crossZoneCost is charged if the generator is in another zone than the daemon.
	crossZoneCost = time.Millisecond
	// noFreeSlotCost keeps requests off replicas without a free slot.
	noFreeSlotCost = 500 * time.Millisecond
	// Reading a prompt stalls the streams on the same replica. If the stall exceeds
	// disturbanceShare of the gap objective, each of these streams is charged with
	// disturbedStreamCost, or with lateDisturbedStreamCost if the request to be read would
	// otherwise be late.
	disturbanceShare        = 0.45
	disturbedStreamCost     = 60 * time.Millisecond
	lateDisturbedStreamCost = 30 * time.Millisecond
	// defaultGapObjective is the inter-token gap objective where none is configured.
	defaultGapObjective = 300 * time.Millisecond
	// untrackedRequestTokens is the assumed number of unread tokens of an untracked request.
	untrackedRequestTokens = 1500
	// minFetchTokens is the number of tokens that a fetch, or a wait for another read, must
	// save at least.
	minFetchTokens = 256
)

// option is one way to serve a request.
type option struct {
	generator *replica
	reader    *replica // nil if the generator reads the prompt
	fetch     *replica
	unread    int
	// timeToFirstToken is an estimate; cost adds the other costs to it.
	timeToFirstToken time.Duration
	cost             time.Duration
	// wait, if not 0, is the time to wait before the request is placed at all.
	wait time.Duration
	// refused marks a request that no option serves in time.
	refused bool
}

// readingReplica returns the replica that reads the prompt.
func (o *option) readingReplica() *replica {
	if o.reader != nil {
		return o.reader
	}
	return o.generator
}

// answer returns the reply that states the option. For a refused one, timeToFirstToken is the time
// after which to retry.
func (o *option) answer() Answer {
	if o.refused {
		return Answer{Refused: true, RetryAfter: o.timeToFirstToken}
	}
	if o.wait > 0 {
		return Answer{Wait: o.wait}
	}
	answer := Answer{Generator: o.generator.Name, UnreadTokens: o.unread, Estimate: o.timeToFirstToken}
	if o.reader != nil {
		answer.Reader = o.reader.Name
	}
	if o.fetch != nil {
		answer.FetchFrom = o.fetch.Name
	}
	return answer
}

// choose returns the cheapest option for the request: placed now, or after a wait for parts
// that are being read for other requests. It returns false if no generator can take the request.
func (b *Board) choose(now time.Duration, request *Request) (option, bool) {
	candidates := b.candidates(now, request)
	best, found := b.chooseNow(now, request, candidates)
	if !found || request.Continued {
		return best, found
	}
	if later, available := b.chooseAfterWait(now, request, candidates); available && later.cost < best.cost {
		return later, true
	}
	return best, true
}

// candidateReplicas are the replicas compared for one request: usable replicas of each role,
// sorted by name, and for each zone the replica that has the longest prefix of the prompt cached.
type candidateReplicas struct {
	generators    []*replica
	readers       []*replica
	prefixHolders map[string]prefixHolder
}

// candidates returns the replicas that are compared for the request. It starts new choices in the
// index (index.choiceNumber).
func (b *Board) candidates(now time.Duration, request *Request) candidateReplicas {
	candidates := candidateReplicas{prefixHolders: b.prefixHolders(now, request)}
	candidates.generators = b.shortlist(now, RoleDecode, request, candidates.prefixHolders)
	if !request.Continued && !request.DirectOnly {
		candidates.readers = b.shortlist(now, RolePrefill, request, candidates.prefixHolders)
	}
	return candidates
}

// chooseNow returns the cheapest option that places the request at once; false if there is no
// generator.
//
// The cost of a split is the sum of the reader's cost, the generator's cost, and that of a
// transfer, which depends only on the zones of the two. So for each pair of zones only the
// cheapest reader and the cheapest generator are compared.
func (b *Board) chooseNow(now time.Duration, request *Request, candidates candidateReplicas) (option, bool) {
	var best option
	found := false
	consider := func(next option) {
		if !found || next.cost < best.cost {
			best, found = next, true
		}
	}
	var generators cheapestByZone
	for _, generator := range candidates.generators {
		consider(b.directOption(now, request, generator, candidates.prefixHolders))
		generators.add(b.generationHalf(now, request, generator))
	}
	if request.Continued || !found {
		return best, found
	}
	var readers cheapestByZone
	for _, reader := range candidates.readers {
		read := b.readOption(now, request, reader, candidates.prefixHolders)
		readers.add(splitHalf{option: read, cost: read.cost, zone: reader.Zone})
	}
	for _, read := range readers {
		for _, generation := range generators {
			consider(b.splitOption(request, read.option, generation))
		}
	}
	return best, found
}

// generationHalf returns the half of a split that generates from a prompt read elsewhere. The
// first token has to wait for the prompts that the generator still has to read.
func (b *Board) generationHalf(now time.Duration, request *Request, generator *replica) splitHalf {
	timeToFirstToken := generator.backlog(now, b.tokenTime(now, generator), request) + b.decodeStart(now, generator)
	return splitHalf{
		option: option{generator: generator, timeToFirstToken: timeToFirstToken},
		cost:   timeToFirstToken + b.generationCost(now, request, generator) + generator.failureCost(now) + request.connectionCost(generator),
		zone:   generator.Zone,
	}
}

// splitHalf is one replica for one half of a split, with its share of the cost.
type splitHalf struct {
	option option
	cost   time.Duration
	zone   string
}

// cheapestByZone holds the cheapest half of each zone, sorted by replica name.
type cheapestByZone []splitHalf

// add considers another half. Halves must be added sorted by name; of equal ones the first
// stays.
func (c *cheapestByZone) add(next splitHalf) {
	pos := slices.IndexFunc(*c, func(known splitHalf) bool { return known.zone == next.zone })
	if pos >= 0 {
		if (*c)[pos].cost <= next.cost {
			return
		}
		*c = slices.Delete(*c, pos, pos+1)
	}
	*c = append(*c, next)
}

// acceptsRequests reports whether the replica is neither banned nor listed as leaving.
func (r *replica) acceptsRequests(now time.Duration) bool { return !r.Leaving && !r.isBanned(now) }

// prefixHolder is a replica that has leading parts of a prompt cached.
type prefixHolder struct {
	replica *replica
	tokens  int
}

// prefixHolders returns, for each zone, the replica that has the longest prefix of the prompt
// cached.
func (b *Board) prefixHolders(now time.Duration, request *Request) map[string]prefixHolder {
	best := map[string]prefixHolder{}
	for last := len(request.Parts) - 1; last >= 0; last-- {
		leading := request.Parts[:last+1]
		tokens := totalTokens(leading)
		for _, holders := range b.index.holdersByZone(request.Parts[last].ID) {
			if _, found := best[holders[0].Zone]; found || tokens == 0 {
				continue
			}
			if holder := b.firstHolder(now, holders, leading); holder != nil {
				best[holder.Zone] = prefixHolder{replica: holder, tokens: tokens}
			}
		}
	}
	return best
}

// firstHolder returns the first of the replicas, in the given order, that has all of the parts
// cached and from which they can be fetched, or nil.
func (b *Board) firstHolder(now time.Duration, holders []*replica, parts []Part) *replica {
	for _, holder := range holders {
		if holder.acceptsRequests(now) && !holder.isSuspected(now) && !b.isChanging(now, holder) && holder.cache.containsAll(parts) {
			return holder
		}
	}
	return nil
}

// totalTokens returns the number of tokens in the parts.
func totalTokens(parts []Part) int {
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
	}
	return tokens
}

// readOption returns the option of reading the prompt on a replica, without a generator. Parts
// that another replica has cached are fetched from there if that saves time.
func (b *Board) readOption(now time.Duration, request *Request, at *replica, prefixHolders map[string]prefixHolder) option {
	cachedTokens := at.cache.leadingTokens(request.Parts)
	if own := prefixHolders[at.Zone]; own.replica == at {
		cachedTokens = max(cachedTokens, own.tokens)
	}
	perToken := b.tokenTime(now, at)
	best := option{reader: at, unread: max(request.PromptTokens-cachedTokens, 0)}
	best.timeToFirstToken = time.Duration(best.unread) * perToken
	best.cost = best.timeToFirstToken
	for _, other := range prefixHolders {
		saved := other.tokens - cachedTokens
		if other.replica == at || saved < minFetchTokens {
			continue
		}
		transferTime, transferCost := b.estimateTransfer(saved, other.replica.Zone, at.Zone)
		unread := max(request.PromptTokens-other.tokens, 0)
		timeToFirstToken := transferTime + time.Duration(unread)*perToken
		if timeToFirstToken+transferCost < best.cost || timeToFirstToken+transferCost == best.cost && other.replica.Name < nameOrEmpty(best.fetch) {
			best = option{reader: at, fetch: other.replica, unread: unread, timeToFirstToken: timeToFirstToken, cost: timeToFirstToken + transferCost}
		}
	}
	backlog := at.backlog(now, perToken, request)
	if at.Role == RolePrefill {
		backlog += time.Duration(at.untrackedCount(now)*untrackedRequestTokens) * perToken
	}
	fixed := b.readOverhead(now, at)
	best.timeToFirstToken += backlog + fixed
	best.cost = b.readCost(at, best.cost+backlog+fixed) + at.failureCost(now) + request.connectionCost(at)
	if at.Role == RolePrefill {
		best.cost += at.rampCost(now, request)
	}
	return best
}

// connectionCost returns the cost of a new connection if the daemon has none to the replica.
func (a *Request) connectionCost(to *replica) time.Duration {
	if slices.Contains(a.Connected, to.Name) {
		return 0
	}
	return newConnectionCost
}

// nameOrEmpty returns the name of a replica, or an empty name for nil.
func nameOrEmpty(r *replica) string {
	if r == nil {
		return ""
	}
	return r.Name
}

// failureCost returns the cost of the replica's recent failures and of its announced shutdown. It is negative for a
// replica that is due for a trial.
func (r *replica) failureCost(now time.Duration) time.Duration {
	if r.isDueForTrial(now) {
		return -r.trialCredit(now)
	}
	cost := time.Duration(r.failureRate * float64(fullFailureCost))
	if r.isSuspected(now) || r.announcedLeaving {
		cost += suspectCost
	}
	return cost
}

// estimateTransfer returns the time to transfer the KV cache of the tokens, and the cost charged on
// top of it.
func (b *Board) estimateTransfer(tokens int, fromZone, toZone string) (took, cost time.Duration) {
	factor := 1
	if fromZone != toZone {
		factor = crossZoneFactor
	}
	took = transferSetup
	if b.parameters.LinkMbps > 0 {
		bits := float64(tokens) * float64(b.parameters.BytesPerToken) * 8
		took += time.Duration(float64(factor) * bits / (b.parameters.LinkMbps * 1e6) * float64(time.Second))
	}
	cost = time.Duration(factor*tokens/1000) * transferCostPerThousand
	return took, cost
}

// directOption returns the option in which the generator reads the prompt itself.
func (b *Board) directOption(now time.Duration, request *Request, generator *replica, prefixHolders map[string]prefixHolder) option {
	next := b.readOption(now, request, generator, prefixHolders)
	next.reader = nil
	next.generator = generator
	next.cost += b.generationCost(now, request, generator) + b.disturbanceCost(now, request, next.unread, generator)
	return next
}

// disturbanceCost returns the cost of the delay that reading a prompt causes to the streams on the
// same replica. The replica generates their tokens between chunks of the prompt, so tokens are
// late if the reading, with the prompts ahead of it, lasts longer than the gap objective allows.
func (b *Board) disturbanceCost(now time.Duration, request *Request, unread int, generator *replica) time.Duration {
	perToken := b.tokenTime(now, generator)
	gap := b.parameters.GapObjective
	if gap <= 0 {
		gap = defaultGapObjective
	}
	stall := generator.backlog(now, perToken, request) + time.Duration(unread)*perToken
	if stall <= time.Duration(disturbanceShare*float64(gap)) {
		return stall / 8
	}
	perStream := disturbedStreamCost
	if request.wouldBeLate {
		perStream = lateDisturbedStreamCost
	}
	return stall/4 + time.Duration(len(generator.running))*perStream
}

// generationCost returns the cost of generating on a replica, without the time to first token.
func (b *Board) generationCost(now time.Duration, request *Request, generator *replica) time.Duration {
	running := len(generator.running) + generator.untrackedCount(now)
	cost := time.Duration(running) * perStreamCost
	if generator.Slots > 0 && running >= generator.Slots {
		cost += noFreeSlotCost
	}
	cost += generator.rampCost(now, request)
	if generator.Zone != request.Zone {
		cost += crossZoneCost
	}
	return cost
}

// splitOption returns the option in which one replica reads the prompt and another generates.
func (b *Board) splitOption(request *Request, read option, generation splitHalf) option {
	transferTime, transferCost := b.estimateTransfer(request.PromptTokens, read.reader.Zone, generation.zone)
	next := read
	next.generator = generation.option.generator
	next.timeToFirstToken += transferTime + generation.option.timeToFirstToken
	next.cost += transferTime + transferCost + generation.cost
	return next
}
