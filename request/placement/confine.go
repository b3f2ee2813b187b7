package placement

import (
	"maps"
	"slices"
	"time"
)

// Some requests crash each replica that begins to run them. The requests in flight on a
// crashed replica are retried, and the one that crashed it cannot be told from the others.
// If retries could go to any replica, that request would crash further replicas and make
// suspects of all requests in flight there. So while replicas crash one after the other, each
// request that was in flight at a crash is a suspect. Suspects run on a few isolated generators,
// one at a time and with no other request on the generator. A suspect that gets a response is
// cleared; one whose isolated generator crashes is the cause. All other requests run on the other
// generators without delay. A suspect that was in flight at enough crashes waits for the decision
// on its quarantine, since each copy placed until then could crash one more replica.
//
// Suspected replicas are something else: they recently gave no response.
//
// Invariant: at any time, the isolated generators plus those lost while isolated within the last
// replicaRestartTime are at most a third of the listed generators, or one if a third is less than
// one. Only isolation.update isolates generators, and it counts both.
const (
	// alertDuration is how long a series of crashes is assumed to go on after the last alert.
	alertDuration = 10 * time.Second
	// isolatedDivisor is the inverse of the share of generators that may be isolated.
	isolatedDivisor = 3
	// maxIsolated limits the number of isolated generators in a large service, since each
	// request during an alert scans them.
	maxIsolated = 64
	// replicaRestartTime is how long a generator lost while isolated counts against the
	// limit: a replica takes some seconds to restart.
	replicaRestartTime = 4 * time.Second
	// isolationDrainTime is how long a suspect waits for the requests that already run on a
	// newly isolated generator. After that it is placed there even if some still run.
	isolationDrainTime = 400 * time.Millisecond
	// suspectWatchTime is how long after the first token of a suspect no other suspect is placed
	// on its generator.
	suspectWatchTime = 300 * time.Millisecond
	// suspectRetryInterval is the wait of a suspect that cannot be placed yet.
	suspectRetryInterval = 40 * time.Millisecond
	// isolationIdleTime is how long generators stay isolated after Place was last called for a
	// suspect. Waiting suspects retry several times within it. Replicas that crash for reasons
	// of their own also raise an alert; then no request stays a suspect for long, and the other
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

// RaiseAlert records that replicas crash one after the other, apparently under some request.
func (b *Board) RaiseAlert(now time.Duration) { b.isolation.alertUntil = now + alertDuration }

// IsAlert reports whether such a series goes on, so that requests have to be identified.
func (b *Board) IsAlert(now time.Duration) bool { return now < b.isolation.alertUntil }

// admit prepares the isolation for the placement of a request: it updates the isolated generators,
// and keeps them isolated for another isolationIdleTime if the request is a suspect. Without an
// alert it ends the isolation and clears request.Suspect. It returns how long a suspect has to
// wait; 0 lets the request be placed.
func (iso *isolation) admit(b *Board, now time.Duration, request *Request) (wait time.Duration) {
	if now >= iso.alertUntil {
		iso.isolated, iso.lostAt = nil, nil
		request.Suspect = false
		return 0
	}
	if request.Suspect {
		iso.reservedUntil = now + isolationIdleTime
	}
	iso.update(b, now)
	if !request.Suspect || !request.AwaitsQuarantine && b.hasFreeIsolatedReplica(now, request) {
		return 0
	}
	return suspectRetryInterval
}

// update ends the isolation of generators that were lost, of all generators if no suspect was to
// be placed recently, and of some if too few healthy ones are left for other requests. It then
// isolates as many generators as are allowed.
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
		iso.releaseOne() // other requests need at least one healthy generator
	}
	for len(iso.isolated)+len(iso.lostAt) < limit && len(iso.isolated) < len(healthy)-1 {
		iso.isolated[iso.leastLoaded(healthy).Name] = now
	}
}

// releaseOne ends the isolation of the generator whose name sorts first.
func (iso *isolation) releaseOne() {
	delete(iso.isolated, slices.Min(slices.Collect(maps.Keys(iso.isolated))))
}

// generators returns the number of listed generators that are not leaving, and those of them that
// are healthy: neither banned nor suspected nor changing their role.
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
// prompt does not crash a replica.
func (iso *isolation) allows(now time.Duration, at *replica, request *Request) bool {
	if now >= iso.alertUntil || at.Role != RoleDecode {
		return true
	}
	since, isIsolated := iso.isolated[at.Name]
	return isIsolated == request.Suspect && (!isIsolated || at.isFreeForSuspect(now, since))
}

// hasFreeIsolatedReplica reports whether an isolated generator can take the suspect now.
func (b *Board) hasFreeIsolatedReplica(now time.Duration, request *Request) bool {
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

// delaySuspect returns the reply to a suspect that cannot be placed yet: to wait, or a refusal if
// it has too little time left for that (less than two waits, or than suspectTimeLeftShare of its
// age), early enough for its caller to retry.
func (b *Board) delaySuspect(request *Request, wait time.Duration) Answer {
	if request.Deadline < 2*wait || request.Deadline < fraction(request.Age, suspectTimeLeftShare) {
		return Answer{Refused: true, RetryAfter: replicaRestartTime}
	}
	return Answer{Wait: wait}
}

// suspectTimeLeftShare is the ratio of time left to age that a waiting suspect must have. With
// 0.5 it is refused after two thirds of its total time, and may be cleared by the time of the
// retry.
const suspectTimeLeftShare = 0.5

// generatorRetryInterval is the wait of a request while no generator is left. A request waits no
// longer than objectiveShare of its objective (0.9 of it).
const generatorRetryInterval = 50 * time.Millisecond

// CanGenerate reports whether a listed replica that is not excluded could run a request.
func (b *Board) CanGenerate(now time.Duration, excluded []string) bool {
	for _, name := range b.names {
		known := b.replicas[name]
		if known.Role == RoleDecode && known.acceptsRequests(now) && !slices.Contains(excluded, name) {
			return true
		}
	}
	return false
}

// answerWithoutGenerator returns the reply to a request that no generator can take. If no
// generator is healthy, so that all of them are banned, suspected or changing their role, the
// request waits as long as it can meet its objective, and is then refused with the time after
// which a generator is expected. Otherwise, as when it excludes the healthy ones, it gets an empty
// reply.
func (b *Board) answerWithoutGenerator(now time.Duration, request *Request) Answer {
	listed, healthy := b.generators(now)
	if listed == 0 || len(healthy) > 0 || request.Continued {
		return Answer{}
	}
	if request.Age+generatorRetryInterval < fraction(request.Objective, objectiveShare) {
		return Answer{Wait: generatorRetryInterval}
	}
	return Answer{Refused: true, RetryAfter: minBan}
}
