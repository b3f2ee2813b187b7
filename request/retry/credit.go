package retry

import "time"

// creditedShare is the fraction of the share that each request credits at once. The rest may be saved
// up, in proportion to the requests of the last window.
const creditedShare = 0.6

// smallestSavings is the limit on the savings below which credit is drawn at random. A proxy with
// little traffic would otherwise rarely, or never, have saved up a whole retry.
const smallestSavings = 4

// credit is the part of a retry budget that requests earn. It is empty when its process starts.
//
// Invariant: of the retries that it grants in any span of the window's length, at most as many are kept
// as there were savings at the beginning of the span plus what the span's requests credit, whatever
// happened before. The savings, which include the held retries, are at most 1-creditedShare of the
// share of the requests in the window before.
type credit struct {
	share  float64 // retries per request
	length time.Duration
	random func() float64 // in [0, 1)

	balance   float64 // never negative
	held      int     // retries that were withdrawn and may be returned
	updatedAt time.Duration
	// fraction is a part of a reserve that is smaller than one retry: half of it accrues in each
	// window, and half may be saved up.
	fraction float64
	requests requestCounter
}

// countRequest credits one request.
func (c *credit) countRequest(now time.Duration) {
	c.accrue(now)
	c.requests.add(now, c.length)
	c.balance += creditedShare * c.share
}

// withdraw takes one retry if the balance covers it.
func (c *credit) withdraw(now time.Duration) bool {
	c.accrue(now)
	if c.balance < 1 {
		return false
	}
	c.balance--
	return true
}

// draw grants a retry that the balance does not cover with the balance as the probability, and uses
// the balance up. It grants nothing unless the savings are limited to less than smallestSavings.
func (c *credit) draw(now time.Duration) bool {
	if c.limit(now) >= smallestSavings {
		return false
	}
	granted := c.random() < c.balance
	c.balance = 0
	return granted
}

// hold withdraws one retry that may be returned.
func (c *credit) hold(now time.Duration) bool {
	if !c.withdraw(now) {
		return false
	}
	c.held++
	return true
}

// settle ends a hold. The retry is returned unless it is kept.
func (c *credit) settle(now time.Duration, kept bool) {
	c.held--
	if !kept {
		c.balance++
	}
	c.accrue(now)
}

// limit returns how much may be saved up at now.
func (c *credit) limit(now time.Duration) float64 {
	return (1-creditedShare)*c.share*float64(c.requests.within(now, c.length)) + c.fraction/2
}

// accrue adds what time has yielded since the last call, and drops savings beyond the limit.
func (c *credit) accrue(now time.Duration) {
	elapsed := max(now-c.updatedAt, 0)
	c.updatedAt = max(c.updatedAt, now)
	c.balance += c.fraction / 2 * float64(elapsed) / float64(c.length)
	c.balance = min(c.balance, max(c.limit(now)-float64(c.held), 0))
}

// requestCounter counts requests in the last window, by slots.
type requestCounter struct {
	latest int64 // number of the latest slot
	total  int   // sum of the slots
	slots  [windowBuckets]int
}

// add counts one request.
func (r *requestCounter) add(now, length time.Duration) {
	r.advance(now, length)
	r.slots[r.latest%windowBuckets]++
	r.total++
}

// within returns the number of requests in the last window, without those of its oldest slot.
func (r *requestCounter) within(now, length time.Duration) int {
	r.advance(now, length)
	return r.total
}

// advance clears the slots that are older than the window.
func (r *requestCounter) advance(now, length time.Duration) {
	current := int64(now / (length / windowBuckets))
	if current-r.latest >= windowBuckets {
		r.slots, r.total, r.latest = [windowBuckets]int{}, 0, current
		return
	}
	for r.latest < current {
		r.latest++
		slot := &r.slots[r.latest%windowBuckets]
		r.total -= *slot
		*slot = 0
	}
}
