package ingress

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/request/rampup"
	"github.com/landingtrail/landingtrail/version/api"
)

// Parameters for tracking a replica by its answers.
const (
	// failureWeight is the weight of the last answer in the failure rate.
	failureWeight = 0.2
	// initialSuspectTime is how long a replica that gave no answer is avoided while there are
	// others; the time doubles with each repetition.
	initialSuspectTime = 500 * time.Millisecond
	maxSuspectTime     = 8 * time.Second
	// loadMaxAge is how long a reported load is used.
	loadMaxAge = 2 * time.Second
	// loadMargin is the assumed maximum time between the measurement of a reported load and its
	// arrival.
	loadMargin = 5 * time.Millisecond
	// slownessMaxAge is how long a reported slowness is passed on to the control group.
	slownessMaxAge = 100 * time.Millisecond
)

// replica is the state of one replica at this proxy: its entry in the list, its reported load, and
// how it has answered. It exists from the first use of the replica until the replica is gone or
// has been idle for idleRetention.
type replica struct {
	name        string
	currentSpec atomic.Pointer[api.ReplicaSpec] // replaced when the list changes
	// holdoff is kept when this state is dropped: a pause that the replica asked for does not
	// depend on the views that list it.
	holdoff *holdoff.Replica

	lock sync.Mutex
	// load is the last reported load, received at loadAt.
	load   Load
	loadAt time.Duration
	// slowness is the last reported slowness, received at slownessAt; 0 if none was reported.
	slowness   float64
	slownessAt time.Duration
	// sends are this proxy's requests in flight to the replica.
	sends map[*send]struct{}
	// heardAt is when anything was last received from the replica.
	heardAt time.Duration
	// failureRate is the recent share of failures among the answers.
	failureRate  float64
	suspectTime  time.Duration
	suspectUntil time.Duration // 0 once anything was received from the replica again
	// endlessUntil is until when the replica is avoided because it sent without end, endlessTime how long
	// that is in all.
	endlessUntil  time.Duration
	endlessTime   time.Duration
	cacheEstimate cacheEstimate // of the prompt parts that the replica has cached
	usedAt        time.Duration // when a request was last sent, or when the state was created
	// verifiedAt is when a connection was last opened to verify that the silent replica is there.
	verifiedAt time.Duration
	// crashedAt is when the replica seems to have crashed; 0 once it has proved to be alive.
	crashedAt time.Duration
	// refusedAt is when a run last broke and nothing listened at the address afterwards; 0 for never.
	refusedAt time.Duration
	ramps     *rampContext // nil for no ramps
	// isDropped is set once this state is no longer used for new requests. Requests in flight still report their
	// failures, which must not begin a ramp that nothing would end.
	isDropped bool
	ramp      rampup.Share
}

// send is one request in flight to a replica.
type send struct {
	at time.Duration
	// tokens is the number of prompt tokens that the replica has to prefill.
	tokens int
	// started is true once the first event was received.
	started bool
	// events counts the received events, firstEventAt is when the first one was received; used by the
	// session only.
	events       int
	firstEventAt time.Duration
	// expected is how long the first answer was expected to take; 0 if it is not known.
	expected time.Duration
	// born is when the listed process was started, as api.ReplicaSpec.Born; 0 if that is not known.
	born int64
	// bodyEnd says what marks the end of the answer's body; used by the session only.
	bodyEnd bodyEnd
}

func newReplica(name string, spec api.ReplicaSpec, pauseState *holdoff.Replica) *replica {
	created := &replica{name: name, holdoff: pauseState, sends: map[*send]struct{}{}, cacheEstimate: newCacheEstimate()}
	created.currentSpec.Store(&spec)
	return created
}

// spec returns the replica's entry in the list.
func (r *replica) spec() *api.ReplicaSpec { return r.currentSpec.Load() }

// beginSend records a request that is being sent.
func (r *replica) beginSend(now time.Duration, tokens int) *send {
	sent := &send{at: now, tokens: tokens, born: r.spec().Born}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.sends[sent] = struct{}{}
	r.usedAt = now
	r.updateRamp(now, func(ramp *rampup.Share) { ramp.Begun(now, len(r.sends)) })
	return sent
}

// isIdle reports whether nothing was sent for a long time and no pause or departure is in effect.
func (r *replica) isIdle(now time.Duration) bool {
	if r.holdoff.State(now) != holdoff.Open || r.holdoff.IsLeaving() {
		return false
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return len(r.sends) == 0 && now-r.usedAt > idleRetention
}

// endSend records that a request is no longer in flight.
func (r *replica) endSend(sent *send) {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.sends, sent)
}

// noteStarted records that the prompt was prefilled and the answer has started.
func (r *replica) noteStarted(sent *send, now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.heardAt, r.suspectUntil = now, 0
	if !sent.started {
		r.updateRamp(now, func(ramp *rampup.Share) { ramp.Answered(now, now-sent.at, sent.expected) })
	}
	sent.started = true
}

// noteAnswer records an answer and its reported load, if any.
func (r *replica) noteAnswer(load *Load, now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.heardAt, r.suspectUntil = now, 0
	if load != nil {
		r.load, r.loadAt = *load, now
	}
}

// noteSlowness records a reported slowness; 0 for none. Unlike Load.Slowness, which may be assumed, it shows that the
// replicas of the service report theirs.
func (r *replica) noteSlowness(slowness float64, now time.Duration) {
	if slowness <= 0 {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.slowness, r.slownessAt = slowness, now
	if r.ramps != nil {
		r.ramps.slownessReported.Store(true)
	}
}

// reportedSlowness returns the slowness that the replica has just reported, or 0.
func (r *replica) reportedSlowness(now time.Duration) float64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	if now-r.slownessAt >= slownessMaxAge {
		return 0
	}
	return r.slowness
}

// noteHeard records that something was received from the replica.
func (r *replica) noteHeard(now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.heardAt, r.suspectUntil = now, 0
}

// silentFor returns how long nothing was received from the replica, nor a connection to it verified,
// since the given time.
func (r *replica) silentFor(now, since time.Duration) time.Duration {
	r.lock.Lock()
	defer r.lock.Unlock()
	return now - max(r.heardAt, r.verifiedAt, since)
}

// beginVerifying returns false if the replica has been heard of or verified for less than the given
// time. Otherwise it counts as verified from now on, so that one request does it for all.
func (r *replica) beginVerifying(now, since, atLeast time.Duration) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if now-max(r.heardAt, r.verifiedAt, since) < atLeast {
		return false
	}
	r.verifiedAt = now
	return true
}

// contact returns how the replica was last reached.
func (r *replica) contact(now time.Duration) contact {
	suspect := r.isSuspect(now)
	r.lock.Lock()
	defer r.lock.Unlock()
	return contact{suspect: suspect, heardAt: r.heardAt}
}

// noteSuccess records a request that was answered successfully.
func (r *replica) noteSuccess() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.failureRate *= 1 - failureWeight
	r.suspectTime = 0
}

// noteFailure records a request that failed at the replica.
func (r *replica) noteFailure() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.failureRate += failureWeight * (1 - r.failureRate)
}

// suspect marks the replica as suspect for some time and raises its failure rate, because it gave
// no answer. Further failures during that time do not extend it, since they have the same cause.
func (r *replica) suspect(now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.failureRate += failureWeight * (1 - r.failureRate)
	if now < r.suspectUntil {
		return
	}
	r.suspectTime = min(max(2*r.suspectTime, initialSuspectTime), r.maxSuspect())
	r.suspectUntil = now + r.suspectTime
	r.rampFailed(now)
}

// noteCrash records that the replica seems to have crashed.
func (r *replica) noteCrash(now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.crashedAt = max(now, 1) // 0 stands for no crash
}

// refutesCrash reports whether an answer to a request sent at sentAt proves that a replica which
// seemed to have crashed is alive. If so, it also clears the suspected crash, so that it returns
// true once for each.
//
// Only an answer on a connection opened before the crash is a proof: connections end with their
// process, and another process may have been started under the same name.
func (r *replica) refutesCrash(sentAt, opened time.Duration) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.crashedAt == 0 || sentAt <= r.crashedAt || opened >= r.crashedAt {
		return false
	}
	r.crashedAt = 0
	return true
}

// incarnation returns the identity of the listed process under the replica's name.
func (r *replica) incarnation() string { return api.IncarnationName(r.name, r.spec().Born) }

// silentSince reports whether nothing was received from the replica at that time or later.
func (r *replica) silentSince(then time.Duration) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.heardAt < then
}

// occupancy is this proxy's estimate of a replica's load.
type occupancy struct {
	requests      int // running and waiting there, from all proxies
	waitingTokens int // prompt tokens of this proxy's requests that are not yet prefilled
	slots         int
	slowness      float64 // current duration of work relative to the usual one
	failureRate   float64
	suspect       bool
	beyondRamp    int // by how many requests one more exceeds the limit of the ramp
}

// occupancy adds to the reported load those sends of this proxy that it does not include yet.
func (r *replica) occupancy(now time.Duration) occupancy {
	r.lock.Lock()
	defer r.lock.Unlock()
	hasReport := now-r.loadAt < loadMaxAge && r.loadAt > 0
	result := occupancy{
		slots: r.spec().Slots, slowness: 1, failureRate: r.failureRate,
		suspect: now < max(r.suspectUntil, r.endlessUntil), beyondRamp: r.beyondRamp(now),
	}
	if hasReport {
		result.requests = r.load.Running + r.load.Waiting
		if r.load.Slowness > 0 {
			result.slowness = r.load.Slowness
		}
		if r.load.Slots > 0 {
			result.slots = r.load.Slots
		}
	}
	for sent := range r.sends {
		if !hasReport || sent.at > r.loadAt-loadMargin {
			result.requests++
		}
		if !sent.started {
			result.waitingTokens += sent.tokens
		}
	}
	return result
}

// reportedRequests returns how many requests, running and waiting, the replica last reported,
// however long ago.
func (r *replica) reportedRequests() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.load.Running + r.load.Waiting
}

// maySend reports whether a request for which the replica was chosen may be sent there, according to
// the list and the replica's own announcements. A limited replica needs a permit in addition.
func (r *replica) maySend(now time.Duration) bool {
	return !r.spec().Leaving && r.holdoff.MaySend(now)
}

// acceptsRequests reports whether the replica may be chosen for new requests, according to the list
// and its own announcements.
func (r *replica) acceptsRequests(now time.Duration) bool {
	return !r.spec().Leaving && r.holdoff.State(now) != holdoff.Closed
}

// isLeaving reports whether the replica is about to stop, according to the list or its own
// announcement.
func (r *replica) isLeaving() bool { return r.spec().Leaving || r.holdoff.IsLeaving() }

// isSuspect reports whether the replica is chosen only if there are no others.
func (r *replica) isSuspect(now time.Duration) bool {
	if r.holdoff.State(now) == holdoff.LastResort {
		return true
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return now < max(r.suspectUntil, r.endlessUntil)
}
