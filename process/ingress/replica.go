package ingress

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/version/api"
)

// Learning of one replica from what it answers.
const (
	// failureWeight is the weight of the last answer in the failure rate.
	failureWeight = 0.2
	// reliableRate is the failure rate below which a replica is relied upon: a
	// single failure among many answers is below it, two in a row are not.
	reliableRate = 0.25
	// firstSuspicion is how long a replica that gave no answer is passed over
	// while others are left; each further one doubles it.
	firstSuspicion = 500 * time.Millisecond
	maxSuspicion   = 8 * time.Second
	// loadMemory is how long a told load counts.
	loadMemory = 2 * time.Second
	// loadMargin is how much earlier than its arrival a told load may hold.
	loadMargin = 5 * time.Millisecond
)

// replica is one replica as this proxy knows it: what the list says, what it
// told of its load, and how it has answered. It lives as long as a view names it.
type replica struct {
	name  string
	entry atomic.Pointer[api.ReplicaSpec] // replaced when the list changes
	// asks outlives it: what a replica has asked for holds whatever views name it.
	asks *holdoff.Replica

	lock sync.Mutex
	// load is what the replica told last, at loadAt.
	load   Load
	loadAt time.Duration
	// sends are this proxy's requests in flight there.
	sends map[*send]struct{}
	// heardAt is when anything last came from the replica.
	heardAt time.Duration
	// failureRate is the recent share of answers that were failures.
	failureRate float64
	suspicion   time.Duration
	suspectTill time.Duration // 0 once anything has come from the replica since
	cache       cacheGuess
	usedAt      time.Duration // when a request was sent last, or it was first known
	// endedAt is when the replica seemed to end, 0 once it has answered since.
	endedAt time.Duration
}

// send is one request in flight to a replica.
type send struct {
	at time.Duration
	// tokens is how much of a prompt is still to be read there.
	tokens int
	// started is true once the first event has come.
	started bool
	// events are those that have come; only the session uses them.
	events int
}

func newReplica(name string, spec api.ReplicaSpec, asks *holdoff.Replica) *replica {
	made := &replica{name: name, asks: asks, sends: map[*send]struct{}{}, cache: newCacheGuess()}
	made.entry.Store(&spec)
	return made
}

// listed is what the list says of the replica.
func (r *replica) listed() *api.ReplicaSpec { return r.entry.Load() }

// begin notes a request on its way.
func (r *replica) begin(now time.Duration, tokens int) *send {
	sent := &send{at: now, tokens: tokens}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.sends[sent] = struct{}{}
	r.usedAt = now
	return sent
}

// isUnused reports whether nothing was sent for long, and nothing that was asked for holds.
func (r *replica) isUnused(now time.Duration) bool {
	if r.asks.State(now) != holdoff.Open || r.asks.IsLeaving() {
		return false
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return len(r.sends) == 0 && now-r.usedAt > unusedFor
}

// end notes that a request is not in flight any more.
func (r *replica) end(sent *send) {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.sends, sent)
}

// start notes that the prompt was read and the answer has begun.
func (r *replica) start(sent *send, now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	sent.started = true
	r.heardAt, r.suspectTill = now, 0
}

// hear takes in a load that came with an answer.
func (r *replica) hear(load *Load, now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.heardAt, r.suspectTill = now, 0
	if load != nil {
		r.load, r.loadAt = *load, now
	}
}

// succeed and fail note how a request ended.
func (r *replica) succeed() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.failureRate *= 1 - failureWeight
	r.suspicion = 0
}

func (r *replica) fail() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.failureRate += failureWeight * (1 - r.failureRate)
}

// reliable reports whether the replica has hardly failed lately.
func (r *replica) reliable() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.failureRate < reliableRate
}

// suspect passes the replica over for a while: it gave no answer. What else fails while
// it is passed over tells the same again, and lengthens nothing.
func (r *replica) suspect(now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.failureRate += failureWeight * (1 - r.failureRate)
	if now < r.suspectTill {
		return
	}
	r.suspicion = min(max(2*r.suspicion, firstSuspicion), maxSuspicion)
	r.suspectTill = now + r.suspicion
}

// noteEnd notes that the replica seems to have ended.
func (r *replica) noteEnd(now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.endedAt = max(now, 1)
}

// refutesEnd reports whether an answer to what was sent then shows that the replica, which
// seemed to have ended, lives; once for each time.
//
// Only an answer on a connection that was open before does: a process's connections end
// with it, and another one may have begun under its name.
func (r *replica) refutesEnd(sentAt, opened time.Duration) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.endedAt == 0 || sentAt <= r.endedAt || opened >= r.endedAt {
		return false
	}
	r.endedAt = 0
	return true
}

// incarnation names the process that the list shows under the replica's name.
func (r *replica) incarnation() string { return api.IncarnationName(r.name, r.listed().Born) }

// silentSince reports whether nothing has come from the replica since then.
func (r *replica) silentSince(then time.Duration) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.heardAt < then
}

// occupancy is what this proxy believes of a replica's work.
type occupancy struct {
	requests      int // running and waiting there, own and others'
	waitingTokens int // own prompt tokens that are not read yet
	slots         int
	slowdown      float64 // how many times as long as usual work takes
	failureRate   float64
	suspect       bool
}

// occupancy sums the told load and the own sends that it cannot contain.
func (r *replica) occupancy(now time.Duration) occupancy {
	r.lock.Lock()
	defer r.lock.Unlock()
	told := now-r.loadAt < loadMemory && r.loadAt > 0
	result := occupancy{slots: r.listed().Slots, slowdown: 1, failureRate: r.failureRate, suspect: now < r.suspectTill}
	if told {
		result.requests = r.load.Running + r.load.Waiting
		if r.load.Slowdown > 0 {
			result.slowdown = r.load.Slowdown
		}
		if r.load.Slots > 0 {
			result.slots = r.load.Slots
		}
	}
	for sent := range r.sends {
		if !told || sent.at > r.loadAt-loadMargin {
			result.requests++
		}
		if !sent.started {
			result.waitingTokens += sent.tokens
		}
	}
	return result
}

// told is how many requests the replica last said to have, running and waiting.
func (r *replica) told() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.load.Running + r.load.Waiting
}

// takes reports whether the replica may be sent something new: by the list and by its own word.
func (r *replica) takes(now time.Duration) bool {
	return !r.listed().Leaving && r.asks.State(now) != holdoff.Closed
}

// isLeaving reports whether the replica is to end soon, by the list or by its own word.
func (r *replica) isLeaving() bool { return r.listed().Leaving || r.asks.IsLeaving() }

// isSuspect reports whether the replica is passed over now while others are left.
func (r *replica) isSuspect(now time.Duration) bool {
	if r.asks.State(now) == holdoff.Doubtful {
		return true
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return now < r.suspectTill
}
