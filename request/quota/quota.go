// Package quota limits the work that each tenant may run through all proxies together.
//
// The leader of the control group keeps one Account for all tenants and charges each request to it
// before the request is sent anywhere, so that a tenant may spend its whole quota through any
// single proxy. A proxy that reaches no leader charges a Standby at another member or, if it
// reaches none, its own Alone: a share of the rate and of the overrun beyond the quota.
//
// Invariant: in any window, successive accounts together grant no more than the rate yields in it,
// the burst and accountOverrunShare of Rule.Overrun, plus a single request if it costs more than
// the latter two. Each Standby grants no more than standbyOverrunShare of the overrun. So no
// window exceeds what the rule allows while at most two members stand by at once. All times in
// this package are passed in by the caller, and it does no I/O.
package quota

import (
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// Rule says over which window a quota is enforced and by how much it may be exceeded.
type Rule struct {
	// Window is the length of the window; 0 disables quotas.
	Window time.Duration
	// Overshoot is the fraction of a window's allowance by which it may be exceeded. Slack may be
	// run in addition, in the quota's unit.
	Overshoot float64
	Slack     float64
}

// Overrun returns how much may be run in a window beyond the quota.
func (r Rule) Overrun(limit api.Quota) float64 {
	return r.Overshoot*(limit.PerSecond*r.Window.Seconds()+limit.Burst) + r.Slack
}

// withOverrun returns the quota that an account grants: the burst includes a part of the overrun.
// Requests arrive less evenly than a rate assumes, and refusing them for that alone would refuse
// work within the quota.
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
	// Wait is when a request of the same cost would be granted if no other is charged before; 0 if
	// this one was granted.
	Wait time.Duration
	// Left is what the tenant may spend immediately after this charge.
	Left float64
}

// IsAmple reports whether the charge was granted and left the tenant at least ampleShare of its
// burst.
func (g Grant) IsAmple(limit api.Quota) bool { return g.Granted && g.Left >= ampleShare*limit.Burst }

// ampleShare is the fraction of the burst that a tenant far from its limit has left.
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
