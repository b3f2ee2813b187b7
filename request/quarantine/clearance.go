package quarantine

import "time"

// clearances is until when the ends do not count of requests that were served. They stand apart
// from the ends: they are kept of requests of which nothing else is known, so that it does not
// matter which word arrives first, the one of an end or the one of a good answer.
type clearances map[Fingerprint]time.Duration

// clear lets the ends of a request not count for a while.
func (c clearances) clear(now time.Duration, fingerprint Fingerprint) {
	if _, known := c[fingerprint]; !known && len(c) >= maxRequests {
		c.makeRoom(now)
	}
	c[fingerprint] = now + clearance
}

// has reports whether the ends of a request do not count now.
func (c clearances) has(now time.Duration, fingerprint Fingerprint) bool {
	return now < c[fingerprint]
}

// expire drops those that are over.
func (c clearances) expire(now time.Duration) {
	for fingerprint, until := range c {
		if now >= until {
			delete(c, fingerprint)
		}
	}
}

// makeRoom drops those that are over or, if there are none, the one that is over first.
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

// Served clears a request that was served whole, whether or not anything is known of it.
func (t *Table) Served(now time.Duration, fingerprint Fingerprint) {
	t.Forget(fingerprint)
	if !t.cleared.has(now, fingerprint) {
		t.news++
	}
	t.cleared.clear(now, fingerprint)
}

// Cleared returns the requests that were served so lately that their ends do not count.
func (t *Table) Cleared(now time.Duration) []Fingerprint {
	var found []Fingerprint
	for fingerprint := range t.cleared {
		if t.cleared.has(now, fingerprint) {
			found = append(found, fingerprint)
		}
	}
	return found
}
