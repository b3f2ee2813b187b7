package placement

import "time"

// Backoff times and costs of replicas that failed.
const (
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 8 * time.Second
	// A refusal is an answer, so its backoff is shorter.
	minRefusal = 100 * time.Millisecond
	maxRefusal = 1600 * time.Millisecond
	// The replica is no longer at its listed address: it is gone, or another replica has the
	// address. The list still names it until the list's reader has seen it leave, which takes
	// longer while no member of the control plane can read the list.
	minBan = time.Second
	maxBan = 16 * time.Second
	// suspectCost is charged for a replica that has just given no answer. It is a cost rather
	// than a ban, so that the others are not overloaded when many replicas are suspected.
	suspectCost = 1500 * time.Millisecond
	// fullFailureCost is charged for a replica whose failure rate is 1.
	fullFailureCost = 400 * time.Millisecond
	failureWeight   = 0.2
)

// recordFailure records a failure of a replica. p is the request that it failed, or nil if
// the board no longer tracks it. A replica that answers, even with failures, is not suspected
// to be gone.
func (b *Board) recordFailure(now time.Duration, note Note, p *placedRequest) {
	failed := b.replicas[note.Replica]
	if failed == nil {
		return
	}
	failed.failureRate += failureWeight * (1 - failed.failureRate)
	switch note.Step {
	case StepErred:
		failed.suspicionPeriod, failed.suspectUntil = 0, 0
	case StepRefused:
		failed.recordRefusal(now)
	case StepMisdirected, StepGone:
		failed.ban(now, p)
	default:
		failed.suspect(now, p)
	}
	b.index.move(failed)
}

// suspect starts or extends the suspicion of a replica that gave no answer. All requests that
// it had when it went silent fail one after the other but are evidence of one failure, so only
// a request placed after the last suspicion began extends it.
func (r *replica) suspect(now time.Duration, p *placedRequest) {
	if p != nil && r.suspicionPeriod > 0 && p.placedAt < r.suspectedAt {
		return
	}
	r.suspicionPeriod = min(max(2*r.suspicionPeriod, minSuspicion), maxSuspicion)
	r.suspectedAt, r.suspectUntil = now, now+r.suspicionPeriod
}

// isSuspected reports whether requests are kept off the replica: it recently gave no answer,
// or the one request that probes whether it answers again is in flight.
func (r *replica) isSuspected(now time.Duration) bool {
	return now < r.suspectUntil || r.suspicionPeriod > 0 && r.probe != nil
}

// startProbe makes the first request that is placed on the replica after a suspicion its
// probe. Other requests are kept off until the probe has ended.
func (r *replica) startProbe(p *placedRequest) {
	if r.suspicionPeriod > 0 && r.probe == nil {
		r.probe = p
	}
}

// endProbe ends the probe if it is the given request.
func (r *replica) endProbe(p *placedRequest) {
	if r != nil && r.probe == p {
		r.probe = nil
	}
}

// recordRefusal keeps requests off a replica that refuses them: since it runs nothing, it
// looks idle and would attract all of them. The backoff doubles with each refusal after the
// previous backoff; a refusal during it is of a request sent earlier, and is ignored.
func (r *replica) recordRefusal(now time.Duration) {
	if now < r.suspectUntil {
		return
	}
	r.refusalBackoff = min(max(2*r.refusalBackoff, minRefusal), maxRefusal)
	r.suspectUntil = now + r.refusalBackoff
}

// ban keeps all requests off a replica that is no longer at its listed address. This is a ban
// rather than a cost: a request sent there is certain to be refused and uses up a retry. The
// report is outdated if p was placed before the last ban, or on the replica in an earlier role,
// in which it was asked for something else.
func (r *replica) ban(now time.Duration, p *placedRequest) {
	if r.isBanned(now) || p != nil && (p.isOnRemovedReplica(r) || r.banPeriod > 0 && p.placedAt < r.bannedSince) {
		return
	}
	r.banPeriod = min(max(2*r.banPeriod, minBan), maxBan)
	r.bannedSince, r.bannedUntil = now, now+r.banPeriod
}

// isOnRemovedReplica reports whether the request was placed on a replica of the same name that
// has since been removed, as by a role change.
func (p *placedRequest) isOnRemovedReplica(r *replica) bool {
	for _, on := range []*replica{p.runningOn, p.queuedOn} {
		if on != nil && on != r && on.Name == r.Name {
			return true
		}
	}
	return false
}

// recordLeaving records that a replica announced that it leaves. This holds as long as the
// board tracks the process; the list shows it as leaving later and then drops it. Until then
// this is a cost rather than a ban: if nothing else is left, the replica still serves for a
// while. Each daemon excludes it once its own time to send there is over.
func (b *Board) recordLeaving(name string) {
	if known := b.replicas[name]; known != nil {
		known.announcedLeaving = true
		b.index.move(known)
	}
}

// isLeaving reports whether the replica leaves, as listed or as announced.
func (r *replica) isLeaving() bool { return r.Leaving || r.announcedLeaving }

// isBanned reports whether the replica is banned.
func (r *replica) isBanned(now time.Duration) bool { return now < r.bannedUntil }

// recordSuccess records that the replica completed a step of p, which ends its suspicion
// although other requests may be unanswered. It ends a ban only if p was placed after it began.
func (r *replica) recordSuccess(p *placedRequest) {
	r.failureRate *= 1 - failureWeight
	r.suspicionPeriod, r.refusalBackoff = 0, 0
	r.suspectUntil = 0
	r.probe = nil
	if p.placedAt >= r.bannedSince {
		r.banPeriod, r.bannedUntil = 0, 0
	}
}
