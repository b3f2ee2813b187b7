package ingress

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/request/rampup"
	"github.com/landingtrail/landingtrail/version/api"
)

// The requests in flight to a replica that has started or recovered are limited until its answers show how many it
// handles; see package rampup. This applies where this proxy chooses the replica by itself: for plain services, and
// for model services while no member answers. Each proxy has an equal share of the limit. A replica whose limit is
// reached is charged with a cost, so that it is still used if all others are at their limits too.
//
// No ramp begins until a replica of the service has reported its slowness.

// Parameters of ramps.
const (
	// maxRampSuspectTime is the longest time for which a replica is avoided in a service with ramps. A shorter one
	// would have the proxies send more requests to a replica that has not recovered.
	maxRampSuspectTime = 4 * time.Second
	// newListingMaxAge is how long after its listing the first use of a replica begins a ramp.
	newListingMaxAge = 5 * time.Second
	// maxRampLines is the number of begins and ends of ramps that are logged in each rampLogInterval. A release
	// restarts many replicas within seconds.
	maxRampLines    = 10
	rampLogInterval = time.Second
)

// rampContext is what the ramps of one service's replicas share.
type rampContext struct {
	service string
	// slownessReported is set once a replica of the service has reported a slowness.
	slownessReported atomic.Bool
	// proxies returns the number of proxies that share the limits, draw this proxy's draw for a replica.
	proxies func() int
	draw    func(incarnation string) float64
	// changed is called with each begin and end of a ramp; nil for no call.
	changed func(change rampChange)
}

// rampChange is the begin or the end of a ramp.
type rampChange struct {
	service, replica string
	reason           rampup.Reason
	ended            bool
	dropped          bool // the replica is gone, or was not used for long
	limit            int
	lasted           time.Duration
}

// newListing is when a process of a replica was first listed.
type newListing struct {
	at     time.Duration
	reason rampup.Reason
}

// updateRamp applies a step to the ramp of the replica. The caller must hold the lock.
func (r *replica) updateRamp(now time.Duration, step func(ramp *rampup.Share)) {
	if r.ramps == nil || r.isDropped || !r.ramps.slownessReported.Load() {
		return
	}
	r.ramp.Slots = r.spec().Slots
	if r.load.Slots > 0 {
		r.ramp.Slots = r.load.Slots
	}
	before := r.ramp.IsActive()
	step(&r.ramp)
	if r.ramp.IsActive() != before {
		r.noteRampChange(now, false)
	}
}

// noteRampChange reports the begin or the end of a ramp. The caller must hold the lock.
func (r *replica) noteRampChange(now time.Duration, dropped bool) {
	if r.ramps.changed == nil {
		return
	}
	change := rampChange{service: r.ramps.service, replica: r.name, reason: r.ramp.Reason(), ended: !r.ramp.IsActive(), dropped: dropped}
	if change.ended {
		change.lasted = r.ramp.Age(now)
	} else {
		change.limit = r.ramp.Allowed(now, r.ramps.proxies())
	}
	r.ramps.changed(change)
}

// beginRamp begins the ramp of a replica that was listed at the given time.
func (r *replica) beginRamp(now time.Duration, listed newListing) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.updateRamp(now, func(ramp *rampup.Share) { ramp.Begin(listed.at, listed.reason, r.drawShare) })
}

// dropRamp ends the ramp of a replica whose state is dropped.
func (r *replica) dropRamp(now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.isDropped = true
	if r.ramps != nil && r.ramp.IsActive() {
		r.ramp.Stop()
		r.noteRampChange(now, true)
	}
}

// drawShare returns this proxy's draw for the replica.
func (r *replica) drawShare() float64 { return r.ramps.draw(r.incarnation()) }

// rampFailed records a request without an answer. The caller must hold the lock.
func (r *replica) rampFailed(now time.Duration) {
	r.updateRamp(now, func(ramp *rampup.Share) { ramp.Failed(now, 0, len(r.sends), r.suspectUntil, r.drawShare) })
}

// noteErrorAnswer records a request that failed at the replica, which has answered. It begins no ramp.
func (r *replica) noteErrorAnswer(now time.Duration) {
	r.noteFailure()
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.ramp.IsActive() {
		r.updateRamp(now, func(ramp *rampup.Share) { ramp.Failed(now, 0, len(r.sends), now, r.drawShare) })
	}
}

// noteRefusal records that the replica refused a request.
func (r *replica) noteRefusal(now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.updateRamp(now, func(ramp *rampup.Share) { ramp.Refused(now, len(r.sends), r.drawShare) })
}

// noteServed records that a request was answered, or prefilled, after the given time. expected is how long this was
// expected to take, 0 if it is not known.
func (r *replica) noteServed(now, took, expected time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.updateRamp(now, func(ramp *rampup.Share) { ramp.Answered(now, took, expected) })
}

// beyondRamp returns by how many requests one more exceeds the limit of the replica's ramp. The caller must hold the
// lock.
func (r *replica) beyondRamp(now time.Duration) int {
	if r.ramps == nil || !r.ramp.IsActive() {
		return 0
	}
	return max(len(r.sends)+1-r.ramp.Allowed(now, r.ramps.proxies()), 0)
}

// maxSuspect returns the longest time for which the replica is avoided.
func (r *replica) maxSuspect() time.Duration {
	if r.ramps != nil && r.ramps.slownessReported.Load() {
		return maxRampSuspectTime
	}
	return maxSuspectTime
}

// expectedStep returns how long the first answer to a send is expected to take: as estimated when the replica was chosen,
// or otherwise a share of the route's objective by which an answer is late in a ramp once it misses the objective.
func (s *session) expectedStep(chosen plan) time.Duration {
	if chosen.estimate > 0 {
		return chosen.estimate
	}
	return time.Duration(s.route.ObjectiveMilliseconds) * time.Millisecond / rampup.LateFactor
}

// recordNewListings remembers the replicas of the service that the next listing has and the current one does not. The
// first listing of a process has no new ones. The caller must hold the lock.
func (f *fleet) recordNewListings(next listing, now time.Duration) {
	if f.ramps == nil || !f.ramps.slownessReported.Load() || f.listed == nil {
		return
	}
	for name, known := range f.newlyListed {
		if next[name] == nil || now-known.at > newListingMaxAge {
			delete(f.newlyListed, name)
		}
	}
	for name, entry := range next {
		if entry.Spec.Service != f.service {
			continue
		}
		reason := rampup.Started
		if previous := f.listed[name]; previous != nil && previous.Spec.Service == f.service {
			if isSameProcess(&previous.Spec, &entry.Spec) {
				continue
			}
			reason = rampup.Restarted
		}
		if f.newlyListed == nil {
			f.newlyListed = map[string]newListing{}
		}
		f.newlyListed[name] = newListing{at: now, reason: reason}
	}
}

// beginRampOf begins the ramp of a replica whose state is new, if it was listed lately. The caller must hold the lock.
func (f *fleet) beginRampOf(created *replica, now time.Duration) {
	listed, found := f.newlyListed[created.name]
	if !found {
		return
	}
	delete(f.newlyListed, created.name)
	if now-listed.at <= newListingMaxAge {
		created.beginRamp(now, listed)
	}
}

// drawShare returns this proxy's draw for a replica: by its rank among the listed proxies in an order that differs from
// replica to replica, or at random if it is not listed.
func (u *upstreams) drawShare(incarnation string) float64 {
	names := u.proxyNames.Load()
	if names == nil {
		return rand.Float64()
	}
	if _, listed := (*names)[u.config.Name]; !listed {
		return rand.Float64()
	}
	salt := xxhash.Sum64String(incarnation)
	own, rank := rankingHash(u.config.Name, salt), 0
	for name := range *names {
		if rankingHash(name, salt) < own {
			rank++
		}
	}
	return rampup.Draw(rank, len(*names))
}

// rankingHash returns the number by which proxies are ranked in the order of the salt. Multiplying by an odd constant
// carries the salt's effect to all higher bits.
func rankingHash(proxy string, salt uint64) uint64 {
	return (xxhash.Sum64String(proxy) ^ salt) * 0x9e3779b97f4a7c15
}

// newRampContext returns what the ramps of a service's replicas share.
func (u *upstreams) newRampContext(service string) *rampContext {
	return &rampContext{service: service, proxies: func() int { return int(u.proxies.Load()) }, draw: u.drawShare, changed: u.rampChanged}
}

// proxyNames are the proxies that a view lists.
type proxyNames = map[string]*api.Proxy

// rampLog limits the lines on ramps.
type rampLog struct {
	lock    sync.Mutex
	since   time.Duration
	lines   int
	omitted int
}

// admit reports whether a line may be logged, and how many were not since the last one.
func (l *rampLog) admit(now time.Duration) (omitted int, admitted bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if now-l.since >= rampLogInterval {
		l.since, l.lines = now, 0
	}
	if l.lines >= maxRampLines {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// noteRampChange logs and counts the begin or the end of a ramp.
func (i *Ingress) noteRampChange(change rampChange) {
	if change.ended {
		i.metrics.ramping.WithLabelValues(change.service).Dec()
	} else {
		i.metrics.ramping.WithLabelValues(change.service).Inc()
		i.metrics.ramps.WithLabelValues(change.service, string(change.reason)).Inc()
	}
	omitted, admitted := i.rampLog.admit(i.now())
	if !admitted {
		return
	}
	if change.ended {
		event.ReplicaRampEnded.Log(i.logger, "service", change.service, "replica", change.replica, "reason", string(change.reason),
			"lasted_ms", change.lasted.Milliseconds(), "dropped", change.dropped, "omitted", omitted)
		return
	}
	event.ReplicaRampBegan.Log(i.logger, "service", change.service, "replica", change.replica, "reason", string(change.reason),
		"limit", change.limit, "proxies", i.upstreams.proxies.Load(), "omitted", omitted)
}
