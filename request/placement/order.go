package placement

import "time"

// In an overload, requests that can meet their objective are read first. A request that would miss
// its objective in the queue is deferred: it is read after all others, so that others can still be
// in time. A response after the objective is worth less, but hardly less still if it is delayed
// further. A request that would not even meet its deadline is refused at once, while its caller has
// time to retry. While the read times are still initial estimates, no request is refused because of
// them.
//
// Invariant: a deferred request delays a request that is not deferred only while the deferred one
// is being read, and the estimate of the other request includes exactly that time. So no request
// becomes late because an earlier one was deferred.
const (
	// objectiveShare is the share of the objective that an estimate may use.
	objectiveShare = 0.9
	// deadlineShare is the share of the time left until the deadline that the estimate of a
	// deferred request may use. The rest allows for requests that are placed later and read
	// before it.
	deadlineShare = 0.8
	// overloadShare is the share of late requests, among the recent ones with an objective, from
	// which late requests are deferred.
	overloadShare = 0.15
	// latenessTimeConstant is the time constant with which requests decay in that share.
	latenessTimeConstant = 4 * time.Second
)

// chooseOrDefer returns the cheapest option for the request. It sets request.deferred and chooses
// again if the request has to be deferred, and returns a refusal if a deferred request would miss
// its deadline. It also records whether the request would be late.
func (b *Board) chooseOrDefer(now time.Duration, request *Request) (option, bool) {
	chosen, found := b.chooseForObjective(now, request)
	if !found {
		return chosen, false
	}
	late := request.isLate(chosen.timeToFirstToken)
	if request.Objective > 0 && !request.Continued && chosen.wait == 0 {
		b.recordLateness(now, request, late)
		b.objective.add(request.Objective)
	}
	if !b.shouldDefer(now, request, late) {
		return chosen, true
	}
	request.deferred = true
	chosen, found = b.choose(now, request)
	if found && chosen.wait == 0 && b.readTimes[chosen.readingReplica().Role].isTrusted() && chosen.timeToFirstToken > fraction(request.Deadline, deadlineShare) {
		if alternative, inTime := b.chooseDespiteRamps(now, request); inTime {
			return alternative, true
		}
		return option{refused: true, timeToFirstToken: chosen.timeToFirstToken}, true
	}
	return chosen, found
}

// chooseForObjective returns the cheapest option for the request. If that option is late, a lower
// cost of disturbing streams applies, so that a request which is late on busy readers can be read
// on a generator that runs streams. The new option is returned if it is in time.
func (b *Board) chooseForObjective(now time.Duration, request *Request) (option, bool) {
	chosen, found := b.choose(now, request)
	if !found || !request.isLate(chosen.timeToFirstToken) {
		return chosen, found
	}
	request.wouldBeLate = true
	alternative, _ := b.choose(now, request)
	request.wouldBeLate = false
	if request.isLate(alternative.timeToFirstToken) {
		return chosen, true
	}
	return alternative, true
}

// shouldDefer reports whether the request is to be read after those that can meet their objective.
func (b *Board) shouldDefer(now time.Duration, request *Request, late bool) bool {
	if request.surging {
		return true // even without an overload, since deferring the surge keeps other requests in time
	}
	return late && b.isOverloaded(now) && !b.isStarved(now, request)
}

// recordLateness counts a request that could, or could not, be placed in time.
func (b *Board) recordLateness(now time.Duration, request *Request, late bool) {
	b.lateness.events.add(now)
	b.lateWork.events.addWeight(now, float64(request.PromptTokens))
	if late {
		b.lateness.hits.add(now)
		b.lateWork.hits.addWeight(now, float64(request.PromptTokens))
	}
}

// LateShare returns the recent share of requests with an objective that could not be placed in
// time, and the decayed number of requests that the share is taken of. In a service that reports slowness, the share is that of the
// prompt tokens of such requests: long prompts are few but most of the work, and a share of the requests hides that
// they are late.
func (b *Board) LateShare(now time.Duration) (share, requests float64) {
	if b.ReportsSlowness() {
		return b.lateWork.value(now), b.lateness.events.value(now)
	}
	return b.lateness.value(now), b.lateness.events.value(now)
}

// isOverloaded reports whether enough requests are late for their order to matter. If few are,
// deferring a request helps no other one, and it makes a request late that would have been in time
// if its estimate was too high.
func (b *Board) isOverloaded(now time.Duration) bool {
	return b.lateness.value(now) >= overloadShare
}

// isStarved reports whether requests of this size are served too rarely to be deferred.
func (b *Board) isStarved(now time.Duration, request *Request) bool {
	statistics := b.fairnessOf(now, request)
	return statistics.isStarved(now, statistics.group(request.PromptTokens))
}

// isLate reports whether the request misses its objective if its first token comes after the
// given time.
func (a *Request) isLate(timeToFirstToken time.Duration) bool {
	if a.Objective == 0 || a.Continued {
		return false
	}
	return a.Age+timeToFirstToken > fraction(a.Objective, objectiveShare)
}

// fraction returns part times the duration.
func fraction(of time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(of))
}
