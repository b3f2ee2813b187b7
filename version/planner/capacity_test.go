package planner

import (
	"testing"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func sheetOf(most int, price float64) *api.ScalingSheet {
	return &api.ScalingSheet{Min: 1, Max: most, BootMillis: 4000, WithdrawablePrice: price}
}

// zonesWith returns zones in which so many were found, with what each has ready.
func zonesWith(found int, ready ...[2]int) []ZoneCapacity {
	var zones []ZoneCapacity
	for i, has := range ready {
		zones = append(zones, ZoneCapacity{
			Zone: string(rune('a' + i)), Lasting: has[0], Withdrawable: has[1],
			Wanted: api.CapacitySpec{Found: found, Lasting: has[0], Withdrawable: has[1]},
		})
	}
	return zones
}

// What would not cost less is left as it was found: no cheaper kind, no other zone, no bound,
// min as high as max, max 0.
func TestNothingChangesWhereItDoesNotPay(t *testing.T) {
	cases := map[string]struct {
		sheet *api.ScalingSheet
		zones []ZoneCapacity
	}{
		"no cheaper kind":   {sheetOf(94, 0), zonesWith(47, [2]int{47, 0}, [2]int{47, 0}, [2]int{47, 0})},
		"as dear":           {sheetOf(94, 1), zonesWith(47, [2]int{47, 0}, [2]int{47, 0}, [2]int{47, 0})},
		"one zone":          {sheetOf(94, 0.18), zonesWith(47, [2]int{47, 0})},
		"no room":           {sheetOf(0, 0.18), zonesWith(47, [2]int{47, 0}, [2]int{47, 0})},
		"min is max":        {&api.ScalingSheet{Min: 47, Max: 47, WithdrawablePrice: 0.18}, zonesWith(47, [2]int{47, 0}, [2]int{47, 0})},
		"two zones, dearer": {sheetOf(94, 0.6), zonesWith(40, [2]int{40, 0}, [2]int{40, 0})},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			for i, plan := range PlanCapacity(each.sheet, each.zones) {
				must.Eq(t, each.zones[i].Wanted.Found, plan.Lasting)
				must.Eq(t, 0, plan.Withdrawable)
			}
		})
	}
}

// The cheaper kind comes first; the lasting kind goes once the other is ready, and not
// before it would do without any one zone's.
func TestLastingReplicasGoOnceTheOthersAreReady(t *testing.T) {
	sheet := sheetOf(94, 0.18)
	begin := PlanCapacity(sheet, zonesWith(47, [2]int{47, 0}, [2]int{47, 0}, [2]int{47, 0}))
	for _, plan := range begin {
		must.Eq(t, 47, plan.Lasting)
		must.Eq(t, 47, plan.Withdrawable, must.Sprint("as many as fit"))
	}
	half := PlanCapacity(sheet, zonesWith(47, [2]int{47, 47}, [2]int{47, 47}, [2]int{47, 47}))
	for _, plan := range half {
		must.Eq(t, 16, plan.Lasting)
		must.Eq(t, 63, plan.Withdrawable)
	}
	for _, plan := range PlanCapacity(sheet, zonesWith(47, [2]int{16, 63}, [2]int{16, 63}, [2]int{16, 63})) {
		must.Eq(t, 5, plan.Lasting)
	}
	// A zone's are withdrawn: what is left was to be enough, and nothing is given up or added.
	for _, plan := range PlanCapacity(sheet, zonesWith(47, [2]int{5, 63}, [2]int{5, 0}, [2]int{5, 63})) {
		must.Eq(t, 5, plan.Lasting)
		must.Eq(t, 63, plan.Withdrawable)
	}
}

// Two zones at once leave too little: lasting replicas stand in until the others are back.
func TestLastingReplicasStandIn(t *testing.T) {
	sheet := sheetOf(94, 0.18)
	gone := zonesWith(47, [2]int{5, 63}, [2]int{5, 0}, [2]int{5, 0})
	must.True(t, IsShort(gone))
	lasting := 0
	for _, plan := range StandIn(sheet, gone, PlanCapacity(sheet, gone)) {
		lasting += plan.Lasting
		must.LessEq(t, 94, plan.Lasting+plan.Withdrawable)
	}
	must.GreaterEq(t, 141-63, lasting)
	must.False(t, IsShort(zonesWith(47, [2]int{5, 63}, [2]int{5, 0}, [2]int{5, 63})))
}

// Whatever is ready, a plan keeps to the bounds, empties no zone, and gives no lasting
// replica up without which the loss of a zone's withdrawable ones would leave too few.
func TestPlansAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(t, "zones")
		most := rapid.IntRange(1, 120).Draw(t, "most")
		sheet := sheetOf(most, rapid.Float64Range(0.01, 1).Draw(t, "price"))
		var zones []ZoneCapacity
		found, ready, largest := 0, 0, 0
		for i := range count {
			zone := ZoneCapacity{
				Zone: string(rune('a' + i)), Lasting: rapid.IntRange(0, 60).Draw(t, "lasting"), Withdrawable: rapid.IntRange(0, 60).Draw(t, "withdrawable"),
				Wanted: api.CapacitySpec{Found: rapid.IntRange(1, most).Draw(t, "found")},
			}
			zone.Wanted.Lasting = rapid.IntRange(1, most).Draw(t, "wanted")
			zones = append(zones, zone)
			found += zone.Wanted.Found
			ready += zone.Withdrawable
			largest = max(largest, zone.Withdrawable)
		}
		plans := PlanCapacity(sheet, zones)
		lasting, before, kept := 0, 0, true
		for i, plan := range plans {
			must.LessEq(t, most, plan.Lasting+plan.Withdrawable)
			must.GreaterEq(t, 1, plan.Lasting)
			must.Eq(t, zones[i].Wanted.Found, plan.Found)
			lasting += plan.Lasting
			before += zones[i].Wanted.Lasting
			kept = kept && plan.Lasting >= zones[i].Wanted.Lasting
		}
		must.True(t, kept || lasting+ready-largest >= min(found, before), must.Sprint(plans))
		for _, plan := range StandIn(sheet, zones, plans) {
			must.LessEq(t, max(most, plan.Found), plan.Lasting+plan.Withdrawable)
		}
	})
}
