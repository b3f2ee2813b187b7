package planner

import (
	"fmt"
	"math"

	"github.com/landingtrail/landingtrail/version/api"
)

// How many replicas of a service each zone is to have, and of which kind. Those that may be
// withdrawn cost a part of those that last, and go all at once in a zone. So most are of the
// cheaper kind, spread evenly over the zones, and so many that the loss of any one zone's
// leaves what was found to be enough; a base in each zone lasts.
const (
	// lastingShare is the part of a zone's found replicas that lasts in any case: what is
	// left where the cheaper kind is nowhere to be had, and serves until more has started.
	lastingShare = 0.1
	// shortShare is the part of what was found below which lasting replicas are ordered
	// for those that are withdrawn and do not come back.
	shortShare = 0.85
)

// ZoneCapacity is what a zone has of a service.
type ZoneCapacity struct {
	Zone string
	// Wanted is what was decided last, Found in it what there was at first.
	Wanted api.CapacitySpec
	// Lasting and Withdrawable replicas take requests now.
	Lasting      int
	Withdrawable int
}

// PlanCapacity returns what each zone is to have, in the order of the zones. It never asks
// for less than the found replicas as long as they are not there in the cheaper kind, and
// stands still where that kind would bring nothing.
//
// Invariant: with the replicas that are ready when it is made, a plan leaves as many as were
// found after the loss of any one zone's withdrawable ones, or asks for no fewer lasting ones
// than the plan before it.
func PlanCapacity(sheet *api.ScalingSheet, zones []ZoneCapacity) []api.CapacitySpec {
	found := 0
	for i := range zones {
		found += zones[i].Wanted.Found
	}
	base, cheap, pays := portfolio(sheet, zones, found)
	plans := make([]api.CapacitySpec, len(zones))
	if !pays {
		for i := range zones {
			plans[i] = zones[i].Wanted
			plans[i].Lasting, plans[i].Withdrawable, plans[i].Reason = zones[i].Wanted.Found, 0, "as found"
		}
		return plans
	}
	needed := lastingNeeded(zones, found)
	for i := range zones {
		plans[i] = planZone(sheet, &zones[i], base[i], cheap, partOf(needed, zones[i].Wanted.Found, found))
	}
	return keepEnough(sheet, zones, plans, needed)
}

// keepEnough gives no lasting replica up where that would leave fewer than are needed: zones
// may hold other parts of them than of what was found.
func keepEnough(sheet *api.ScalingSheet, zones []ZoneCapacity, plans []api.CapacitySpec, needed int) []api.CapacitySpec {
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
		plans[i].Withdrawable = min(plans[i].Withdrawable, max(sheet.Max-plans[i].Lasting, 0))
	}
	return plans
}

// portfolio returns the base of lasting replicas of each zone and how many withdrawable
// ones each is to have; pays is false where they would not cost less.
func portfolio(sheet *api.ScalingSheet, zones []ZoneCapacity, found int) (base []int, cheap int, pays bool) {
	if sheet.WithdrawablePrice <= 0 || len(zones) < 2 || found == 0 {
		return nil, 0, false
	}
	for part := lastingShare; part < 1; part += lastingShare {
		base = base[:0]
		lasting, largest := 0, 0
		for i := range zones {
			kept := max(int(math.Ceil(part*float64(zones[i].Wanted.Found))), sheet.Min, 1)
			base = append(base, kept)
			lasting += kept
			largest = max(largest, kept)
		}
		cheap = max((found-lasting+len(zones)-2)/(len(zones)-1), 0)
		if largest+cheap <= sheet.Max {
			cost := float64(lasting) + sheet.WithdrawablePrice*float64(cheap*len(zones))
			return base, cheap, cost < float64(found)
		}
	}
	return nil, 0, false
}

// lastingNeeded is how many lasting replicas there have to be beside the withdrawable ones
// that are ready, of which any one zone's may go.
func lastingNeeded(zones []ZoneCapacity, found int) int {
	ready, largest := 0, 0
	for i := range zones {
		ready += zones[i].Withdrawable
		largest = max(largest, zones[i].Withdrawable)
	}
	return max(found-(ready-largest), 0)
}

// partOf is a zone's part of a number by what was found there, rounded up.
func partOf(of, own, all int) int { return (of*own + all - 1) / all }

// planZone decides for one zone: the cheaper kind first, and of the lasting kind no more
// than is needed until that is there.
func planZone(sheet *api.ScalingSheet, zone *ZoneCapacity, base, cheap, needed int) api.CapacitySpec {
	next := zone.Wanted
	next.Withdrawable = cheap
	next.Lasting = max(base, min(needed, zone.Wanted.Lasting))
	next.Reason = fmt.Sprintf("base %d, any zone's %d may go", base, cheap)
	if next.Lasting > base {
		next.Reason += fmt.Sprintf(", %d until those are ready", next.Lasting)
	}
	next.Withdrawable = min(next.Withdrawable, max(sheet.Max-next.Lasting, 0))
	return next
}

// IsShort reports whether so few replicas are left that lasting ones have to stand in for
// withdrawable ones.
func IsShort(zones []ZoneCapacity) bool {
	found, ready := 0, 0
	for i := range zones {
		found += zones[i].Wanted.Found
		ready += zones[i].Lasting + zones[i].Withdrawable
	}
	return float64(ready) < shortShare*float64(found)
}

// StandIn returns plans in which lasting replicas stand in for those that are missing.
func StandIn(sheet *api.ScalingSheet, zones []ZoneCapacity, plans []api.CapacitySpec) []api.CapacitySpec {
	found, ready := 0, 0
	for i := range zones {
		found += zones[i].Wanted.Found
		ready += zones[i].Withdrawable
	}
	for i := range plans {
		wanted := partOf(max(found-ready, 0), plans[i].Found, found)
		if wanted > plans[i].Lasting {
			plans[i].Lasting = min(wanted, sheet.Max-zones[i].Withdrawable)
			plans[i].Withdrawable = min(plans[i].Withdrawable, sheet.Max-plans[i].Lasting)
			plans[i].Reason = "stands in for withdrawn ones"
		}
	}
	return plans
}
