package planner

import (
	"testing"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func testScaling(maxReplicas int, price float64) *api.ScalingSheet {
	return &api.ScalingSheet{Min: 1, Max: maxReplicas, BootMillis: 4000, WithdrawablePrice: price}
}

// testZones returns zones in each of which the given number of replicas was found. Each
// pair in ready holds the numbers of lasting and of withdrawable replicas that are ready
// in a zone, which are also those of the previous plan.
func testZones(found int, ready ...[2]int) []ZoneCapacity {
	var zones []ZoneCapacity
	for i, counts := range ready {
		zones = append(zones, ZoneCapacity{
			Zone: string(rune('a' + i)), Lasting: counts[0], Withdrawable: counts[1],
			Wanted: api.CapacitySpec{Found: found, Lasting: counts[0], Withdrawable: counts[1]},
		})
	}
	return zones
}

// The found replicas are kept where withdrawable ones would not cost less or are not
// possible: without a price for them, with one zone, with max 0, with min equal to max.
func TestPlanCapacityKeepsFoundReplicasWithoutSavings(t *testing.T) {
	cases := map[string]struct {
		scaling *api.ScalingSheet
		zones   []ZoneCapacity
	}{
		"no price":                  {testScaling(94, 0), testZones(47, [2]int{47, 0}, [2]int{47, 0}, [2]int{47, 0})},
		"same price":                {testScaling(94, 1), testZones(47, [2]int{47, 0}, [2]int{47, 0}, [2]int{47, 0})},
		"one zone":                  {testScaling(94, 0.18), testZones(47, [2]int{47, 0})},
		"maximum of 0":              {testScaling(0, 0.18), testZones(47, [2]int{47, 0}, [2]int{47, 0})},
		"min is max":                {&api.ScalingSheet{Min: 47, Max: 47, WithdrawablePrice: 0.18}, testZones(47, [2]int{47, 0}, [2]int{47, 0})},
		"two zones, price too high": {testScaling(94, 0.6), testZones(40, [2]int{40, 0}, [2]int{40, 0})},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			for i, plan := range PlanCapacity(test.scaling, test.zones) {
				must.Eq(t, test.zones[i].Wanted.Found, plan.Lasting)
				must.Eq(t, 0, plan.Withdrawable)
			}
		})
	}
}

// Withdrawable replicas are requested first. Lasting ones are released only once the
// ready withdrawable ones suffice without those of any one zone.
func TestPlanCapacityReleasesLastingReplicasOnceReplaced(t *testing.T) {
	scaling := testScaling(94, 0.18)
	first := PlanCapacity(scaling, testZones(47, [2]int{47, 0}, [2]int{47, 0}, [2]int{47, 0}))
	for _, plan := range first {
		must.Eq(t, 47, plan.Lasting)
		must.Eq(t, 47, plan.Withdrawable, must.Sprint("as many as fit"))
	}
	second := PlanCapacity(scaling, testZones(47, [2]int{47, 47}, [2]int{47, 47}, [2]int{47, 47}))
	for _, plan := range second {
		must.Eq(t, 16, plan.Lasting)
		must.Eq(t, 63, plan.Withdrawable)
	}
	for _, plan := range PlanCapacity(scaling, testZones(47, [2]int{16, 63}, [2]int{16, 63}, [2]int{16, 63})) {
		must.Eq(t, 5, plan.Lasting)
	}
	// The withdrawable replicas of one zone are withdrawn: the remaining replicas suffice, and
	// the plan stays the same.
	for _, plan := range PlanCapacity(scaling, testZones(47, [2]int{5, 63}, [2]int{5, 0}, [2]int{5, 63})) {
		must.Eq(t, 5, plan.Lasting)
		must.Eq(t, 63, plan.Withdrawable)
	}
}

// The loss of the withdrawable replicas of two zones at once leaves too few: lasting
// replicas replace them until they return.
func TestReplaceMissingReplacesWithdrawnReplicas(t *testing.T) {
	scaling := testScaling(94, 0.18)
	zones := testZones(47, [2]int{5, 63}, [2]int{5, 0}, [2]int{5, 0})
	must.True(t, HasShortage(zones))
	lasting := 0
	for _, plan := range ReplaceMissing(scaling, zones, PlanCapacity(scaling, zones)) {
		lasting += plan.Lasting
		must.LessEq(t, 94, plan.Lasting+plan.Withdrawable)
	}
	must.GreaterEq(t, 141-63, lasting)
	must.False(t, HasShortage(testZones(47, [2]int{5, 63}, [2]int{5, 0}, [2]int{5, 63})))
}

// Whatever is ready, a plan respects the bounds, leaves each zone a lasting replica, and
// releases no lasting replica that is needed after the loss of one zone's withdrawable ones.
func TestPlanCapacityInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(t, "zones")
		maxReplicas := rapid.IntRange(1, 120).Draw(t, "max replicas")
		scaling := testScaling(maxReplicas, rapid.Float64Range(0.01, 1).Draw(t, "price"))
		var zones []ZoneCapacity
		found, ready, largest := 0, 0, 0
		for i := range count {
			zone := ZoneCapacity{
				Zone: string(rune('a' + i)), Lasting: rapid.IntRange(0, 60).Draw(t, "lasting"), Withdrawable: rapid.IntRange(0, 60).Draw(t, "withdrawable"),
				Wanted: api.CapacitySpec{Found: rapid.IntRange(1, maxReplicas).Draw(t, "found")},
			}
			zone.Wanted.Lasting = rapid.IntRange(1, maxReplicas).Draw(t, "wanted")
			zones = append(zones, zone)
			found += zone.Wanted.Found
			ready += zone.Withdrawable
			largest = max(largest, zone.Withdrawable)
		}
		plans := PlanCapacity(scaling, zones)
		lasting, before, kept := 0, 0, true
		for i, plan := range plans {
			must.LessEq(t, maxReplicas, plan.Lasting+plan.Withdrawable)
			must.GreaterEq(t, 1, plan.Lasting)
			must.Eq(t, zones[i].Wanted.Found, plan.Found)
			lasting += plan.Lasting
			before += zones[i].Wanted.Lasting
			kept = kept && plan.Lasting >= zones[i].Wanted.Lasting
		}
		must.True(t, kept || lasting+ready-largest >= min(found, before), must.Sprint(plans))
		for _, plan := range ReplaceMissing(scaling, zones, plans) {
			must.LessEq(t, max(maxReplicas, plan.Found), plan.Lasting+plan.Withdrawable)
		}
	})
}
