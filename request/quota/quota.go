// Package quota bounds the work that each tenant may have run, by all proxies together.
//
// Whoever leads the control group keeps one Account for all tenants and charges each
// request to it before the request goes anywhere, so that a tenant may spend its whole quota
// through any one proxy. A proxy that no leader answers charges a Reserve of its own: its
// part of what may be run beyond the quota, and of the quota's rate.
//
// Invariant: in any window accounts, one after the other, grant no more than the rate brings
// in it, the burst and stretchShare of Rule.Overrun, and one request more where that is smaller
// than the request; and each Standby no more than standbyShare of it. So no window holds more
// than the rule allows while no more than two members stand by at once. Everything here is in
// virtual time and does no input or output.
package quota

import (
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

// Rule says by which windows a quota is judged and how far it may be overrun.
type Rule struct {
	// Window is the length of the windows; 0: quotas are not kept.
	Window time.Duration
	// Overshoot is the part of what a window allows by which it may be overrun, Slack what
	// may be run on top of that, in the quota's unit.
	Overshoot float64
	Slack     float64
}

// Overrun is how much more than the quota may be run in a window.
func (r Rule) Overrun(limit api.Quota) float64 {
	return r.Overshoot*(limit.PerSecond*r.Window.Seconds()+limit.Burst) + r.Slack
}

// stretched is the quota as an account grants it: with a part of the overrun in its burst.
// Requests do not come as evenly as a quota is reckoned; what is refused for that alone was
// inside the quota.
func (r Rule) stretched(limit api.Quota) api.Quota {
	limit.Burst += stretchShare * r.Overrun(limit)
	return limit
}

// stretchShare is the part of the overrun that accounts may grant.
const stretchShare = 0.4

// Grant answers a charge.
type Grant struct {
	// Granted is true where the request may run.
	Granted bool
	// Wait is when a request of the same cost would be granted if nothing else came before;
	// 0 where this one was.
	Wait time.Duration
	// Left is what the tenant may spend at once after this charge.
	Left float64
}

// IsAmple reports whether the tenant uses so little of its quota that what it may spend at
// once is hardly touched.
func (g Grant) IsAmple(limit api.Quota) bool { return g.Granted && g.Left >= ampleShare*limit.Burst }

// ampleShare is the part of a burst that a tenant has left which is far from its limit.
const ampleShare = 0.5

// waitFor is how long a rate takes for so much.
func waitFor(missing, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return longestWait
	}
	return min(time.Duration(missing/perSecond*float64(time.Second)), longestWait)
}

// longestWait bounds what a caller is told to wait.
const longestWait = time.Minute
