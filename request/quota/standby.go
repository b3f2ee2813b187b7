package quota

import (
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// standbyOverrunShare is one member's part of the overrun. Proxies that lost their leader charge
// the same member, so that more than two members grant at once only if the group is split in
// three. What accounts leave of the overrun is enough for two.
const standbyOverrunShare = 0.3

// Standby grants charges at a member that is not the leader, for proxies that reach no leader. A
// leader may be granting the whole quota at the same time, so a Standby grants from a part of the
// overrun only. It is safe for concurrent use.
type Standby struct {
	rule    Rule
	lock    sync.Mutex
	tenants map[string]*spending
}

// NewStandby returns a Standby of which nothing is spent.
func NewStandby(rule Rule) *Standby { return &Standby{rule: rule, tenants: map[string]*spending{}} }

// Charge grants the request if the tenant's part of the overrun covers it.
func (s *Standby) Charge(now time.Duration, tenant string, limit api.Quota, cost float64) Grant {
	s.lock.Lock()
	defer s.lock.Unlock()
	spent := s.tenants[tenant]
	if spent == nil {
		spent = &spending{}
		s.tenants[tenant] = spent
	}
	left := standbyOverrunShare*s.rule.Overrun(limit) - spent.within(now, s.rule.Window)
	if left < cost {
		return Grant{Wait: standbyRetryAfter, Left: max(left, 0)}
	}
	spent.add(now, s.rule.Window, cost)
	return Grant{Granted: true, Left: left - cost}
}

// standbyRetryAfter is when a caller that was refused without a leader may retry. A new leader is
// elected by then.
const standbyRetryAfter = time.Second
