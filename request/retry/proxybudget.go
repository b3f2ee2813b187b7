package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// ProxyBudget is one proxy's part of a retry budget that all proxies share. It needs no message: the
// parts add up to the budget however often proxies are killed and started, because a process that has
// just started does not know what the one before it has spent, and its part allows for the most that it
// can have been. It is safe for concurrent use.
//
// Invariant: in any span of the window's length, the processes of a proxy together grant at most the
// share of the requests in that span or in the one before, whichever are more, plus the proxy's
// reserve. This has two parts:
//
//   - Each request credits a part of the share (creditedShare) at once, and the credit of a process
//     starts empty. The savings at the beginning of the span are paid for by the requests before it.
//   - The reserve is withheld from a new process until the retries of the one before it are no longer
//     in the same span.
//
// A send that may turn out to be a retry needs a Hold: it is withdrawn before the send, and returned once
// it is known to be none. A process that is killed has therefore spent whatever it had on its way.
type ProxyBudget struct {
	lock        sync.Mutex
	credit      credit
	reserve     *Window // limits the whole retries of the reserve
	outstanding int     // holds that are not settled
	// keptShare is the recent share of the holds that were not returned.
	keptShare float64
}

// NewProxyBudget returns the budget of a process that starts at time 0. share is the number of
// retries per request, reserve the proxy's part of the common reserve, and length the window's
// length. The reserve is available from settle on.
func NewProxyBudget(share, reserve float64, length, settle time.Duration) *ProxyBudget {
	budget := &ProxyBudget{
		credit:  credit{share: share, length: length, random: rand.Float64},
		reserve: NewWindow(0, 0, length),
	}
	budget.reserve.WithholdReserve(settle)
	budget.SetReserve(reserve)
	return budget
}

// SetReserve changes the proxy's part of the reserve, for example when the number of proxies that
// divide it has changed.
func (b *ProxyBudget) SetReserve(reserve float64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	whole, fraction := math.Modf(reserve)
	b.reserve.SetReserve(whole)
	b.credit.fraction = fraction
}

// WithholdReserve withholds the reserve until the given time.
func (b *ProxyBudget) WithholdReserve(until time.Duration) { b.reserve.WithholdReserve(until) }

// CountRequest counts the first send of a request.
func (b *ProxyBudget) CountRequest(now time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.credit.countRequest(now)
}

// Withdraw takes one retry, from the credit if it covers one and otherwise from the reserve. It
// returns false if the budget allows none.
func (b *ProxyBudget) Withdraw(now time.Duration) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.credit.withdraw(now) || b.reserve.Withdraw(now) || b.credit.draw(now)
}

// BudgetState is what a budget allows at a time.
type BudgetState struct {
	Left     float64 // retries that are still allowed
	Requests int     // requests in the last window, without those of its oldest slot
}

// State returns what the budget allows now.
func (b *ProxyBudget) State(now time.Duration) BudgetState {
	b.lock.Lock()
	defer b.lock.Unlock()
	left, _ := b.leftAndMost(now)
	return BudgetState{Left: left, Requests: b.credit.requests.within(now, b.credit.length)}
}

// leftAndMost returns how many retries are still allowed, and how many at most if none had been taken.
func (b *ProxyBudget) leftAndMost(now time.Duration) (left, most float64) {
	b.credit.accrue(now)
	spent, allowed := b.reserve.usage(now)
	return b.credit.balance + float64(allowed-spent), b.credit.limit(now) + float64(allowed)
}
