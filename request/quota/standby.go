package quota

import (
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// standbyShare is a member's part of the overrun: proxies that lost their leader ask the same
// member, so that more than two grant at once only where the members are cut in three. What
// accounts leave of the overrun is enough for two.
const standbyShare = 0.3

// Standby grants charges at a member that does not lead, for proxies that reach no leader. A
// leader may grant the whole quota meanwhile, so it has a part of the overrun alone. It is
// safe for concurrent use.
type Standby struct {
	rule    Rule
	lock    sync.Mutex
	tenants map[string]*spending
}

// NewStandby returns the reserve of a member, of which nothing is spent.
func NewStandby(rule Rule) *Standby { return &Standby{rule: rule, tenants: map[string]*spending{}} }

// Charge grants the request where the tenant's part of the reserve covers it.
func (s *Standby) Charge(now time.Duration, tenant string, limit api.Quota, cost float64) Grant {
	s.lock.Lock()
	defer s.lock.Unlock()
	known := s.tenants[tenant]
	if known == nil {
		known = &spending{}
		s.tenants[tenant] = known
	}
	left := standbyShare*s.rule.Overrun(limit) - known.within(now, s.rule.Window)
	if left < cost {
		return Grant{Wait: standbyWait, Left: max(left, 0)}
	}
	known.add(now, s.rule.Window, cost)
	return Grant{Granted: true, Left: left - cost}
}

// standbyWait is when a caller that was refused without a leader may come back: a new one is
// elected by then.
const standbyWait = time.Second
