package placement

import (
	"math"
	"time"
)

// In an overload, a tenant that asks for far more than it usually does would delay all other
// tenants as much as itself, the more so the more it asks. Its demand above a few times its
// baseline is therefore deferred and gets the remaining capacity; if nothing waits, that is all
// that it asks for. Each tenant is compared with its own baseline only, so neither large nor
// small tenants are at a disadvantage.
const (
	// recentTimeConstant and baselineTimeConstant are the time constants with which tokens
	// decay in a tenant's recent demand and in its baseline.
	recentTimeConstant   = 2 * time.Second
	baselineTimeConstant = 30 * time.Second
	// surgeFactor is the multiple of its baseline that a tenant may ask for. Waves that all
	// tenants share stay below it. Demand counts towards the baseline only up to it, so the
	// baseline of a tenant that grows permanently doubles about every ten seconds.
	surgeFactor = 3
	// tenantWarmup is how long a tenant must be known before it has a baseline.
	tenantWarmup = 10 * time.Second
	// minSurgeRequests is the number of recent requests below which there is no surge: with
	// few requests, their random spacing looks like one.
	minSurgeRequests = 20
	// maxTenants limits the number of tracked tenants; tenants beyond it are not limited.
	maxTenants = 1 << 14
)

// tenantDemand is the demand of one tenant, in prompt tokens.
type tenantDemand struct {
	firstSeen time.Duration
	requests  recentCount
	recent    recentCount
	baseline  recentCount
	// credit accumulates the allowed share of each request; a whole unit lets one request go
	// without being deferred.
	credit float64
}

// tenants holds the demand of each tenant by name.
type tenants map[string]*tenantDemand

// recordRequest counts a request, and reports whether it exceeds what its tenant may ask for.
func (t tenants) recordRequest(now time.Duration, request *Ask) (exceeds bool) {
	demand := t.demandOf(now, request.Tenant)
	if demand == nil {
		return false
	}
	weight := float64(request.Prompt)
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

// allowed returns the share of the tenant's recent demand that is not a surge.
func (d *tenantDemand) allowed(now time.Duration) float64 {
	if now-d.firstSeen < tenantWarmup || d.requests.value(now) < minSurgeRequests {
		return 1
	}
	recent := d.recent.value(now) / recentTimeConstant.Seconds()
	// The count of a steady demand grows from zero towards its rate times the time constant.
	steadyCount := baselineTimeConstant.Seconds() * (1 - math.Exp(-float64(now-d.firstSeen)/float64(baselineTimeConstant)))
	return min(surgeFactor*d.baseline.value(now)/steadyCount/recent, 1)
}
