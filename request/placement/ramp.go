package placement

import (
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/request/rampup"
)

// In a service that reports slowness (see ReportsSlowness), the requests in flight on a replica that has started or recovered are
// limited by a ramp instead of by one probe: the requests that run on a generator, and the prompts queued on a
// reader. A replica whose limit is reached is charged with a cost like one without a free slot, so that it is
// still used if all others are at their limits too. A replica that was listed before its service reported slowness is
// known, and so are all replicas after a change of leader: limiting them would limit the whole service.
const (
	// maxRampSuspicion is the longest suspicion in a service that reports slowness. The ramp limits what is lost on a replica
	// that has not recovered, so it is tried more often than without one.
	maxRampSuspicion = 2 * time.Second
	// maxTrials is the number of replicas due for a trial that are added to a shortlist, and maxTrialsSearched
	// that of the ramping replicas searched for them.
	maxTrials         = 4
	maxTrialsSearched = 48
	// maxRampPause is the time without any request or report after which the board ends all ramps. The board of a
	// member that did not lead for a while knows neither what happened to its replicas meanwhile, nor since when
	// those that are new to it have been serving.
	maxRampPause = time.Second
	// trialCreditTime is the time for which a replica has to be due for a trial per unit of time of its credit, and
	// maxTrialCredit the largest credit.
	trialCreditTime = 4
	maxTrialCredit  = 200 * time.Millisecond
	// maxRampChanges is the number of changes kept for RampChanges.
	maxRampChanges = 64
)

// ramps is the state of a board's ramps.
type ramps struct {
	now     time.Duration // of the latest call of Place or RecordProgress
	hasList bool          // SetReplicas was called before
	active  []*replica    // with a ramp in progress, sorted by name
	changes RampChanges
}

// RampChange is the begin or the end of a ramp.
type RampChange struct {
	Replica string
	Role    Role
	Reason  rampup.Reason // why the ramp began
	At      time.Duration
	Ended   bool
	Dropped bool          // ended since the replica is no longer listed in this role
	Limit   int           // requests in flight allowed at the begin
	Lasted  time.Duration // at the end
}

// RampChanges holds the begins and ends of ramps since the last call of TakeRampChanges.
type RampChanges struct {
	Changes []RampChange // the first of them
	Omitted int          // number of further ones
	Begun   map[rampup.Reason]int
	Ended   int
}

// TakeRampChanges returns the changes since the last call, and the number of ramps in progress. A board that is not
// used any more, such as that of a former leader, has none.
func (b *Board) TakeRampChanges(now time.Duration) (changes RampChanges, ramping int) {
	if now-b.ramps.now > maxRampPause {
		b.endRamps(now)
	}
	changes, b.ramps.changes = b.ramps.changes, RampChanges{}
	return changes, len(b.ramps.active)
}

// add adds a change.
func (c *RampChanges) add(change RampChange) {
	switch {
	case change.Ended:
		c.Ended++
	default:
		if c.Begun == nil {
			c.Begun = map[rampup.Reason]int{}
		}
		c.Begun[change.Reason]++
	}
	if len(c.Changes) == maxRampChanges {
		c.Omitted++
		return
	}
	c.Changes = append(c.Changes, change)
}

// updateRamp applies a step to the ramp of a replica and records the begin or the end of the ramp.
func (b *Board) updateRamp(now time.Duration, r *replica, step func(ramp *rampup.Ramp)) {
	if !b.ReportsSlowness() || r == nil || r.isRemoved {
		return
	}
	before := r.ramp.IsActive()
	step(&r.ramp)
	switch after := r.ramp.IsActive(); {
	case after && !before:
		b.ramps.begin(now, r)
	case before && !after:
		b.ramps.end(now, r, false)
	}
}

// begin records the begin of a replica's ramp.
func (s *ramps) begin(now time.Duration, r *replica) {
	s.active = insertSorted(s.active, r, byName)
	s.changes.add(RampChange{Replica: r.Name, Role: r.Role, Reason: r.ramp.Reason(), At: now, Limit: r.ramp.Allowed()})
}

// end records the end of a replica's ramp, if it has one. dropped says that the replica is removed.
func (s *ramps) end(now time.Duration, r *replica, dropped bool) {
	left := removeSorted(s.active, r, byName)
	if len(left) == len(s.active) {
		return
	}
	s.active = left
	s.changes.add(RampChange{Replica: r.Name, Role: r.Role, Reason: r.ramp.Reason(), At: now, Ended: true, Dropped: dropped, Lasted: r.ramp.Age(now)})
}

// resumeRamps ends all ramps if the board was not used for maxRampPause.
func (b *Board) resumeRamps(now time.Duration) {
	paused := now-b.ramps.now > maxRampPause
	b.ramps.now = now
	if !paused {
		return
	}
	b.endRamps(now)
}

// endRamps ends all ramps.
func (b *Board) endRamps(now time.Duration) {
	for _, r := range slices.Clone(b.ramps.active) {
		b.updateRamp(now, r, (*rampup.Ramp).Stop)
		b.index.move(r)
	}
}

// rampListed begins the ramp of a replica that is added to the list. previous is the one that was listed with
// its name until now, or nil. One that has only changed its role or zone keeps its ramp.
func (b *Board) rampListed(r, previous *replica) {
	if !b.ramps.hasList {
		return
	}
	r.ramp.Slots = r.Slots
	switch {
	case previous == nil:
		b.updateRamp(b.ramps.now, r, func(ramp *rampup.Ramp) { ramp.Begin(b.ramps.now, rampup.Started) })
	case previous.isAnotherProcess(&r.Replica):
		b.updateRamp(b.ramps.now, r, func(ramp *rampup.Ramp) { ramp.Begin(b.ramps.now, rampup.Restarted) })
	default:
		r.ramp = previous.ramp
		if r.ramp.IsActive() {
			b.ramps.begin(b.ramps.now, r)
		}
	}
}

// rampLoad returns the number of requests that the limit of a ramp applies to.
func (r *replica) rampLoad() int {
	if r.Role == RolePrefill {
		return len(r.queue)
	}
	return len(r.running)
}

// isAtRampLimit reports whether a further request would exceed the limit of the replica's ramp. untracked is
// the number of requests on the replica that the board does not track.
func (r *replica) isAtRampLimit(untracked int) bool {
	return r.ramp.IsActive() && r.rampLoad()+untracked >= r.ramp.Allowed()
}

// rampCost returns the cost of placing a request on a replica whose ramp limit is reached. It grows with each
// request beyond the limit: an unhealthy replica appears idle, and would otherwise get all requests once the
// others have no free slot.
func (r *replica) rampCost(now time.Duration, request *Request) time.Duration {
	untracked := r.untrackedCount(now)
	if !r.isAtRampLimit(untracked) || request.ignoresRamps && r.hasFreeSlot(untracked) {
		return 0
	}
	beyond := r.rampLoad() + untracked + 1 - r.ramp.Allowed()
	return time.Duration(beyond) * noFreeSlotCost
}

// hasFreeSlot reports whether the replica has a free slot, as far as its slots are known.
func (r *replica) hasFreeSlot(untracked int) bool {
	return r.Slots == 0 || r.rampLoad()+untracked < r.Slots
}

// isDueForTrial reports whether the replica is in a ramp and idle, and is no longer avoided. It is then compared
// without the cost of its earlier failures: the limit of the ramp bounds what a trial can lose, and without one it
// would not be found that the replica has recovered.
func (r *replica) isDueForTrial(now time.Duration) bool {
	return r.ramp.IsActive() && r.rampLoad() == 0 && !r.isSuspected(now) && !r.announcedLeaving
}

// trialCredit returns by how much the cost of a replica is lowered that is due for a trial. It grows with the time for
// which it has been due: at a low load, a replica that is believed to be a little slower than the others would
// otherwise never be tried.
func (r *replica) trialCredit(now time.Duration) time.Duration {
	return min(max(now-r.avoidedUntil, 0)/trialCreditTime, maxTrialCredit)
}

// addTrials adds replicas that are due for a trial. Their failures rank them after all healthy ones.
func (l *shortlistBuilder) addTrials() {
	ramping := l.board.ramps.active
	if len(ramping) == 0 {
		return
	}
	added, first := 0, int(l.board.index.choiceNumber%uint64(len(ramping)))
	for i := range min(len(ramping), maxTrialsSearched) {
		if r := ramping[(first+i)%len(ramping)]; r.Role == l.role && r.isDueForTrial(l.now) && l.add(r) {
			if added++; added == maxTrials {
				return
			}
		}
	}
}

// chooseDespiteRamps returns the cheapest option for a request that would be refused, regardless of the ramps of
// replicas with free slots, and whether it meets the request's deadline.
func (b *Board) chooseDespiteRamps(now time.Duration, request *Request) (option, bool) {
	if len(b.ramps.active) == 0 {
		return option{}, false
	}
	request.ignoresRamps = true
	chosen, found := b.choose(now, request)
	request.ignoresRamps = false
	return chosen, found && (chosen.wait > 0 || chosen.timeToFirstToken <= fraction(request.Deadline, deadlineShare))
}

// maxSuspicion returns the longest suspicion of a replica.
func (b *Board) maxSuspicion() time.Duration {
	if b.ReportsSlowness() {
		return maxRampSuspicion
	}
	return maxSuspicion
}

// startProbes makes the request the probe of the replicas that it is placed on, if they were suspected. In a
// service that reports slowness, the limit of the ramp takes the place of the probe.
func (b *Board) startProbes(p *placedRequest) {
	if b.ReportsSlowness() {
		return
	}
	p.queuedOn.startProbe(p)
	p.runningOn.startProbe(p)
}

// rampBegun records that a request was placed, and how long its read is expected to take.
func (b *Board) rampBegun(now time.Duration, p *placedRequest) {
	if !b.ReportsSlowness() {
		return
	}
	reading := p.queuedOn
	p.expectedRead = 0
	if !p.request.deferred { // a deferred request is also read after those that are placed later
		readTime := &b.readTimes[reading.Role]
		p.expectedRead = reading.backlog(now, readTime.perToken(), &p.request) + readTime.fixed()
	}
	reading.ramp.Begun(now, reading.rampLoad())
	if p.runningOn != reading {
		p.runningOn.ramp.Begun(now, p.runningOn.rampLoad())
	}
}

// rampRead records that a reader has read the prompt of a request. A generator that reads the prompt itself
// reports its first token only.
func (b *Board) rampRead(now time.Duration, p *placedRequest) {
	if p.queuedOn != p.runningOn {
		b.rampAnswered(now, p.queuedOn, now-p.placedAt, p.expectedRead)
	}
}

// rampStarted records the first token of a request.
func (b *Board) rampStarted(now time.Duration, p *placedRequest) {
	took, expected := now-p.placedAt, p.expectedRead
	if reader := b.replicas[p.answer.Reader]; reader != nil {
		transferTime, _ := b.estimateTransfer(p.request.PromptTokens, reader.Zone, p.runningOn.Zone)
		took, expected = now-p.readAt, transferTime+b.decodeStartTime+p.backlogAtRead
	}
	b.rampAnswered(now, p.runningOn, took, expected)
}

// rampAnswered records that a replica completed a step in the given time.
func (b *Board) rampAnswered(now time.Duration, r *replica, took, expected time.Duration) {
	b.updateRamp(now, r, func(ramp *rampup.Ramp) { ramp.Answered(now, took, expected) })
}

// rampFailed records the failure of a request at a replica. An error with which a replica answers begins no ramp.
// p is the request, or nil if the board does not track it.
func (b *Board) rampFailed(now time.Duration, r *replica, step Step, p *placedRequest) {
	if p != nil && p.isOnRemovedReplica(r) {
		return
	}
	ago := time.Duration(0)
	if p != nil {
		ago = now - p.placedAt
	}
	b.updateRamp(now, r, func(ramp *rampup.Ramp) {
		switch step {
		case StepRefused:
			ramp.Refused(now, r.rampLoad())
		case StepMisdirected, StepUnreachable:
			if r.isBanned(now) {
				ramp.Begin(now, rampup.Banned)
			}
		case StepAnsweredError:
			if ramp.IsActive() {
				ramp.Failed(now, ago, r.rampLoad())
			}
		default:
			ramp.Failed(now, ago, r.rampLoad())
		}
	})
}
