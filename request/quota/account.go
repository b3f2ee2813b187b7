package quota

import (
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// Account holds what each tenant may spend at once, as a leader grants it. It begins with
// nothing for anybody, whatever an earlier account has granted: so the sum that one account
// after the other grants in a window stays within the quota. It is safe for concurrent use.
type Account struct {
	rule    Rule
	lock    sync.Mutex
	since   time.Duration // when it began
	tenants map[string]*balance
}

// balance is what a tenant may spend at once.
type balance struct {
	left    float64
	at      time.Duration // up to when left is counted
	granted float64       // the sum of all charges
	refused int64         // requests
}

// NewAccount returns the account of a leader that begins now.
func NewAccount(rule Rule, now time.Duration) *Account {
	return &Account{rule: rule, since: now, tenants: map[string]*balance{}}
}

// Charge takes the cost of a request off the tenant's balance, or says when it will be
// covered. A request that costs more than the whole burst is granted where the burst is whole.
func (a *Account) Charge(now time.Duration, tenant string, limit api.Quota, cost float64) Grant {
	a.lock.Lock()
	defer a.lock.Unlock()
	known := a.balance(tenant)
	limit = a.rule.stretched(limit)
	known.fill(now, limit)
	needed := min(cost, limit.Burst)
	if known.left < needed {
		known.refused++
		return Grant{Wait: waitFor(needed-known.left, limit.PerSecond), Left: known.left}
	}
	known.left -= cost
	known.granted += cost
	return Grant{Granted: true, Left: known.left}
}

// Return gives back what a request cost that no replica has run.
func (a *Account) Return(now time.Duration, tenant string, limit api.Quota, cost float64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	limit = a.rule.stretched(limit)
	known := a.balance(tenant)
	known.fill(now, limit)
	known.left = min(known.left+cost, limit.Burst)
	known.granted -= cost
}

// Standing is how a tenant stands with its quota.
type Standing struct {
	Left    float64
	Granted float64 // since the account began
	Refused int64   // requests since then
}

// Standing returns how the tenant stands now.
func (a *Account) Standing(now time.Duration, tenant string, limit api.Quota) Standing {
	a.lock.Lock()
	defer a.lock.Unlock()
	limit = a.rule.stretched(limit)
	known := a.balance(tenant)
	known.fill(now, limit)
	return Standing{Left: known.left, Granted: known.granted, Refused: known.refused}
}

func (a *Account) balance(tenant string) *balance {
	known := a.tenants[tenant]
	if known == nil {
		known = &balance{at: a.since}
		a.tenants[tenant] = known
	}
	return known
}

// fill adds what the rate has brought since the last look.
func (b *balance) fill(now time.Duration, limit api.Quota) {
	b.left = min(b.left+limit.PerSecond*max(now-b.at, 0).Seconds(), limit.Burst)
	b.at = max(b.at, now)
}
