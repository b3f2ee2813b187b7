package subset_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/subset"
)

const (
	zoneCount        = 17
	endpointsPerZone = 120
)

func testEndpoints() []subset.Endpoint {
	var endpoints []subset.Endpoint
	for zone := range zoneCount {
		for replica := range endpointsPerZone {
			endpoints = append(endpoints, subset.Endpoint{
				Name:  fmt.Sprintf("engine-%d-%d", zone, replica),
				Zone:  fmt.Sprintf("zone-%d", zone),
				Group: "model",
			})
		}
	}
	return endpoints
}

func TestChooseFillsLocalAndRemote(t *testing.T) {
	cases := []struct {
		name      string
		endpoints []subset.Endpoint
		sizes     subset.Sizes
		local     int
		remote    int
	}{
		{"large group", testEndpoints(), subset.Sizes{Local: 16, Remote: 8}, 16, 8},
		{"no endpoint in the own zone", testEndpoints()[endpointsPerZone:], subset.Sizes{Local: 16, Remote: 8}, 0, 24},
		{"only the own zone", testEndpoints()[:endpointsPerZone], subset.Sizes{Local: 16, Remote: 8}, 24, 0},
		{"all of a small group is followed", testEndpoints()[endpointsPerZone-2 : endpointsPerZone+3], subset.Sizes{Local: 16, Remote: 8}, 2, 3},
		{"nothing to follow", nil, subset.DefaultSizes, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			zones := map[string]string{}
			for _, endpoint := range test.endpoints {
				zones[endpoint.Name] = endpoint.Zone
			}
			local, remote := 0, 0
			for _, name := range subset.Choose("proxy-1", "zone-0", test.endpoints, test.sizes) {
				if zones[name] == "zone-0" {
					local++
				} else {
					remote++
				}
			}
			must.Eq(t, test.local, local)
			must.Eq(t, test.remote, remote)
		})
	}
}

func TestChooseBoundsEachGroup(t *testing.T) {
	endpoints := testEndpoints()
	for i := range endpoints {
		endpoints[i].Group = fmt.Sprintf("model-%d", i%4)
	}
	chosen := subset.Choose("proxy-1", "zone-0", endpoints, subset.Sizes{Local: 3, Remote: 2})
	must.Eq(t, 4*5, len(chosen))
}

func TestRemovingOneEndpointChangesAtMostOne(t *testing.T) {
	endpoints := testEndpoints()
	before := subset.Choose("proxy-1", "zone-0", endpoints, subset.DefaultSizes)
	removed := before[0]
	var remaining []subset.Endpoint
	for _, endpoint := range endpoints {
		if endpoint.Name != removed {
			remaining = append(remaining, endpoint)
		}
	}
	after := map[string]bool{}
	for _, name := range subset.Choose("proxy-1", "zone-0", remaining, subset.DefaultSizes) {
		after[name] = true
	}
	for _, name := range before[1:] {
		must.True(t, after[name], must.Sprintf("%s was dropped although only %s was removed", name, removed))
	}
}

func TestFollowersAreBalanced(t *testing.T) {
	endpoints := testEndpoints()
	followers := map[string]int{}
	const daemonsPerZone = 124
	for zone := range zoneCount {
		for daemon := range daemonsPerZone {
			name := fmt.Sprintf("proxy-%d-%d", zone, daemon)
			for _, chosen := range subset.Choose(name, fmt.Sprintf("zone-%d", zone), endpoints, subset.DefaultSizes) {
				followers[chosen]++
			}
		}
	}
	mean := float64(daemonsPerZone*24) / endpointsPerZone
	for _, endpoint := range endpoints {
		count := float64(followers[endpoint.Name])
		must.Greater(t, mean/3, count, must.Sprintf("%s has %v followers of a mean of %v", endpoint.Name, count, mean))
		must.Less(t, mean*3, count, must.Sprintf("%s has %v followers of a mean of %v", endpoint.Name, count, mean))
	}
}
