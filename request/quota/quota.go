// Package quota limits the work that each tenant may run through all proxies together.
//
// The control group is the set of servers, its members, that elect a leader among them. The leader
// keeps one Account for all tenants and charges each request to it before the request is sent
// anywhere, so that a tenant may spend its whole quota through any single proxy. A proxy that
// reaches no leader charges a Standby at another member or, if it reaches none, its own LocalShare,
// which grants a share of the rate and of the overrun.
//
// Terms: the allowance of a window of length Rule.Window is the rate times its length plus the
// burst, and the overrun is what may be run in it beyond the allowance (Rule.Overrun). Costs and
// amounts are in the unit of the quota (api.Quota.Unit). Times are durations since an origin that
// the caller chooses. The package does no I/O.
//
// Invariant: in any window, successive accounts together grant at most the allowance plus
// accountOverrunShare of the overrun, and beyond that a single request if it costs more than the
// burst and that part of the overrun together. Each Standby grants at most standbyOverrunShare of
// the overrun. As 0.4 + 2*0.3 = 1, no window exceeds what the rule allows while at most two members
// grant as a Standby at the same time.
package quota

import (
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// Rule says over which window a quota is enforced and by how much it may be exceeded.
type Rule struct {
	// Window is the length of the window; 0 disables quotas, and then the caller charges nothing.
	Window time.Duration
	// Overshoot is the fraction of a window's allowance by which it may be exceeded.
	Overshoot float64
	// Slack is an amount, in the quota's unit, by which it may be exceeded in addition.
	Slack float64
}

// Overrun returns how much may be run in a window beyond the quota.
func (r Rule) Overrun(limit api.Quota) float64 {
	return r.Overshoot*(limit.PerSecond*r.Window.Seconds()+limit.Burst) + r.Slack
}

// withOverrun returns the quota that an account grants: the burst includes a part of the overrun.
// Otherwise a tenant within its quota would be refused because its requests arrive unevenly.
func (r Rule) withOverrun(limit api.Quota) api.Quota {
	limit.Burst += accountOverrunShare * r.Overrun(limit)
	return limit
}

// accountOverrunShare is the part of the overrun that accounts may grant.
const accountOverrunShare = 0.4

// Grant is the answer to a charge.
type Grant struct {
	// Granted is true if the request may run.
	Granted bool
	// Wait is how long until a request of the same cost would be granted if no other is charged
	// before, at most maxWait; 0 if this one was granted. Without a leader it is at most
	// standbyRetryAfter.
	Wait time.Duration
	// Left is what remains for the tenant to spend at once after this charge. An Account may return
	// a negative amount, after a request that cost more than the balance.
	Left float64
}

// IsAmple reports whether the charge was granted and left the tenant at least ampleShare of its
// burst.
func (g Grant) IsAmple(limit api.Quota) bool { return g.Granted && g.Left >= ampleShare*limit.Burst }

// ampleShare is the fraction of the burst from which a tenant counts as far from its limit.
const ampleShare = 0.5

// refillTime returns how long the rate takes to yield the missing amount, at most maxWait.
func refillTime(missing, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxWait
	}
	return min(time.Duration(missing/perSecond*float64(time.Second)), maxWait)
}

// maxWait bounds the wait that is reported to a caller.
const maxWait = time.Minute
