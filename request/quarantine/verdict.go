package quarantine

import (
	"slices"
	"time"
)

// Thresholds of a verdict.
const (
	// requiredLead is how many failures a request must be ahead of every other request in flight
	// at the same failures. A popular request may meet an unrelated failure before the harmful one
	// is sent again.
	requiredLead = 2
	// requiredLeadAlone is the same for a request that was alone at a failure. Being alone at a
	// failure by chance is rare, but no more than that: suspected requests run alone, so a popular
	// one is alone at any replica that fails by chance.
	requiredLeadAlone = 1
	// decisiveFailures is the number of failures from which any lead is enough, so that two
	// requests that are always sent together are both found.
	decisiveFailures = 5
	// manyFailures is how many replicas must fail while they run a request for it to be tried
	// alone, however close together. It is the number that makes a request harmful if they fail
	// one after the other.
	manyFailures = CondemningEnds
	// strongWeight is the weight of a failure that the request probably caused, weakWeight that of
	// any other: connections break for many reasons, and a popular request is always in flight.
	strongWeight = 3
	weakWeight   = 1
	// harmfulWeight is reached by three strong failures, by two strong and two weak ones, and by
	// no fewer than eight weak ones.
	harmfulWeight = 8
	// settleDelay is how long after its last failure a request is judged: other proxies report
	// bystanders, in any order.
	settleDelay = 250 * time.Millisecond
	// twoFailureSettleDelay is the same if two failures are enough. It leaves time for a replica
	// that serves the request to report success.
	twoFailureSettleDelay = 2 * time.Second
)

// Standing returns the verdict on a request from what is known now.
//
// The verdict is a function of the evidence only: which replicas failed while they ran which
// requests, in what order, and which failures came while a request was held and therefore not
// running anywhere. It does not depend on earlier verdicts.
//
// Invariant: holding or releasing a request changes no verdict, on it or on another request, until
// another replica fails or a failure is refuted. This is because holds only affect how failures
// that come after their start are compared (rankAgainst), and there are none yet. So judging again
// without new reports gives the same result, and holds converge.
func (t *Table) Standing(now time.Duration, fingerprint Fingerprint) Standing {
	known := t.requests[fingerprint]
	if known == nil || len(known.incidents()) < WatchedEnds {
		return Free
	}
	harmful, delay := t.isHarmful(fingerprint, known)
	switch {
	case !harmful:
		return Watched
	case now-known.lastAt() < delay:
		return Settling
	}
	return Condemned
}

// IsConvicted reports whether the evidence is enough to hold a request once reports on bystanders
// have arrived. It is false if a report of success has to be waited for as well.
func (t *Table) IsConvicted(fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	if known == nil || len(known.incidents()) < WatchedEnds {
		return false
	}
	harmful, delay := t.isHarmful(fingerprint, known)
	return harmful && delay <= settleDelay
}

// isHarmful reports whether enough failures count against a request that no other request explains
// better, and how long after the last failure the verdict takes effect.
func (t *Table) isHarmful(fingerprint Fingerprint, known *entry) (harmful bool, delay time.Duration) {
	own := t.unexplained(fingerprint, known, func(other *entry) bool { return t.explains(other, known) })
	switch {
	case weightOf(own) >= harmfulWeight && known.failedAlone():
		return true, 0 // no reports on bystanders are needed
	case weightOf(own) >= harmfulWeight, t.failedAgainAfterMany(fingerprint, known):
		return true, settleDelay
	case len(own) >= WatchedEnds && known.failedAlone():
		return true, twoFailureSettleDelay
	}
	return false, 0
}

// failedAgainAfterMany reports whether many replicas had failed while they ran the request and
// then another failed at a later time, and every other request in flight at any of these failures
// is behind by at least requiredLead.
func (t *Table) failedAgainAfterMany(fingerprint Fingerprint, known *entry) bool {
	incidents := known.incidents()
	own := countStrong(known.failures)
	if len(incidents) < WatchedEnds || own-countStrong(incidents[len(incidents)-1]) < manyFailures {
		return false
	}
	for _, failed := range known.failures {
		for other := range t.inFlightAt[failed.replica] {
			if other != fingerprint && countStrong(t.requests[other].failures) > own-requiredLead {
				return false
			}
		}
	}
	return true
}

// unexplained returns the incidents of a request that no other request explains.
func (t *Table) unexplained(fingerprint Fingerprint, known *entry, explains func(other *entry) bool) (own [][]failure) {
	for _, incident := range known.incidents() {
		explained := slices.ContainsFunc(incident, func(failed failure) bool {
			for other := range t.inFlightAt[failed.replica] {
				if other != fingerprint && explains(t.requests[other]) {
					return true
				}
			}
			return false
		})
		if !explained {
			own = append(own, incident)
		}
	}
	return own
}

// explains reports whether the other request is the likelier cause of failures that both have in
// common. Runs that failed before they produced output count against a request; runs that had
// produced output count for it.
func (t *Table) explains(other, known *entry) bool {
	theirs, own := other.rankAgainst(known), known.rankAgainst(other)
	if own.incidents >= decisiveFailures {
		return theirs.compare(own) > 0
	}
	needed := requiredLead
	if known.failedAlone() {
		needed = requiredLeadAlone
	}
	return theirs.weight() > own.weight()-needed
}

// weightOf returns how strongly incidents count against a request. Each incident counts once,
// however many replicas failed in it.
func weightOf(incidents [][]failure) int {
	weight := 0
	for _, incident := range incidents {
		if slices.ContainsFunc(incident, failure.isStrong) {
			weight += strongWeight
		} else {
			weight += weakWeight
		}
	}
	return weight
}

// rank orders requests by the evidence against them.
type rank struct {
	incidents     int
	withoutOutput int // incidents in which no run had produced output
}

func (r rank) compare(other rank) int {
	if r.incidents != other.incidents {
		return r.incidents - other.incidents
	}
	return r.withoutOutput - other.withoutOutput
}

// weight returns the evidence against a request less the evidence for it.
func (r rank) weight() int { return r.withoutOutput - (r.incidents - r.withoutOutput) }

func (e *entry) rank() rank { return rankOf(e.incidents()) }

// rankAgainst returns the rank without failures that came while the other request was held: it was
// not running then, so they say nothing about which of the two is the cause.
func (e *entry) rankAgainst(other *entry) rank {
	return rankOf(slices.DeleteFunc(e.incidents(), func(incident []failure) bool {
		return !slices.ContainsFunc(incident, func(failed failure) bool {
			return !other.heldAt(failed.sequence) || other.has(failed.replica)
		})
	}))
}

func rankOf(incidents [][]failure) rank {
	result := rank{}
	for _, incident := range incidents {
		result.incidents++
		if !slices.ContainsFunc(incident, func(failed failure) bool { return failed.hadOutput }) {
			result.withoutOutput++
		}
	}
	return result
}

// countStrong returns the number of failures that are strong evidence.
func countStrong(failures []failure) int {
	count := 0
	for _, failed := range failures {
		if failed.isStrong() {
			count++
		}
	}
	return count
}

// failedAlone reports whether replicas failed at several different times while they ran the
// request, one of them with nothing else in flight.
func (e *entry) failedAlone() bool {
	return len(e.incidents()) >= WatchedEnds && slices.ContainsFunc(e.failures, func(failed failure) bool { return failed.alone })
}

// hasManyFailures reports whether there are at least manyFailures strong failures.
func (e *entry) hasManyFailures() bool { return countStrong(e.failures) >= manyFailures }

// incidents returns the failures, oldest first, with those that happened together in one group.
func (e *entry) incidents() [][]failure {
	var incidents [][]failure
	for i, failed := range e.failures {
		last := len(incidents) - 1
		if i > 0 && failed.sent <= incidents[last][0].at-simultaneityMargin {
			incidents[last] = append(incidents[last], failed)
			continue
		}
		incidents = append(incidents, []failure{failed})
	}
	return incidents
}

// maxHolds bounds the holds kept per request. Only those within the failure retention time matter.
const maxHolds = 4

// hold is a period in which a request was sent to no replica, as a range of failure sequence
// numbers.
type hold struct {
	from, to uint64 // the first failure during the hold, and the first one after it
}

const untilReleased = ^uint64(0)

// heldAt reports whether the request was held when the failure with that sequence number arrived.
func (e *entry) heldAt(sequence uint64) bool {
	return slices.ContainsFunc(e.holds, func(period hold) bool { return period.from <= sequence && sequence < period.to })
}

// isHeld reports whether the request is held now.
func (e *entry) isHeld() bool { return len(e.holds) > 0 && e.holds[len(e.holds)-1].to == untilReleased }

// SetHeld records whether a request is withheld from all replicas from now on.
func (t *Table) SetHeld(fingerprint Fingerprint, held bool) {
	known := t.requests[fingerprint]
	if known == nil || known.isHeld() == held {
		return
	}
	if !held {
		known.holds[len(known.holds)-1].to = t.sequence
		return
	}
	known.holds = append(known.holds, hold{from: t.sequence, to: untilReleased})
	if len(known.holds) > maxHolds {
		known.holds = known.holds[1:]
	}
}
