package placement

import (
	"slices"
	"time"
)

// Costs of options beside the time to the first token, in time.
const (
	// runningCost is what each stream that a replica runs adds: tokens of all of
	// them come slower.
	runningCost = 1500 * time.Microsecond
	// moveSetup is what a move of memory takes before its bytes flow.
	moveSetup = 8 * time.Millisecond
	// movePrice keeps moves rare that win little: per 1,000 tokens moved.
	movePrice = 500 * time.Microsecond
	// otherZoneFactor is how much more a move between zones takes and costs.
	otherZoneFactor = 2
	// connectCost is what a new connection costs: a round trip and the replica's time to
	// take it in, and a place among the connections that the replica bounds. It makes
	// each daemon use the few replicas that it is connected to as long as others are
	// hardly better.
	connectCost = 10 * time.Millisecond
	// otherZoneCost is what a request's own way between zones costs.
	otherZoneCost = time.Millisecond
	// fullCost keeps requests off replicas without a free place.
	fullCost = 500 * time.Millisecond
	// disturbShare is the part of the gap objective by which reading a prompt
	// may hold up the streams beside it; beyond, each stream counts disturbCost, and
	// pressedCost for a request that would else be late.
	disturbShare = 0.45
	disturbCost  = 60 * time.Millisecond
	pressedCost  = 30 * time.Millisecond
	// defaultGap is the gap objective where none is known.
	defaultGap = 300 * time.Millisecond
	// strangerTokens is what a request that is not on the board is taken to have
	// still to be read.
	strangerTokens = 1500
	// minimumFetch is how many tokens a fetch must save.
	minimumFetch = 256
)

// option is one way to serve a request.
type option struct {
	generator *replica
	reader    *replica // nil when the generator reads
	fetch     *replica
	unread    int
	// first is the expected time to the first token, cost that and all else.
	first time.Duration
	cost  time.Duration
	// wait, if not 0, is how long to wait before anything of this is done.
	wait time.Duration
	// refused is true where no way is of any use.
	refused bool
}

func (o *option) readsAt() *replica {
	if o.reader != nil {
		return o.reader
	}
	return o.generator
}

func (o *option) answer() Answer {
	if o.refused {
		return Answer{Refused: true, RetryAfter: o.first}
	}
	if o.wait > 0 {
		return Answer{Wait: o.wait}
	}
	answer := Answer{Generator: o.generator.Name, Unread: o.unread, Estimate: o.first}
	if o.reader != nil {
		answer.Reader = o.reader.Name
	}
	if o.fetch != nil {
		answer.Fetch = o.fetch.Name
	}
	return answer
}

// choose returns the cheapest way to serve the request: at once, or after a wait
// for parts that are being read for others.
func (b *Board) choose(now time.Duration, ask *Ask) (option, bool) {
	among := b.compared(now, ask)
	best, found := b.chooseNow(now, ask, among)
	if !found || ask.Continued {
		return best, found
	}
	if later, brought := b.chooseLater(now, ask, among); brought && later.cost < best.cost {
		return later, true
	}
	return best, true
}

// comparison is what one request is compared by: replicas of each role that may take it, by
// name, and the one of each zone that keeps most of its prompt.
type comparison struct {
	generators []*replica
	readers    []*replica
	keepers    map[string]keeper
}

// compared returns the replicas that the request is compared at.
func (b *Board) compared(now time.Duration, ask *Ask) comparison {
	among := comparison{keepers: b.keepers(now, ask)}
	among.generators = b.shortlist(now, RoleDecode, ask, among.keepers)
	if !ask.Continued {
		among.readers = b.shortlist(now, RolePrefill, ask, among.keepers)
	}
	return among
}

// chooseNow compares all ways to serve the request at once and returns the cheapest.
//
// What a split costs is the sum of its reader's part, its generator's part and a
// move that depends on their zones alone. So the best reader and the best
// generator of each zone hold the best split, and no other pair is looked at.
func (b *Board) chooseNow(now time.Duration, ask *Ask, among comparison) (option, bool) {
	var best option
	found := false
	consider := func(next option) {
		if !found || next.cost < best.cost {
			best, found = next, true
		}
	}
	var generators candidates
	for _, generator := range among.generators {
		consider(b.direct(now, ask, generator, among.keepers))
		generators.add(b.handover(now, ask, generator))
	}
	if ask.Continued || !found {
		return best, found
	}
	var readers candidates
	for _, reader := range among.readers {
		read := b.reading(now, ask, reader, among.keepers)
		readers.add(candidate{way: read, cost: read.cost, zone: reader.Zone})
	}
	for _, read := range readers {
		for _, made := range generators {
			consider(b.split(ask, read.way, made))
		}
	}
	return best, found
}

// handover is the making of tokens at a replica from a prompt that was read elsewhere.
// It waits behind the prompts that are to be read there.
func (b *Board) handover(now time.Duration, ask *Ask, generator *replica) candidate {
	first := generator.backlog(now, b.paces[RoleDecode].perToken(), ask) + b.startTime
	return candidate{
		way:  option{generator: generator, first: first},
		cost: first + b.generating(now, ask, generator) + generator.failureTime(now) + ask.connecting(generator),
		zone: generator.Zone,
	}
}

// candidate is one replica for one part of a split, and what it adds to the cost.
type candidate struct {
	way  option
	cost time.Duration
	zone string
}

// candidates holds the cheapest candidate of each zone, sorted by name.
type candidates []candidate

// add takes a candidate in; they come sorted by name, and the first of equal
// ones stays.
func (c *candidates) add(next candidate) {
	place := slices.IndexFunc(*c, func(known candidate) bool { return known.zone == next.zone })
	if place >= 0 {
		if (*c)[place].cost <= next.cost {
			return
		}
		*c = slices.Delete(*c, place, place+1)
	}
	*c = append(*c, next)
}

// isThere reports whether the replica is at its address and takes requests.
func (r *replica) isThere(now time.Duration) bool { return !r.Leaving && !r.isAbsent(now) }

// keeper is a replica that keeps leading parts of a prompt.
type keeper struct {
	replica *replica
	tokens  int
}

// keepers returns the replica of each zone that keeps most of the prompt.
func (b *Board) keepers(now time.Duration, ask *Ask) map[string]keeper {
	best := map[string]keeper{}
	for last := len(ask.Parts) - 1; last >= 0; last-- {
		leading := ask.Parts[:last+1]
		tokens := tokensOf(leading)
		for _, holders := range b.index.holdersByZone(ask.Parts[last].ID) {
			if _, found := best[holders[0].Zone]; found || tokens == 0 {
				continue
			}
			if holder := b.firstKeeper(now, holders, leading); holder != nil {
				best[holder.Zone] = keeper{replica: holder, tokens: tokens}
			}
		}
	}
	return best
}

// firstKeeper returns the first of the replicas that keeps all of the parts and can be asked
// for them, or nil.
func (b *Board) firstKeeper(now time.Duration, holders []*replica, parts []Part) *replica {
	for _, holder := range holders {
		if holder.isThere(now) && !holder.isDoubted(now) && !b.isChanging(now, holder) && holder.cache.keepsAll(parts) {
			return holder
		}
	}
	return nil
}

func tokensOf(parts []Part) int {
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
	}
	return tokens
}

// reading is the reading of the prompt at a replica, with a fetch of what
// another one keeps where that wins time.
func (b *Board) reading(now time.Duration, ask *Ask, at *replica, keepers map[string]keeper) option {
	kept := at.cache.leading(ask.Parts)
	if own := keepers[at.Zone]; own.replica == at {
		kept = max(kept, own.tokens)
	}
	pace := b.paces[at.Role].perToken()
	best := option{reader: at, unread: max(ask.Prompt-kept, 0)}
	best.first = time.Duration(best.unread) * pace
	best.cost = best.first
	for _, other := range keepers {
		saved := other.tokens - kept
		if other.replica == at || saved < minimumFetch {
			continue
		}
		moved, price := b.move(saved, other.replica.Zone, at.Zone)
		unread := max(ask.Prompt-other.tokens, 0)
		first := moved + time.Duration(unread)*pace
		if first+price < best.cost || first+price == best.cost && other.replica.Name < nameOf(best.fetch) {
			best = option{reader: at, fetch: other.replica, unread: unread, first: first, cost: first + price}
		}
	}
	backlog := at.backlog(now, pace, ask)
	if at.Role == RolePrefill {
		backlog += time.Duration(at.strangers(now)*strangerTokens) * pace
	}
	start := b.paces[at.Role].start()
	best.first += backlog + start
	best.cost += backlog + start + at.failureTime(now) + ask.connecting(at)
	return best
}

// connecting is what it costs that the asking daemon has no connection to the replica.
func (a *Ask) connecting(to *replica) time.Duration {
	if slices.Contains(a.Connected, to.Name) {
		return 0
	}
	return connectCost
}

func nameOf(r *replica) string {
	if r == nil {
		return ""
	}
	return r.Name
}

// failureTime is what the replica's failures make it cost.
func (r *replica) failureTime(now time.Duration) time.Duration {
	cost := time.Duration(r.failureRate * float64(failureCost))
	if r.isDoubted(now) || r.saysLeaving {
		cost += suspectCost
	}
	return cost
}

// move returns how long moving so many tokens takes, and what it is to be worth
// beside that.
func (b *Board) move(tokens int, from, to string) (took, price time.Duration) {
	factor := 1
	if from != to {
		factor = otherZoneFactor
	}
	took = moveSetup
	if b.sheet.LinkMbps > 0 {
		bits := float64(tokens) * float64(b.sheet.BytesPerTok) * 8
		took += time.Duration(float64(factor) * bits / (b.sheet.LinkMbps * 1e6) * float64(time.Second))
	}
	price = time.Duration(factor*tokens/1000) * movePrice
	return took, price
}

// direct is the reading of the prompt where the tokens are made.
func (b *Board) direct(now time.Duration, ask *Ask, generator *replica, keepers map[string]keeper) option {
	next := b.reading(now, ask, generator, keepers)
	next.reader = nil
	next.generator = generator
	next.cost += b.generating(now, ask, generator) + b.disturbance(now, ask, next.unread, generator)
	return next
}

// disturbance is what reading a prompt does to the streams of its replica: their
// tokens come between pieces of it, so that their events come late once the
// reading goes on for longer than the gap objective leaves room for.
func (b *Board) disturbance(now time.Duration, ask *Ask, unread int, generator *replica) time.Duration {
	pace := b.paces[RoleDecode].perToken()
	gap := b.sheet.GapObjective
	if gap <= 0 {
		gap = defaultGap
	}
	held := generator.backlog(now, pace, ask) + time.Duration(unread)*pace
	if held <= time.Duration(disturbShare*float64(gap)) {
		return held / 8
	}
	each := disturbCost
	if ask.pressed {
		each = pressedCost
	}
	return held/4 + time.Duration(len(generator.running))*each
}

// generating is what making tokens at a replica costs besides.
func (b *Board) generating(now time.Duration, ask *Ask, generator *replica) time.Duration {
	running := len(generator.running) + generator.strangers(now)
	cost := time.Duration(running) * runningCost
	if generator.Slots > 0 && running >= generator.Slots {
		cost += fullCost
	}
	if generator.Zone != ask.Zone {
		cost += otherZoneCost
	}
	return cost
}

// split is the reading of the prompt at one replica and the making of tokens at
// another.
func (b *Board) split(ask *Ask, read option, made candidate) option {
	moved, price := b.move(ask.Prompt, read.reader.Zone, made.zone)
	next := read
	next.generator = made.way.generator
	next.first += moved + made.way.first
	next.cost += moved + price + made.cost
	return next
}
