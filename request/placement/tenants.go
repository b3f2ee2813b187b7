package placement

import (
	"math"
	"time"
)

// In an overload a tenant that asks for far more than it usually does would have the others
// pay for it: all requests are late alike, the more so the more it asks. What it asks above
// a few times its usual is therefore deferred, and gets whatever is left: where nothing
// waits, all that it asks. Large and small tenants are held against themselves alone, so
// none is behind for its size.
const (
	// surgeMemory and usualMemory are the times after which a token counts a third in what
	// a tenant asks now, and in what it usually does.
	surgeMemory = 2 * time.Second
	usualMemory = 30 * time.Second
	// surgeFactor is how many times its usual a tenant may ask for: waves of a mix that
	// every tenant has stay below it. What is above counts for its usual only up to that,
	// so a tenant that grows for good doubles its usual each ten seconds.
	surgeFactor = 3
	// settledTenant is how long a tenant must be known: before, nothing is its usual.
	settledTenant = 10 * time.Second
	// surgeRequests is how many of its requests must have come of late: the chance gaps of
	// a tenant with few are no surge.
	surgeRequests = 20
	// maxTenants bounds the tenants that are known; more of them are held against nothing.
	maxTenants = 1 << 14
)

// tenantDemand is what one tenant asks for, in tokens of prompts.
type tenantDemand struct {
	since    time.Duration
	requests recentCount
	recent   recentCount
	usual    recentCount
	// credit is what is left of requests that may go first; each brings a part of one.
	credit float64
}

// tenants knows the demand of each.
type tenants map[string]*tenantDemand

// ask counts a request, and reports whether it is above what its tenant may ask for.
func (t tenants) ask(now time.Duration, ask *Ask) (above bool) {
	known := t.demandOf(now, ask.Tenant)
	if known == nil {
		return false
	}
	weight := float64(ask.Prompt)
	known.requests.add(now)
	known.recent.addWeight(now, weight)
	allowed := known.allowed(now)
	known.usual.addWeight(now, allowed*weight)
	known.credit = min(known.credit+allowed, 1)
	if known.credit < 1 {
		return true
	}
	known.credit--
	return false
}

// demandOf returns what is known of a tenant, nil for one that is not told apart.
func (t tenants) demandOf(now time.Duration, tenant string) *tenantDemand {
	if tenant == "" {
		return nil
	}
	if known := t[tenant]; known != nil {
		return known
	}
	t.makeRoom(now)
	if len(t) >= maxTenants {
		return nil
	}
	made := &tenantDemand{
		since:    now,
		requests: recentCount{memory: surgeMemory},
		recent:   recentCount{memory: surgeMemory},
		usual:    recentCount{memory: usualMemory},
	}
	t[tenant] = made
	return made
}

// makeRoom drops tenants that have asked for nothing in a long time.
func (t tenants) makeRoom(now time.Duration) {
	if len(t) < maxTenants {
		return
	}
	for name, known := range t {
		if now-known.usual.at > usualMemory {
			delete(t, name)
		}
	}
}

// allowed is the share of what a tenant asks now that is no surge.
func (d *tenantDemand) allowed(now time.Duration) float64 {
	if now-d.since < settledTenant || d.requests.value(now) < surgeRequests {
		return 1
	}
	recent := d.recent.value(now) / surgeMemory.Seconds()
	// What a count holds of a steady demand grows up to its memory's worth.
	held := usualMemory.Seconds() * (1 - math.Exp(-float64(now-d.since)/float64(usualMemory)))
	return min(surgeFactor*d.usual.value(now)/held/recent, 1)
}
