package control

import (
	"maps"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
)

// suspectCopies holds when copies of suspected requests were last placed, and when they last asked for a place in vain.
// Two crashes hold a request only if nobody reports soon that a replica has served it. Where no replica takes a
// copy, as while all of them have asked for a pause, nobody can.
type suspectCopies map[quarantine.Fingerprint]suspectCopy

// suspectCopy is what is known of the copies of one request; 0 means never.
type suspectCopy struct {
	placedAt, waitedAt time.Duration
}

const (
	// maxCopyWait limits the time since the last crash for which a decision waits until a copy has been served or
	// has crashed a replica.
	maxCopyWait = 10 * time.Second
	// copyOutcomeTime is how long the outcome of a placed copy is awaited.
	copyOutcomeTime = 2 * time.Second
	// maxSuspectCopies limits the requests whose copies are remembered.
	maxSuspectCopies = 1024
)

// note records that a copy was placed, or asked in vain.
func (s suspectCopies) note(fingerprint quarantine.Fingerprint, isPlaced bool, now time.Duration) {
	known, found := s[fingerprint]
	if !found && len(s) >= maxSuspectCopies {
		return
	}
	if isPlaced {
		known.placedAt = now
	} else {
		known.waitedAt = now
	}
	s[fingerprint] = known
}

// isOutcomePending reports whether copies have asked for a place since the last crash, and the outcome of one is still
// to be awaited.
func (s suspectCopies) isOutcomePending(fingerprint quarantine.Fingerprint, crashedAt, now time.Duration) bool {
	known, found := s[fingerprint]
	if !found || now-crashedAt >= maxCopyWait {
		return false
	}
	if known.placedAt > crashedAt {
		return now-known.placedAt < copyOutcomeTime
	}
	return known.waitedAt > crashedAt
}

// expire drops the copies that no decision waits for any more.
func (s suspectCopies) expire(now time.Duration) {
	maps.DeleteFunc(s, func(_ quarantine.Fingerprint, known suspectCopy) bool {
		return now-max(known.placedAt, known.waitedAt) >= maxCopyWait
	})
}

// noteCopy records that a copy of the named request was placed, or asked for a place in vain.
func (d *quarantineTracker) noteCopy(name string, isPlaced bool, now time.Duration) {
	fingerprint, ok := fingerprintOf(name)
	if !ok {
		return
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	d.copies.note(fingerprint, isPlaced, now)
}

// awaitsCopy reports whether a request that two crashes, and no more, show to be harmful is not held yet, because its
// copies have found no place in which one could have been served. The record is then reviewed on.
func (d *quarantineTracker) awaitsCopy(fingerprint quarantine.Fingerprint, now time.Duration) bool {
	crashedAt, found := d.table.LastFailureAt(fingerprint)
	hasMore := d.table.CountFailures(fingerprint) > quarantine.WatchedIncidents
	if !found || hasMore || d.table.IsHarmfulWithoutSuccessWait(fingerprint) || !d.copies.isOutcomePending(fingerprint, crashedAt, now) {
		return false
	}
	d.reviewUntil = max(d.reviewUntil, now+reviewPeriod)
	return true
}
