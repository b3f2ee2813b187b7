package placement

import (
	"maps"
	"slices"
	"time"
)

// Initial estimates, and parameters of the estimates that replace them.
const (
	// initialPrefillTokenTime is the time in which a prefill replica reads one token.
	initialPrefillTokenTime = 25 * time.Microsecond
	// decodeSlowdown is how many times longer a decode replica takes to read a token.
	decodeSlowdown = 2
	// initialReadOverhead is the fixed time that a replica takes to start a prompt and to
	// respond.
	initialReadOverhead = 25 * time.Millisecond
	// initialDecodeStartTime is the time from a transferred prompt to the first token.
	initialDecodeStartTime = 35 * time.Millisecond
	// decodeStartSamples is the sample window of that time in a small service.
	decodeStartSamples = 20
	// defaultKVTokens is the KV cache capacity of a replica if the sheet has none.
	defaultKVTokens = 400_000
	// cachedShare is the share of the KV cache capacity that is assumed to hold cached parts.
	cachedShare = 0.9
	// expiryGrace is the time past its deadline after which a request that sent no further
	// notes is dropped.
	expiryGrace = 2 * time.Second
	// expiryInterval is the time between two searches for such requests.
	expiryInterval = 100 * time.Millisecond
)

// Board tracks all requests in flight to the replicas of one service.
type Board struct {
	sheet    Sheet
	replicas map[string]*replica
	names    []string // sorted
	index    *index
	inFlight map[Key]*placedRequest
	// readTimes holds the measured read times by role. For decode replicas they run up to
	// the first token, for prefill replicas until the prompt is handed over.
	readTimes [2]readTime
	// decodeStartTime is the measured time from the transfer of a read prompt to the first
	// token.
	decodeStartTime time.Duration
	changes         map[string]roleChange
	lateness        recentShare // share of late requests among those with an objective
	objective       meanObjective
	fairness        map[class]*fairness
	tenants         tenants
	// isolation keeps requests that may crash replicas apart from all others.
	isolation isolation
	expireAt  time.Duration // time of the next search for expired requests
	answers   Answers       // since the last summary
}

// placedRequest is a request in flight.
type placedRequest struct {
	request       Ask
	answer        Answer
	placedAt      time.Duration
	expiresAt     time.Duration
	queuedOn      *replica // whose queue holds the request; nil once the prompt is read
	unreadTokens  int      // tokens still to be read there
	readAlone     bool     // nothing else was being read there at placement
	runningOn     *replica
	readAt        time.Duration // when the prompt was read; 0 before
	backlogAtRead time.Duration // the read backlog on the generator at readAt
	started       bool
	startedAt     time.Duration
	adopted       bool // placed by another board; added by TakeOver
}

// replica is the state that the board tracks for one replica.
type replica struct {
	Replica
	cache    cache
	position position
	// visited and isListed hold the number of the last choice that examined the replica, and
	// of the last one that added it to a shortlist.
	visited, isListed uint64
	isRemoved         bool // removed from the list of replicas
	// queue holds the prompts to be read, in order. current is the one that is assumed to
	// be read, since currentSince.
	queue        []*placedRequest
	current      *placedRequest
	currentSince time.Duration
	readAt       time.Duration // when the last read ended
	running      map[*placedRequest]struct{}

	// untrackedRequests is the number of requests on the replica that the board does not
	// track, sent by proxies that place requests on their own, as reported at untrackedAt.
	untrackedRequests int
	untrackedAt       time.Duration

	suspicionPeriod time.Duration // length of the current suspicion; 0 once the replica has answered
	refusalBackoff  time.Duration // length of the backoff after the last refusal
	suspectedAt     time.Duration
	suspectUntil    time.Duration
	probe           *placedRequest // the request that probes whether a suspected replica answers again
	failureRate     float64
	// announcedLeaving is set once the replica has announced that it leaves, whatever is listed.
	announcedLeaving bool
	// banPeriod is the length of the last ban, until bannedUntil. A replica is banned when it
	// is no longer at its listed address.
	banPeriod   time.Duration
	bannedSince time.Duration
	bannedUntil time.Duration
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
		fairness:        map[class]*fairness{},
		tenants:         tenants{},
		readTimes: [2]readTime{
			RoleDecode:  newReadTime(initialReadOverhead+initialDecodeStartTime, decodeSlowdown*initialPrefillTokenTime),
			RolePrefill: newReadTime(initialReadOverhead, initialPrefillTokenTime),
		},
	}
}

// SetReplicas replaces the list of replicas and keeps the state of those that remain.
func (b *Board) SetReplicas(sheet Sheet, entries []Replica) {
	b.sheet = sheet
	gone := maps.Clone(b.replicas)
	for _, entry := range entries {
		b.Put(entry)
		delete(gone, entry.Name)
	}
	for name := range gone {
		b.Remove(name)
	}
}

// Put adds or updates one replica and keeps its state if it is still the same process.
func (b *Board) Put(entry Replica) {
	known := b.replicas[entry.Name]
	if known != nil && (known.Role != entry.Role || known.Zone != entry.Zone || known.isAnotherProcess(&entry)) {
		b.Remove(entry.Name)
		known = nil
	}
	if known == nil {
		known = &replica{running: map[*placedRequest]struct{}{}}
		known.cache = newCache(known, b.index)
		b.replicas[entry.Name] = known
		pos, _ := slices.BinarySearch(b.names, entry.Name)
		b.names = slices.Insert(b.names, pos, entry.Name)
	}
	known.Replica = entry
	b.index.move(known)
}

// Remove drops a replica if it is listed. Its requests in flight stay until their daemons
// report their end.
func (b *Board) Remove(name string) {
	known := b.replicas[name]
	if known == nil {
		return
	}
	b.index.forget(known)
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

// Place decides where the request goes and counts it there until it ends. A request that
// is told to wait is not counted.
func (b *Board) Place(now time.Duration, key Key, request Ask) Answer {
	answer := b.place(now, key, request)
	b.answers.add(&answer)
	return answer
}

func (b *Board) place(now time.Duration, key Key, request Ask) Answer {
	b.expireRequests(now)
	b.endRequest(now, key)
	request.surging = b.tenants.recordRequest(now, &request)
	if wait := b.isolation.admit(b, now, &request); wait > 0 {
		return b.delaySuspect(&request, wait)
	}
	chosen, found := b.chooseOrDefer(now, &request)
	if !found {
		return b.answerWithoutGenerator(now, &request)
	}
	answer := chosen.answer()
	if chosen.wait == 0 {
		request.group = b.fairnessOf(now, &request).recordRequest(now, request.Prompt)
	}
	if answer.Generator == "" {
		return answer
	}
	answer.Deferred = request.deferred
	answer.Alone = request.Suspect && len(chosen.generator.running) == 0
	p := &placedRequest{request: request, answer: answer, placedAt: now, expiresAt: now + request.Deadline + expiryGrace}
	p.runningOn = chosen.generator
	p.queuedOn = chosen.readingReplica()
	p.unreadTokens = chosen.unread
	p.queuedOn.enqueue(now, p)
	p.runningOn.running[p] = struct{}{}
	p.queuedOn.startProbe(p)
	p.runningOn.startProbe(p)
	b.index.move(p.queuedOn)
	b.index.move(p.runningOn)
	p.queuedOn.cache.addPending(request.Parts)
	b.inFlight[key] = p
	return p.answer
}

func (b *Board) cacheLimit() int64 {
	if b.sheet.KVTokens > 0 {
		return int64(cachedShare * float64(b.sheet.KVTokens))
	}
	return defaultKVTokens
}

// Kept adds parts that a replica is assumed to have cached, the most recently used last.
func (b *Board) Kept(name string, parts []Part) {
	if known := b.replicas[name]; known != nil {
		known.cache.use(parts, b.cacheLimit())
	}
}

// minWarmParts is the number of cached parts below which a replica is cold. The first requests
// after a start already cache a few.
const minWarmParts = 24

// Cold returns the names of the replicas that have next to nothing cached, sorted.
func (b *Board) Cold() []string {
	var names []string
	for _, name := range b.names {
		if known := b.replicas[name]; known.cache.lru.Len() < minWarmParts && !known.isLeaving() {
			names = append(names, name)
		}
	}
	return names
}

// Note updates the board with the progress of a request.
func (b *Board) Note(now time.Duration, key Key, note Note) {
	if note.Step == StepLeaving {
		b.recordLeaving(note.Replica)
		return
	}
	p := b.inFlight[key]
	switch note.Step {
	case StepFailed, StepErred, StepRefused, StepMisdirected, StepGone:
		b.recordFailure(now, note, p)
	}
	if p == nil {
		return
	}
	if note.Replica != "" && note.Replica == p.answer.Reader {
		b.moveReadToGenerator(now, p)
		return
	}
	switch note.Step {
	case StepRead:
		p.queuedOn.recordReportedLoad(now, note.Told)
		b.recordRead(now, p)
	case StepStarted:
		p.runningOn.recordReportedLoad(now, note.Told)
		b.recordRead(now, p)
		b.recordStart(now, p)
	case StepEnded, StepFailed, StepErred, StepRefused, StepMisdirected, StepGone:
		b.endRequest(now, key)
	}
}

// moveReadToGenerator makes the generator read a prompt that the reader has not read. Its start
// then says nothing about the reader.
func (b *Board) moveReadToGenerator(now time.Duration, p *placedRequest) {
	reader := b.replicas[p.answer.Reader]
	p.answer.Reader = ""
	if p.queuedOn == nil || p.queuedOn == p.runningOn {
		return
	}
	reader.endProbe(p)
	b.unqueue(now, p)
	p.placedAt = now
	p.queuedOn = p.runningOn
	p.unreadTokens = max(p.request.Prompt-p.runningOn.cache.leadingTokens(p.request.Parts), 0)
	p.queuedOn.enqueue(now, p)
	p.queuedOn.cache.addPending(p.request.Parts)
	b.index.move(p.queuedOn)
}

// A read that takes more than staleCacheFactor times the estimate of its request plus
// staleCacheSlack shows that the parts to be fetched were missing and had to be read.
const (
	staleCacheFactor = 2
	staleCacheSlack  = 150 * time.Millisecond
)

// recordStart records the first token: the generator has cached the prompt.
func (b *Board) recordStart(now time.Duration, p *placedRequest) {
	if p.started {
		return
	}
	p.started, p.startedAt = true, now
	b.fairnessOf(now, &p.request).recordStart(now, p.request.group)
	b.learnDecodeStart(now, p)
	p.runningOn.recordSuccess(p)
	b.index.move(p.runningOn)
	p.runningOn.cache.use(p.request.Parts, b.cacheLimit())
}

// learnDecodeStart updates decodeStartTime from a request with a transferred prompt.
func (b *Board) learnDecodeStart(now time.Duration, p *placedRequest) {
	reader := b.replicas[p.answer.Reader]
	if reader == nil || p.readAt == 0 || p.adopted {
		return
	}
	transferTime, _ := b.transfer(p.request.Prompt, reader.Zone, p.runningOn.Zone)
	spent := clampOutlier(now-p.readAt-transferTime-p.backlogAtRead, b.decodeStartTime)
	b.decodeStartTime += time.Duration(float64(spent-b.decodeStartTime) / sampleWindow(decodeStartSamples, len(b.names)))
}

// recordRead takes the request off the queue of its reader and updates the read times. A read
// that took far longer than estimated means that the replica to fetch from did not have
// the parts, so they are dropped from its tracked cache.
func (b *Board) recordRead(now time.Duration, p *placedRequest) {
	at := p.queuedOn
	if at == nil {
		return
	}
	if holder := b.replicas[p.answer.Fetch]; holder != nil && now-p.placedAt > staleCacheFactor*p.answer.Estimate+staleCacheSlack {
		holder.cache.drop(p.request.Parts)
	}
	b.learnRead(now, p)
	p.readAt = now
	p.backlogAtRead = p.runningOn.backlog(now, b.readTimes[p.runningOn.Role].perToken(), &p.request)
	at.recordSuccess(p)
	b.unqueue(now, p)
	at.readAt = now
	at.cache.use(p.request.Parts, b.cacheLimit())
}

// learnRead updates the read times of the role with a read that has just ended.
func (b *Board) learnRead(now time.Duration, p *placedRequest) {
	if p.adopted {
		return
	}
	at, readTime := p.queuedOn, &b.readTimes[p.queuedOn.Role]
	readTime.learn(readSample{tokens: p.unreadTokens, took: now - max(p.placedAt, at.readAt), alone: p.readAlone}, len(b.names))
}

// unqueue takes the request off the queue that it is in.
func (b *Board) unqueue(now time.Duration, p *placedRequest) {
	at := p.queuedOn
	p.queuedOn = nil
	at.cache.removePending(p.request.Parts)
	at.dequeue(now, p)
	b.index.move(at)
}

// endRequest removes a request.
func (b *Board) endRequest(now time.Duration, key Key) {
	p := b.inFlight[key]
	if p == nil {
		return
	}
	if p.queuedOn != nil {
		b.unqueue(now, p)
	}
	p.runningOn.endProbe(p)
	b.replicas[p.answer.Reader].endProbe(p)
	delete(p.runningOn.running, p)
	b.index.move(p.runningOn)
	delete(b.inFlight, key)
}

// expireRequests removes requests whose daemon is gone or whose end was never reported. Since it
// scans all requests, it runs a few times a second rather than on each placement.
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

// untrackedMaxAge is how long a reported load is used.
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
