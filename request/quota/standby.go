package quota

import (
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// standbyOverrunShare is the part of the overrun that each member may grant as a Standby. What
// accounts leave of the overrun is enough for two. All proxies that lost their leader and reach the
// same members charge the same one, so that three grant at the same time only if a network
// partition divides the control group into three.
const standbyOverrunShare = 0.3

// Standby grants charges at a member that is not the leader, for proxies that reach no leader. A
// leader may be granting the whole quota at the same time, so a Standby grants from a part of the
// overrun only. It is safe for concurrent use.
type Standby struct {
	rule    Rule
	lock    sync.Mutex
	tenants map[string]*spending
}

// NewStandby returns a Standby with nothing spent.
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

// Forget drops what was spent for a tenant.
func (s *Standby) Forget(tenant string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.tenants, tenant)
}

// standbyRetryAfter is how long a caller that was refused without a leader should wait before a
// retry. A new leader is normally elected by then.
const standbyRetryAfter = time.Second
