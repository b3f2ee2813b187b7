package planner

import (
	"fmt"
	"math"

	"github.com/landingtrail/landingtrail/version/api"
)

// A capacity plan sets how many replicas of a service a zone should have, and of which
// kind. A lasting replica (on-demand) runs until it is released. A withdrawable one
// (spot, preemptible) costs a fraction of that, but the platform may withdraw all of
// those of a zone at once. The found replicas are those that ran when the control group
// began to plan the service's capacity; their number is taken to be enough.
//
// Each zone has a base of lasting replicas. The others are withdrawable and are spread
// evenly over the zones. There are so many of them that the found number of replicas
// remains after any one zone has lost all of its withdrawable ones.
const (
	// baseLastingShare is the share of a zone's found replicas that is always lasting. Only
	// these remain if no withdrawable replicas are available, and they serve until more
	// have started. replicaMix raises the share in steps of the same size if the zones
	// would otherwise exceed their maximum.
	baseLastingShare = 0.1
	// shortageShare is the ratio of ready to found replicas below which lasting replicas
	// are requested to replace withdrawn ones that do not return.
	shortageShare = 0.85
)

// ZoneCapacity is the planned and the ready capacity of a service in one zone.
type ZoneCapacity struct {
	Zone string
	// Wanted is the previous plan, with the number of replicas found in the zone.
	Wanted api.CapacitySpec
	// Lasting and Withdrawable count the replicas that are ready for requests.
	Lasting      int
	Withdrawable int
}

// PlanCapacity returns the capacity that each zone should have, in the order of the zones.
// It reduces the lasting replicas below the found number only once withdrawable ones are
// ready in their place. If withdrawable ones would not lower the cost or are not possible,
// it requests the found number of lasting replicas and no others.
//
// Invariant: the planned lasting replicas together with the withdrawable ones that are
// ready now are at least as many as were found, even after any one zone has lost all of
// its withdrawable ones, or the plan requests in total no fewer lasting replicas than the
// previous one.
func PlanCapacity(scaling *api.ScalingSheet, zones []ZoneCapacity) []api.CapacitySpec {
	found := 0
	for i := range zones {
		found += zones[i].Wanted.Found
	}
	base, withdrawable, saves := replicaMix(scaling, zones, found)
	plans := make([]api.CapacitySpec, len(zones))
	if !saves {
		for i := range zones {
			plans[i] = zones[i].Wanted
			plans[i].Lasting, plans[i].Withdrawable, plans[i].Reason = zones[i].Wanted.Found, 0, "as found"
		}
		return plans
	}
	needed := requiredLasting(zones, found)
	for i := range zones {
		plans[i] = planZone(scaling, &zones[i], base[i], withdrawable, proportionalShare(needed, zones[i].Wanted.Found, found))
	}
	return keepRequiredLasting(scaling, zones, plans, needed)
}

// keepRequiredLasting keeps the lasting replicas of the previous plan where the new plans
// would leave fewer than needed in total. This happens where the lasting replicas are
// distributed over the zones differently from the found ones.
func keepRequiredLasting(scaling *api.ScalingSheet, zones []ZoneCapacity, plans []api.CapacitySpec, needed int) []api.CapacitySpec {
	before, after := 0, 0
	for i := range plans {
		before += zones[i].Wanted.Lasting
		after += plans[i].Lasting
	}
	if after >= min(needed, before) {
		return plans
	}
	for i := range plans {
		plans[i].Lasting = max(plans[i].Lasting, zones[i].Wanted.Lasting)
		plans[i].Withdrawable = min(plans[i].Withdrawable, max(scaling.Max-plans[i].Lasting, 0))
	}
	return plans
}

// replicaMix returns the base of lasting replicas of each zone and the number of
// withdrawable ones that each zone should have. It raises the base until both fit into
// the maximum of a zone. The number of withdrawable ones is rounded up so that all zones
// but one still have the found number together with the base. saves is false if the mix
// would not cost less than lasting replicas alone, if withdrawable ones have no price,
// if there is only one zone, or if no mix fits.
func replicaMix(scaling *api.ScalingSheet, zones []ZoneCapacity, found int) (base []int, withdrawable int, saves bool) {
	if scaling.WithdrawablePrice <= 0 || len(zones) < 2 || found == 0 {
		return nil, 0, false
	}
	for share := baseLastingShare; share < 1; share += baseLastingShare {
		base = base[:0]
		lasting, largest := 0, 0
		for i := range zones {
			zoneBase := max(int(math.Ceil(share*float64(zones[i].Wanted.Found))), scaling.Min, 1)
			base = append(base, zoneBase)
			lasting += zoneBase
			largest = max(largest, zoneBase)
		}
		withdrawable = max((found-lasting+len(zones)-2)/(len(zones)-1), 0)
		if largest+withdrawable <= scaling.Max {
			cost := float64(lasting) + scaling.WithdrawablePrice*float64(withdrawable*len(zones))
			return base, withdrawable, cost < float64(found)
		}
	}
	return nil, 0, false
}

// requiredLasting returns how many lasting replicas are needed in addition to the ready
// withdrawable ones, so that the found number remains after any one zone has lost all of
// its withdrawable ones.
func requiredLasting(zones []ZoneCapacity, found int) int {
	ready, largest := 0, 0
	for i := range zones {
		ready += zones[i].Withdrawable
		largest = max(largest, zones[i].Withdrawable)
	}
	return max(found-(ready-largest), 0)
}

// proportionalShare returns a zone's share of a total, in proportion to the replicas found
// there, rounded up. found must not be 0.
func proportionalShare(total, zoneFound, found int) int { return (total*zoneFound + found - 1) / found }

// planZone plans one zone: all its withdrawable replicas at once, and lasting ones beyond
// the base only as long as the withdrawable ones are not ready.
func planZone(scaling *api.ScalingSheet, zone *ZoneCapacity, base, withdrawable, needed int) api.CapacitySpec {
	next := zone.Wanted
	next.Withdrawable = withdrawable
	next.Lasting = max(base, min(needed, zone.Wanted.Lasting))
	next.Reason = fmt.Sprintf("base %d, any zone's %d may go", base, withdrawable)
	if next.Lasting > base {
		next.Reason += fmt.Sprintf(", %d until those are ready", next.Lasting)
	}
	next.Withdrawable = min(next.Withdrawable, max(scaling.Max-next.Lasting, 0))
	return next
}

// HasShortage reports whether fewer than shortageShare of the found replicas are ready in all
// zones together, so that lasting ones have to replace the missing withdrawable ones.
func HasShortage(zones []ZoneCapacity) bool {
	found, ready := 0, 0
	for i := range zones {
		found += zones[i].Wanted.Found
		ready += zones[i].Lasting + zones[i].Withdrawable
	}
	return float64(ready) < shortageShare*float64(found)
}

// ReplaceMissing adds lasting replicas to the plans in place of the missing withdrawable ones and
// returns them. It modifies plans, which must be in the order of the zones. At least one
// replica must have been found.
func ReplaceMissing(scaling *api.ScalingSheet, zones []ZoneCapacity, plans []api.CapacitySpec) []api.CapacitySpec {
	found, ready := 0, 0
	for i := range zones {
		found += zones[i].Wanted.Found
		ready += zones[i].Withdrawable
	}
	for i := range plans {
		wanted := proportionalShare(max(found-ready, 0), plans[i].Found, found)
		if wanted > plans[i].Lasting {
			plans[i].Lasting = min(wanted, scaling.Max-zones[i].Withdrawable)
			plans[i].Withdrawable = min(plans[i].Withdrawable, scaling.Max-plans[i].Lasting)
			plans[i].Reason = "stands in for withdrawn ones"
		}
	}
	return plans
}
