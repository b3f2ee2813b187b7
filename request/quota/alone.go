package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// Alone is what a proxy keeps of the tenants' quotas for when nobody answers its charges: no
// leader, no member that stands by, no other proxy that passes them on. Then no proxy is
// likely to get anything granted, and each may spend its part of the rate. It is safe for
// concurrent use.
type Alone struct {
	rule    Rule
	draw    func() float64 // from 0 to 1
	lock    sync.Mutex
	tenants map[string]*part
}

// part is what a proxy may spend of one tenant's quota by itself.
type part struct {
	left float64
	at   time.Duration // up to when left is counted
	// ample is true where the tenant was far from its limit when it was last granted something.
	ample bool
}

// NewAlone returns the reserve of a proxy that has heard of no tenant yet.
func NewAlone(rule Rule) *Alone {
	return &Alone{rule: rule, draw: rand.Float64, tenants: map[string]*part{}}
}

// Heard notes what the group answered to a charge of the tenant.
func (a *Alone) Heard(tenant string, limit api.Quota, grant Grant) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.part(tenant).ample = grant.IsAmple(limit)
}

// Sharing says among how many proxies a quota is divided, and for how long this one has been
// without a leader.
type Sharing struct {
	Proxies int
	Alone   time.Duration
}

// Charge grants a request by this proxy's part of the quota. One request is often more than
// the part of many seconds: of a tenant that was far from its limit it is granted in advance;
// else it is drawn by lot, so that the sum over all proxies stays near the quota.
func (a *Alone) Charge(now time.Duration, tenant string, limit api.Quota, cost float64, sharing Sharing) Grant {
	a.lock.Lock()
	defer a.lock.Unlock()
	known := a.part(tenant)
	sharers := float64(max(sharing.Proxies, 1))
	rate := limit.PerSecond / sharers
	known.fill(now, rate, aloneShare*a.rule.Overrun(limit)/sharers, sharing.Alone)
	granted := known.ample && known.left >= 0 || known.left > 0 && a.draw()*cost < known.left
	if !granted {
		return Grant{Wait: min(waitFor(cost-known.left, rate), standbyWait), Left: max(known.left, 0)}
	}
	known.left -= cost
	return Grant{Granted: true, Left: max(known.left, 0)}
}

// Return gives back what was charged here for a request that no replica has run.
func (a *Alone) Return(tenant string, cost float64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if known := a.tenants[tenant]; known != nil {
		known.left += cost
	}
}

// aloneShare is the part of the overrun that proxies may spend at once when they are left
// alone.
const aloneShare = 0.5

// fill adds what the part of the rate has brought since the last look. Of the time with a
// leader, which grants the rate itself, no more is saved up than so much.
func (p *part) fill(now time.Duration, rate, saved float64, alone time.Duration) {
	elapsed := max(now-p.at, 0)
	if alone < elapsed {
		p.left = min(p.left+rate*(elapsed-alone).Seconds(), saved)
		elapsed = alone
	}
	p.left += rate * elapsed.Seconds()
	p.at = max(p.at, now)
}

// part returns what is kept of a tenant, whose part has been saved up from the beginning.
func (a *Alone) part(tenant string) *part {
	known := a.tenants[tenant]
	if known == nil {
		known = &part{}
		a.tenants[tenant] = known
	}
	return known
}
