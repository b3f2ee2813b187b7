package placement

import "time"

// Periods for which requests are kept off replicas that failed, and costs of such replicas. Each
// period doubles with further failures, from its min to its max value.
const (
	// A replica that gave no response is suspected for this time.
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 8 * time.Second
	// A replica that refused a request is avoided for this time. The time is shorter, since
	// the replica still responds.
	minRefusal = 100 * time.Millisecond
	maxRefusal = 1600 * time.Millisecond
	// A replica is banned for this time if it is no longer at its listed address: it is gone,
	// or another replica has the address. It stays listed until the process that calls
	// SetReplicas has learned that it left, which takes longer while no control plane member
	// can read the source of the list.
	minBan = time.Second
	maxBan = 16 * time.Second
	// suspectCost is charged for a replica that has just given no response. It is a cost rather
	// than a ban, so that the others are not overloaded when many replicas are suspected.
	suspectCost = 1500 * time.Millisecond
	// fullFailureCost is charged for a replica whose failure rate is 1.
	fullFailureCost = 400 * time.Millisecond
	// failureWeight is the weight of the latest step in the failure rate.
	failureWeight = 0.2
)

// recordFailure records a failure of a replica. p is the request that it failed, or nil if
// the board no longer tracks it. A replica that responds with an error of its own is not suspected
// to be gone.
func (b *Board) recordFailure(now time.Duration, report ProgressReport, p *placedRequest) {
	failed := b.replicas[report.Replica]
	if failed == nil {
		return
	}
	failed.failureRate += failureWeight * (1 - failed.failureRate)
	switch report.Step {
	case StepAnsweredError:
		failed.suspicionPeriod, failed.avoidedUntil = 0, 0
	case StepRefused:
		failed.recordRefusal(now)
	case StepMisdirected, StepUnreachable:
		failed.ban(now, p)
	default:
		failed.suspect(now, p, b.maxSuspicion())
	}
	b.rampFailed(now, failed, report.Step, p)
	b.index.move(failed)
}

// suspect starts or extends the suspicion of a replica that gave no response. All requests that
// it had when it went silent fail one after the other but are evidence of one failure, so only
// a request placed after the last suspicion began extends it, up to longest.
func (r *replica) suspect(now time.Duration, p *placedRequest, longest time.Duration) {
	if p != nil && r.suspicionPeriod > 0 && p.placedAt < r.suspectedAt {
		return
	}
	r.suspicionPeriod = min(max(2*r.suspicionPeriod, minSuspicion), longest)
	r.suspectedAt, r.avoidedUntil = now, now+r.suspicionPeriod
}

// isSuspected reports whether requests are kept off the replica: it recently gave no response, or
// refused a request, or the one request that probes whether it responds again is in flight.
func (r *replica) isSuspected(now time.Duration) bool {
	return now < r.avoidedUntil || r.suspicionPeriod > 0 && r.probe != nil
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

// recordRefusal keeps requests off a replica that refuses them. Such a replica runs nothing, so it
// looks idle and would attract all requests. The backoff doubles with each refusal that comes after
// the end of the previous backoff. A refusal during a backoff is that of a request sent before it
// began, and is ignored.
func (r *replica) recordRefusal(now time.Duration) {
	if now < r.avoidedUntil {
		return
	}
	r.refusalBackoff = min(max(2*r.refusalBackoff, minRefusal), maxRefusal)
	r.avoidedUntil = now + r.refusalBackoff
}

// ban keeps all requests off a replica that is no longer at its listed address. A cost would not
// be enough, since a request sent there is certain to be refused and uses up a retry. The failure
// of p is ignored if p was placed before the last ban began, or while the replica had an earlier
// role, in which it was asked for something else.
func (r *replica) ban(now time.Duration, p *placedRequest) {
	if r.isBanned(now) || p != nil && (p.isOnRemovedReplica(r) || r.banPeriod > 0 && p.placedAt < r.bannedSince) {
		return
	}
	r.banPeriod = min(max(2*r.banPeriod, minBan), maxBan)
	r.bannedSince, r.bannedUntil = now, now+r.banPeriod
}

// isOnRemovedReplica reports whether the request was placed on a replica with the name of r that
// has since been removed, for instance by a role change.
func (p *placedRequest) isOnRemovedReplica(r *replica) bool {
	for _, on := range []*replica{p.runningOn, p.queuedOn} {
		if on != nil && on != r && on.Name == r.Name {
			return true
		}
	}
	return false
}

// recordLeaving records that a replica announced that it will shut down. The announcement holds as
// long as the board tracks the process. Some time later the replica is listed as leaving, and then
// no longer listed. Until it is listed as leaving, placing requests there is charged with a cost
// rather than banned, since the replica still serves for a while and may be the only one left. Each
// daemon excludes the replica once the time in which the daemon may still send requests there is
// over.
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

// recordSuccess records that the replica completed a step of p. This ends the suspicion of the
// replica, although it may not have responded to other requests. It ends a ban only if p was
// placed after the ban began.
func (r *replica) recordSuccess(p *placedRequest) {
	r.failureRate *= 1 - failureWeight
	r.suspicionPeriod, r.refusalBackoff = 0, 0
	r.avoidedUntil = 0
	r.probe = nil
	if p.placedAt >= r.bannedSince {
		r.banPeriod, r.bannedUntil = 0, 0
	}
}
