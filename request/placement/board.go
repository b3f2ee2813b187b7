package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/request/rampup"
)

// Initial estimates, parameters of the measurements that replace them, and other parameters of
// the board.
const (
	// initialPrefillTokenTime is the time in which a prefill replica reads one token.
	initialPrefillTokenTime = 25 * time.Microsecond
	// decodeSlowdown is how many times longer than a prefill replica a decode replica takes to
	// read a token.
	decodeSlowdown = 2
	// initialReadOverhead is the fixed time that a replica takes to start a prompt and to
	// respond.
	initialReadOverhead = 25 * time.Millisecond
	// initialDecodeStartTime is the time from the end of the transfer of a prompt's KV cache to
	// the first token.
	initialDecodeStartTime = 35 * time.Millisecond
	// decodeStartSamples is the number of samples over which that time is averaged in a small
	// service.
	decodeStartSamples = 20
	// defaultKVTokens is the KV cache capacity of a replica if the service parameters have none.
	defaultKVTokens = 400_000
	// cachedShare is the share of the KV cache capacity that is assumed to hold cached parts.
	cachedShare = 0.9
	// expiryGrace is the time past its deadline after which a request that sent no further
	// progress reports is dropped.
	expiryGrace = 2 * time.Second
	// expiryInterval is the minimum time between two searches for such requests.
	expiryInterval = 100 * time.Millisecond
)

// Board tracks all requests in flight to the replicas of one service.
type Board struct {
	parameters ServiceParameters
	replicas   map[string]*replica
	names      []string // sorted
	index      *index
	inFlight   map[Key]*placedRequest
	// readTimes holds the measured read times by role. The measurement ends at the first token
	// on decode replicas, and on prefill replicas when the prompt has been read.
	readTimes [2]readTime
	// decodeStartTime is the measured time from the end of the transfer of a prompt's KV cache
	// to the first token.
	decodeStartTime time.Duration
	changes         map[string]roleChange
	lateness        recentShare // share of late requests among those with an objective
	lateWork        recentShare // the same, weighted by prompt tokens
	objective       meanObjective
	fairness        map[class]*fairness
	tenants         tenants
	// isolation keeps requests that may crash replicas apart from all others.
	isolation    isolation
	expireAt     time.Duration // time of the next search for expired requests
	speedFactors speedFactors
	ramps        ramps
	answers      Answers // since the last summary
}

// placedRequest is a request in flight.
type placedRequest struct {
	request       Request
	answer        Answer
	placedAt      time.Duration
	expiresAt     time.Duration
	queuedOn      *replica // whose queue holds the request; nil once the prompt is read
	unreadTokens  int      // tokens that the replica has to read
	readAlone     bool     // the replica was reading nothing else at placement
	runningOn     *replica
	readAt        time.Duration // when the prompt was read; 0 before
	backlogAtRead time.Duration // the read backlog on the generator at readAt
	started       bool
	startedAt     time.Duration
	adopted       bool // placed by another board; added by TakeOver
	// slownessAtPlacement is the known slowness of queuedOn when the request was queued there; 0 if it was not known.
	slownessAtPlacement float64
	// expectedRead is the time from placedAt to the end of the read as expected then; 0 if it is not known.
	expectedRead time.Duration
	memory       heldMemory
}

// replica is the state that the board tracks for one replica.
type replica struct {
	Replica
	cache    cache
	position position
	// examinedInChoice is the number of the last choice that examined the replica,
	// shortlistedInChoice that of the last one that added it to a shortlist; see
	// index.choiceNumber.
	examinedInChoice, shortlistedInChoice uint64
	isRemoved                             bool // no longer listed
	// queue holds the prompts to be read, in order. current is the one that is assumed to
	// be read, since currentSince.
	queue           []*placedRequest
	queuedTokens    int // unread tokens of the prompts in the queue
	current         *placedRequest
	currentSince    time.Duration
	lastReadEndedAt time.Duration
	running         map[*placedRequest]struct{}
	heldBlocks      int64 // blocks of KV memory that the requests in flight hold; see heldMemory

	speed speedFactor
	// rankedFactor is the factor by which the index orders the replica.
	rankedFactor float64

	// untrackedRequests is the number of requests on the replica that the board does not
	// track, sent by daemons that place requests on their own, as reported at untrackedAt.
	untrackedRequests int
	untrackedAt       time.Duration

	// suspicionPeriod is the length of the current or last suspicion, 0 once the replica has
	// responded. refusalBackoff is the length of the backoff after the last refusal.
	suspicionPeriod time.Duration
	refusalBackoff  time.Duration
	// suspectedAt is when the current or last suspicion began or was extended. avoidedUntil is
	// the end of the suspicion or of the refusal backoff.
	suspectedAt  time.Duration
	avoidedUntil time.Duration
	probe        *placedRequest // the request that probes whether a suspected replica responds again
	failureRate  float64        // moving average, 0 without failures to 1 if all requests fail
	// announcedLeaving is set once the replica has announced that it will shut down, even if it
	// is not listed as leaving.
	announcedLeaving bool
	// banPeriod is the length of the last ban, from bannedSince until bannedUntil; 0 if a request
	// has succeeded since. A replica is banned when it is no longer at its listed address.
	banPeriod   time.Duration
	bannedSince time.Duration
	bannedUntil time.Duration
	ramp        rampup.Ramp // in progress only in a service that reports slowness
}

// NewBoard returns a board without replicas.
func NewBoard() *Board {
	return &Board{
		replicas:        map[string]*replica{},
		index:           newIndex(),
		inFlight:        map[Key]*placedRequest{},
		decodeStartTime: initialDecodeStartTime,
		changes:         map[string]roleChange{},
		lateness:        newRecentShare(latenessTimeConstant),
		lateWork:        newRecentShare(latenessTimeConstant),
		fairness:        map[class]*fairness{},
		tenants:         tenants{},
		speedFactors:    newSpeedFactors(),
		readTimes: [2]readTime{
			RoleDecode:  newReadTime(initialReadOverhead+initialDecodeStartTime, decodeSlowdown*initialPrefillTokenTime),
			RolePrefill: newReadTime(initialReadOverhead, initialPrefillTokenTime),
		},
	}
}

// SetReplicas replaces the list of replicas and keeps the state of those that remain. Put and
// Remove change single entries of the list.
func (b *Board) SetReplicas(parameters ServiceParameters, entries []Replica) {
	b.parameters = parameters
	gone := maps.Clone(b.replicas)
	for _, entry := range entries {
		b.Put(entry)
		delete(gone, entry.Name)
	}
	for name := range gone {
		b.Remove(name)
	}
	b.ramps.hasList = true
}

// Put adds or updates one replica and keeps its state if it is still the same process.
func (b *Board) Put(entry Replica) {
	known, speed := b.replicas[entry.Name], newSpeedFactor()
	previous := known
	if known != nil && (known.Role != entry.Role || known.Zone != entry.Zone || known.isAnotherProcess(&entry)) {
		b.Remove(entry.Name)
		if !known.isAnotherProcess(&entry) {
			speed = known.speed
		}
		known = nil
	}
	if known == nil {
		known = &replica{running: map[*placedRequest]struct{}{}, speed: speed}
		known.cache = newCache(known, b.index)
		b.replicas[entry.Name] = known
		pos, _ := slices.BinarySearch(b.names, entry.Name)
		b.names = slices.Insert(b.names, pos, entry.Name)
		known.Replica = entry
		known.rankedFactor = known.rankingFactor(speed.lasting)
		b.rampListed(known, previous)
	}
	known.Replica = entry
	known.ramp.Slots = entry.Slots
	b.index.move(known)
}

// Remove drops a replica if it is listed. Its requests in flight stay until their daemons
// report their end or they expire.
func (b *Board) Remove(name string) {
	known := b.replicas[name]
	if known == nil {
		return
	}
	b.index.forget(known)
	b.ramps.end(b.ramps.now, known, true)
	delete(b.replicas, name)
	if pos, found := slices.BinarySearch(b.names, name); found {
		b.names = slices.Delete(b.names, pos, pos+1)
	}
}

// isAnotherProcess reports whether the entry is of a different process than this replica.
// A new process has an empty cache, and the requests of the old one have ended.
func (r *replica) isAnotherProcess(entry *Replica) bool {
	return r.Born != 0 && entry.Born != 0 && r.Born != entry.Born
}

// Place decides where the request goes and tracks it there until it ends or expires. A request
// that has to wait or is refused is not tracked. An earlier placement with the same key ends.
func (b *Board) Place(now time.Duration, key Key, request Request) Answer {
	answer := b.place(now, key, request)
	b.answers.add(&answer)
	return answer
}

// place implements Place, without counting the reply for the summary.
func (b *Board) place(now time.Duration, key Key, request Request) Answer {
	b.resumeRamps(now)
	b.expireRequests(now)
	b.expireSlowness(now)
	b.endRequest(now, key)
	request.surging = b.tenants.recordRequest(now, &request)
	if wait := b.isolation.admit(b, now, &request); wait > 0 {
		return b.delaySuspect(&request, wait)
	}
	chosen, found := b.chooseOrDefer(now, &request)
	if !found {
		if answer, short := b.answerWithoutMemory(now, &request); short {
			b.answers.MemoryShort++
			return answer
		}
		return b.answerWithoutGenerator(now, &request)
	}
	answer := chosen.answer()
	if chosen.wait == 0 {
		request.group = b.fairnessOf(now, &request).recordRequest(now, request.PromptTokens)
	}
	if answer.Generator == "" {
		return answer
	}
	answer.Deferred = request.deferred
	answer.Isolated = request.Suspect && len(chosen.generator.running) == 0
	p := &placedRequest{request: request, answer: answer, placedAt: now, expiresAt: now + request.Deadline + expiryGrace}
	p.runningOn = chosen.generator
	p.queuedOn = chosen.readingReplica()
	p.unreadTokens = chosen.unread
	p.queuedOn.enqueue(now, p)
	p.runningOn.running[p] = struct{}{}
	p.holdMemory(chosen.reader)
	b.startProbes(p)
	b.rampBegun(now, p)
	b.index.move(p.queuedOn)
	b.index.move(p.runningOn)
	p.queuedOn.cache.addPending(request.Parts)
	b.inFlight[key] = p
	return p.answer
}

// cacheLimit returns the number of tokens that a replica is assumed to cache. If the capacity is
// unknown, this is defaultKVTokens, without cachedShare.
func (b *Board) cacheLimit() int64 {
	if b.parameters.KVTokens > 0 {
		return int64(cachedShare * float64(b.parameters.KVTokens))
	}
	return defaultKVTokens
}

// AddCachedParts adds parts that a replica is assumed to have cached, the most recently used last.
func (b *Board) AddCachedParts(name string, parts []Part) {
	if known := b.replicas[name]; known != nil {
		known.cache.use(parts, b.cacheLimit())
	}
}

// minWarmParts is the number of cached parts below which a replica is cold. The first requests
// after a start already cache a few.
const minWarmParts = 24

// ColdReplicas returns the names of the replicas that have fewer than minWarmParts parts cached and
// are not leaving, sorted.
func (b *Board) ColdReplicas() []string {
	var names []string
	for _, name := range b.names {
		if known := b.replicas[name]; known.cache.lru.Len() < minWarmParts && !known.isLeaving() {
			names = append(names, name)
		}
	}
	return names
}

// RecordProgress updates the board with the progress of a request. If the request is not tracked,
// only what the report says of the replica counts.
func (b *Board) RecordProgress(now time.Duration, key Key, report ProgressReport) {
	if report.Step == StepLeaving {
		b.recordLeaving(report.Replica)
		return
	}
	b.resumeRamps(now)
	p := b.inFlight[key]
	b.recordSlowness(now, report, p)
	switch report.Step {
	case StepFailed, StepAnsweredError, StepRefused, StepMisdirected, StepUnreachable:
		b.recordFailure(now, report, p)
	}
	if p == nil {
		return
	}
	if report.Replica != "" && report.Replica == p.answer.Reader {
		b.moveReadToGenerator(now, p)
		return
	}
	switch report.Step {
	case StepRead:
		p.queuedOn.recordReportedLoad(now, report.ReportedRequests)
		b.recordRead(now, p)
	case StepStarted:
		p.runningOn.recordReportedLoad(now, report.ReportedRequests)
		b.recordRead(now, p)
		b.recordStart(now, p)
	case StepEnded, StepFailed, StepAnsweredError, StepRefused, StepMisdirected, StepUnreachable:
		b.endRequest(now, key)
	}
}

// moveReadToGenerator makes the generator read a prompt that the reader has not read. It removes
// the reader from the placement, so that the first token is not taken as evidence that the reader
// works.
func (b *Board) moveReadToGenerator(now time.Duration, p *placedRequest) {
	reader := b.replicas[p.answer.Reader]
	p.answer.Reader = ""
	p.releaseReaderMemory()
	if p.queuedOn == nil || p.queuedOn == p.runningOn {
		return
	}
	reader.endProbe(p)
	b.removeFromQueue(now, p)
	p.placedAt = now
	p.queuedOn = p.runningOn
	p.unreadTokens = max(p.request.PromptTokens-p.runningOn.cache.leadingTokens(p.request.Parts), 0)
	p.queuedOn.enqueue(now, p)
	b.rampBegun(now, p)
	p.queuedOn.cache.addPending(p.request.Parts)
	b.index.move(p.queuedOn)
}

// If a request with a fetch takes more than staleCacheFactor times its estimate plus
// staleCacheSlack to be read, the parts were missing on the replica to fetch from and had to be
// read as well.
const (
	staleCacheFactor = 2
	staleCacheSlack  = 150 * time.Millisecond
)

// recordStart records the first token of a request, by which time the generator has cached the
// prompt.
func (b *Board) recordStart(now time.Duration, p *placedRequest) {
	if p.started {
		return
	}
	p.started, p.startedAt = true, now
	p.releaseReaderMemory()
	b.fairnessOf(now, &p.request).recordStart(now, p.request.group)
	b.learnDecodeStart(now, p)
	p.runningOn.recordSuccess(p)
	b.rampStarted(now, p)
	b.index.move(p.runningOn)
	p.runningOn.cache.use(p.request.Parts, b.cacheLimit())
}

// learnDecodeStart updates decodeStartTime from a request with a transferred prompt.
func (b *Board) learnDecodeStart(now time.Duration, p *placedRequest) {
	reader := b.replicas[p.answer.Reader]
	if reader == nil || p.readAt == 0 || p.adopted {
		return
	}
	transferTime, _ := b.estimateTransfer(p.request.PromptTokens, reader.Zone, p.runningOn.Zone)
	spent := now - p.readAt - transferTime - p.backlogAtRead
	if b.ReportsSlowness() {
		spent = b.learnStartSpeed(now, p.runningOn, spent)
	}
	spent = clampOutlier(spent, b.decodeStartTime)
	b.decodeStartTime += time.Duration(float64(spent-b.decodeStartTime) / sampleWindow(decodeStartSamples, len(b.names)))
}

// recordRead removes the request from the queue of the replica that read the prompt and updates
// the read times. If the read took far longer than estimated, the replica to fetch from did not
// have the parts, so they are dropped from its tracked cache.
func (b *Board) recordRead(now time.Duration, p *placedRequest) {
	at := p.queuedOn
	if at == nil {
		return
	}
	if holder := b.replicas[p.answer.FetchFrom]; holder != nil && now-p.placedAt > staleCacheFactor*p.answer.Estimate+staleCacheSlack {
		holder.cache.drop(p.request.Parts)
	}
	b.learnRead(now, p)
	p.readAt = now
	p.backlogAtRead = p.runningOn.backlog(now, b.tokenTime(now, p.runningOn), &p.request)
	at.recordSuccess(p)
	b.rampRead(now, p)
	b.removeFromQueue(now, p)
	at.lastReadEndedAt, at.speed.slownessAtReadEnd = now, at.speed.knownSlowness(now)
	at.cache.use(p.request.Parts, b.cacheLimit())
}

// learnRead updates the read times of the replica's role with a read that has just ended.
func (b *Board) learnRead(now time.Duration, p *placedRequest) {
	if p.adopted {
		return
	}
	at, readTime := p.queuedOn, &b.readTimes[p.queuedOn.Role]
	sample := readSample{tokens: p.unreadTokens, took: now - max(p.placedAt, at.lastReadEndedAt), alone: p.readAlone}
	if b.ReportsSlowness() {
		sample.took = b.learnReadSpeed(now, p, sample)
	}
	readTime.learn(sample, len(b.names))
}

// removeFromQueue removes the request from the read queue that it is in and from the pending
// parts of that replica's cache.
func (b *Board) removeFromQueue(now time.Duration, p *placedRequest) {
	at := p.queuedOn
	p.queuedOn = nil
	at.cache.removePending(p.request.Parts)
	at.dequeue(now, p)
	b.index.move(at)
}

// endRequest stops tracking a request, and does nothing if it is not tracked.
func (b *Board) endRequest(now time.Duration, key Key) {
	p := b.inFlight[key]
	if p == nil {
		return
	}
	if p.queuedOn != nil {
		b.removeFromQueue(now, p)
	}
	p.runningOn.endProbe(p)
	b.replicas[p.answer.Reader].endProbe(p)
	delete(p.runningOn.running, p)
	p.releaseMemory()
	b.index.move(p.runningOn)
	delete(b.inFlight, key)
}

// expireRequests removes requests whose daemon is gone or whose end was never reported. Since it
// scans all requests, it does so at most once per expiryInterval rather than on each placement.
func (b *Board) expireRequests(now time.Duration) {
	if now < b.expireAt {
		return
	}
	b.expireAt = now + expiryInterval
	for key, p := range b.inFlight {
		if now > p.expiresAt {
			b.endRequest(now, key)
		}
	}
}

// untrackedMaxAge is the age beyond which the reported number of untracked requests is ignored.
const untrackedMaxAge = time.Second

// recordReportedLoad updates the number of untracked requests from the number of requests
// that the replica reports.
func (r *replica) recordReportedLoad(now time.Duration, requests int) {
	if r == nil || requests == 0 {
		return
	}
	known := len(r.running)
	if r.Role == RolePrefill {
		known = len(r.queue)
	}
	r.untrackedRequests, r.untrackedAt = max(requests-known, 0), now
}

// untrackedCount returns the estimated number of requests on the replica that the board does not
// track.
func (r *replica) untrackedCount(now time.Duration) int {
	if r.untrackedAt == 0 || now-r.untrackedAt > untrackedMaxAge {
		return 0
	}
	return r.untrackedRequests
}
