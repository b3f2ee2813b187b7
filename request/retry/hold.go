package retry

import (
	"math"
	"time"
)

// keptWeight is the weight of the last settled hold in the share of those that were kept.
const keptWeight = 0.2

// Hold is a retry that was withdrawn from a ProxyBudget for a send that may turn out to be none. It must
// be settled once.
type Hold struct {
	source holdSource
	bucket int64 // of the reserve's window
}

// holdSource is where a hold was withdrawn.
type holdSource uint8

const (
	fromCredit holdSource = iota
	fromReserve
	fromPool // borrowed, to be returned to the lender by the caller
)

// BorrowedHold returns a hold that the budget does not cover, because a Pool has lent the retry.
func BorrowedHold() Hold { return Hold{source: fromPool} }

// Hold withdraws one retry before a send that may turn out to be a retry. It returns false if the budget
// does not cover one. The larger the share of holds that were kept recently, the more of the budget it
// leaves to other retries.
func (b *ProxyBudget) Hold(now time.Duration) (Hold, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if !b.coversHold(now) {
		return Hold{}, false
	}
	if b.credit.hold(now) {
		b.outstanding++
		return Hold{}, true
	}
	bucket, granted := b.reserve.withdraw(now)
	if granted {
		b.outstanding++
	}
	return Hold{source: fromReserve, bucket: bucket}, granted
}

// ExpectsHoldsBack reports whether holds of this budget are on their way, most of which are expected to be returned.
func (b *ProxyBudget) ExpectsHoldsBack() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.outstanding > 0 && b.keptShare <= maxBorrowingShare
}

// CanHold reports whether Hold would succeed.
func (b *ProxyBudget) CanHold(now time.Duration) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.coversHold(now)
}

// coversHold reports whether the budget covers a hold beside what it leaves to other retries. The lock must
// be held.
func (b *ProxyBudget) coversHold(now time.Duration) bool {
	left, most := b.leftAndMost(now)
	leftToOthers := math.Floor(b.keptShare * most)
	return left >= 1+leftToOthers
}

// maxBorrowingShare is the share of kept holds up to which more are borrowed.
const maxBorrowingShare = 0.5

// ShouldBorrow reports whether a retry may be borrowed for a hold that the budget does not cover: most of
// the recent holds were returned.
func (b *ProxyBudget) ShouldBorrow() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.keptShare <= maxBorrowingShare
}

// Settle ends a hold. kept is true if the send was a retry, or may have been one; otherwise the retry is
// returned.
func (b *ProxyBudget) Settle(hold Hold, now time.Duration, kept bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.keptShare *= 1 - keptWeight
	if kept {
		b.keptShare += keptWeight
	}
	if hold.source != fromPool {
		b.outstanding--
	}
	switch hold.source {
	case fromCredit:
		b.credit.settle(now, kept)
	case fromReserve:
		if !kept {
			b.reserve.giveBack(hold.bucket)
		}
	case fromPool:
	}
}
