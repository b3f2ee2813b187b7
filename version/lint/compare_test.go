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

// Guards against a document that the group acknowledges and ignores.
func TestSupersededGenerationIsFound(t *testing.T) {
	now, wanted := cleanSpec(), cleanSpec()
	must.SliceEmpty(t, Superseded(now, wanted, nil), must.Sprint("the same document sent again"))
	wanted.Routes[0].TimeoutMilliseconds = 7000
	changes, err := Compare(now, wanted)
	must.NoError(t, err)
	findings := Superseded(now, wanted, changes)
	must.SliceLen(t, 1, findings)
	must.Eq(t, "generation", findings[0].Field)
	wanted.Generation = 2
	must.SliceEmpty(t, Superseded(now, wanted, changes))
}

// Guards against a route that hides another of its name from the comparison.
func TestCompareKeepsRoutesOfOneNameApart(t *testing.T) {
	now, wanted := cleanSpec(), cleanSpec()
	for _, spec := range []*api.IngressSpec{now, wanted} {
		second := spec.Routes[0]
		second.PathPrefix = "/b/"
		spec.Routes = append(spec.Routes, second)
	}
	wanted.Routes[0].TimeoutMilliseconds = 7000
	changes, err := Compare(now, wanted)
	must.NoError(t, err)
	must.SliceLen(t, 1, changes)
	must.Eq(t, "routes[r]", changes[0].Entry)
}
