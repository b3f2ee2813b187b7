// Package rampup limits the requests in flight to a replica that has started or recovered until its
// answers show how many it handles. A limit begins at one request. Each good answer raises it by one,
// so that it doubles with each round of answers; a late or refused one halves it. The ramp ends when
// the limit exceeds the replica's slots, or when the demand has not reached the limit for a while.
//
// A Ramp reads no clock, generates no randomness and performs no I/O. It is not safe for concurrent
// use. The argument now of its methods must not decrease.
//
// Guarantees: the limit is at least 1, so that no replica is cut off. After a reset it is at most 1 plus the
// number of good answers since, and at most twice the number of requests that were in flight at once.
package rampup

import (
	"math"
	"time"
)

// Reason is why a ramp began.
type Reason string

// Reasons for a ramp.
const (
	Started   Reason = "started"   // the replica is new in the list
	Restarted Reason = "restarted" // another process of the same name
	Suspected Reason = "suspected" // it gave no answer, or broke it off
	Refusing  Reason = "refusing"  // it refused a request
	Banned    Reason = "banned"    // it was not at its listed address
)

// Parameters of the ramp.
const (
	// An answer is good up to goodFactor times the expected time plus slack, and late from LateFactor
	// times that time plus slack. In between it is slow, since replicas of one service differ in speed and are
	// slowed down for moments by others on their machine, and slowAnswers of these raise the limit like a
	// good one. They would otherwise keep a replica that is always slow at its limit for good.
	goodFactor  = 2
	slowAnswers = 4
	// LateFactor is the factor on the expected time from which an answer is late.
	LateFactor = 4
	slack      = 20 * time.Millisecond
	// lowerInterval is the minimum time between two reductions, since requests that were in flight
	// together are late or refused for the same cause.
	lowerInterval = 100 * time.Millisecond
	// lastingGood is how long a good answer counts against a failure: a replica that answers some requests
	// and loses others is alive, and its limit is halved instead of reset.
	lastingGood = 500 * time.Millisecond
	// quietTime is how long the limit must not have been reached for the ramp to end by that.
	quietTime = 2 * time.Second
	// defaultSlots is used if the slots are unknown.
	defaultSlots = 16
)

// Ramp is the limit on the requests in flight to one replica. The zero value has no limit.
type Ramp struct {
	// Slots is the number of requests that the replica runs at once; 0 if unknown. The owner sets it.
	Slots int

	active    bool
	reason    Reason
	limit     int
	beganAt   time.Duration
	peak      int // most requests in flight at once since the limit was last lowered
	lowered   bool
	loweredAt time.Duration // when the limit was last lowered, if lowered
	reachedAt time.Duration // when the limit was last reached or lowered
	hasGood   bool
	goodAt    time.Duration // when the last good answer came, if hasGood
	slow      int           // slow answers since the last one that raised the limit
	proven    bool          // an answer that was not late has come since the limit was last reset
}

// Begin starts a ramp at a limit of one request. If one is in progress, its limit is reset.
func (r *Ramp) Begin(now time.Duration, reason Reason) {
	r.activate(now, reason)
	r.reset(now)
}

// activate begins a ramp without a limit yet, unless one is in progress.
func (r *Ramp) activate(now time.Duration, reason Reason) {
	if !r.active {
		r.active, r.reason, r.beganAt, r.lowered = true, reason, now, false
		r.limit = r.maxLimit()
	}
}

// reset sets the limit to one request.
func (r *Ramp) reset(now time.Duration) {
	r.limit, r.peak, r.slow, r.proven, r.reachedAt = 1, 1, 0, false, now
	r.lowered, r.loweredAt = true, now
}

// Stop ends the ramp.
func (r *Ramp) Stop() { r.active = false }

// Begun records that a request was begun. inFlight is the number of requests in flight with it.
func (r *Ramp) Begun(now time.Duration, inFlight int) {
	if !r.active {
		return
	}
	r.peak = max(r.peak, inFlight)
	if inFlight >= r.limit {
		r.reachedAt = now
	}
}

// Answered records that the replica completed a step of a request that took and was expected to take
// the given times. If no time was expected, which 0 stands for, the answer is good.
func (r *Ramp) Answered(now, took, expected time.Duration) {
	switch {
	case expected > 0 && took > LateFactor*expected+slack:
		r.late(now, took)
	case expected > 0 && took > goodFactor*expected+slack:
		r.proven = true
		if r.slow++; r.slow == slowAnswers {
			r.good(now)
		}
	default:
		r.good(now)
	}
}

// good raises the limit by one, to at most twice the number of requests that were in flight at once.
func (r *Ramp) good(now time.Duration) {
	r.hasGood, r.goodAt, r.proven, r.slow = true, now, true, 0
	if !r.active {
		return
	}
	r.limit = max(r.limit, min(r.limit+1, 2*r.peak))
	if r.limit >= r.maxLimit() || now-r.reachedAt >= quietTime {
		r.Stop()
	}
}

// late lowers the limit of a ramp in progress, unless the request was begun before the last reduction.
func (r *Ramp) late(now, took time.Duration) {
	if r.active && (!r.lowered || now-took >= r.loweredAt) {
		r.halve(now, r.limit)
	}
}

// Refused records that the replica refused a request. inFlight is the number of requests that it had in
// flight, the refused one included. A ramp begins if none is in progress.
func (r *Ramp) Refused(now time.Duration, inFlight int) {
	r.activate(now, Refusing)
	r.halve(now, inFlight)
}

// Failed records that the replica gave no answer to a request that was begun the given time ago, or broke it
// off. inFlight is the number of requests that it had in flight, the failed one included. A ramp begins if none
// is in progress. The failure of a request begun before the limit of a ramp was last lowered shows nothing more.
func (r *Ramp) Failed(now, ago time.Duration, inFlight int) {
	if r.active && r.lowered && now-ago < r.loweredAt {
		return
	}
	r.activate(now, Suspected)
	if r.hasGood && now-r.goodAt <= lastingGood {
		r.halve(now, inFlight)
		return
	}
	r.reset(now)
}

// halve lowers the limit to half of what the replica was not able to handle.
func (r *Ramp) halve(now time.Duration, handled int) {
	if r.lowered && now-r.loweredAt < lowerInterval {
		return
	}
	r.limit = max(min(r.limit, handled)/2, 1)
	r.peak, r.slow, r.reachedAt = r.limit, 0, now
	r.lowered, r.loweredAt = true, now
}

// maxLimit is the limit from which there is none: it exceeds the slots.
func (r *Ramp) maxLimit() int {
	if r.Slots > 0 {
		return r.Slots + 1
	}
	return defaultSlots + 1
}

// Allowed returns how many requests may be in flight.
func (r *Ramp) Allowed() int {
	if !r.active {
		return math.MaxInt
	}
	return r.limit
}

// IsActive reports whether a ramp is in progress.
func (r *Ramp) IsActive() bool { return r.active }

// IsProven reports whether the replica has answered in time, or nearly so, since the limit was last reset.
func (r *Ramp) IsProven() bool { return r.proven }

// Reason returns why the current or last ramp began.
func (r *Ramp) Reason() Reason { return r.reason }

// Age returns the time since the current or last ramp began.
func (r *Ramp) Age(now time.Duration) time.Duration { return now - r.beganAt }
