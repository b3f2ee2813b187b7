package quota

import (
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// Account holds the balance of each tenant, from which a leader grants charges. All balances start
// empty, because earlier accounts may have granted the burst within the same window already. It is
// safe for concurrent use.
type Account struct {
	rule      Rule
	lock      sync.Mutex
	startedAt time.Duration
	tenants   map[string]*balance
}

// balance holds what a tenant may spend at once.
type balance struct {
	left      float64       // negative after a request that cost more than the burst
	updatedAt time.Duration // when left was last updated
	granted   float64       // the sum of all charges less refunds
	refused   int64         // number of refused charges
}

// NewAccount returns the account of a leader that starts at now.
func NewAccount(rule Rule, now time.Duration) *Account {
	return &Account{rule: rule, startedAt: now, tenants: map[string]*balance{}}
}

// Charge deducts the cost of a request from the tenant's balance, or returns how long until the
// balance will cover it. A request that costs more than the burst is granted when the balance is
// full.
func (a *Account) Charge(now time.Duration, tenant string, limit api.Quota, cost float64) Grant {
	return a.ChargeWithReserve(now, tenant, limit, cost, 0)
}

// ChargeWithReserve is like Charge, but grants only if at least the reserve is left afterwards.
func (a *Account) ChargeWithReserve(now time.Duration, tenant string, limit api.Quota, cost, reserve float64) Grant {
	a.lock.Lock()
	defer a.lock.Unlock()
	current := a.balance(tenant)
	limit = a.rule.withOverrun(limit)
	current.fill(now, limit)
	if needed := min(cost+reserve, limit.Burst); current.left < needed {
		current.refused++
		return Grant{Wait: refillTime(needed-current.left, limit.PerSecond), Left: current.left}
	}
	current.left -= cost
	current.granted += cost
	return Grant{Granted: true, Left: current.left}
}

// WaitFor returns how long until ChargeWithReserve would grant the cost, 0 if it would now.
func (a *Account) WaitFor(now time.Duration, tenant string, limit api.Quota, cost, reserve float64) time.Duration {
	a.lock.Lock()
	defer a.lock.Unlock()
	current := a.balance(tenant)
	limit = a.rule.withOverrun(limit)
	current.fill(now, limit)
	needed := min(cost+reserve, limit.Burst)
	if current.left >= needed {
		return 0
	}
	return refillTime(needed-current.left, limit.PerSecond)
}

// Reset empties the balance of a tenant, whose quota begins now.
func (a *Account) Reset(now time.Duration, tenant string) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.tenants[tenant] = &balance{updatedAt: now}
}

// Forget drops the balance of a tenant.
func (a *Account) Forget(tenant string) {
	a.lock.Lock()
	defer a.lock.Unlock()
	delete(a.tenants, tenant)
}

// Refund refunds the cost of a request that no replica has run.
func (a *Account) Refund(now time.Duration, tenant string, limit api.Quota, cost float64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	limit = a.rule.withOverrun(limit)
	current := a.balance(tenant)
	current.fill(now, limit)
	current.left = min(current.left+cost, limit.Burst)
	current.granted -= cost
}

// AccountState is the state of a tenant's account.
type AccountState struct {
	Left    float64
	Granted float64 // since the account started, less refunds
	Refused int64   // refused charges since then
}

// AccountState returns the state of the tenant's account at now.
func (a *Account) AccountState(now time.Duration, tenant string, limit api.Quota) AccountState {
	a.lock.Lock()
	defer a.lock.Unlock()
	limit = a.rule.withOverrun(limit)
	current := a.balance(tenant)
	current.fill(now, limit)
	return AccountState{Left: current.left, Granted: current.granted, Refused: current.refused}
}

func (a *Account) balance(tenant string) *balance {
	current := a.tenants[tenant]
	if current == nil {
		current = &balance{updatedAt: a.startedAt}
		a.tenants[tenant] = current
	}
	return current
}

// fill adds what the rate has yielded since the last update.
func (b *balance) fill(now time.Duration, limit api.Quota) {
	b.left = min(b.left+limit.PerSecond*max(now-b.updatedAt, 0).Seconds(), limit.Burst)
	b.updatedAt = max(b.updatedAt, now)
}
