package placement

import (
	"math"
	"time"
)

// Replicas of one service differ in speed, and each may be slowed down for some hundred milliseconds by other users of
// its machine. The board therefore keeps a factor on the estimated times of the role for each replica, the product of
// two components:
//
//   - The lasting one is learned from the measured reads of the replica.
//   - The momentary one is the slowness that the replica reported last, as long as the report is recent.
//
// A read is divided by the slowness in force before it changes the lasting factor, so that the same delay is not counted
// twice, and by the whole factor before it changes the estimate of the role, so that the estimate does not depend on
// which replicas are used most. The estimate is the time of a replica whose lasting factor is the mean of recent reads:
// otherwise factors and estimate could drift apart, since only their product is measured.

// Parameters of the factor of a replica.
const (
	// minLasting and maxLasting limit the lasting factor, and each sample of it.
	minLasting = 0.4
	maxLasting = 2.5
	// lastingDecay is the factor by which the weight of older reads decays with each read.
	lastingDecay = 0.85
	// lastingPrior is the number of reads at 1 with which a replica starts.
	lastingPrior = 2
	// A read that is expected to take less than fullWeightRead counts in proportion, since the time to the
	// next step of the replica and the transfer of the answer are a large part of it.
	fullWeightRead = 20 * time.Millisecond
	// minSlowness and maxSlowness limit the momentary factor. Below 1, a replica could attract requests by a
	// false report; a replica that is faster than usual for long has a lower lasting factor.
	minSlowness = 1
	maxSlowness = 4
	// slownessMaxAge is the age at which a reported slowness is no longer used.
	slownessMaxAge = 200 * time.Millisecond
	// minFactor and maxFactor limit the product of both components.
	minFactor = 0.4
	maxFactor = 5
	// meanLastingSamples is the number of samples over which the mean lasting factor of a role is averaged in a small
	// service. With a quarter of the samples of the read times, their mutual correction does not oscillate.
	meanLastingSamples = readTimeSamples / 4
	// meanUnreadWeight is the weight of the latest request in the mean number of unread tokens.
	meanUnreadWeight = 0.02
	// initialMeanUnread is that mean before the first read.
	initialMeanUnread = 2_000
)

// speedFactor is the speed of one replica as known to the board. It remains when the replica changes its role.
type speedFactor struct {
	// weight and weighted are decaying sums over the reads: of their weights, and of their samples of the
	// lasting factor times their weights.
	weight, weighted float64
	// lasting is the lasting factor.
	lasting float64
	// inverseRootLasting is 1/√lasting, kept because readCost needs it for each candidate.
	inverseRootLasting float64
	// slowness is the last reported slowness, received at slownessAt; 0 before the first report.
	slowness   float64
	slownessAt time.Duration
	// slownessAtReadEnd is the known slowness when the last read ended; 0 if it was not known.
	slownessAtReadEnd float64
}

func newSpeedFactor() speedFactor {
	return speedFactor{weight: lastingPrior, weighted: lastingPrior, lasting: 1, inverseRootLasting: 1}
}

// learn adds a read that took ratio times its expected time while the replica reported the slowness; weight is at most 1.
// The slowness explains no more than what exceeds the known factor: otherwise a replica that reports too much would be
// taken for a fast one once its report is too old.
func (p *speedFactor) learn(ratio, slowness, weight float64) {
	sample := max(ratio/slowness, min(ratio, p.lasting))
	decay := 1 - (1-lastingDecay)*weight
	p.weight = p.weight*decay + weight
	p.weighted = p.weighted*decay + weight*min(max(sample, minLasting), maxLasting)
	p.lasting = min(max(p.weighted/p.weight, minLasting), maxLasting)
	p.inverseRootLasting = 1 / math.Sqrt(p.lasting)
}

// knownSlowness returns the reported slowness, or 0 if there is none that is recent enough.
func (p *speedFactor) knownSlowness(now time.Duration) float64 {
	if p.slowness == 0 || now-p.slownessAt >= slownessMaxAge {
		return 0
	}
	return p.slowness
}

// momentary returns the momentary factor.
func (p *speedFactor) momentary(now time.Duration) float64 {
	return max(p.knownSlowness(now), minSlowness)
}

// factor returns the factor on the times of the role.
func (p *speedFactor) factor(now time.Duration) float64 {
	return min(max(p.lasting*p.momentary(now), minFactor), maxFactor)
}

// speedFactors is what a board knows of the speed of all its replicas.
type speedFactors struct {
	// slownessReported is true once a replica has reported its slowness.
	slownessReported bool
	// meanLasting is the mean lasting factor of recent reads, by role.
	meanLasting [2]float64
	// meanUnread is the mean number of unread tokens of recent reads, by role.
	meanUnread [2]float64
	// slowed holds the replicas that reported a slowness above 1, with the time of the report, oldest first. Their
	// order in the index is updated once the report is no longer used.
	slowed []slowedReplica
}

type slowedReplica struct {
	replica    *replica
	reportedAt time.Duration
}

func newSpeedFactors() speedFactors {
	return speedFactors{meanLasting: [2]float64{1, 1}, meanUnread: [2]float64{initialMeanUnread, initialMeanUnread}}
}

// ReportsSlowness reports whether a replica of the service has reported its slowness. Services whose replicas do not are
// placed by the read times of the roles alone.
func (b *Board) ReportsSlowness() bool { return b.speedFactors.slownessReported }

// scaled returns the time that something takes on the replica which takes the given time on a usual one.
func (b *Board) scaled(now time.Duration, at *replica, usual time.Duration) time.Duration {
	if !b.ReportsSlowness() {
		return usual
	}
	return time.Duration(float64(usual) * at.speed.factor(now))
}

// tokenTime returns the time in which the replica reads one token.
func (b *Board) tokenTime(now time.Duration, at *replica) time.Duration {
	return b.scaled(now, at, b.readTimes[at.Role].perToken())
}

// readOverhead returns the fixed time of a read on the replica.
func (b *Board) readOverhead(now time.Duration, at *replica) time.Duration {
	return b.scaled(now, at, b.readTimes[at.Role].fixed())
}

// decodeStart returns the time from the end of the transfer of a prompt's KV cache to the replica to the first token.
func (b *Board) decodeStart(now time.Duration, at *replica) time.Duration {
	return b.scaled(now, at, b.decodeStartTime)
}

// enableSpeedFactors makes the service one that reports slowness; see ReportsSlowness.
func (b *Board) enableSpeedFactors() {
	if b.speedFactors.slownessReported {
		return
	}
	b.speedFactors.slownessReported = true
	b.index.levelOf = b.timeLevel
	for _, name := range b.names {
		b.index.move(b.replicas[name])
	}
}

// readCost returns the cost of a read that takes the given time on the replica. Of the lasting factor of a reader, only
// the square root counts: if each request took the reader that is fastest for itself alone, the fast ones would always
// have the longest queues, and later requests would wait longer than they save.
func (b *Board) readCost(at *replica, took time.Duration) time.Duration {
	if !b.ReportsSlowness() || at.Role != RolePrefill {
		return took
	}
	return time.Duration(float64(took) * at.speed.inverseRootLasting)
}

// recordSlowness records the slowness that a replica reported with a step of p, which is nil if the request is not
// tracked.
func (b *Board) recordSlowness(now time.Duration, report ProgressReport, p *placedRequest) {
	if !(report.ReportedSlowness > 0) { // also for NaN
		return
	}
	b.enableSpeedFactors()
	reporter := b.replicas[report.Replica]
	switch {
	case p == nil:
	case report.Step == StepRead:
		reporter = p.queuedOn
	case report.Step == StepStarted:
		reporter = p.runningOn
	}
	if reporter == nil {
		return
	}
	reporter.speed.slowness = min(max(report.ReportedSlowness, minSlowness), maxSlowness)
	reporter.speed.slownessAt = now
	if reporter.speed.slowness > minSlowness {
		b.speedFactors.slowed = append(b.speedFactors.slowed, slowedReplica{reporter, now})
	}
	b.rank(now, reporter)
}

// expireSlowness updates the order of the replicas whose reported slowness is no longer used.
func (b *Board) expireSlowness(now time.Duration) {
	expired := 0
	for _, slowed := range b.speedFactors.slowed {
		if now-slowed.reportedAt < slownessMaxAge {
			break
		}
		expired++
		if slowed.replica.speed.slownessAt == slowed.reportedAt {
			b.rank(now, slowed.replica)
		}
	}
	b.speedFactors.slowed = b.speedFactors.slowed[expired:]
}

// rank updates the factor by which the index orders the replica. It is called with each reported slowness, so that the
// order may be one read behind the lasting factor.
func (b *Board) rank(now time.Duration, r *replica) {
	r.rankedFactor = r.rankingFactor(r.speed.factor(now))
	b.index.move(r)
}

// rankingFactor returns the factor by which the index orders the replica if its times have the given factor; see
// readCost.
func (r *replica) rankingFactor(factor float64) float64 {
	if r.Role == RolePrefill {
		return factor * r.speed.inverseRootLasting
	}
	return factor
}

// learnReadSpeed updates the lasting factor of the replica with a read that has just ended, and returns the time that the
// read would have taken on a usual replica.
func (b *Board) learnReadSpeed(now time.Duration, p *placedRequest, sample readSample) time.Duration {
	at, readTime, mean := p.queuedOn, &b.readTimes[p.queuedOn.Role], &b.speedFactors.meanLasting[p.queuedOn.Role]
	startedWith := p.slownessAtPlacement
	if at.lastReadEndedAt > p.placedAt {
		startedWith = at.speed.slownessAtReadEnd
	}
	slowness := slownessBetween(startedWith, at.speed.knownSlowness(now))
	usual := time.Duration(float64(sample.took) / (slowness * at.speed.lasting / *mean))
	expected := time.Duration(sample.tokens) * readTime.perToken()
	if sample.alone {
		expected += readTime.fixed()
	}
	if expected > 0 {
		at.speed.learn(float64(sample.took)/float64(expected), slowness, min(float64(expected)/float64(fullWeightRead), 1))
	}
	*mean += (at.speed.lasting - *mean) / sampleWindow(meanLastingSamples, len(b.names))
	b.speedFactors.meanUnread[at.Role] += meanUnreadWeight * (float64(sample.tokens) - b.speedFactors.meanUnread[at.Role])
	return usual
}

// slownessBetween returns the slowness of a read from that at its start and at its end, either of which is 0 if it is
// not known. The mean is the harmonic one: of a time during half of which a replica is slowed down by a factor of 2, it
// works for three quarters.
func slownessBetween(start, end float64) float64 {
	switch {
	case start == 0 && end == 0:
		return minSlowness
	case start == 0:
		return end
	case end == 0:
		return start
	default:
		return 2 / (1/start + 1/end)
	}
}

// learnStartSpeed updates the lasting factor of a generator with the time from the end of the transfer of a prompt to
// the first token, and returns the time that this would have taken on a usual replica.
func (b *Board) learnStartSpeed(now time.Duration, at *replica, took time.Duration) time.Duration {
	slowness, lasting, mean := at.speed.momentary(now), at.speed.lasting, &b.speedFactors.meanLasting[at.Role]
	if b.decodeStartTime > 0 && took > 0 {
		at.speed.learn(float64(took)/float64(b.decodeStartTime), slowness, min(float64(b.decodeStartTime)/float64(fullWeightRead), 1))
	}
	usual := time.Duration(float64(took) * *mean / (lasting * slowness))
	*mean += (at.speed.lasting - *mean) / sampleWindow(meanLastingSamples, len(b.names))
	return usual
}

// levelsPerDoubling is the number of work levels between a time and twice that time, and minLevelTime the upper bound of
// the lowest level. With 64 levels, the highest begins at 3 s.
const (
	levelsPerDoubling = 6
	minLevelTime      = 2 * time.Millisecond
)

// timeLevel returns the work level of a replica by the time in which it would begin a request of mean length and
// complete its first step, with the costs of the requests that it already runs.
func (b *Board) timeLevel(r *replica) int {
	readTime := &b.readTimes[r.Role]
	took := readTime.fixed() + time.Duration(r.queuedTokens+int(b.speedFactors.meanUnread[r.Role]))*readTime.perToken()
	took = time.Duration(float64(took) * r.rankedFactor)
	if r.Role == RoleDecode {
		took += time.Duration(len(r.running)) * perStreamCost
		if r.Slots > 0 && len(r.running) >= r.Slots {
			took += noFreeSlotCost
		}
	}
	if took <= minLevelTime {
		return 0
	}
	return min(int(levelsPerDoubling*math.Log2(float64(took)/float64(minLevelTime))), workLevels-1)
}
