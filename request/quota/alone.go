package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// LocalShare grants charges at a proxy that is cut off: it reaches no leader, no standby member and
// no other proxy that would forward its charges to them. The other proxies are probably cut off as
// well, so each grants an equal part of the rate. It is safe for concurrent use.
type LocalShare struct {
	rule    Rule
	random  func() float64 // in [0, 1)
	lock    sync.Mutex
	tenants map[string]*localShare
}

// localShare holds what a proxy may spend of one tenant's quota on its own.
type localShare struct {
	left      float64       // negative after a request that cost more than was left
	updatedAt time.Duration // when left was last updated
	// ample is true if the tenant was far from its limit at the last answer of the control group.
	ample bool
}

// NewLocalShare returns a LocalShare without any tenants.
func NewLocalShare(rule Rule) *LocalShare {
	return &LocalShare{rule: rule, random: rand.Float64, tenants: map[string]*localShare{}}
}

// RecordAnswer records the control group's answer to a charge of the tenant.
func (a *LocalShare) RecordAnswer(tenant string, limit api.Quota, grant Grant) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.share(tenant).ample = grant.IsAmple(limit)
}

// Sharing holds the number of proxies that share a quota, and how long this proxy has been without
// a leader.
type Sharing struct {
	Proxies int
	Alone   time.Duration
}

// Charge grants a request from this proxy's share of the quota. A single request often costs more
// than the share yields in many seconds. For a tenant that was far from its limit at the last
// answer of the control group it is granted unless the share is negative, so that one request may
// be granted in advance. Otherwise it is granted at random with the probability left/cost, which
// keeps the sum over all proxies close to the quota.
func (a *LocalShare) Charge(now time.Duration, tenant string, limit api.Quota, cost float64, sharing Sharing) Grant {
	a.lock.Lock()
	defer a.lock.Unlock()
	share := a.share(tenant)
	sharers := float64(max(sharing.Proxies, 1))
	rate := limit.PerSecond / sharers
	share.fill(now, rate, aloneOverrunShare*a.rule.Overrun(limit)/sharers, sharing.Alone)
	granted := share.ample && share.left >= 0 || share.left > 0 && a.random()*cost < share.left
	if !granted {
		return Grant{Wait: min(refillTime(cost-share.left, rate), standbyRetryAfter), Left: max(share.left, 0)}
	}
	share.left -= cost
	return Grant{Granted: true, Left: max(share.left, 0)}
}

// Refund refunds a charge granted here for a request that no replica has run.
func (a *LocalShare) Refund(tenant string, cost float64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if share := a.tenants[tenant]; share != nil {
		share.left += cost
	}
}

// aloneOverrunShare is the part of the overrun that all proxies together may spend at once when
// they are cut off. It is not part of the sum in the package's invariant: cut-off proxies keep
// close to the quota, but do not guarantee it.
const aloneOverrunShare = 0.5

// fill adds what the share of the rate has yielded since the last update. withoutLeader is for how
// long there has been no leader. In the time before, a leader granted the rate itself, so the share
// grows to no more than maxSaved in that time.
func (s *localShare) fill(now time.Duration, rate, maxSaved float64, withoutLeader time.Duration) {
	elapsed := max(now-s.updatedAt, 0)
	if withoutLeader < elapsed {
		s.left = min(s.left+rate*(elapsed-withoutLeader).Seconds(), maxSaved)
		elapsed = withoutLeader
	}
	s.left += rate * elapsed.Seconds()
	s.updatedAt = max(s.updatedAt, now)
}

// share returns the share of a tenant. A new one is filled as if it had existed since time 0.
func (a *LocalShare) share(tenant string) *localShare {
	share := a.tenants[tenant]
	if share == nil {
		share = &localShare{}
		a.tenants[tenant] = share
	}
	return share
}
