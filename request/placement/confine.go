package placement

import (
	"maps"
	"slices"
	"time"
)

// Some requests crash each replica that begins to run them. The requests in flight on a
// crashed replica are retried, and the one that crashed it cannot be told from the others.
// Spread over the rest of the fleet, it would crash further replicas and make suspects of all
// requests there. So while replicas crash one after the other, each request that was in
// flight at a crash is a suspect, and suspects run on a few isolated generators, one at a
// time with nothing beside it. A suspect that is answered is cleared; one whose isolated
// generator crashes is the cause. All other requests run on the other generators without
// delay. A suspect under which enough replicas have crashed waits for the decision on its
// quarantine, since each copy sent out meanwhile could crash one more.
//
// Invariant: at any time, the generators that are isolated, plus those lost while isolated
// within replicaRestartTime, are at most a third of the listed ones, or one if that is less.
// Generators are isolated in a single place, which counts both.
const (
	// alertDuration is how long after its last sign a series of crashes is assumed to go on.
	alertDuration = 10 * time.Second
	// isolatedDivisor is the inverse of the share of generators that may be isolated.
	isolatedDivisor = 3
	// maxIsolated limits them in a large service, where each request during an alert scans
	// them.
	maxIsolated = 64
	// replicaRestartTime is how long a generator lost while isolated counts against the
	// limit: a replica takes some seconds to restart.
	replicaRestartTime = 4 * time.Second
	// isolationDrainTime is how long a suspect waits for the requests that already run on a
	// newly isolated generator.
	isolationDrainTime = 400 * time.Millisecond
	// suspectWatchTime is how long after its first token a suspect still runs alone.
	suspectWatchTime = 300 * time.Millisecond
	// suspectRetryInterval is the wait of a suspect for which no isolated generator is free.
	suspectRetryInterval = 40 * time.Millisecond
	// isolationIdleTime is how long after the last placement of a suspect generators stay
	// isolated. Waiting suspects ask several times within it. Replicas that crash for reasons
	// of their own raise an alert as well; nobody stays a suspect for long then, and the other
	// requests need all remaining generators.
	isolationIdleTime = 500 * time.Millisecond
)

// isolation tracks the generators that are set aside for suspects while replicas crash in
// series.
type isolation struct {
	alertUntil    time.Duration
	reservedUntil time.Duration            // generators stay isolated for suspects until then
	isolated      map[string]time.Duration // isolated generators, with the time of their isolation
	lostAt        []time.Duration          // when isolated generators were lost
}

// Alert records that replicas crash one after the other, apparently under some request.
func (b *Board) Alert(now time.Duration) { b.isolation.alertUntil = now + alertDuration }

// IsAlert reports whether such a series goes on, so that requests have to be identified.
func (b *Board) IsAlert(now time.Duration) bool { return now < b.isolation.alertUntil }

// admit updates the isolated generators and returns how long a suspect has to wait for one;
// 0 lets the request be placed.
func (iso *isolation) admit(b *Board, now time.Duration, request *Ask) (wait time.Duration) {
	if now >= iso.alertUntil {
		iso.isolated, iso.lostAt = nil, nil
		request.Suspect = false
		return 0
	}
	if request.Suspect {
		iso.reservedUntil = now + isolationIdleTime
	}
	iso.update(b, now)
	if !request.Suspect || !request.Judged && b.hasFreeIsolatedReplica(now, request) {
		return 0
	}
	return suspectRetryInterval
}

// update drops isolated generators that were lost, and isolates as many as are allowed.
func (iso *isolation) update(b *Board, now time.Duration) {
	if iso.isolated == nil {
		iso.isolated = map[string]time.Duration{}
	}
	for name := range iso.isolated {
		if known := b.replicas[name]; known == nil || !known.acceptsRequests(now) || known.isSuspected(now) {
			delete(iso.isolated, name)
			iso.lostAt = append(iso.lostAt, now)
		}
	}
	if now >= iso.reservedUntil {
		clear(iso.isolated)
		return
	}
	iso.lostAt = slices.DeleteFunc(iso.lostAt, func(at time.Duration) bool { return now-at >= replicaRestartTime })
	listed, healthy := b.generators(now)
	limit := min(max(listed/isolatedDivisor, 1), maxIsolated)
	for len(iso.isolated) > 0 && len(iso.isolated) >= len(healthy) {
		iso.releaseOne() // the other requests need a generator
	}
	for len(iso.isolated)+len(iso.lostAt) < limit && len(iso.isolated) < len(healthy)-1 {
		iso.isolated[iso.leastLoaded(healthy).Name] = now
	}
}

// releaseOne ends the isolation of the generator whose name sorts first.
func (iso *isolation) releaseOne() {
	delete(iso.isolated, slices.Min(slices.Collect(maps.Keys(iso.isolated))))
}

// generators returns the number of listed generators, and those that are healthy.
func (b *Board) generators(now time.Duration) (listed int, healthy []*replica) {
	for _, name := range b.names {
		known := b.replicas[name]
		if known.Role != RoleDecode || known.isLeaving() {
			continue
		}
		listed++
		if known.acceptsRequests(now) && !known.isSuspected(now) && !b.isChanging(now, known) {
			healthy = append(healthy, known)
		}
	}
	return listed, healthy
}

// leastLoaded returns the healthy generator with the fewest running requests that is not
// isolated.
func (iso *isolation) leastLoaded(healthy []*replica) *replica {
	var best *replica
	for _, known := range healthy {
		if _, isIsolated := iso.isolated[known.Name]; isIsolated {
			continue
		}
		if best == nil || len(known.running) < len(best.running) {
			best = known
		}
	}
	return best
}

// allows reports whether the request may go to a replica: suspects run on free isolated
// generators, all others on any other generator. Readers take all requests, since reading a
// prompt crashes no replica.
func (iso *isolation) allows(now time.Duration, at *replica, request *Ask) bool {
	if now >= iso.alertUntil || at.Role != RoleDecode {
		return true
	}
	since, isIsolated := iso.isolated[at.Name]
	return isIsolated == request.Suspect && (!isIsolated || at.isFreeForSuspect(now, since))
}

// hasFreeIsolatedReplica reports whether an isolated generator can take the suspect now.
func (b *Board) hasFreeIsolatedReplica(now time.Duration, request *Ask) bool {
	return len(b.shortlist(now, RoleDecode, request, nil)) > 0
}

// isFreeForSuspect reports whether a generator isolated at the given time takes a suspect now.
func (r *replica) isFreeForSuspect(now, since time.Duration) bool {
	for p := range r.running {
		if p.request.Suspect && (!p.started || now-p.startedAt < suspectWatchTime) {
			return false
		}
		if !p.request.Suspect && now-since < isolationDrainTime {
			return false
		}
	}
	return true
}

// delaySuspect answers a suspect that cannot be placed yet. It is refused if it has too
// little time left to wait, early enough for its caller to retry.
func (b *Board) delaySuspect(request *Ask, wait time.Duration) Answer {
	if request.Deadline < 2*wait || request.Deadline < fraction(request.Age, suspectTimeLeftShare) {
		return Answer{Refused: true, RetryAfter: replicaRestartTime}
	}
	return Answer{Wait: wait}
}

// suspectTimeLeftShare is the share of its age that a waiting suspect must have left. With
// 0.5 it is refused after two thirds of its time, and may be cleared when it is retried.
const suspectTimeLeftShare = 0.5

// generatorRetryInterval is the wait of a request while no generator is left. No request
// waits past its objective.
const generatorRetryInterval = 50 * time.Millisecond

// answerWithoutGenerator answers a request that no generator takes. If all generators are
// gone, it waits as long as it can meet its objective, and is then refused with the time
// after which a generator is expected.
func (b *Board) answerWithoutGenerator(now time.Duration, request *Ask) Answer {
	listed, healthy := b.generators(now)
	if listed == 0 || len(healthy) > 0 || request.Continued {
		return Answer{}
	}
	if request.Age+generatorRetryInterval < fraction(request.Objective, objectiveShare) {
		return Answer{Wait: generatorRetryInterval}
	}
	return Answer{Refused: true, RetryAfter: minBan}
}
