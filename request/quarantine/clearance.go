package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// clearances maps requests that were answered successfully to the time until which their failures
// are ignored. It is separate from the failures and also covers requests without any, so that the
// result does not depend on whether the failure or the successful answer is reported first.
type clearances map[Fingerprint]time.Duration

// add ignores failures of the request for clearanceDuration from now on.
func (c clearances) add(now time.Duration, fingerprint Fingerprint) {
	if _, known := c[fingerprint]; !known && len(c) >= maxRequests {
		c.makeRoom(now)
	}
	c[fingerprint] = now + clearanceDuration
}

// ignores reports whether failures of the request are ignored at now.
func (c clearances) ignores(now time.Duration, fingerprint Fingerprint) bool {
	return now < c[fingerprint]
}

// expire drops expired clearances.
func (c clearances) expire(now time.Duration) {
	for fingerprint, until := range c {
		if now >= until {
			delete(c, fingerprint)
		}
	}
}

// makeRoom keeps the number of clearances below maxRequests. It drops the expired ones or, if there
// are none, the one that expires first.
func (c clearances) makeRoom(now time.Duration) {
	c.expire(now)
	if len(c) < maxRequests {
		return
	}
	var first Fingerprint
	for fingerprint, until := range c {
		if earliest, found := c[first]; !found || until < earliest {
			first = fingerprint
		}
	}
	delete(c, first)
}

// RecordServed records that a request received a complete answer from a replica, whether or not any
// failures of it are known. It drops the failures and ignores further ones for clearanceDuration.
func (t *Table) RecordServed(now time.Duration, fingerprint Fingerprint) {
	t.Forget(fingerprint)
	if !t.cleared.ignores(now, fingerprint) {
		t.changes++
	}
	t.cleared.add(now, fingerprint)
}

// IsCleared reports whether failures of the request are currently ignored because it was served
// recently.
func (t *Table) IsCleared(now time.Duration, fingerprint Fingerprint) bool {
	return t.cleared.ignores(now, fingerprint)
}

// Cleared returns the requests whose failures are currently ignored because they were served
// recently, the latest first.
func (t *Table) Cleared(now time.Duration) []Fingerprint {
	var found []Fingerprint
	for fingerprint := range t.cleared {
		if t.cleared.ignores(now, fingerprint) {
			found = append(found, fingerprint)
		}
	}
	slices.SortFunc(found, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(t.cleared[b], t.cleared[a]), slices.Compare(a[:], b[:]))
	})
	return found
}
