// Package retry limits the number and the delay of retries. Retries have a budget that is a share
// of the traffic, and wait for a jittered delay that fits the deadline. Each hop passes on a
// shorter deadline than its own.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// unitsPerRetry is the number of balance units of a Budget per retry.
const unitsPerRetry = 1000

// Budget allows retries up to a share of the requests, with a reserve for bursts. It is safe for
// concurrent use.
type Budget struct {
	balance atomic.Int64
	deposit int64
	reserve int64
}

// NewBudget returns a full budget. share is the number of retries per request (0.1 allows one retry
// per ten requests), and reserve the maximum number of retries that can be saved up. The share is
// rounded down to a multiple of 1/unitsPerRetry.
func NewBudget(share float64, reserve int) *Budget {
	budget := &Budget{deposit: int64(share * unitsPerRetry), reserve: int64(reserve) * unitsPerRetry}
	budget.balance.Store(budget.reserve)
	return budget
}

// Deposit counts one request: it adds the share of a retry to the budget, up to the reserve.
func (b *Budget) Deposit() {
	for {
		current := b.balance.Load()
		next := min(current+b.deposit, b.reserve)
		if next == current || b.balance.CompareAndSwap(current, next) {
			return
		}
	}
}

// Withdraw takes one retry from the budget. It returns false if the budget is empty.
func (b *Budget) Withdraw() bool {
	for {
		current := b.balance.Load()
		if current < unitsPerRetry {
			return false
		}
		if b.balance.CompareAndSwap(current, current-unitsPerRetry) {
			return true
		}
	}
}

// Backoff computes the delay before a retry. The maximum delay is Base for the first retry and
// doubles with each further one up to Cap; the delay is drawn at random from its upper half. A Base
// of 0 means no delay.
type Backoff struct {
	Base time.Duration
	Cap  time.Duration
}

// Delay returns the delay before a retry; the first retry is 0. It also returns false if the delay
// would use up the time left. random must not be nil unless Base is 0, and not be in use elsewhere.
func (b Backoff) Delay(retry int, left time.Duration, random *rand.Rand) (time.Duration, bool) {
	full := b.Base
	for range retry {
		full *= 2
		if full >= b.Cap {
			full = b.Cap
			break
		}
	}
	if full <= 0 {
		return 0, left > 0
	}
	half := full / 2
	delay := half + time.Duration(random.Int64N(int64(full-half)+1))
	return delay, delay < left
}

// Margin is the time that a hop reserves for its own work and for the way back: Minimum or Share,
// whichever is longer.
type Margin struct {
	Minimum time.Duration
	Share   float64 // fraction of the time left until the deadline
}

// Shrink returns the time to give the next hop of the time left until the deadline of this one. It
// returns false, and a time of 0 or less, if nothing is left.
func (m Margin) Shrink(left time.Duration) (time.Duration, bool) {
	margin := max(m.Minimum, time.Duration(float64(left)*m.Share))
	shrunk := left - margin
	return shrunk, shrunk > 0
}
