package quarantine

import (
	"slices"
	"time"
)

// Thresholds of a verdict.
const (
	// requiredLead is by how much the rank.weight of a request must exceed that of every other
	// request in flight at the same failures. A lead of 1 is not enough, because a popular request
	// may meet an unrelated failure before the harmful one is sent again.
	requiredLead = 2
	// requiredLeadAlone replaces requiredLead for a request with a failure at which nothing else
	// was in flight. By chance that is rare but not negligible: suspected requests are sent to
	// replicas that run nothing else, so a popular one is alone at any replica that fails for
	// another reason.
	requiredLeadAlone = 1
	// decisiveFailures is the number of incidents from which a request needs no lead, as long as no
	// other is ahead, so that two requests that are always sent together are both found.
	decisiveFailures = 5
	// manyFailures is the number of strong failures, however close together, from which a request
	// is due for a trial (see NeedsTrial). As many failures at different times make a request
	// harmful.
	manyFailures = HarmfulIncidents
	// strongWeight is the weight of an incident with a strong failure (see isStrong).
	strongWeight = 3
	// weakWeight is the weight of any other incident. It is lower, because connections break for
	// many reasons and a popular request is always in flight.
	weakWeight = 1
	// harmfulWeight is the sum of weights from which a request is harmful. It is reached by three
	// strong failures, by two strong and two weak ones, and by no fewer than eight weak ones.
	harmfulWeight = 8
	// settleDelay is the minimum time between the last failure of a request and the verdict that it
	// is harmful, unless isHarmful waives it. In this time other proxies report the other requests
	// in flight, in any order.
	settleDelay = 250 * time.Millisecond
	// twoFailureSettleDelay replaces settleDelay for a request found harmful by two failures, one
	// of them with nothing else in flight. It leaves time for a replica that serves the request to
	// report success.
	twoFailureSettleDelay = 2 * time.Second
)

// Verdict returns the verdict on a request at now.
//
// The verdict is a function of the evidence and the time only: which replicas failed while they ran
// which requests, in what order, which failures came while a request was held and therefore not
// running anywhere, and which have another cause (see SetOtherCause). It does not depend on earlier
// verdicts.
//
// Invariant: holding or releasing a request changes no verdict until another replica fails or a
// failure is refuted, because a hold only affects how failures after its start are compared (see
// rankAgainst). So without new reports the set of held requests converges.
func (t *Table) Verdict(now time.Duration, fingerprint Fingerprint) Verdict {
	known := t.requests[fingerprint]
	if known == nil || len(known.incidents()) < WatchedIncidents {
		return Free
	}
	harmful, delay := t.isHarmful(fingerprint, known)
	switch {
	case !harmful:
		return Watched
	case now-known.lastAt() < delay:
		return Settling
	}
	return Harmful
}

// IsHarmfulWithoutSuccessWait reports whether the evidence is enough to hold a request at most
// settleDelay after its last failure. It is false for a request that is harmful only after
// twoFailureSettleDelay, in which a report of success may still arrive.
func (t *Table) IsHarmfulWithoutSuccessWait(fingerprint Fingerprint) bool {
	known := t.requests[fingerprint]
	if known == nil || len(known.incidents()) < WatchedIncidents {
		return false
	}
	harmful, delay := t.isHarmful(fingerprint, known)
	return harmful && delay <= settleDelay
}

// isHarmful reports whether a request has enough failures that no other request explains, and how
// long after the last failure the verdict takes effect.
func (t *Table) isHarmful(fingerprint Fingerprint, known *entry) (harmful bool, delay time.Duration) {
	known = t.counted(fingerprint, known)
	own := t.unexplained(fingerprint, known, func(other *entry) bool { return t.explains(other, known) })
	switch {
	case weightOf(own) >= harmfulWeight && known.failedAlone():
		return true, 0 // nothing else was in flight at a failure, so no reports on bystanders are waited for
	case weightOf(own) >= harmfulWeight, t.failedAgainAfterMany(fingerprint, known):
		return true, settleDelay
	case len(own) >= WatchedIncidents && known.failedAlone():
		return true, twoFailureSettleDelay
	}
	return false, 0
}

// failedAgainAfterMany reports whether the request has manyFailures strong failures and then a
// later incident, and every other request in flight at any of its failures has at least
// requiredLead fewer strong failures.
func (t *Table) failedAgainAfterMany(fingerprint Fingerprint, known *entry) bool {
	incidents := known.incidents()
	own := countStrong(known.failures)
	if len(incidents) < WatchedIncidents || own-countStrong(incidents[len(incidents)-1]) < manyFailures {
		return false
	}
	for _, failed := range known.failures {
		for other := range t.inFlightAt[failed.replica] {
			if other != fingerprint && countStrong(t.counted(other, t.requests[other]).failures) > own-requiredLead {
				return false
			}
		}
	}
	return true
}

// unexplained returns the incidents of a request of which no failure is explained by another
// request that was in flight.
func (t *Table) unexplained(fingerprint Fingerprint, known *entry, explains func(other *entry) bool) (own [][]failure) {
	for _, incident := range known.incidents() {
		explained := slices.ContainsFunc(incident, func(failed failure) bool {
			for other := range t.inFlightAt[failed.replica] {
				if other != fingerprint && explains(t.counted(other, t.requests[other])) {
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

// explains reports whether the other request may be the cause of the failures that both have in
// common. It compares all incidents of both requests. Runs that failed before they produced output
// count against a request, runs that had produced output in its favour. The known request must lead
// by the required weight, or from decisiveFailures incidents on must not be behind. A lead of a single
// incident, which also comes of reports at slightly different times, does not outweigh the required
// lead of the other request in weight.
func (t *Table) explains(other, known *entry) bool {
	theirs, own := other.rankAgainst(known), known.rankAgainst(other)
	if own.incidents >= decisiveFailures {
		isClose := theirs.incidents+1 >= own.incidents
		return theirs.compare(own) > 0 || isClose && theirs.weight() >= own.weight()+requiredLead
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

// rank sums up the evidence against a request. compare orders ranks by the number of incidents, and
// weight sets those without output against the others.
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

// weight returns the number of incidents without output less that of the other incidents.
func (r rank) weight() int { return r.withoutOutput - (r.incidents - r.withoutOutput) }

func (e *entry) rank() rank { return rankOf(e.incidents()) }

// rankAgainst returns the rank without incidents that came while the other request was held, unless
// the other request was in flight there. The held request was not running, so such incidents do not
// show which of the two is the cause.
func (e *entry) rankAgainst(other *entry) rank {
	return rankOf(slices.DeleteFunc(e.incidents(), func(incident []failure) bool {
		return !slices.ContainsFunc(incident, func(failed failure) bool {
			return !other.heldAt(failed.sequence) || other.has(failed.replica)
		})
	}))
}

// rankOf returns the rank of a request with the given incidents.
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

// failedAlone reports whether there are at least two incidents and one of the failures happened
// with nothing else in flight.
func (e *entry) failedAlone() bool {
	return len(e.incidents()) >= WatchedIncidents && slices.ContainsFunc(e.failures, func(failed failure) bool { return failed.alone })
}

// hasManyFailures reports whether there are at least manyFailures strong failures.
func (e *entry) hasManyFailures() bool { return countStrong(e.failures) >= manyFailures }

// incidents returns the failures, oldest first, with those that happened together in one group: the
// request had been sent at least simultaneityMargin before the first failure of the group.
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

// maxHolds bounds the holds kept per request. The oldest are dropped, as only holds within the
// failure retention time matter.
const maxHolds = 4

// hold is a period in which a request was withheld from all replicas, as a range of failure
// sequence numbers.
type hold struct {
	from, to uint64 // sequence numbers of the first failure during the hold and the first one after it
}

// untilReleased is the end of a hold that is still in effect.
const untilReleased = ^uint64(0)

// heldAt reports whether the request was held when the failure with that sequence number arrived.
func (e *entry) heldAt(sequence uint64) bool {
	return slices.ContainsFunc(e.holds, func(period hold) bool { return period.from <= sequence && sequence < period.to })
}

// isHeld reports whether the request is held now.
func (e *entry) isHeld() bool { return len(e.holds) > 0 && e.holds[len(e.holds)-1].to == untilReleased }

// SetHeld records whether a request is withheld from all replicas from now on. A request without
// known failures is ignored.
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
