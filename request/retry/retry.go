// Package retry bounds what failures may cost: retries have a budget that is a
// share of the traffic, wait a jittered time that fits the deadline, and each
// hop leaves the next one less time than it has itself.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// unit is one retry in the budget's fixed-point count.
const unit = 1000

// Budget allows retries up to a share of the requests, with a reserve for
// bursts. It is safe for concurrent use.
type Budget struct {
	balance atomic.Int64
	deposit int64
	reserve int64
}

// NewBudget returns a full budget: share is retries per request (0.1 allows
// one for ten), reserve the most that can be saved up.
func NewBudget(share float64, reserve int) *Budget {
	budget := &Budget{deposit: int64(share * unit), reserve: int64(reserve) * unit}
	budget.balance.Store(budget.reserve)
	return budget
}

// Deposit counts one request.
func (b *Budget) Deposit() {
	for {
		current := b.balance.Load()
		next := min(current+b.deposit, b.reserve)
		if next == current || b.balance.CompareAndSwap(current, next) {
			return
		}
	}
}

// Withdraw takes one retry out of the budget; false when it has none left.
func (b *Budget) Withdraw() bool {
	for {
		current := b.balance.Load()
		if current < unit {
			return false
		}
		if b.balance.CompareAndSwap(current, current-unit) {
			return true
		}
	}
}

// Backoff is the pause before a retry: it doubles from Base up to Cap, and
// each pause is drawn from the upper half of its range.
type Backoff struct {
	Base time.Duration
	Cap  time.Duration
}

// Delay returns the pause before retry number retry, from 0. It returns false
// when the pause does not leave any of the time left.
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

// Margin is what a hop keeps for its own work and the way back.
type Margin struct {
	Least time.Duration
	Share float64 // of the time left
}

// Shrink returns the deadline to give to the next hop; false when nothing is left.
func (m Margin) Shrink(left time.Duration) (time.Duration, bool) {
	margin := max(m.Least, time.Duration(float64(left)*m.Share))
	shrunk := left - margin
	return shrunk, shrunk > 0
}
