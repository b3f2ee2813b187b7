package lint

import (
	"fmt"
	"testing"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// Guards against a difference that is not reported and against a reported API key.
func TestCompareReportsEveryDifference(t *testing.T) {
	now, wanted := cleanSpec(), cleanSpec()
	changes, err := Compare(now, wanted)
	must.NoError(t, err)
	must.SliceEmpty(t, changes)

	wanted.Generation = 2
	wanted.Routes[0].TimeoutMilliseconds = 7000
	wanted.Services = append(wanted.Services[:1], api.RouteService{Name: "u"})
	wanted.Tenants[0].Keys = []string{"secret"}
	changes, err = Compare(now, wanted)
	must.NoError(t, err)
	must.Eq(t, []Change{
		{Entry: "ingress", Field: "generation", Now: "1", Wanted: "2"},
		{Entry: "routes[r]", Field: "timeoutMilliseconds", Now: "6000", Wanted: "7000"},
		{Entry: "services[t]", Now: "present"},
		{Entry: "services[u]", Wanted: "present"},
		{Entry: "tenants[a]", Field: "keys", Now: "1 keys", Wanted: "1 keys, not the same"},
	}, changes)
	must.StrNotContains(t, fmt.Sprint(changes), "secret")
}
