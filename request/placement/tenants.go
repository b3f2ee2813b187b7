package placement

import (
	"math"
	"time"
)

// If requests were read by arrival only, a tenant whose demand rises far above its usual level
// would cause an overload in which all tenants are late alike, the more so the higher its demand.
// The demand of a tenant above surgeFactor times its baseline is therefore deferred. It gets the
// capacity that other requests leave, which is all that it needs if no other request waits. Each
// tenant is compared with its own baseline only, so neither large nor small tenants are at a
// disadvantage.
const (
	// recentTimeConstant and baselineTimeConstant are the time constants with which tokens
	// decay in a tenant's recent demand and in its baseline.
	recentTimeConstant   = 2 * time.Second
	baselineTimeConstant = 30 * time.Second
	// surgeFactor is the multiple of its baseline up to which the demand of a tenant is not
	// deferred. Variations in load that all tenants share stay below it. Demand above it does
	// not raise the baseline, so the baseline of a tenant whose demand grows permanently
	// doubles about every ten seconds.
	surgeFactor = 3
	// tenantWarmup is how long a tenant must be known before its demand is compared with its
	// baseline.
	tenantWarmup = 10 * time.Second
	// minSurgeRequests is the decayed count of recent requests below which a tenant's demand is
	// never a surge: with few requests, random clusters of arrivals look like one.
	minSurgeRequests = 20
	// maxTenants limits the number of tracked tenants; requests of further tenants are never
	// deferred for a surge.
	maxTenants = 1 << 14
)

// tenantDemand is the demand of one tenant, in prompt tokens.
type tenantDemand struct {
	firstSeen time.Duration
	requests  recentCount
	recent    recentCount
	baseline  recentCount
	// credit grows by the allowed share (0 to 1) with each request. At 1 the request is not
	// deferred and uses up the credit. So that share of the requests is not deferred.
	credit float64
}

// tenants holds the demand of each tenant by name.
type tenants map[string]*tenantDemand

// recordRequest counts a request, and reports whether it is part of a surge of its tenant and so
// has to be deferred.
func (t tenants) recordRequest(now time.Duration, request *Request) (exceeds bool) {
	demand := t.demandOf(now, request.Tenant)
	if demand == nil {
		return false
	}
	weight := float64(request.PromptTokens)
	demand.requests.add(now)
	demand.recent.addWeight(now, weight)
	allowed := demand.allowed(now)
	demand.baseline.addWeight(now, allowed*weight)
	demand.credit = min(demand.credit+allowed, 1)
	if demand.credit < 1 {
		return true
	}
	demand.credit--
	return false
}

// demandOf returns the demand of a tenant; nil if it is not tracked.
func (t tenants) demandOf(now time.Duration, tenant string) *tenantDemand {
	if tenant == "" {
		return nil
	}
	if demand := t[tenant]; demand != nil {
		return demand
	}
	t.evictIdle(now)
	if len(t) >= maxTenants {
		return nil
	}
	demand := &tenantDemand{
		firstSeen: now,
		requests:  recentCount{timeConstant: recentTimeConstant},
		recent:    recentCount{timeConstant: recentTimeConstant},
		baseline:  recentCount{timeConstant: baselineTimeConstant},
	}
	t[tenant] = demand
	return demand
}

// evictIdle removes tenants without recent requests if the limit is reached.
func (t tenants) evictIdle(now time.Duration) {
	if len(t) < maxTenants {
		return
	}
	for name, demand := range t {
		if now-demand.baseline.at > baselineTimeConstant {
			delete(t, name)
		}
	}
}

// allowed returns the share of the tenant's recent demand that is not a surge, 0 to 1.
func (d *tenantDemand) allowed(now time.Duration) float64 {
	if now-d.firstSeen < tenantWarmup || d.requests.value(now) < minSurgeRequests {
		return 1
	}
	recent := d.recent.value(now) / recentTimeConstant.Seconds()
	// With steady demand, the decayed count grows from zero towards its limit, the rate of demand
	// times the time constant. Dividing by steadyCount therefore yields the rate even for a tenant
	// that has not been known for long.
	steadyCount := baselineTimeConstant.Seconds() * (1 - math.Exp(-float64(now-d.firstSeen)/float64(baselineTimeConstant)))
	return min(surgeFactor*d.baseline.value(now)/steadyCount/recent, 1)
}
