package view

import (
	"testing"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// ofKind returns an object of the kind.
func objectOfKind(t *testing.T, kind api.Kind, name string) api.Object {
	t.Helper()
	named := api.Metadata{Name: name}
	objects := map[api.Kind]api.Object{
		api.KindIntent:  {Intent: &api.Intent{Metadata: named}},
		api.KindEngine:  {Engine: &api.Engine{Metadata: named}},
		api.KindService: {Service: &api.Service{Metadata: named}},
		api.KindClass:   {Class: &api.Class{Metadata: named}},
		api.KindTenant:  {Tenant: &api.Tenant{Metadata: named}},
		api.KindIngress: {Ingress: &api.Ingress{Metadata: named}},
		api.KindReplica: {Replica: &api.Replica{Metadata: named}},
		api.KindProxy:   {Proxy: &api.Proxy{Metadata: named}},
		api.KindMember:  {Member: &api.Member{Metadata: named}},

		api.KindQuarantine:  {Quarantine: &api.Quarantine{Metadata: named}},
		api.KindRouteTenant: {RouteTenant: &api.RouteTenant{Metadata: named}},
		api.KindCapacity:    {Capacity: &api.Capacity{Metadata: named}},
		api.KindSuspect:     {Suspect: &api.Suspect{Metadata: named}},
	}
	made, known := objects[kind]
	must.True(t, known, must.Sprint(kind))
	return made
}

// A kind that a view passes over would be held by the group and known to nobody.
func TestViewHoldsEveryKind(t *testing.T) {
	for _, kind := range api.Kinds {
		t.Run(string(kind), func(t *testing.T) {
			first, second := objectOfKind(t, kind, "b"), objectOfKind(t, kind, "a")
			filled, err := New().Apply(Delta{To: Version{Term: 1, Revision: 1}, Full: true, Objects: []api.Object{first, second}})
			must.NoError(t, err)
			must.Eq(t, []api.Object{second, first}, filled.List(kind))
			key, _ := first.Key()
			got, found := filled.Object(key)
			must.True(t, found)
			must.Eq(t, first, got)
			emptied, err := filled.Apply(Delta{From: filled.Version, To: Version{Term: 1, Revision: 2}, Removed: []api.Key{key}})
			must.NoError(t, err)
			must.Eq(t, []api.Object{second}, emptied.List(kind))
			must.Eq(t, []api.Object{second, first}, filled.List(kind), must.Sprint("the view before is unchanged"))
		})
	}
	must.Nil(t, New().List("Other"))
	_, found := New().Object(api.Key{Kind: "Other", Name: "a"})
	must.False(t, found)
}
